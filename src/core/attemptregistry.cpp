#include "core/attemptregistry.h"

#include <algorithm>
#include <array>

namespace Geraniumsail {

namespace {

/// Entries erased for each new one.
constexpr std::size_t PrunedPerArrival = 2;

constexpr std::array<std::string_view, 3> VoidLabels{"voided", "started", "not-confirmed"};

Arrival refused(ErrorKind kind)
{
    return Arrival{Arrival::Kind::Refused, kind, nullptr};
}

} // namespace

std::size_t StoredAnswer::size() const
{
    std::size_t total = body.size();
    for (const auto &[name, value] : fields) {
        total += name.size() + value.size();
    }
    return total;
}

std::string_view voidVerdictLabel(VoidVerdict verdict)
{
    return VoidLabels.at(static_cast<std::size_t>(verdict));
}

std::optional<VoidVerdict> voidVerdictFromLabel(std::string_view label)
{
    const auto found = std::find(VoidLabels.begin(), VoidLabels.end(), label);
    if (found == VoidLabels.end()) {
        return std::nullopt;
    }
    return static_cast<VoidVerdict>(found - VoidLabels.begin());
}

bool refusalVoidsTicket(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Overloaded:
    case ErrorKind::QueueFull:
    case ErrorKind::UpstreamShed:
    case ErrorKind::DeadlineBeforeStart:
    case ErrorKind::ConnectFailed:
    case ErrorKind::CancelledBeforeStart:
    case ErrorKind::TicketVoided:
        return true;
    default:
        return false;
    }
}

AttemptRegistry::AttemptRegistry(Incarnation incarnation, MonotonicTime start, RegistryLimits limits)
    : m_incarnation(incarnation), m_start(start), m_latestTime(start), m_limits(limits)
{
}

Arrival AttemptRegistry::arrive(const CallContext &context, MonotonicTime now)
{
    advance(now);
    if (const auto fault = ticketFault(context)) {
        return refused(*fault);
    }
    if (const auto found = m_entries.find(context.attempt); found != m_entries.end()) {
        return arriveDuplicate(found->second);
    }
    return context.unrepeatable ? arriveUnrepeatable(context) : arriveRepeatable(context);
}

StartVerdict AttemptRegistry::start(const AttemptId &id, MonotonicTime now)
{
    advance(now);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.state != State::Queued) {
        return StartVerdict::Voided;
    }
    auto &entry = found->second;
    if (entry.unrepeatable && expired(entry.epoch)) {
        // The process was paused while the attempt was queued; its caller already got another answer.
        entry.state = State::Voided;
        end(id);
        return StartVerdict::Voided;
    }
    entry.state = State::Running;
    return StartVerdict::Start;
}

bool AttemptRegistry::refuse(const AttemptId &id, MonotonicTime now)
{
    advance(now);
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return false;
    }
    if (found->second.state == State::Queued) {
        found->second.state = State::Voided;
        end(id);
        return true;
    }
    return found->second.state == State::Voided;
}

VoidVerdict AttemptRegistry::voidAttempt(const CallContext &context, MonotonicTime now)
{
    advance(now);
    if (const auto found = m_entries.find(context.attempt); found != m_entries.end()) {
        const bool sameTicket = !context.unrepeatable || context.incarnation == m_incarnation;
        if (!sameTicket || found->second.unrepeatable != context.unrepeatable) {
            return VoidVerdict::NotConfirmed;
        }
        return refuse(context.attempt, now) ? VoidVerdict::Voided : VoidVerdict::Started;
    }
    if (ticketFault(context)) {
        return VoidVerdict::NotConfirmed;
    }
    if (!context.unrepeatable) {
        // The entry stops a request that arrives soon after. It is erased early, so it is no confirmation.
        if (makeRoomForRepeatable()) {
            m_entries.emplace(context.attempt, Entry{State::Voided});
            end(context.attempt);
        }
        return VoidVerdict::NotConfirmed;
    }
    if (*context.epoch > m_closedThroughEpoch && makeRoomForUnrepeatable()) {
        insertUnrepeatable(context, State::Voided);
    }
    // If no entry was added, the epoch of the ticket is closed, so the ticket will never start here.
    return VoidVerdict::Voided;
}

