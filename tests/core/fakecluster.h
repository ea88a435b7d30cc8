// A group of ControlCore instances with a fake delivery of messages in virtual time, for tests.
//
// Each message can be lost, delayed, delivered twice and overtaken by a later one. Directed paths between members can
// be cut. A paused member handles nothing until it resumes; what arrived meanwhile is handled then.
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

struct FakeFaults
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

    /// Starts a process; a running one of that name is replaced.
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
        process.life = ++m_lives;
        process.core = std::make_unique<ControlCore>(self, addresses, m_now, m_random);
        process.dataCentre = dataCentre;
        scheduleTick(name, process.life, Duration(random(TickPeriod.count())));
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
    void cut(const std::string &from, const std::string &to)
    {
        m_cuts.emplace(from, to);
    }
    /// Cuts both directions between two data centres.
    void cutCentres(const std::string &left, const std::string &right)
    {
        for (const auto &[a, first] : m_processes) {
            for (const auto &[b, second] : m_processes) {
                if (first.dataCentre == left && second.dataCentre == right) {
                    cut(a, b);
                    cut(b, a);
                }
            }
        }
    }
    void heal()
    {
        m_cuts.clear();
        faults = FakeFaults{};
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

    bool up(const std::string &name) const
    {
        return m_processes.count(name) > 0;
    }
    ControlCore &core(const std::string &name)
    {
        return *m_processes.at(name).core;
    }
    std::vector<std::string> names() const
    {
        std::vector<std::string> result;
        for (const auto &[name, process] : m_processes) {
            result.push_back(name);
        }
        return result;
    }
    /// Empty if every running member holds exactly the running members for Alive; else what differs first.
    std::string disagreement() const
    {
        for (const auto &[name, process] : m_processes) {
            const auto &table = process.core->membership().table();
            for (const auto &[other, unused] : m_processes) {
                const MemberRecord *record = table.find(NodeName(other));
                if (record == nullptr || record->state != MemberState::Alive) {
                    std::string text = name;
                    text.append(" does not hold ").append(other).append(" alive");
                    return text.append(record == nullptr ? ", it is unknown" : ", but suspect or dead");
                }
            }
            if (table.liveCount() != m_processes.size()) {
                return name + " holds a stopped member for live";
            }
        }
        return {};
    }
    /// Runs until the members agree, at most the time; the time it took or nothing.
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

    FakeFaults faults;
    std::uint64_t messages = 0;
    /// Called after each event handled by a member, for invariants that hold at every moment.
    std::function<void(const std::string &, ControlCore &)> check;

private:
    using Completion = std::function<void(std::optional<ControlReply>)>;

    struct Process
    {
        std::unique_ptr<ControlCore> core;
        std::uint64_t life = 0;
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
    bool passes(const std::string &from, const std::string &to)
    {
        return m_cuts.count({from, to}) == 0 && !chance(faults.loss);
    }
    void at(MonotonicTime time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }
    /// Runs the action in that life of the member, after its pause.
    void inProcess(const std::string &name, std::uint64_t life, std::function<void(ControlCore &)> action)
    {
        const auto found = m_processes.find(name);
        if (found == m_processes.end() || found->second.life != life) {
            return;
        }
        if (found->second.pausedUntil > m_now) {
            at(found->second.pausedUntil,
               [this, name, life, action = std::move(action)] { inProcess(name, life, action); });
            return;
        }
        action(*found->second.core);
        if (check) {
            check(name, *found->second.core);
        }
    }
    void scheduleTick(const std::string &name, std::uint64_t life, Duration in)
    {
        at(m_now + in, [this, name, life] {
            inProcess(name, life, [this, name, life](ControlCore &core) {
                send(name, core.tick(m_now, wall(), m_random));
                scheduleTick(name, life, TickPeriod);
            });
        });
    }
    void send(const std::string &from, std::vector<Outgoing> requests)
    {
        for (auto &request : requests) {
            const std::uint64_t life = m_processes.at(from).life;
            const auto sent = std::make_shared<const Outgoing>(std::move(request));
            exchange(from, *sent, [this, from, life, sent](std::optional<ControlReply> reply) {
                inProcess(from, life, [this, from, sent, reply = std::move(reply)](ControlCore &core) {
                    send(from,
                         reply ? core.onReply(*sent, *reply, m_now, wall(), m_random)
                               : core.onFailed(*sent, m_now, wall(), m_random));
                });
            });
        }
    }
    void exchange(const std::string &from, const Outgoing &request, Completion completion)
    {
        ++messages;
        const std::string to = request.address.value();
        const auto done = std::make_shared<Completion>(std::move(completion));
        const auto finish = [done](std::optional<ControlReply> reply) {
            if (*done) {
                std::exchange(*done, nullptr)(std::move(reply));
            }
        };
        at(m_now + request.timeout, [finish] { finish(std::nullopt); });
        const int copies = chance(faults.duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (passes(from, to)) {
                at(m_now + delay(), [this, from, to, content = request.request, finish] {
                    const auto receiver = m_processes.find(to);
                    if (receiver != m_processes.end()) {
                        inProcess(to, receiver->second.life, [this, from, to, content, finish](ControlCore &core) {
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
            if (passes(to, from)) {
                at(m_now + delay(), [finish, reply = std::move(reply)] { finish(reply); });
            }
        };
        if (const auto *probe = std::get_if<IndirectProbe>(&content)) {
            Outgoing helper;
            helper.to = probe->target;
            helper.address = probe->address;
            helper.timeout = ProbeTimeout;
            helper.request = core.probeFor(probe->target, wall());
            exchange(to, helper,
                     [answer](const std::optional<ControlReply> &reply) { answer(ProbeReply{reply.has_value()}); });
            return;
        }
        auto handled = core.onRequest(content, m_now, wall(), m_random);
        send(to, std::move(handled.out));
        answer(std::move(handled.reply));
    }

    Random m_random;
    MonotonicTime m_now{std::chrono::seconds(1)};
    std::multimap<MonotonicTime, std::function<void()>> m_events;
    std::map<std::string, Process> m_processes;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::uint64_t m_lives = 0;
};

} // namespace Geraniumsail

#endif
