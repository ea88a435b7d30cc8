#include "core/admission.h"

#include <algorithm>
#include <cmath>

namespace Geraniumsail {

namespace {

constexpr std::size_t RankCount = 10;

/// The kind used for requests whose kind the policy does not declare.
const KindName DefaultKind("default");

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns the declared kind with that name, or the default kind.
template <typename Kinds>
auto &findDeclared(Kinds &kinds, const KindName &name)
{
    const auto kind = kinds.find(name);
    return kind != kinds.end() && kind->second.declared ? kind->second : kinds.find(DefaultKind)->second;
}

} // namespace

AdmissionController::AdmissionController(const ServicePolicy &policy, const PolicySwitches &switches)
    : m_switches(switches), m_excessThreshold(MostUrgentRank, RankCount)
{
    applyPolicy(policy);
}

AdmissionDecisions AdmissionController::setPolicy(const ServicePolicy &policy, MonotonicTime now)
{
    AdmissionDecisions decisions;
    advance(now);
    applyPolicy(policy);
    refuseExpired(now, decisions);
    if (const auto reason = upstreamRefusal()) {
        refuseAll(*reason, decisions);
    }
    startQueued(decisions);
    return decisions;
}

void AdmissionController::applyPolicy(const ServicePolicy &policy)
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
        KindState &kind = m_kinds.try_emplace(declared.name, declared).first->second;
        kind.policy = declared;
        kind.declared = true;
        if (!m_switches.shares || !m_switches.admission) {
            kind.policy.share = Share(0.0);
        }
    }
    removeUnusedKinds();
    updateSlots();
}

AdmissionDecisions AdmissionController::setUpstream(UpstreamState state, Slots announced, MonotonicTime now)
{
    AdmissionDecisions decisions;
    advance(now);
    m_state = state;
    m_announced = announced;
    updateSlots();
    refuseExpired(now, decisions);
    if (const auto reason = upstreamRefusal()) {
        refuseAll(*reason, decisions);
    }
    startQueued(decisions);
    return decisions;
}

AdmissionDecisions AdmissionController::offer(const AttemptId &id, const AdmissionRequest &request, MonotonicTime now,
                                              Random &random)
{
    AdmissionDecisions decisions;
    advance(now);
    refuseExpired(now, decisions);
    startQueued(decisions);
    if (m_queued.contains(id) || m_running.contains(id)) {
        return decisions;
    }
    if (const auto reason = upstreamRefusal()) {
        decisions.push_back(AdmissionDecision{id, *reason});
        return decisions;
    }
    KindState &kind = kindFor(request.kind);
    Priority priority = effectivePriority(request.priority, request.hop);
    if (!m_switches.requestScore) {
        priority.score = AdmissionScore(static_cast<std::uint16_t>(random()));
    }
    if (!m_switches.admission) {
        enqueue(id, request, kind, QueueKey{Rank(0), 0, 0, AdmissionScore(0), m_arrivals++});
        startQueued(decisions);
        return decisions;
    }
    if (request.deadline <= now) {
        decisions.push_back(AdmissionDecision{id, ErrorKind::DeadlineBeforeStart});
        return decisions;
    }
    if (!recordArrival(kind, request, priority)) {
        decisions.push_back(AdmissionDecision{id, ErrorKind::Overloaded});
        return decisions;
    }
    const QueueKey key = kind.queue.keyFor(priority, request.caller, m_arrivals++);
    if (!hasFreeSlotFor(kind)) {
        if (const auto reason = makeRoom(kind, key, decisions)) {
            decisions.push_back(AdmissionDecision{id, *reason});
            return decisions;
        }
    }
    enqueue(id, request, kind, key);
    startQueued(decisions);
    return decisions;
}

AdmissionDecisions AdmissionController::finish(const AttemptId &id, std::optional<Duration> serviceTime,
                                               MonotonicTime now)
{
    AdmissionDecisions decisions;
    advance(now);
    const auto running = m_running.find(id);
    if (running == m_running.end()) {
        return decisions;
    }
    KindState &kind = *running->second;
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
    refuseExpired(now, decisions);
    startQueued(decisions);
    return decisions;
}

