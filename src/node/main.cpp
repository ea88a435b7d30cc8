// The node of geraniumsail: one process on each upstream VM.
#include "cli/arguments.h"
#include "config/settings.h"
#include "core/version.h"
#include "node/node.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <glog/logging.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr char Usage[] = R"(The node of geraniumsail: one process on each upstream VM.

Usage:
  geraniumsail-node --settings FILE
  geraniumsail-node --help
  geraniumsail-node --version

Options:
  --settings FILE  JSON settings of this node.
)";

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

std::optional<Geraniumsail::NodeSettings> readSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto checked = Geraniumsail::parseNodeSettings(text.str(), path);
    if (!checked.value) {
        std::cerr << Geraniumsail::toText(checked.problems);
    }
    return std::move(checked.value);
}

int runNode(Geraniumsail::NodeSettings settings)
{
    boost::asio::io_context context(1);
    Geraniumsail::Node node(context, std::move(settings));
    node.start();
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&node](const boost::system::error_code &error, int) {
        if (!error) {
            node.beginStop();
        }
    });
    boost::asio::co_spawn(context, node.stopped(), [&context](const std::exception_ptr &) { context.stop(); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char *argv[])
{
    const auto arguments = Geraniumsail::parseArguments(Usage, argc, argv);
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    auto settings = readSettings(arguments.at("--settings").asString());
    if (!settings) {
        return ExitUsage;
    }
    try {
        return runNode(std::move(*settings));
    } catch (const std::exception &e) {
        LOG(ERROR) << "event=failed what=\"" << e.what() << '"';
        return ExitFailure;
    }
}
