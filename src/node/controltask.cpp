#include "node/controltask.h"

#include "config/document.h"
#include "config/manifest.h"
#include "core/attemptregistry.h"
#include "net/clock.h"
#include "node/controlcodec.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace Geraniumsail {

namespace asio = boost::asio;
using Json = nlohmann::json;

namespace {

constexpr std::size_t ControlConnections = 1024;
/// Connections to random members are seldom used again.
constexpr Duration ControlIdle = std::chrono::seconds(2);
constexpr Duration ServerIdle = std::chrono::seconds(5);
constexpr TicketEpoch FirstTicketEpoch{1};
/// Targets are published anew at least this often, because their ticket epochs advance without a change of the table.
constexpr Duration PublishPeriod = TicketEpochLength / 2;
constexpr std::string_view ContactsPrefix = "contacts/";
constexpr Duration ContactLease = std::chrono::seconds(30);
constexpr Duration ContactPeriod = std::chrono::seconds(10);
constexpr Duration JoinContactPeriod = std::chrono::seconds(3);
/// Relays look for data centres that they do not know yet.
constexpr Duration RelayContactPeriod = std::chrono::seconds(60);
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpForbidden = 403;
constexpr std::size_t FieldOverhead = 4; ///< ": " and the line end.
constexpr std::size_t StartLineOverhead = 20;

template <typename Message>
std::uint64_t wireBytes(const Message &message)
{
    std::uint64_t bytes = StartLineOverhead + message.body().size();
    for (const auto &field : message) {
        bytes += field.name_string().size() + field.value().size() + FieldOverhead;
    }
    return bytes;
}

ClientLimits controlClientLimits()
{
    ClientLimits limits;
    limits.idle = ControlIdle;
    return limits;
}

ServerLimits controlServerLimits()
{
    ServerLimits limits;
    limits.connections = ControlConnections;
    limits.bodyBytes = MaxControlBytes;
    limits.idle = ServerIdle;
    return limits;
}

MemberRecord ownRecord(const NodeSettings &settings, Incarnation incarnation)
{
    MemberRecord record;
    record.name = settings.name;
    record.incarnation = incarnation;
    record.region = settings.region;
    record.dataCentre = settings.dataCentre;
    record.peer = settings.listen.peer;
    record.control = settings.listen.control;
    record.epoch = FirstTicketEpoch;
    return record;
}

/// True for a JSON-RPC error, which the dispatch makes for malformed bodies and unknown methods, too. The library
/// writes its fields in alphabetical order, so that "error" is the first of an error response.
bool isErrorAnswer(std::string_view answer)
{
    return answer.starts_with(R"({"error":)");
}

/// The whole body, or nothing if it is broken or too large.
asio::awaitable<std::optional<std::string>> wholeBody(std::string first, BodyReader *rest)
{
    while (rest != nullptr) {
        auto part = co_await rest->next();
        if (!part || first.size() + part->size() > MaxControlBytes) {
            co_return std::nullopt;
        }
        if (part->empty()) {
            break;
        }
        first += *part;
    }
    co_return first;
}

} // namespace

ControlTask::ControlTask(const asio::any_io_executor &executor, NodeSettings settings, Incarnation incarnation,
                         std::uint64_t seed, Sinks sinks)
    : m_executor(executor), m_settings(std::move(settings)), m_sinks(std::move(sinks)), m_random(seed),
      m_storeSync(manifestCodec()), m_client(executor, controlClientLimits()),
      m_server(executor, controlServerLimits(),
               [this](HttpRequest request, RequestScope &scope) { return onRequest(std::move(request), scope); }),
      m_timer(executor), m_incarnation(incarnation)
{
    if (m_settings.store) {
        m_store = std::make_unique<StoreClient>(executor, *m_settings.store);
    }
    for (const char *name : {"sync", "fetchMembers", "pushConfig", "fetchConfig"}) {
        m_rpc.addMethod(name, [this, name](const std::string &params) { return answer(name, params); });
    }
    addMethod("indirectProbe", [this](std::string params) { return probeForOther(std::move(params)); });
    addMethod("status", [this](std::string) -> asio::awaitable<std::string> { co_return statusText(); });
}

void ControlTask::addMethod(const std::string &name, Method method)
{
    m_methods[name] = std::move(method);
    m_rpc.addMethod(name, [this](const std::string &) {
        if (m_methodError) {
            throw *m_methodError;
        }
        return m_methodResult.value_or("{}");
    });
}

