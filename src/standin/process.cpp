#include "standin/process.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

namespace Geraniumsail::Standin {

struct StopSignal::State
{
    boost::asio::signal_set signals;
};

StopSignal::StopSignal(boost::asio::io_context &context, std::function<void()> onStop)
    : m_state(new State{boost::asio::signal_set(context, SIGTERM, SIGINT)})
{
    m_state->signals.async_wait([onStop = std::move(onStop)](const boost::system::error_code &error, int) {
        if (!error) {
            onStop();
        }
    });
}

StopSignal::~StopSignal() = default;

void StopSignal::cancel()
{
    m_state->signals.cancel();
}

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot be read" << std::endl;
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace Geraniumsail::Standin
