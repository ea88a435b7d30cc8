// The operators' client of geraniumsail.
#include "cli/arguments.h"
#include "cli/commands.h"
#include "config/settings.h"

namespace {

using namespace Geraniumsail;

constexpr char Usage[] = R"(The operators' client of geraniumsail.

Usage:
  geraniumsail check TREE [--json]
  geraniumsail diff TREE --store ADDRESS [--accept] [--json]
  geraniumsail publish TREE --store ADDRESS [(--node ADDRESS)...] [--overwrite] [--json]
  geraniumsail show [SERVICE] --store ADDRESS [--json]
  geraniumsail status (--node ADDRESS)... [--json]
  geraniumsail refusals (--node ADDRESS)... [--json]
  geraniumsail explain ID [(--log FILE)...] [--json]
  geraniumsail --help
  geraniumsail --version

Commands:
  check     Check the files of a tree; report every problem.
  diff      Compare the published configuration with the files.
  publish   Check the files and publish them; with --node, wait until a node has them in force.
  show      List the published documents, or print one.
  status    What nodes have in force, and which members they see.
  refusals  What nodes refuse, and why.
  explain   What happened to a request, and what decided it, by the logs of nodes; standard input without --log.

Options:
  --store ADDRESS  The platform's store, as IPv4 address and port.
  --node ADDRESS   Admin listener of a node; may be repeated.
  --log FILE       Log of one or more nodes; may be repeated.
  --accept         Record the published versions as seen, so that the next publish replaces them.
  --overwrite      Publish even over changes that were not seen.
  --json           Print JSON.

Exit codes: 0 done; 1 a check failed, a publication was refused, or no answer; 2 wrong usage; 3 the outcome of a
publication is unknown: run it again to confirm.
)";

Address addressOf(const std::string &option, const std::string &text)
{
    if (!isAddress(text)) {
        std::cerr << option << ": expected an IPv4 address and port such as 127.0.0.1:7900, found \"" << text << '"'
                  << std::endl;
        std::exit(ExitWrongUsage);
    }
    return Address(text);
}

std::vector<Address> nodesOf(const Arguments &arguments)
{
    std::vector<Address> nodes;
    for (const auto &text : arguments.at("--node").asStringList()) {
        nodes.push_back(addressOf("--node", text));
    }
    return nodes;
}

int run(const Arguments &arguments)
{
    const bool json = arguments.at("--json").asBool();
    if (arguments.at("check").asBool()) {
        return Cli::check(arguments.at("TREE").asString(), json);
    }
    if (arguments.at("status").asBool()) {
        return Cli::status(nodesOf(arguments), json);
    }
    if (arguments.at("refusals").asBool()) {
        return Cli::refusals(nodesOf(arguments), json);
    }
    if (arguments.at("explain").asBool()) {
        return Cli::explain(arguments.at("ID").asString(), arguments.at("--log").asStringList(), json);
    }
    const auto store = addressOf("--store", arguments.at("--store").asString());
    if (arguments.at("show").asBool()) {
        const auto &service = arguments.at("SERVICE");
        return Cli::show(service ? std::optional(service.asString()) : std::nullopt, store, json);
    }
    const auto tree = arguments.at("TREE").asString();
    if (arguments.at("diff").asBool()) {
        return Cli::diff(tree, store, arguments.at("--accept").asBool(), json);
    }
    return Cli::publish({tree, store, nodesOf(arguments), arguments.at("--overwrite").asBool()}, json);
}

} // namespace

int main(int argc, char *argv[])
{
    return run(parseArguments(Usage, argc, argv));
}
