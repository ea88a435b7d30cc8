// Random sequences of faults and changes, checked against the set of processes that are actually running.
#include "fakecluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <ostream>

namespace Geraniumsail {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int MembersPerDataCentre = 5;
/// Suspicion at the maximum local health multiplier (40 s), two periods of dead checks and of inter-region syncs, and
/// the time to disseminate the updates.
constexpr Duration AgreementBound = seconds(120);

enum class StepKind {
    Kill,
    Start,
    Leave,
    Pause,
    CutLink,
    CutLinkBothWays,
    PartitionDataCentres,
    Loss,
    DelayAndDuplication,
    Heal,
    Publish,
    Drain,
    Count,
};

struct Step
{
    StepKind kind = StepKind::Heal;
    int first = 0;
    int second = 0;
    int waitMs = 0;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << "{kind " << static_cast<int>(step.kind) << ", " << step.first << ", " << step.second << ", wait "
                  << step.waitMs << " ms}";
}

std::string memberName(int number)
{
    return std::string(1, number < MembersPerDataCentre ? 'a' : 'b') + std::to_string(number % MembersPerDataCentre);
}

rc::Gen<Step> genStep()
{
    return rc::gen::build<Step>(rc::gen::set(&Step::kind,
                                             rc::gen::map(rc::gen::inRange(0, static_cast<int>(StepKind::Count)),
                                                          [](int kind) { return static_cast<StepKind>(kind); })),
                                rc::gen::set(&Step::first, rc::gen::inRange(0, 2 * MembersPerDataCentre)),
                                rc::gen::set(&Step::second, rc::gen::inRange(0, 2 * MembersPerDataCentre)),
                                rc::gen::set(&Step::waitMs, rc::gen::inRange(0, 15'000)));
}

/// Applies steps to a cluster and records the document versions of each process, which must not decrease.
class ClusterModel
{
public:
    explicit ClusterModel(std::uint64_t seed) : m_cluster(seed)
    {
        for (int i = 0; i < 2 * MembersPerDataCentre; ++i) {
            start(i);
        }
        m_cluster.checkInvariants = [this](const std::string &name, ControlCore &core) {
            auto &versions = m_versions[name];
            for (const auto &[document, content] : core.config().documents()) {
                RC_ASSERT(content.version >= versions[document]);
                versions[document] = content.version;
            }
        };
    }

    void apply(const Step &step)
    {
        const std::string name = memberName(step.first);
        const std::string other = memberName(step.second);
        const bool up = m_cluster.isRunning(name);
        switch (step.kind) {
        case StepKind::Kill:
            if (up) {
                m_cluster.kill(name);
            }
            break;
        case StepKind::Start:
            start(step.first);
            break;
        case StepKind::Leave:
            if (up) {
                m_cluster.leave(name);
            }
            break;
        case StepKind::Pause:
            if (up) {
                m_cluster.pause(name, milliseconds(step.waitMs * 2));
            }
            break;
        case StepKind::CutLink:
            m_cluster.cutLink(name, other);
            break;
        case StepKind::CutLinkBothWays:
            m_cluster.cutLink(name, other);
            m_cluster.cutLink(other, name);
            break;
        case StepKind::PartitionDataCentres:
            m_cluster.partitionDataCentres("dc-1", "dc-2");
            break;
        case StepKind::Loss:
            m_cluster.faults.loss = 0.05 * step.second;
            break;
        case StepKind::DelayAndDuplication:
            m_cluster.faults.maxDelay = milliseconds(100 * step.second + 1);
            m_cluster.faults.duplication = 0.05 * step.first;
            break;
        case StepKind::Heal:
            m_cluster.heal();
            break;
        case StepKind::Publish:
            if (up) {
                publish(name, step.second % 3);
            }
            break;
        case StepKind::Drain:
            if (up) {
                auto &membership = m_cluster.core(name).membership();
                const auto state = step.second % 2 == 0 ? MemberState::Leaving : MemberState::Alive;
                membership.setOwnState(state, ServiceName("s"), Slots(50), TicketEpoch(0), m_cluster.now());
            }
            break;
        case StepKind::Count:
            break;
        }
        m_cluster.run(milliseconds(step.waitMs));
    }

    void assertRecovers()
    {
        m_cluster.heal();
        for (const int seed : {0, MembersPerDataCentre}) {
            if (!m_cluster.isRunning(memberName(seed))) {
                start(seed);
            }
        }
        std::map<DocumentName, ConfigVersion> newest;
        for (const auto &name : m_cluster.runningMembers()) {
            auto &core = m_cluster.core(name);
            core.membership().setOwnState(MemberState::Alive, ServiceName("s"), Slots(50), TicketEpoch(0),
                                          m_cluster.now());
            for (const auto &[document, content] : core.config().documents()) {
                newest[document] = std::max(newest[document], content.version);
            }
        }
        const auto took = m_cluster.runUntilAgreed(AgreementBound);
        if (!took) {
            RC_FAIL("no agreement: " + m_cluster.disagreement());
        }
        m_cluster.run(AgreementBound - *took);
        RC_ASSERT(m_cluster.disagreement() == std::string());
        for (const auto &name : m_cluster.runningMembers()) {
            RC_ASSERT(m_cluster.core(name).config().documents().size() == newest.size());
            for (const auto &[document, version] : newest) {
                const auto *held = m_cluster.core(name).config().find(document);
                RC_ASSERT(held != nullptr);
                RC_ASSERT(held->version == version);
            }
        }
    }

private:
    void start(int number)
    {
        const bool first = number < MembersPerDataCentre;
        m_versions.erase(memberName(number));
        m_cluster.start(memberName(number), first ? "dc-1" : "dc-2", first ? "r1" : "r2", {"a0", "b0"});
    }
    void publish(const std::string &name, int document)
    {
        const std::string text = "text " + std::to_string(++m_published);
        ConfigDocument content;
        content.name = DocumentName("d" + std::to_string(document));
        content.version = ConfigVersion(static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(m_cluster.wall().time_since_epoch()).count() + m_published));
        content.hash = contentHash(text);
        content.text = text;
        m_cluster.applyDocument(name, content);
    }

    FakeCluster m_cluster;
    std::map<std::string, std::map<DocumentName, ConfigVersion>> m_versions;
    int m_published = 0;
};

class MembershipRandomTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipRandomTest);
    CPPUNIT_TEST(groupRecoversFromAnySequenceOfFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost members, live members that stay dead, and configuration that reverts to an older version or
    // does not reach all members.
    void groupRecoversFromAnySequenceOfFaults()
    {
        CPPUNIT_ASSERT(rc::check("after healing all live members agree", [](std::uint64_t seed) {
            const auto steps = *rc::gen::container<std::vector<Step>>(genStep());
            ClusterModel model(seed);
            for (const auto &step : steps) {
                model.apply(step);
            }
            model.assertRecovers();
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipRandomTest);

} // namespace

} // namespace Geraniumsail
