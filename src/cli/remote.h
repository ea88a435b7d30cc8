// Blocking access of the operators' client to the store and to the admin listeners of nodes.
#ifndef GERANIUMSAIL_CLI_REMOTE_H
#define GERANIUMSAIL_CLI_REMOTE_H

#include "core/ids.h"
#include "core/manifest.h"
#include "core/storecall.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>

namespace Geraniumsail::Cli {

using Json = nlohmann::json;

/// One call; a store that does not answer gives Failed.
StoreResult callStore(const Address &store, const StoreCall &call);

/// What is published, or why it cannot be told.
struct Published
{
    std::optional<Manifest> manifest; ///< Empty map if nothing was ever published.
    std::map<DocumentName, std::string> texts;
    std::string error;
};
Published readPublished(const Address &store);

/// Text of a path of a node's admin listener, or nothing.
std::optional<std::string> fetchAdmin(const Address &node, const std::string &path);
/// /status of a node, or nothing.
std::optional<Json> fetchStatus(const Address &node);
/// The object of that name in a node's status: at the top or in its control part.
Json statusSection(const Json &status, const std::string &name);
/// Versions of the documents that a node has in force.
std::map<DocumentName, ConfigVersion> versionsInForce(const Json &status);

} // namespace Geraniumsail::Cli

#endif