AdmissionDecisions AdmissionController::expire(MonotonicTime now)
{
    AdmissionDecisions decisions;
    advance(now);
    refuseExpired(now, decisions);
    startQueued(decisions);
    return decisions;
}

bool AdmissionController::withdraw(const AttemptId &id, MonotonicTime now)
{
    advance(now);
    if (!m_queued.contains(id)) {
        return false;
    }
    removeQueued(id);
    return true;
}

std::optional<MonotonicTime> AdmissionController::nextDeadline() const
{
    if (m_deadlines.empty()) {
        return std::nullopt;
    }
    return m_deadlines.begin()->first;
}

Threshold AdmissionController::threshold(const KindName &kind) const
{
    const KindState &state = kindFor(kind);
    const Threshold &excess = m_excessThreshold.threshold();
    if (state.policy.share.value() <= 0.0) {
        return excess;
    }
    const Threshold &share = state.shareThreshold.threshold();
    if (!excess.last || !share.last) {
        return Threshold{};
    }
    return Threshold{std::max(*excess.last, *share.last)};
}

LoadReport AdmissionController::load() const
{
    return LoadReport{static_cast<std::uint32_t>(m_running.size()), static_cast<std::uint32_t>(m_queued.size()),
                      static_cast<std::uint32_t>(std::max(1, m_limit.limit()))};
}

KindState &AdmissionController::kindFor(const KindName &name)
{
    return findDeclared(m_kinds, name);
}

const KindState &AdmissionController::kindFor(const KindName &name) const
{
    return findDeclared(m_kinds, name);
}

void AdmissionController::updateSlots()
{
    const Slots slots = m_announced ? std::min(*m_announced, m_policy.slots) : m_policy.slots;
    m_limit.setSlots(slots);
}

std::optional<ErrorKind> AdmissionController::upstreamRefusal() const
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

/// Adds the arrival to the measured demand. Returns true if the attempt may start or be queued.
bool AdmissionController::recordArrival(KindState &kind, const AdmissionRequest &request, const Priority &priority)
{
    const double work = kind.serviceTime.seconds() * request.weight;
    if (kind.policy.share.value() > 0.0) {
        kind.shareThreshold.recordArrival(Priority{kind.policy.rank, priority.score}, work);
        const auto &share = kind.shareThreshold.threshold();
        if (!share.last || priority.score <= share.last->score
            || (kind.queue.empty() && kind.withinShare(m_limit.limit()))) {
            kind.shareWork += work;
            return true;
        }
    }
    m_excessThreshold.recordArrival(priority, work);
    return m_excessThreshold.threshold().passes(priority) || hasFreeSlotFor(kind);
}

bool AdmissionController::hasFreeSlotFor(const KindState &kind) const
{
    const int limit = m_limit.limit();
    return static_cast<int>(m_running.size()) < limit && (kind.withinShare(limit) || leavesHeadroom(kind));
}

void AdmissionController::enqueue(const AttemptId &id, const AdmissionRequest &request, KindState &kind,
                                  const QueueKey &key)
{
    kind.queue.push(key, QueuedAttempt{id, request.deadline, request.caller});
    m_queued.emplace(id, QueuedEntry{&kind, key, request.deadline});
    m_deadlines.emplace(request.deadline, id);
}

/// If the queue is full, evicts the attempt that would start last, or returns a refusal if that is the new attempt.
std::optional<ErrorKind> AdmissionController::makeRoom(KindState &kind, const QueueKey &key,
                                                       AdmissionDecisions &decisions)
{
    if (m_queued.size() < m_policy.queueLength) {
        return std::nullopt;
    }
    const bool isProtected = kind.queue.size() < kind.protectedQueue(m_policy.queueLength);
    KindState *candidate = evictionCandidate();
    if (candidate == nullptr || (!isProtected && startsBefore(candidate->queue.last().first, key))) {
        return ErrorKind::QueueFull;
    }
    const AttemptId evicted = candidate->queue.last().second.attempt;
    removeQueued(evicted);
    decisions.push_back(AdmissionDecision{evicted, ErrorKind::QueueFull});
    return std::nullopt;
}