Address ControlTask::listen()
{
    m_settings.listen.control = m_server.listen(m_settings.listen.control);
    return m_settings.listen.control;
}

void ControlTask::start(const Address &peer)
{
    m_settings.listen.peer = peer;
    m_core =
        std::make_unique<ControlCore>(ownRecord(m_settings, m_incarnation), m_settings.seeds, monotonicNow(), m_random);
    asio::co_spawn(m_executor, tickLoop(), asio::detached);
}

asio::awaitable<void> ControlTask::tickLoop()
{
    while (!m_stopped) {
        const auto now = monotonicNow();
        const auto wall = wallNow();
        send(m_core->tick(now, wall, m_random));
        if (m_store) {
            if (auto call = m_storeSync.next(m_core->membership().isWatcher(), m_core->config(), now)) {
                asio::co_spawn(m_executor, callStore(std::move(*call)), asio::detached);
            }
            if (now >= m_nextContacts && !m_contactsBusy) {
                m_contactsBusy = true;
                asio::co_spawn(m_executor, maintainContacts(), asio::detached);
            }
        }
        publishChanges();
        m_client.closeIdle(now);
        m_timer.expires_at(toSteady(now + TickPeriod));
        co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> ControlTask::callStore(StoreCall call)
{
    const StoreResult result = co_await m_store->call(std::move(call));
    const auto documents = m_storeSync.onResult(result, m_core->config(), monotonicNow(), m_random);
    send(m_core->applyDocuments(documents, wallNow(), m_random));
    publishChanges();
    // The next step of a read or of a write-back follows at once; a failure sets its own delay.
    auto next =
        m_stopped ? std::nullopt : m_storeSync.next(m_core->membership().isWatcher(), m_core->config(), monotonicNow());
    if (next) {
        asio::co_spawn(m_executor, callStore(std::move(*next)), asio::detached);
    }
}

asio::awaitable<void> ControlTask::maintainContacts()
{
    const auto &membership = m_core->membership();
    const auto relays = membership.relays();
    const bool writer = !relays.empty() && relays.front() == membership.self().name;
    const bool alone = membership.table().liveCount(m_settings.dataCentre) < 2;
    if (writer) {
        Json addresses = Json::array();
        for (const auto &name : relays) {
            addresses.push_back(membership.table().find(name)->control.value());
        }
        if (!m_lease.empty() && co_await m_store->renewLease(m_lease) == false) {
            m_lease.clear();
        }
        if (m_lease.empty()) {
            m_lease = (co_await m_store->grantLease(ContactLease)).value_or("");
        }
        StoreCall call;
        call.key = std::string(ContactsPrefix) + m_settings.dataCentre.value();
        const StoreResult known = co_await m_store->call(call);
        const bool readable = known.status == StoreStatus::Ok || known.status == StoreStatus::NotFound;
        if (!m_lease.empty() && readable && known.value != addresses.dump()) {
            call.operation = StoreOperation::Put;
            call.value = addresses.dump();
            call.expectedRevision = known.revision;
            co_await m_store->call(call, m_lease);
        }
    }
    if (alone || membership.isRelay()) {
        if (const auto entries = co_await m_store->list(std::string(ContactsPrefix))) {
            std::vector<Address> contacts;
            for (const auto &[key, value] : *entries) {
                const Json addresses = Json::parse(value, nullptr, false);
                for (const auto &address : addresses.is_array() ? addresses : Json::array()) {
                    if (address.is_string()) {
                        contacts.emplace_back(address.get<std::string>());
                    }
                }
            }
            m_core->membership().setContacts(std::move(contacts));
        }
    }
    const Duration period = writer ? ContactPeriod : alone ? JoinContactPeriod : RelayContactPeriod;
    m_nextContacts = monotonicNow() + (membership.isRelay() || alone ? period : ContactPeriod);
    m_contactsBusy = false;
}

void ControlTask::send(std::vector<OutgoingRequest> requests)
{
    for (auto &request : requests) {
        asio::co_spawn(m_executor, sendAndReport(std::move(request)), asio::detached);
    }
}

asio::awaitable<void> ControlTask::sendAndReport(OutgoingRequest request)
{
    const auto reply = co_await exchange(request);
    const auto now = monotonicNow();
    auto more = reply ? m_core->onReply(request, *reply, now, wallNow(), m_random)
                      : m_core->onFailed(request, now, wallNow(), m_random);
    send(std::move(more));
}

asio::awaitable<std::optional<ControlReply>> ControlTask::exchange(OutgoingRequest request)
{
    const std::string method(methodOf(request.request));
    auto message = makeRequest(boost::beast::http::verb::post, "/", request.address.value(),
                               encodeRequest(method, encodeRequest(request.request)));
    ++m_counters.requestsSent;
    m_counters.bytesSent += wireBytes(message.message);
    auto result =
        co_await m_client.send(request.address, std::move(message), {monotonicNow() + request.timeout, nullptr});
    if (result) {
        auto body = co_await wholeBody(std::move(result->message.body()), result->rest.get());
        if (body) {
            result->message.body() = std::move(*body);
            m_counters.bytesReceived += wireBytes(result->message);
            try {
                co_return decodeReply(method, decodeResponse(result->message.body()));
            } catch (const RpcError &error) {
                VLOG(1) << "event=control_answer_refused method=" << method << " from=" << request.address.value()
                        << " problem=\"" << error.what() << '"';
            }
        }
    }
    ++m_counters.requestsFailed;
    co_return std::nullopt;
}

asio::awaitable<HttpResponse> ControlTask::onRequest(HttpRequest request, RequestScope &scope)
{
    if (!m_settings.controlAllowed(scope.remote.to_string())) {
        ++m_counters.sendersRefused;
        co_return makeResponse(HttpForbidden, "text/plain", "sender is not in controlAllow\n");
    }
    auto body = co_await wholeBody(std::move(request.message.body()), request.rest.get());
    if (!body || !m_core || m_stopped || request.message.method() != boost::beast::http::verb::post) {
        co_return errorResponse(ErrorKind::BadRequest);
    }
    ++m_counters.requestsReceived;
    request.message.body() = std::move(*body);
    m_counters.bytesReceived += wireBytes(request.message);
    auto answered = co_await answerElsewhere(request.message.body());
    if (!answered) {
        answered = m_rpc.handle(request.message.body());
    }
    if (isErrorAnswer(*answered)) {
        ++m_counters.requestsRefused;
    }
    auto response = makeResponse(HttpOk, "application/json", std::move(*answered));
    m_counters.bytesSent += wireBytes(response.message);
    co_return response;
}

/// Methods that wait run before the dispatch, because the dispatch of the JSON-RPC library cannot wait. Nothing if the
/// request names no such method.
asio::awaitable<std::optional<std::string>> ControlTask::answerElsewhere(const std::string &body)
{
    std::string name;
    std::string params;
    {
        const Json json = Json::parse(body, nullptr, false);
        const auto method = json.is_object() ? json.find("method") : json.end();
        if (method == json.end() || !method->is_string() || m_methods.count(method->get<std::string>()) == 0) {
            co_return std::nullopt;
        }
        name = method->get<std::string>();
        params = json.value("params", Json::object()).dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    std::optional<std::string> result;
    std::optional<RpcError> failure;
    try {
        result = co_await m_methods.at(name)(std::move(params));
    } catch (const RpcError &error) {
        failure = error;
    }
    // Nothing waits between here and the end of the dispatch.
    m_methodResult = std::move(result);
    m_methodError = std::move(failure);
    co_return m_rpc.handle(body);
}

asio::awaitable<std::string> ControlTask::probeForOther(std::string params)
{
    const auto request = std::get<IndirectProbe>(decodeRequest("indirectProbe", params));
    OutgoingRequest probe;
    probe.to = request.target;
    probe.address = request.address;
    probe.timeout = ProbeTimeout;
    probe.purpose = RequestPurpose::IndirectProbe;
    probe.request = m_core->makeProbe(request.target, wallNow());
    const auto reply = co_await exchange(std::move(probe));
    co_return encodeReply(ControlReply(ProbeReply{reply.has_value()}));
}

std::string ControlTask::answer(std::string_view method, const std::string &params)
{
    const auto request = decodeRequest(method, params);
    auto handled = m_core->onRequest(request, monotonicNow(), wallNow(), m_random);
    send(std::move(handled.requests));
    if (!handled.reply) {
        throw RpcError(RpcInvalidParams, "the message is for another node");
    }
    if (method == "pushConfig") {
        publishChanges();
    }
    return encodeReply(*handled.reply);
}

void ControlTask::setUpstream(MemberState state, const ServiceName &service, Slots slots, Duration coldStart)
{
    if (m_core) {
        m_core->membership().setOwnState(state, service, slots, FirstTicketEpoch, monotonicNow(), coldStart);
    }
}

void ControlTask::wantService(const ServiceName &service)
{
    if (m_core && !m_core->membership().joined() && m_published.count(service) == 0) {
        m_core->membership().wantService(service);
    }
}

asio::awaitable<void> ControlTask::leave()
{
    m_stopped = true;
    m_timer.cancel();
    m_server.stop();
    if (m_core) {
        for (auto &request : m_core->leave(monotonicNow(), wallNow(), m_random)) {
            co_await exchange(std::move(request));
        }
    }
    LOG(INFO) << "event=left node=" << m_settings.name.value();
}

RouteTarget ControlTask::routeTarget(const MemberRecord &record, const std::set<DataCentreName> &unreachable) const
{
    RouteTarget target;
    target.node = record.name;
    target.incarnation = record.incarnation;
    target.epoch = ticketEpochOf(record, TicketEpochLength, wallNow());
    target.region = record.region;
    target.dataCentre = record.dataCentre;
    target.peer = record.peer;
    target.control = record.control;
    target.usable = acceptsNewRequests(record) && unreachable.count(record.dataCentre) == 0;
    target.coldStart = record.coldStart;
    return target;
}

void ControlTask::publishChanges()
{
    publishDocuments();
    const auto unreachable = m_core->membership().unreachable(wallNow());
    const auto changeCount = m_core->membership().table().changeCount();
    const auto now = monotonicNow();
    if (changeCount != m_publishedChangeCount || unreachable != m_publishedUnreachable || now >= m_nextPublish) {
        m_nextPublish = now + PublishPeriod;
        m_publishedChangeCount = changeCount;
        m_publishedUnreachable = unreachable;
        publishMembers();
    }
}

void ControlTask::publishMembers()
{
    const std::set<DataCentreName> unreachable(m_publishedUnreachable.begin(), m_publishedUnreachable.end());
    const auto &table = m_core->membership().table();
    std::map<ServiceName, std::vector<RouteTarget>> targets;
    std::size_t liveNodes = 0;
    table.forEach([&](const MemberRecord &record) {
        if (record.state == MemberState::Dead) {
            return;
        }
        liveNodes += record.region == m_settings.region ? 1 : 0;
        if (!record.service.empty() && record.name != m_settings.name) {
            targets[record.service].push_back(routeTarget(record, unreachable));
        }
    });
    for (auto &[service, list] : targets) {
        std::sort(list.begin(), list.end(), [](const auto &left, const auto &right) { return left.node < right.node; });
        if (m_published[service] != list) {
            m_published[service] = list;
            m_sinks.members(service, list);
        }
    }
    for (auto &[service, list] : m_published) {
        if (!list.empty() && targets.count(service) == 0) {
            list.clear();
            m_sinks.members(service, {});
        }
    }
    if (liveNodes != m_publishedLiveNodes) {
        m_publishedLiveNodes = liveNodes;
        m_sinks.links(m_links, liveNodes);
    }
}

void ControlTask::publishDocuments()
{
    for (const auto &name : m_core->configGossip().takeChangedDocuments()) {
        const ConfigDocument &document = *m_core->config().find(name);
        if (name.value() == LinksDocumentName) {
            if (auto links = parseLinksDocument(document.text).value) {
                m_links = std::move(*links);
                m_sinks.links(m_links, m_publishedLiveNodes);
                continue;
            }
        } else if (auto policy = parseServiceDocument(document.text).value) {
            m_sinks.policy(std::move(*policy));
            continue;
        }
        ++m_counters.documentsRefused;
        LOG(WARNING) << "event=document_refused name=" << name.value() << " version=" << document.version.value();
    }
}

const ControlCounters &ControlTask::counters() const
{
    return m_counters;
}

const StoreCounters &ControlTask::storeCounters() const
{
    static const StoreCounters none;
    return m_store ? m_store->counters() : none;
}

const StoreSyncCounters &ControlTask::storeSyncCounters() const
{
    return m_storeSync.counters();
}

const ControlCore &ControlTask::core() const
{
    return *m_core;
}

} // namespace Geraniumsail
