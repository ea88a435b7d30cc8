// The commands of the operators' client. Each returns the exit code of the process.
#ifndef GERANIUMSAIL_CLI_COMMANDS_H
#define GERANIUMSAIL_CLI_COMMANDS_H

#include "core/ids.h"

#include <optional>
#include <string>
#include <vector>

namespace Geraniumsail::Cli {

constexpr int ExitDone = 0;
constexpr int ExitRefused = 1; ///< Failed check, refused publication, or no answer.
constexpr int ExitUnknown = 3; ///< The outcome of a publication is unknown; running it again is safe.

struct PublishOptions
{
    std::string tree;
    Address store;
    std::vector<Address> nodes; ///< Admin listeners; the publication is confirmed when one of them has it in force.
    bool overwrite = false; ///< Ignore the base versions.
};

int check(const std::string &tree, bool json);
int publish(const PublishOptions &options, bool json);
/// accept records the published versions as the base of the tree.
int diff(const std::string &tree, const Address &store, bool accept, bool json);
int show(const std::optional<std::string> &service, const Address &store, bool json);
int status(const std::vector<Address> &nodes, bool json);
int refusals(const std::vector<Address> &nodes, bool json);
/// Prints the timeline of a request from logs of nodes, or from standard input if logs is empty.
int explain(const std::string &requestId, const std::vector<std::string> &logs, bool json);

} // namespace Geraniumsail::Cli

#endif