/// Returns the kind whose last queued attempt is evicted next: the one that would start last among the kinds that use
/// more than their protected part of the queue.
KindState *AdmissionController::evictionCandidate()
{
    KindState *candidate = nullptr;
    for (auto &[name, kind] : m_kinds) {
        if (kind.queue.size() <= kind.protectedQueue(m_policy.queueLength)) {
            continue;
        }
        if (candidate == nullptr || startsBefore(candidate->queue.last().first, kind.queue.last().first)) {
            candidate = &kind;
        }
    }
    return candidate;
}

void AdmissionController::removeQueued(const AttemptId &id)
{
    const auto found = m_queued.find(id);
    found->second.kind->queue.erase(found->second.key);
    m_deadlines.erase({found->second.deadline, id});
    m_queued.erase(found);
}

void AdmissionController::refuseAll(ErrorKind reason, AdmissionDecisions &decisions)
{
    while (!m_deadlines.empty()) {
        const AttemptId id = m_deadlines.begin()->second;
        removeQueued(id);
        decisions.push_back(AdmissionDecision{id, reason});
    }
}

void AdmissionController::refuseExpired(MonotonicTime now, AdmissionDecisions &decisions)
{
    while (m_switches.admission && !m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const AttemptId id = m_deadlines.begin()->second;
        removeQueued(id);
        decisions.push_back(AdmissionDecision{id, ErrorKind::DeadlineBeforeStart});
    }
}

void AdmissionController::startQueued(AdmissionDecisions &decisions)
{
    while (static_cast<int>(m_running.size()) < m_limit.limit()) {
        KindState *kind = nextKind();
        if (kind == nullptr) {
            return;
        }
        const AttemptId id = kind->queue.popFirst().attempt;
        const auto found = m_queued.find(id);
        m_deadlines.erase({found->second.deadline, id});
        m_queued.erase(found);
        m_running.emplace(id, kind);
        ++kind->running;
        decisions.push_back(AdmissionDecision{id, std::nullopt});
    }
}

/// Returns the kind whose first attempt starts next, or nullptr if no attempt may start.
KindState *AdmissionController::nextKind()
{
    KindState *best = nullptr;
    bool bestWithinShare = false;
    for (auto &[name, kind] : m_kinds) {
        if (kind.queue.empty()) {
            continue;
        }
        const bool withinShare = kind.withinShare(m_limit.limit());
        if (!withinShare && (bestWithinShare || !leavesHeadroom(kind))) {
            continue;
        }
        if (best == nullptr || (withinShare && !bestWithinShare)
            || startsBefore(kind.queue.first().first, best->queue.first().first)) {
            best = &kind;
            bestWithinShare = withinShare;
        }
    }
    return best;
}

/// Returns true if the kind may start an attempt beyond its share without using the unused shares of more urgent kinds.
bool AdmissionController::leavesHeadroom(const KindState &kind) const
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

void AdmissionController::advance(MonotonicTime now)
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

void AdmissionController::closeWindow(MonotonicTime now)
{
    const Duration length = now - *m_windowStart;
    m_windowStart = now;
    const int limit = m_limit.limit();
    double shareDemand = 0.0;
    double excessBacklog = 0.0;
    double workPerRequest = 0.0;
    for (auto &[name, kind] : m_kinds) {
        const double quota = kind.quota(limit);
        const double backlog = kind.closeWindow(length, limit, m_policy.targetQueueDelay);
        shareDemand += std::min(quota, kind.shareDemand);
        // The backlog of a long-running kind may be waiting for slots that it has to leave free, so it must not cause
        // the refusal of urgent excess work.
        if (!kind.policy.longRunning && backlog > 0.0) {
            excessBacklog += std::max(0.0, backlog - quota * toSeconds(m_policy.targetQueueDelay));
            workPerRequest = std::max(workPerRequest, kind.serviceTime.seconds());
        }
    }
    m_excessThreshold.closeWindow(ThresholdWindowReport{length, std::max(0.0, limit - shareDemand), excessBacklog,
                                                        workPerRequest, m_policy.targetQueueDelay});
    removeUnusedKinds();
}

void AdmissionController::removeUnusedKinds()
{
    std::erase_if(m_kinds, [](const auto &entry) {
        return !entry.second.declared && entry.second.running == 0 && entry.second.queue.empty();
    });
}

} // namespace Geraniumsail
