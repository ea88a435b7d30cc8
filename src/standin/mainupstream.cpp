// Stand-in for an upstream.
#include "cli/arguments.h"
#include "config/settings.h"
#include "core/text.h"
#include "standin/process.h"
#include "standin/upstreamserver.h"

#include <boost/asio/io_context.hpp>

#include <optional>

namespace {

using namespace Geraniumsail;

constexpr char Usage[] = R"(Stand-in for an upstream, for tests and the demo only. It announces itself to its node.

Usage:
  geraniumsail-standin-upstream --behaviour FILE --service NAME --listen ADDRESS --node ADDRESS [--seed N]
  geraniumsail-standin-upstream --help
  geraniumsail-standin-upstream --version

Options:
  --behaviour FILE  Slots, service times and calls of each service, as JSON.
  --service NAME    The service of the file to stand in for.
  --listen ADDRESS  Own IPv4 address and port.
  --node ADDRESS    Local listener of the own node.
  --seed N          Seed of the service times [default: 1].

Behaviour is switched with POST /standin/upstream; GET /standin/state and /standin/executions show what it did. Drains and
stops at SIGTERM. Exit codes: 0 stopped, 1 cannot listen, 2 wrong usage or behaviour file.
)";

std::optional<Standin::UpstreamOptions> readOptions(const Arguments &arguments)
{
    Standin::UpstreamOptions options;
    options.service = ServiceName(arguments.at("--service").asString());
    options.listen = Address(arguments.at("--listen").asString());
    options.node = Address(arguments.at("--node").asString());
    const auto seed = parseNumber<std::uint64_t>(arguments.at("--seed").asString());
    const auto file = arguments.at("--behaviour").asString();
    const auto text = Standin::readFile(file);
    if (!text) {
        return std::nullopt;
    }
    const auto behaviour = Standin::parseBehaviour(*text, file);
    std::cerr << toText(behaviour.problems);
    if (!behaviour.value || !seed || !isAddress(options.listen.value()) || !isAddress(options.node.value())) {
        std::cerr << "expected a valid file, a whole number as seed, and addresses such as 127.0.0.1:8000" << std::endl;
        return std::nullopt;
    }
    options.randomSeed = *seed;
    const auto service = behaviour.value->find(options.service);
    if (service == behaviour.value->end()) {
        std::cerr << file << ": has no service \"" << options.service.value() << '"' << std::endl;
        return std::nullopt;
    }
    options.behaviour = service->second;
    return options;
}

} // namespace

int main(int argc, char *argv[])
{
    const auto options = readOptions(parseArguments(Usage, argc, argv));
    if (!options) {
        return ExitWrongUsage;
    }
    boost::asio::io_context context;
    Standin::UpstreamServer server(context.get_executor(), *options);
    Standin::StopSignal stop(context, [&] { server.drainAndStop(); });
    server.setOnStopped([&] { stop.cancel(); });
    try {
        server.start();
    } catch (const std::exception &error) {
        std::cerr << "cannot listen on " << options->listen.value() << ": " << error.what() << std::endl;
        return Standin::ExitFailed;
    }
    std::cout << "stand-in upstream of " << options->service.value() << " listens on " << options->listen.value()
              << std::endl;
    context.run();
    return Standin::ExitOk;
}
