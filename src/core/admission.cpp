#include "core/admission.h"

#include <algorithm>
#include <cmath>

namespace Geraniumsail {

namespace {

constexpr std::size_t RankCount = 10;

/// Stands for every kind that the policy does not name.
const KindName DefaultKind("default");

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// The declared kind of that name, else the default kind.
template <typename Kinds>
auto &findDeclared(Kinds &kinds, const KindName &name)
{
    const auto kind = kinds.find(name);
    return kind != kinds.end() && kind->second.declared ? kind->second : kinds.find(DefaultKind)->second;
}

} // namespace

Admission::Admission(const ServicePolicy &policy, const PolicySwitches &switches)
    : m_switches(switches), m_excess(MostUrgentRank, RankCount)
{
    applyPolicy(policy);
}

AdmissionEvents Admission::setPolicy(const ServicePolicy &policy, MonotonicTime now)
{
    AdmissionEvents events;
    advance(now);
    applyPolicy(policy);
    refuseExpired(now, events);
    if (const auto reason = upstreamRefusal()) {
        refuseAll(*reason, events);
    }
    startWaiting(events);
    return events;
}

void Admission::applyPolicy(const ServicePolicy &policy)
{
    m_policy = policy;
    for (auto &[name, kind] : m_kinds) {
        kind.declared = false;
        kind.policy.share = Share(0.0);
    }
    KindPolicy fallback;
    fallback.name = DefaultKind;
    std::vector<KindPolicy> kinds{fallback};
    kinds.insert(kinds.end(), policy.kinds.begin(), policy.kinds.end());
    for (const KindPolicy &declared : kinds) {
        KindLoad &kind = m_kinds.try_emplace(declared.name, declared).first->second;
        kind.policy = declared;
        kind.declared = true;
        if (!m_switches.shares || !m_switches.admission) {
            kind.policy.share = Share(0.0);
        }
    }
    removeUnusedKinds();
    updateSlots();
}

AdmissionEvents Admission::setUpstream(UpstreamState state, Slots announced, MonotonicTime now)
{
    AdmissionEvents events;
    advance(now);
    m_state = state;
    m_announced = announced;
    updateSlots();
    refuseExpired(now, events);
    if (const auto reason = upstreamRefusal()) {
        refuseAll(*reason, events);
    }
    startWaiting(events);
    return events;
}

AdmissionEvents Admission::offer(const AttemptId &id, const AdmissionRequest &request, MonotonicTime now,
                                 Random &random)
{
    AdmissionEvents events;
    advance(now);
    refuseExpired(now, events);
    startWaiting(events);
    if (m_waiting.contains(id) || m_running.contains(id)) {
        return events;
    }
    if (const auto reason = upstreamRefusal()) {
        events.push_back(AdmissionEvent{id, *reason});
        return events;
    }
    KindLoad &kind = kindFor(request.kind);
    Priority priority = effectivePriority(request.priority, request.hop);
    if (!m_switches.requestScore) {
        priority.score = AdmissionScore(static_cast<std::uint16_t>(random()));
    }
    if (!m_switches.admission) {
        enqueue(id, request, kind, QueuePlace{Rank(0), 0, 0, AdmissionScore(0), m_arrivals++});
        startWaiting(events);
        return events;
    }
    if (request.deadline <= now) {
        events.push_back(AdmissionEvent{id, ErrorKind::DeadlineBeforeStart});
        return events;
    }
    if (!passes(kind, request, priority)) {
        events.push_back(AdmissionEvent{id, ErrorKind::Overloaded});
        return events;
    }
    const QueuePlace place = kind.queue.placeFor(priority, request.caller, m_arrivals++);
    if (!hasFreeSlotFor(kind)) {
        if (const auto reason = makeRoom(kind, place, events)) {
            events.push_back(AdmissionEvent{id, *reason});
            return events;
        }
    }
    enqueue(id, request, kind, place);
    startWaiting(events);
    return events;
}

AdmissionEvents Admission::finish(const AttemptId &id, std::optional<Duration> serviceTime, MonotonicTime now)
{
    AdmissionEvents events;
    advance(now);
    const auto running = m_running.find(id);
    if (running == m_running.end()) {
        return events;
    }
    KindLoad &kind = *running->second;
    const int inFlight = static_cast<int>(m_running.size());
    const auto sample = kind.policy.longRunning ? std::nullopt : serviceTime;
    if (m_switches.adaptiveLimit) {
        m_limit.onFinish(kind.policy.name, sample, inFlight, now);
    }
    if (serviceTime) {
        kind.serviceTime.add(*serviceTime);
    }
    --kind.running;
    m_running.erase(running);
    refuseExpired(now, events);
    startWaiting(events);
    return events;
}

AdmissionEvents Admission::expire(MonotonicTime now)
{
    AdmissionEvents events;
    advance(now);
    refuseExpired(now, events);
    startWaiting(events);
    return events;
}

bool Admission::withdraw(const AttemptId &id, MonotonicTime now)
{
    advance(now);
    if (!m_waiting.contains(id)) {
        return false;
    }
    removeWaiting(id);
    return true;
}

std::optional<MonotonicTime> Admission::nextDeadline() const
{
    if (m_deadlines.empty()) {
        return std::nullopt;
    }
    return m_deadlines.begin()->first;
}

Threshold Admission::threshold(const KindName &kind) const
{
    const KindLoad &load = kindFor(kind);
    const Threshold &excess = m_excess.threshold();
    if (load.policy.share.value() <= 0.0) {
        return excess;
    }
    const Threshold &share = load.shareThreshold.threshold();
    if (!excess.last || !share.last) {
        return Threshold{};
    }
    return Threshold{std::max(*excess.last, *share.last)};
}

LoadReport Admission::load() const
{
    return LoadReport{static_cast<std::uint32_t>(m_running.size()), static_cast<std::uint32_t>(m_waiting.size()),
                      static_cast<std::uint32_t>(std::max(1, m_limit.limit()))};
}

KindLoad &Admission::kindFor(const KindName &name)
{
    return findDeclared(m_kinds, name);
}

const KindLoad &Admission::kindFor(const KindName &name) const
{
    return findDeclared(m_kinds, name);
}

void Admission::updateSlots()
{
    const Slots slots = m_announced ? std::min(*m_announced, m_policy.slots) : m_policy.slots;
    m_limit.setSlots(slots);
}

std::optional<ErrorKind> Admission::upstreamRefusal() const
{
    switch (m_state) {
    case UpstreamState::Up:
        break;
    case UpstreamState::Shedding:
        return ErrorKind::UpstreamShed;
    case UpstreamState::Draining:
        return ErrorKind::Draining;
    case UpstreamState::Gone:
        return ErrorKind::ConnectFailed;
    }
    return m_limit.limit() == 0 ? std::optional(ErrorKind::Overloaded) : std::nullopt;
}

/// Counts the arrival and tells whether it may wait for a slot.
bool Admission::passes(KindLoad &kind, const AdmissionRequest &request, const Priority &priority)
{
    const double work = kind.serviceTime.seconds() * request.represents;
    if (kind.policy.share.value() > 0.0) {
        kind.shareThreshold.arrived(Priority{kind.policy.rank, priority.score}, work);
        const auto &share = kind.shareThreshold.threshold();
        if (!share.last || priority.score <= share.last->score
            || (kind.queue.empty() && kind.inShare(m_limit.limit()))) {
            kind.shareWork += work;
            return true;
        }
    }
    m_excess.arrived(priority, work);
    return m_excess.threshold().passes(priority) || hasFreeSlotFor(kind);
}

bool Admission::hasFreeSlotFor(const KindLoad &kind) const
{
    const int limit = m_limit.limit();
    return static_cast<int>(m_running.size()) < limit && (kind.inShare(limit) || leavesHeadroom(kind));
}

void Admission::enqueue(const AttemptId &id, const AdmissionRequest &request, KindLoad &kind, const QueuePlace &place)
{
    kind.queue.push(place, QueuedAttempt{id, request.deadline, request.caller});
    m_waiting.emplace(id, Waiting{&kind, place, request.deadline});
    m_deadlines.emplace(request.deadline, id);
}

/// Keeps the queue within its length: refuses the worst-placed attempt, or returns a reason if that is the new one.
std::optional<ErrorKind> Admission::makeRoom(KindLoad &kind, const QueuePlace &place, AdmissionEvents &events)
{
    if (m_waiting.size() < m_policy.queueLength) {
        return std::nullopt;
    }
    const bool isProtected = kind.queue.size() < kind.protectedQueue(m_policy.queueLength);
    KindLoad *worst = worstPlaced();
    if (worst == nullptr || (!isProtected && startsBefore(worst->queue.last().first, place))) {
        return ErrorKind::QueueFull;
    }
    const AttemptId evicted = worst->queue.last().second.attempt;
    removeWaiting(evicted);
    events.push_back(AdmissionEvent{evicted, ErrorKind::QueueFull});
    return std::nullopt;
}

/// The kind with the worst-placed last entry among those that use more than their part of the queue.
KindLoad *Admission::worstPlaced()
{
    KindLoad *worst = nullptr;
    for (auto &[name, kind] : m_kinds) {
        if (kind.queue.size() <= kind.protectedQueue(m_policy.queueLength)) {
            continue;
        }
        if (worst == nullptr || startsBefore(worst->queue.last().first, kind.queue.last().first)) {
            worst = &kind;
        }
    }
    return worst;
}

void Admission::removeWaiting(const AttemptId &id)
{
    const auto found = m_waiting.find(id);
    found->second.kind->queue.erase(found->second.place);
    m_deadlines.erase({found->second.deadline, id});
    m_waiting.erase(found);
}

void Admission::refuseAll(ErrorKind reason, AdmissionEvents &events)
{
    while (!m_deadlines.empty()) {
        const AttemptId id = m_deadlines.begin()->second;
        removeWaiting(id);
        events.push_back(AdmissionEvent{id, reason});
    }
}

void Admission::refuseExpired(MonotonicTime now, AdmissionEvents &events)
{
    while (m_switches.admission && !m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const AttemptId id = m_deadlines.begin()->second;
        removeWaiting(id);
        events.push_back(AdmissionEvent{id, ErrorKind::DeadlineBeforeStart});
    }
}

void Admission::startWaiting(AdmissionEvents &events)
{
    while (static_cast<int>(m_running.size()) < m_limit.limit()) {
        KindLoad *kind = nextKind();
        if (kind == nullptr) {
            return;
        }
        const AttemptId id = kind->queue.popFirst().attempt;
        const auto found = m_waiting.find(id);
        m_deadlines.erase({found->second.deadline, id});
        m_waiting.erase(found);
        m_running.emplace(id, kind);
        ++kind->running;
        events.push_back(AdmissionEvent{id, std::nullopt});
    }
}

/// The kind whose first attempt starts next, or none if nothing may start.
KindLoad *Admission::nextKind()
{
    KindLoad *best = nullptr;
    bool bestInShare = false;
    for (auto &[name, kind] : m_kinds) {
        if (kind.queue.empty()) {
            continue;
        }
        const bool inShare = kind.inShare(m_limit.limit());
        if (!inShare && (bestInShare || !leavesHeadroom(kind))) {
            continue;
        }
        if (best == nullptr || (inShare && !bestInShare)
            || startsBefore(kind.queue.first().first, best->queue.first().first)) {
            best = &kind;
            bestInShare = inShare;
        }
    }
    return best;
}

/// True if an excess start of the kind leaves free what more urgent kinds have not used of their shares.
bool Admission::leavesHeadroom(const KindLoad &kind) const
{
    if (!kind.policy.longRunning) {
        return true;
    }
    const int limit = m_limit.limit();
    double reserved = 0.0;
    for (const auto &[name, other] : m_kinds) {
        if (other.policy.rank < kind.policy.rank) {
            reserved += std::max(0.0, std::ceil(other.quota(limit)) - other.running);
        }
    }
    return static_cast<double>(m_running.size()) + 1.0 + reserved <= limit;
}

void Admission::advance(MonotonicTime now)
{
    if (!m_windowStart) {
        m_windowStart = now;
    }
    for (auto &[name, kind] : m_kinds) {
        kind.advance(now, m_limit.limit());
    }
    if (now - *m_windowStart >= ThresholdWindow) {
        closeWindow(now);
    }
}

void Admission::closeWindow(MonotonicTime now)
{
    const Duration length = now - *m_windowStart;
    m_windowStart = now;
    const int limit = m_limit.limit();
    double shareDemand = 0.0;
    double excessBacklog = 0.0;
    double oneRequest = 0.0;
    for (auto &[name, kind] : m_kinds) {
        const double quota = kind.quota(limit);
        const double backlog = kind.closeWindow(length, limit, m_policy.targetQueueDelay);
        shareDemand += std::min(quota, kind.shareDemand);
        // Long-running kinds may have to leave slots free; their backlog must not shut out urgent excess work.
        if (!kind.policy.longRunning && backlog > 0.0) {
            excessBacklog += std::max(0.0, backlog - quota * toSeconds(m_policy.targetQueueDelay));
            oneRequest = std::max(oneRequest, kind.serviceTime.seconds());
        }
    }
    m_excess.closeWindow(ThresholdWindowReport{length, std::max(0.0, limit - shareDemand), excessBacklog, oneRequest,
                                               m_policy.targetQueueDelay});
    removeUnusedKinds();
}

void Admission::removeUnusedKinds()
{
    std::erase_if(m_kinds, [](const auto &entry) {
        return !entry.second.declared && entry.second.running == 0 && entry.second.queue.empty();
    });
}

} // namespace Geraniumsail
