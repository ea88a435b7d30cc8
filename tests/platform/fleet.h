// Test fixture that runs real nodes on loopback addresses in one process, with a fake store and fake upstreams.
#ifndef GERANIUMSAIL_TESTS_PLATFORM_FLEET_H
#define GERANIUMSAIL_TESTS_PLATFORM_FLEET_H

#include "fakestore.h"
#include "net/httpclient.h"
#include "net/loop.h"
#include "platform/headers.h"
#include "platform/kvstore.h"
#include "relay/relay.h"
#include "relay/storefollower.h"

#include <functional>
#include <memory>

namespace Geraniumsail {

/// A request that a fake upstream received.
struct ReceivedRequest
{
    std::string id;
    std::string target;
    std::string body;
    std::string timeoutMs;
    std::string expectedUpstream;
    std::string callerService;
};

/// An upstream that responds to every request with status 200 and its own name, unless a test sets behaviour.
class FakeUpstream
{
public:
    using Behaviour = std::function<boost::asio::awaitable<HttpResponse>(RequestScope &)>;

    FakeUpstream(boost::asio::io_context &context, std::string name)
        : m_name(std::move(name)),
          m_server(context.get_executor(), ServerLimits{},
                   [this](HttpRequest request, RequestScope &scope) { return handle(std::move(request), scope); }),
          address(m_server.listen(Address("127.0.0.1:0")))
    {
    }

    static HttpResponse signedResponse(unsigned status, std::string body)
    {
        auto response = makeResponse(status, "text/plain", std::move(body));
        response.message.set("Server-Signature", "signed");
        return response;
    }

private:
    boost::asio::awaitable<HttpResponse> handle(HttpRequest request, RequestScope &scope)
    {
        const auto &message = request.message;
        const auto text = [&](const char *name) {
            return std::string(fieldValue(message, name));
        };
        receivedRequests.push_back({text("Request-Id"), std::string(message.target()), message.body(),
                                    text("Deadline-Ms"), text("Expected-Instance"), text("Caller-Service")});
        const auto id = text("Request-Id");
        HttpResponse response;
        if (behaviour) {
            response = co_await behaviour(scope);
        } else {
            response = signedResponse(200, m_name);
        }
        if (response.message.count("Request-Id") == 0) {
            response.message.set("Request-Id", id);
        }
        co_return response;
    }

    std::string m_name;
    HttpServer m_server;

public:
    Address address;
    std::vector<ReceivedRequest> receivedRequests;
    Behaviour behaviour;
};

/// A node and the upstream beside it.
class FleetNode
{
public:
    FleetNode(boost::asio::io_context &context, const Address &storeAddress, const std::string &name,
              const std::string &serviceName)
        : upstream(context, name), store(context.get_executor(), storeAddress),
          relay(context, settingsFor(storeAddress, name, serviceName, upstream.address), Platform::headerNames(),
                [](HttpRequest, RequestScope &) -> boost::asio::awaitable<HttpResponse> {
                    co_return makeResponse(404, "text/plain", "");
                }),
          follower(context, store, relay)
    {
        relay.start();
        follower.start();
    }

    void announce(UpstreamPhase phase, std::uint64_t sequence)
    {
        UpstreamReport report;
        report.id = UpstreamId("i-" + relay.settings().node.value());
        report.service = relay.settings().service;
        report.address = upstream.address;
        report.slots = Slots(8);
        report.phase = phase;
        report.sequence = sequence;
        report.startedMs = 1;
        relay.onUpstreamReport(report);
    }

    FakeUpstream upstream;
    Platform::KvStore store;
    Relay relay;
    StoreFollower<Platform::KvStore> follower;

private:
    /// The node listens for callers on 127.0.0.3. Callers connect from 127.0.0.1, so that the node does not mistake
    /// them for the upstream on its own VM.
    static RelaySettings settingsFor(const Address &storeAddress, const std::string &name, const std::string &service,
                                     const Address &upstream)
    {
        RelaySettings settings;
        settings.node = NodeName(name);
        settings.region = RegionName("r1");
        settings.dataCentre = DataCentreName("dc1");
        settings.service = ServiceName(service);
        settings.upstream = upstream;
        settings.store = storeAddress;
        settings.callerListen = freeAddress("127.0.0.3");
        settings.peerListen = freeAddress("127.0.0.1");
        settings.readyListen = freeAddress("127.0.0.1");
        settings.announceListen = freeAddress("127.0.0.1");
        settings.metricsListen = freeAddress("127.0.0.1");
        return settings;
    }
    static Address freeAddress(const std::string &host)
    {
        boost::asio::io_context context;
        const boost::asio::ip::tcp::acceptor acceptor(context, *parseEndpoint(host + ":0"));
        return Address(host + ":" + std::to_string(acceptor.local_endpoint().port()));
    }
};

} // namespace Geraniumsail

#endif
