// Test fixture that runs real nodes on loopback addresses in one process, with a fake store and fake upstreams.
#ifndef GERANIUMSAIL_TESTS_PLATFORM_FLEET_H
#define GERANIUMSAIL_TESTS_PLATFORM_FLEET_H

#include "fakestore.h"
#include "net/httpclient.h"
#include "net/loop.h"
#include "platform/headers.h"
#include "platform/kvstore.h"
#include "relay/leaverecorder.h"
#include "relay/relay.h"
#include "relay/storefollower.h"

#include <unistd.h>

#include <functional>
#include <memory>
#include <stdexcept>

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
template <MetadataStore Store>
class BasicFleetNode
{
public:
    BasicFleetNode(boost::asio::io_context &context, const Address &storeAddress, const std::string &name,
                   const std::string &serviceName, const Address &otherUpstream = {})
        : BasicFleetNode(context, settingsFor(storeAddress, name, serviceName, otherUpstream))
    {
    }
    /// With the settings of an earlier node that has stopped, this is its next process.
    BasicFleetNode(boost::asio::io_context &context, RelaySettings settings)
        : upstream(context, settings.node.value()), store(context.get_executor(), settings.store),
          relay(context, withUpstream(std::move(settings), upstream.address), Platform::headerNames(),
                [](HttpRequest, RequestScope &) -> boost::asio::awaitable<HttpResponse> {
                    co_return makeResponse(404, "text/plain", "");
                }),
          follower(context, store, relay), leaveRecorder(context, store, relay)
    {
        relay.start();
        leaveRecorder.start();
        follower.start();
    }

    void announce(UpstreamPhase phase, std::uint64_t sequence, std::int64_t startedMs = 1)
    {
        UpstreamReport report;
        report.id = UpstreamId("i-" + relay.settings().node.value());
        report.service = relay.settings().service;
        report.address = relay.settings().upstream;
        report.slots = Slots(8);
        report.phase = phase;
        report.sequence = sequence;
        report.startedMs = startedMs;
        relay.onUpstreamReport(report);
    }

    FakeUpstream upstream;
    Store store;
    Relay relay;
    StoreFollower<Store> follower;
    LeaveRecorder<Store> leaveRecorder;

private:
    static RelaySettings withUpstream(RelaySettings settings, const Address &ownUpstream)
    {
        if (settings.upstream.empty()) {
            settings.upstream = ownUpstream;
        }
        return settings;
    }
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
    /// Takes ports below those that the system gives to outgoing connections, which could take a port between this call
    /// and the start of the listener.
    static Address freeAddress(const std::string &host)
    {
        constexpr std::uint32_t firstPort = 12000;
        constexpr std::uint32_t portCount = 18000;
        static std::uint32_t next = static_cast<std::uint32_t>(::getpid()) * 997U;
        boost::asio::io_context context;
        for (std::uint32_t i = 0; i < portCount; ++i) {
            const auto address = host + ":" + std::to_string(firstPort + next++ % portCount);
            boost::asio::ip::tcp::acceptor acceptor(context, boost::asio::ip::tcp::v4());
            ErrorCode error;
            acceptor.bind(*parseEndpoint(address), error);
            if (!error) {
                return Address(address);
            }
        }
        throw std::runtime_error("no free port");
    }
};

using FleetNode = BasicFleetNode<Platform::KvStore>;

} // namespace Geraniumsail

#endif
