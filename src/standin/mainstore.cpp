// Stand-in for the platform's key-value store.
#include "cli/arguments.h"
#include "config/settings.h"
#include "standin/process.h"
#include "standin/storeserver.h"

#include <boost/asio/io_context.hpp>

#include <iostream>

namespace {

constexpr char Usage[] =
    R"(Stand-in for the platform's key-value store, for tests and the demo only. It keeps nothing on disk.

Usage:
  geraniumsail-standin-store --listen ADDRESS
  geraniumsail-standin-store --help
  geraniumsail-standin-store --version

Options:
  --listen ADDRESS  IPv4 address and port, such as 127.0.0.1:7900.

Faults are switched with POST /standin/faults, /standin/snapshot and /standin/restore; GET /standin/counts shows the
calls. Stops at SIGTERM. Exit codes: 0 stopped, 1 cannot listen, 2 wrong usage.
)";

} // namespace

int main(int argc, char *argv[])
{
    using namespace Geraniumsail;
    const auto arguments = parseArguments(Usage, argc, argv);
    const auto address = arguments.at("--listen").asString();
    if (!isAddress(address)) {
        std::cerr << "--listen: expected an IPv4 address and port, found \"" << address << '"' << std::endl;
        return ExitWrongUsage;
    }
    boost::asio::io_context context;
    Standin::StoreServer server(context.get_executor());
    Standin::StopSignal stop(context, [&] { server.stop(); });
    try {
        server.listen(Address(address));
    } catch (const std::exception &error) {
        std::cerr << "cannot listen on " << address << ": " << error.what() << std::endl;
        return Standin::ExitFailed;
    }
    std::cout << "stand-in store listens on " << address << std::endl;
    context.run();
    return Standin::ExitOk;
}