void AttemptRegistry::finish(const AttemptId &id, Outcome outcome, ErrorKind kind, std::optional<StoredAnswer> answer,
                             MonotonicTime now)
{
    advance(now);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.state != State::Running) {
        return;
    }
    auto &entry = found->second;
    switch (outcome) {
    case Outcome::Ran:
        entry.state = State::Ran;
        if (entry.unrepeatable && answer && answer->size() <= MaxStoredAnswerBytes) {
            storeAnswer(id, entry, std::move(*answer));
        }
        break;
    case Outcome::NotRun:
        entry.state = State::Voided;
        break;
    case Outcome::Unknown:
        entry.state = State::Unknown;
        // The kind is sent to duplicates, which must not be told that the attempt did not run.
        entry.endKind = errorRow(kind).outcome == Outcome::Unknown ? kind : ErrorKind::Internal;
        break;
    }
    end(id);
}

void AttemptRegistry::prune(MonotonicTime now)
{
    advance(now);
    pruneRepeatable(MaxPrunedPerCall);
    pruneUnrepeatable(MaxPrunedPerCall);
}

TicketEpoch AttemptRegistry::epoch(MonotonicTime now) const
{
    const auto age = std::max(now, m_latestTime) - m_start;
    return TicketEpoch(1 + static_cast<std::uint64_t>(age / TicketEpochLength));
}

Incarnation AttemptRegistry::incarnation() const
{
    return m_incarnation;
}

std::size_t AttemptRegistry::unrepeatableCount() const
{
    return m_unrepeatableCount;
}

std::size_t AttemptRegistry::repeatableCount() const
{
    return m_entries.size() - m_unrepeatableCount;
}

std::size_t AttemptRegistry::storedBytes() const
{
    return m_answerBytes;
}

std::uint64_t AttemptRegistry::tableFullRefusals() const
{
    return m_tableFullRefusals;
}

MonotonicTime AttemptRegistry::advance(MonotonicTime now)
{
    m_latestTime = std::max(m_latestTime, now);
    return m_latestTime;
}

bool AttemptRegistry::expired(TicketEpoch epoch) const
{
    return epoch.value() + TicketLifetimeEpochs <= this->epoch(m_latestTime).value();
}

std::optional<ErrorKind> AttemptRegistry::ticketFault(const CallContext &context) const
{
    if (!context.unrepeatable) {
        return std::nullopt;
    }
    if (!context.epoch || !context.incarnation || *context.epoch == TicketEpoch(0)) {
        return ErrorKind::Internal;
    }
    if (*context.incarnation != m_incarnation) {
        return ErrorKind::IncarnationGone;
    }
    // An epoch ahead of this clock was never published, and its entry would be kept too long.
    const bool ahead = *context.epoch > epoch(m_latestTime);
    const bool gone = expired(*context.epoch) && !m_entries.contains(context.attempt);
    return ahead || gone ? std::optional(ErrorKind::TicketExpired) : std::nullopt;
}

Arrival AttemptRegistry::arriveDuplicate(const Entry &entry)
{
    switch (entry.state) {
    case State::Queued:
    case State::Running:
        return Arrival{Arrival::Kind::Join, ErrorKind::Internal, nullptr};
    case State::Ran:
        return entry.answer ? Arrival{Arrival::Kind::Stored, ErrorKind::Internal, entry.answer}
                            : refused(ErrorKind::AnswerGone);
    case State::Unknown:
        return refused(entry.endKind);
    case State::Voided:
        break;
    }
    return refused(entry.unrepeatable ? ErrorKind::TicketVoided : ErrorKind::CancelledBeforeStart);
}

Arrival AttemptRegistry::arriveUnrepeatable(const CallContext &context)
{
    pruneUnrepeatable(PrunedPerArrival);
    if (*context.epoch <= m_closedThroughEpoch || !makeRoomForUnrepeatable()) {
        ++m_tableFullRefusals;
        return refused(ErrorKind::Overloaded);
    }
    if (context.ticketPosition > 0 && !context.voidedBy) {
        insertUnrepeatable(context, State::Voided);
        return refused(ErrorKind::TicketVoided);
    }
    insertUnrepeatable(context, State::Queued);
    return Arrival{Arrival::Kind::Fresh, ErrorKind::Internal, nullptr};
}

