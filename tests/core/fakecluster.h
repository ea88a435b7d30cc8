// Simulated group of ControlCore instances that exchange messages in virtual time, for tests.
//
// Messages can be lost, delayed, duplicated and reordered. Links between members can be cut in one direction. A paused
// member handles no events until it resumes; events that arrive during the pause are handled then.
#ifndef GERANIUMSAIL_TESTS_CORE_FAKECLUSTER_H
#define GERANIUMSAIL_TESTS_CORE_FAKECLUSTER_H

#include "core/controlcore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace Geraniumsail {

struct NetworkFaults
{
    double loss = 0; ///< Probability per message and direction.
    double duplication = 0;
    Duration maxDelay = std::chrono::milliseconds(20);
};

class FakeCluster
{
public:
    explicit FakeCluster(std::uint64_t seed) : m_random(seed)
    {
    }

    /// Starts a process, replacing a running one of the same name.
    void start(const std::string &name, const std::string &dataCentre, const std::string &region,
               const std::vector<std::string> &seeds)
    {
        MemberRecord self;
        self.name = NodeName(name);
        self.incarnation = makeIncarnation(wall(), m_random);
        self.region = RegionName(region);
        self.dataCentre = DataCentreName(dataCentre);
        self.service = ServiceName("service-" + name.substr(0, 1));
        self.peer = Address("peer:" + name);
        self.control = Address(name);
        self.slots = Slots(50);
        std::vector<Address> addresses;
        addresses.reserve(seeds.size());
        for (const auto &seed : seeds) {
            addresses.emplace_back(seed);
        }
        auto &process = m_processes[name];
        process = Process{};
        process.generation = ++m_lastGeneration;
        process.core = std::make_unique<ControlCore>(self, addresses, m_now, m_random);
        process.dataCentre = dataCentre;
        scheduleTick(name, process.generation, Duration(random(TickPeriod.count())));
    }
    void kill(const std::string &name)
    {
        m_processes.erase(name);
    }
    void leave(const std::string &name)
    {
        send(name, m_processes.at(name).core->leave(m_now, wall(), m_random));
        run(std::chrono::milliseconds(600));
        kill(name);
    }
    void pause(const std::string &name, Duration time)
    {
        m_processes.at(name).pausedUntil = m_now + time;
    }
    void cutLink(const std::string &from, const std::string &to)
    {
        m_cutLinks.emplace(from, to);
    }
    /// Cuts the links between two data centres in both directions.
    void partitionDataCentres(const std::string &left, const std::string &right)
    {
        for (const auto &[a, first] : m_processes) {
            for (const auto &[b, second] : m_processes) {
                if (first.dataCentre == left && second.dataCentre == right) {
                    cutLink(a, b);
                    cutLink(b, a);
                }
            }
        }
    }
    void heal()
    {
        m_cutLinks.clear();
        faults = NetworkFaults{};
        for (auto &[name, process] : m_processes) {
            process.pausedUntil = std::min(process.pausedUntil, m_now);
        }
    }

    void run(Duration time)
    {
        const MonotonicTime end = m_now + time;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        m_now = end;
    }

    bool isRunning(const std::string &name) const
    {
        return m_processes.count(name) > 0;
    }
    ControlCore &core(const std::string &name)
    {
        return *m_processes.at(name).core;
    }
    std::vector<std::string> runningMembers() const
    {
        std::vector<std::string> result;
        for (const auto &[name, process] : m_processes) {
            result.push_back(name);
        }
        return result;
    }
    /// Returns an empty string if each running member lists exactly the running members as live, all of them Alive;
    /// otherwise describes the first difference.
    std::string disagreement() const
    {
        for (const auto &[name, process] : m_processes) {
            const auto &table = process.core->membership().table();
            for (const auto &[other, unused] : m_processes) {
                const MemberRecord *record = table.find(NodeName(other));
                if (record == nullptr || record->state != MemberState::Alive) {
                    std::string text = name;
                    text.append(" does not list ").append(other).append(" as Alive");
                    return text.append(record == nullptr ? ": the member is unknown"
                                                         : ": the member has another state");
                }
            }
            if (table.liveCount() != m_processes.size()) {
                return name + " lists a stopped member as live";
            }
        }
        return {};
    }
    /// Runs until the members agree and returns the time taken, or nullopt if they do not agree within limit.
    std::optional<Duration> runUntilAgreed(Duration limit)
    {
        const MonotonicTime begin = m_now;
        while (m_now - begin < limit) {
            if (disagreement().empty()) {
                return m_now - begin;
            }
            run(std::chrono::milliseconds(200));
        }
        return std::nullopt;
    }

