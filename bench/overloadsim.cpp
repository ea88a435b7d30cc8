#include "overloadsim.h"

namespace Geraniumsail {

void Simulation::after(Duration delay, std::function<void()> action)
{
    events.push(Event{now + delay, sequence++, std::move(action)});
}

void Simulation::runUntil(MonotonicTime end)
{
    while (!events.empty() && events.top().at <= end) {
        const Event event = events.top();
        events.pop();
        now = event.at;
        event.action();
    }
    now = end;
}

Duration Simulation::drawExponential(double meanSeconds)
{
    return Duration(1 + static_cast<Duration::rep>(std::exponential_distribution(1e-6 / meanSeconds)(random)));
}

FakeService::FakeService(Simulation &simulation, const ServicePolicy &policy, const PolicySwitches &switches,
                         std::map<KindName, double> meanSeconds)
    : m_simulation(simulation), m_admission(policy, switches), m_meanSeconds(std::move(meanSeconds))
{
    tick();
}

void FakeService::call(Call call)
{
    AdmissionRequest request{call.kind, call.priority, call.deadline, call.caller, call.hop};
    if (earlyRefusal && !m_admission.threshold(call.kind).passes(effectivePriority(call.priority, call.hop))) {
        if (m_simulation.random() % 20 != 0) {
            call.done(false);
            return;
        }
        request.weight = 20;
    }
    const AttemptId id(std::to_string(m_nextId++));
    m_calls.emplace(id, std::move(call));
    handle(m_admission.offer(id, request, m_simulation.now, m_simulation.random));
}

void FakeService::handle(const AdmissionDecisions &decisions)
{
    for (const AdmissionDecision &decision : decisions) {
        const auto call = m_calls.find(decision.attempt);
        if (!decision.starts()) {
            const auto done = std::move(call->second.done);
            m_calls.erase(call);
            done(false);
            continue;
        }
        const double mean = m_meanSeconds.at(call->second.kind);
        Duration time = m_simulation.drawExponential(mean);
        if (m_simulation.now + time >= stallFrom && m_simulation.now + time < stallTo) {
            time = stallTo - m_simulation.now + m_simulation.drawExponential(mean);
        }
        m_simulation.after(time, [this, id = decision.attempt, started = m_simulation.now] {
            const Call &ended = m_calls.at(id);
            if (next == nullptr || ended.kind != KindName("chain")) {
                end(id, started, true);
                return;
            }
            Call child = ended;
            ++child.hop;
            child.done = [this, id, started](bool whole) {
                end(id, started, whole);
            };
            next->call(std::move(child));
        });
    }
}

void FakeService::end(const AttemptId &id, MonotonicTime started, bool whole)
{
    const auto call = m_calls.find(id);
    const auto done = std::move(call->second.done);
    m_calls.erase(call);
    done(whole);
    const auto sample = whole ? std::optional<Duration>(m_simulation.now - started) : std::nullopt;
    handle(m_admission.finish(id, sample, m_simulation.now));
}

void FakeService::tick()
{
    handle(m_admission.expire(m_simulation.now));
    m_simulation.after(std::chrono::milliseconds(20), [this] { tick(); });
}

OpenLoop::OpenLoop(Simulation &simulation, FakeService &service, Traffic traffic)
    : m_simulation(simulation), m_service(service), m_traffic(std::move(traffic)),
      m_nextScore(static_cast<std::uint16_t>(simulation.random()))
{
    scheduleNext();
}

void OpenLoop::scheduleNext()
{
    m_simulation.after(m_simulation.drawExponential(1.0 / m_traffic.perSecond), [this] {
        // Evenly spread scores: random ones alone would move the share of chains below a threshold by 5 %.
        const AdmissionScore score(m_nextScore += 40503);
        const bool counted = m_simulation.now >= m_traffic.countFrom && m_simulation.now < m_traffic.countTo;
        const CallerName caller("caller" + std::to_string(m_simulation.random() % 20));
        asked += counted ? 1.0 : 0.0;
        send(std::make_shared<Request>(Request{Priority{m_traffic.rank, score}, caller, counted}));
        scheduleNext();
    });
}

void OpenLoop::send(const std::shared_ptr<Request> &request)
{
    const int attempt = ++request->attempts;
    const auto resendAfter = [this, request, attempt](Duration delay) {
        m_simulation.after(delay, [this, request, attempt] {
            if (!request->ended && attempt == request->attempts && attempt <= m_traffic.resends) {
                send(request);
            }
        });
    };
    resendAfter(m_traffic.timeout);
    const MonotonicTime deadline = m_simulation.now + m_traffic.timeout;
    const auto done = [this, request, attempt, deadline, resendAfter](bool whole) {
        if (request->ended || attempt != request->attempts || m_simulation.now >= deadline) {
            return;
        }
        if (whole) {
            answered(*request);
        } else if (m_traffic.resendRefusedAfter) {
            resendAfter(*m_traffic.resendRefusedAfter);
        } else {
            request->ended = true;
        }
    };
    m_service.call(Call{m_traffic.kind, request->priority, deadline, request->caller, done, 0});
}

void OpenLoop::answered(Request &request)
{
    request.ended = true;
    served += request.counted ? 1.0 : 0.0;
    ++servedPerWindow[m_simulation.now.time_since_epoch() / std::chrono::milliseconds(100)];
}

} // namespace Geraniumsail