Arrival AttemptRegistry::arriveRepeatable(const CallContext &context)
{
    pruneRepeatable(PrunedPerArrival);
    if (!makeRoomForRepeatable()) {
        return refused(ErrorKind::QueueFull);
    }
    m_entries.emplace(context.attempt, Entry{});
    return Arrival{Arrival::Kind::Fresh, ErrorKind::Internal, nullptr};
}

bool AttemptRegistry::makeRoomForUnrepeatable()
{
    if (m_unrepeatableCount < m_limits.unrepeatableEntries) {
        return true;
    }
    pruneUnrepeatable(MaxPrunedPerCall);
    if (m_unrepeatableCount < m_limits.unrepeatableEntries) {
        return true;
    }
    m_closedThroughEpoch = epoch(m_latestTime);
    return false;
}

bool AttemptRegistry::makeRoomForRepeatable()
{
    if (repeatableCount() < m_limits.repeatableEntries) {
        return true;
    }
    if (m_endedRepeatable.empty()) {
        return false;
    }
    m_entries.erase(m_endedRepeatable.front().second);
    m_endedRepeatable.pop_front();
    return true;
}

void AttemptRegistry::insertUnrepeatable(const CallContext &context, State state)
{
    m_entries.emplace(context.attempt, Entry{state, true, false, ErrorKind::Internal, *context.epoch, nullptr});
    m_byEpoch[*context.epoch].push_back(context.attempt);
    ++m_unrepeatableCount;
}

void AttemptRegistry::end(const AttemptId &id)
{
    const auto found = m_entries.find(id);
    if (!found->second.unrepeatable) {
        m_endedRepeatable.emplace_back(m_latestTime, id);
    } else if (found->second.detached) {
        eraseUnrepeatable(found);
    }
}

void AttemptRegistry::eraseUnrepeatable(Entries::iterator entry)
{
    dropAnswer(entry->second);
    m_entries.erase(entry);
    --m_unrepeatableCount;
    while (!m_answerOrder.empty() && !m_entries.contains(m_answerOrder.front())) {
        m_answerOrder.pop_front();
    }
}

void AttemptRegistry::pruneUnrepeatable(std::size_t maxEntries)
{
    for (; maxEntries > 0 && !m_byEpoch.empty() && expired(m_byEpoch.begin()->first); --maxEntries) {
        const auto bucket = m_byEpoch.begin();
        const auto entry = m_entries.find(bucket->second.back());
        bucket->second.pop_back();
        if (bucket->second.empty()) {
            m_byEpoch.erase(bucket);
        }
        const auto state = entry->second.state;
        if (state == State::Queued || state == State::Running) {
            entry->second.detached = true;
        } else {
            eraseUnrepeatable(entry);
        }
    }
}

void AttemptRegistry::pruneRepeatable(std::size_t maxEntries)
{
    for (; maxEntries > 0 && !m_endedRepeatable.empty(); --maxEntries) {
        const auto &[endedAt, id] = m_endedRepeatable.front();
        if (endedAt + m_limits.repeatableRetention > m_latestTime) {
            return;
        }
        m_entries.erase(id);
        m_endedRepeatable.pop_front();
    }
}

void AttemptRegistry::storeAnswer(const AttemptId &id, Entry &entry, StoredAnswer answer)
{
    m_answerBytes += answer.size();
    entry.answer = std::make_shared<const StoredAnswer>(std::move(answer));
    m_answerOrder.push_back(id);
    while (m_answerBytes > m_limits.answerBytes) {
        if (const auto oldest = m_entries.find(m_answerOrder.front()); oldest != m_entries.end()) {
            dropAnswer(oldest->second);
        }
        m_answerOrder.pop_front();
    }
}

void AttemptRegistry::dropAnswer(Entry &entry)
{
    if (entry.answer) {
        m_answerBytes -= entry.answer->size();
        entry.answer.reset();
    }
}

} // namespace Geraniumsail