    void applyDocument(const std::string &name, const ConfigDocument &document)
    {
        send(name, m_processes.at(name).core->applyDocuments({document}, wall(), m_random));
    }
    WallTime wall() const
    {
        return WallTime(std::chrono::hours(480'000) + m_now.time_since_epoch());
    }
    MonotonicTime now() const
    {
        return m_now;
    }
    Random &randomSource()
    {
        return m_random;
    }

    NetworkFaults faults;
    std::uint64_t messages = 0;
    /// Called after each event that a member has handled, to check invariants.
    std::function<void(const std::string &, ControlCore &)> checkInvariants;

private:
    using Completion = std::function<void(std::optional<ControlReply>)>;

    struct Process
    {
        std::unique_ptr<ControlCore> core;
        std::uint64_t generation = 0;
        std::string dataCentre;
        MonotonicTime pausedUntil;
    };

    std::int64_t random(std::int64_t below)
    {
        return below <= 0 ? 0 : static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(below));
    }
    bool chance(double probability)
    {
        return static_cast<double>(m_random() % 1'000'000) < probability * 1e6;
    }
    Duration delay()
    {
        return Duration(random(faults.maxDelay.count()) + 1);
    }
    bool shouldDeliver(const std::string &from, const std::string &to)
    {
        return m_cutLinks.count({from, to}) == 0 && !chance(faults.loss);
    }
    void schedule(MonotonicTime time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }
    /// Runs the action once the member is not paused, unless its process has stopped or was replaced since. generation
    /// identifies the process among those started under the same name.
    void runInProcess(const std::string &name, std::uint64_t generation, std::function<void(ControlCore &)> action)
    {
        const auto found = m_processes.find(name);
        if (found == m_processes.end() || found->second.generation != generation) {
            return;
        }
        if (found->second.pausedUntil > m_now) {
            schedule(found->second.pausedUntil,
                     [this, name, generation, action = std::move(action)] { runInProcess(name, generation, action); });
            return;
        }
        action(*found->second.core);
        if (checkInvariants) {
            checkInvariants(name, *found->second.core);
        }
    }
    void scheduleTick(const std::string &name, std::uint64_t generation, Duration in)
    {
        schedule(m_now + in, [this, name, generation] {
            runInProcess(name, generation, [this, name, generation](ControlCore &core) {
                send(name, core.tick(m_now, wall(), m_random));
                scheduleTick(name, generation, TickPeriod);
            });
        });
    }
    void send(const std::string &from, std::vector<OutgoingRequest> requests)
    {
        for (auto &request : requests) {
            const std::uint64_t generation = m_processes.at(from).generation;
            const auto sent = std::make_shared<const OutgoingRequest>(std::move(request));
            exchange(from, *sent, [this, from, generation, sent](std::optional<ControlReply> reply) {
                runInProcess(from, generation, [this, from, sent, reply = std::move(reply)](ControlCore &core) {
                    send(from,
                         reply ? core.onReply(*sent, *reply, m_now, wall(), m_random)
                               : core.onFailed(*sent, m_now, wall(), m_random));
                });
            });
        }
    }
    void exchange(const std::string &from, const OutgoingRequest &request, Completion completion)
    {
        ++messages;
        const std::string to = request.address.value();
        const auto done = std::make_shared<Completion>(std::move(completion));
        const auto finish = [done](std::optional<ControlReply> reply) {
            if (*done) {
                std::exchange(*done, nullptr)(std::move(reply));
            }
        };
        schedule(m_now + request.timeout, [finish] { finish(std::nullopt); });
        const int copies = chance(faults.duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (shouldDeliver(from, to)) {
                schedule(m_now + delay(), [this, from, to, content = request.request, finish] {
                    const auto receiver = m_processes.find(to);
                    if (receiver != m_processes.end()) {
                        runInProcess(to, receiver->second.generation,
                                     [this, from, to, content, finish](ControlCore &core) {
                                         receive(core, from, to, content, finish);
                                     });
                    }
                });
            }
        }
    }
    void receive(ControlCore &core, const std::string &from, const std::string &to, const ControlRequest &content,
                 const Completion &finish)
    {
        const auto answer = [this, from, to, finish](std::optional<ControlReply> reply) {
            if (shouldDeliver(to, from)) {
                schedule(m_now + delay(), [finish, reply = std::move(reply)] { finish(reply); });
            }
        };
        if (const auto *probe = std::get_if<IndirectProbe>(&content)) {
            OutgoingRequest directProbe;
            directProbe.to = probe->target;
            directProbe.address = probe->address;
            directProbe.timeout = ProbeTimeout;
            directProbe.request = core.makeProbe(probe->target, wall());
            exchange(to, directProbe,
                     [answer](const std::optional<ControlReply> &reply) { answer(ProbeReply{reply.has_value()}); });
            return;
        }
        auto handled = core.onRequest(content, m_now, wall(), m_random);
        send(to, std::move(handled.requests));
        answer(std::move(handled.reply));
    }

    Random m_random;
    MonotonicTime m_now{std::chrono::seconds(1)};
    std::multimap<MonotonicTime, std::function<void()>> m_events;
    std::map<std::string, Process> m_processes;
    std::set<std::pair<std::string, std::string>> m_cutLinks;
    std::uint64_t m_lastGeneration = 0;
};

} // namespace Geraniumsail

#endif
