// Stand-in for an upstream: runs requests for the times that its behaviour states and calls other services through its
// node. The kind of a request is the first part of its path, because nodes remove their own header fields.
//
// POST /standin/upstream switches (a field that is absent keeps its value): "serviceFactor", "failShare", "shedding",
// "healthLagMs", "falseHealth" (announces itself as healthy whatever happens), "announce", "truncateAnswers" (count),
// "drain" (true only; it goes on answering until SIGTERM). GET /standin/state shows counts, GET /standin/executions how
// often each request was started.
#ifndef GERANIUMSAIL_STANDIN_UPSTREAMSERVER_H
#define GERANIUMSAIL_STANDIN_UPSTREAMSERVER_H

#include "core/random.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "standin/announcer.h"
#include "standin/behaviour.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace Geraniumsail::Standin {

struct UpstreamOptions
{
    ServiceName service;
    Address listen;
    Address node; ///< Local listener of the own node.
    ServiceBehaviour behaviour;
    std::uint64_t randomSeed = 1;
};

struct UpstreamCounts
{
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0; ///< The node closed the connection.
    std::uint64_t expired = 0; ///< The deadline passed while the request ran.
    std::uint64_t shed = 0;
    std::uint64_t childFailures = 0;
    std::uint64_t connections = 0; ///< Connections that carried a request.
    std::uint64_t active = 0;
    std::uint64_t peakActive = 0;
};

class UpstreamServer
{
public:
    UpstreamServer(const boost::asio::any_io_executor &executor, UpstreamOptions options);

    void start();
    /// Announces from now on that it leaves.
    void drain();
    /// Drains, waits until no request arrived for a while and none runs, then stops.
    void drainAndStop();
    const UpstreamCounts &counts() const
    {
        return m_counts;
    }
    /// Called when drainAndStop() has ended.
    void setOnStopped(std::function<void()> callback);

private:
    class Active;
    class EchoReader;
    struct Request;
    using Answer = boost::asio::awaitable<HttpResponse>;

    Answer handle(HttpRequest request, RequestScope &scope);
    Answer serve(HttpRequest request, RequestScope &scope);
    /// False if the request was cancelled or its deadline passed.
    boost::asio::awaitable<bool> work(const Request &request, const KindBehaviour &kind, RequestScope &scope);
    /// Empty if every child call gave its answer, else which failed.
    boost::asio::awaitable<std::string> callChildren(const Request &request, const KindBehaviour &kind);
    boost::asio::awaitable<std::string> callChild(const Request &request, const ChildCall &call, std::size_t index,
                                                  std::size_t parallel);
    HttpResponse answer(const Request &request, const KindBehaviour &kind, std::shared_ptr<Active> active);
    HttpResponse control(const HttpRequest &request, const std::string &path, const std::string &body);
    HttpResponse setSwitches(const std::string &body);
    HttpResponse showState() const;
    HttpResponse showExecutions() const;
    Duration serviceTime(const KindBehaviour &kind);
    boost::asio::awaitable<void> finishDrain();
    void tellState();

    boost::asio::any_io_executor m_executor;
    UpstreamOptions m_options;
    Random m_random;
    HttpClient m_client;
    Announcer m_announcer;
    HttpServer m_server;
    UpstreamCounts m_counts;
    std::unordered_map<std::string, std::uint64_t> m_executions;
    MonotonicTime m_startedAt;
    MonotonicTime m_lastRequest;
    double m_serviceFactor = 1.0;
    double m_failShare = 0.0;
    std::uint64_t m_truncateAnswers = 0;
    bool m_shedding = false;
    bool m_falseHealth = false;
    bool m_draining = false;
    bool m_stopping = false;
    std::function<void()> m_onStopped;
};

} // namespace Geraniumsail::Standin

#endif
