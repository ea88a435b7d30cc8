// Tests of the member table and other parts of membership, and of a simulated group under specific faults.
#include "core/rendezvous.h"
#include "fakecluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>

namespace Geraniumsail {

namespace {

using std::chrono::seconds;

MemberRecord record(const std::string &name, std::uint64_t incarnation, std::uint64_t sequence, MemberState state)
{
    MemberRecord result;
    result.name = NodeName(name);
    result.incarnation = Incarnation(incarnation);
    result.sequence = sequence;
    result.dataCentre = DataCentreName("dc");
    result.state = state;
    return result;
}

void startMany(FakeCluster &cluster, const std::string &prefix, int count, const std::string &dataCentre,
               const std::string &region, const std::vector<std::string> &seeds)
{
    for (int i = 0; i < count; ++i) {
        cluster.start(prefix + std::to_string(i), dataCentre, region, seeds);
    }
}

void assertAgreed(FakeCluster &cluster, Duration limit)
{
    const auto took = cluster.runUntilAgreed(limit);
    CPPUNIT_ASSERT_MESSAGE(cluster.disagreement(), took.has_value());
}

class MembershipTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipTest);
    CPPUNIT_TEST(recordsMergeIndependentlyOfOrder);
    CPPUNIT_TEST(tombstonesDoNotChangeDigests);
    CPPUNIT_TEST(losingOneMemberMovesOnlyItsRole);
    CPPUNIT_TEST(updatesAreSentABoundedNumberOfTimes);
    CPPUNIT_TEST(longTickGapIsReportedAsPause);
    CPPUNIT_TEST(groupFormsFromOneSeed);
    CPPUNIT_TEST(killedMemberIsDetected);
    CPPUNIT_TEST(leavingMemberIsKnownBeforeAnyTimeout);
    CPPUNIT_TEST(leavingStateReachesAllMembers);
    CPPUNIT_TEST(pausedMemberRejoins);
    CPPUNIT_TEST(pausedMemberDeclaresNobodyDead);
    CPPUNIT_TEST(oneWayLinkFailureDoesNotRemoveMember);
    CPPUNIT_TEST(partitionedDataCentreMergesAfterHealing);
    CPPUNIT_TEST(fortyMembersRestartAtOnce);
    CPPUNIT_TEST(unreachableDataCentreIsNotDeclaredDead);
    CPPUNIT_TEST(dataCentresFindEachOtherThroughContacts);
    CPPUNIT_TEST(memberRestartedWithEarlierClockRejoins);
    CPPUNIT_TEST(estimatedTicketEpochIsNotAheadOfMember);
    CPPUNIT_TEST(transferIsPaced);
    CPPUNIT_TEST(messagesForAnotherNodeAreNotAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a member record that depends on the order in which updates arrive.
    void recordsMergeIndependentlyOfOrder()
    {
        std::vector<MemberRecord> updates;
        for (std::uint64_t incarnation = 1; incarnation <= 2; ++incarnation) {
            for (std::uint64_t sequence = 1; sequence <= 2; ++sequence) {
                for (const auto state : {MemberState::Alive, MemberState::Suspect, MemberState::Dead}) {
                    updates.push_back(record("a", incarnation, sequence, state));
                }
            }
        }
        Random random(1);
        for (int round = 0; round < 200; ++round) {
            std::shuffle(updates.begin(), updates.end(), random);
            MemberTable table;
            table.apply(record("a", 0, 0, MemberState::Alive), MonotonicTime());
            for (const auto &update : updates) {
                table.apply(update, MonotonicTime());
            }
            CPPUNIT_ASSERT(*table.find(NodeName("a")) == record("a", 2, 2, MemberState::Dead));
        }
    }

    // Guards against digests that differ permanently because nodes remove tombstones at different times.
    void tombstonesDoNotChangeDigests()
    {
        const DataCentreName dc("dc");
        MemberTable left;
        MemberTable right;
        left.apply(record("a", 1, 1, MemberState::Alive), MonotonicTime());
        right.apply(record("a", 1, 1, MemberState::Alive), MonotonicTime());
        left.apply(record("b", 1, 1, MemberState::Alive), MonotonicTime());
        CPPUNIT_ASSERT(left.digest(dc) != right.digest(dc));
        left.apply(record("b", 1, 1, MemberState::Dead), MonotonicTime());
        CPPUNIT_ASSERT_EQUAL(right.digest(dc), left.digest(dc));
        CPPUNIT_ASSERT(right.buckets(dc) == left.buckets(dc));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), left.size());
        left.removeTombstones(MonotonicTime(seconds(3601)), TombstoneRetention);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), left.size());
        CPPUNIT_ASSERT_EQUAL(right.digest(dc), left.digest(dc));
    }

    // Guards against role changes of other members when one member is lost.
    void losingOneMemberMovesOnlyItsRole()
    {
        MemberTable table;
        for (int i = 0; i < 50; ++i) {
            table.apply(record("n" + std::to_string(i), 1, 1, MemberState::Alive), MonotonicTime());
        }
        const auto before = selectLiveByRendezvousHash(table, DataCentreName("dc"), "relay", 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), before.size());
        table.apply(record(before[1].value(), 1, 1, MemberState::Suspect), MonotonicTime());
        const auto after = selectLiveByRendezvousHash(table, DataCentreName("dc"), "relay", 3);
        CPPUNIT_ASSERT(after[0] == before[0] && after[1] == before[2] && after[2] != before[1]);
        CPPUNIT_ASSERT(selectLiveByRendezvousHash(table, DataCentreName("dc"), "watcher", 3) != after);
        CPPUNIT_ASSERT(selectLiveByRendezvousHash(table, DataCentreName("none"), "relay", 3).empty());
    }

    // Guards against updates that are gossiped without end, and against old updates that displace new ones.
    void updatesAreSentABoundedNumberOfTimes()
    {
        DisseminationQueue queue;
        queue.add(NodeName("a"), 490);
        int sent = 0;
        while (!queue.take(1).empty()) {
            ++sent;
            CPPUNIT_ASSERT(sent <= 36);
        }
        CPPUNIT_ASSERT(sent >= 9);
        queue.add(NodeName("old"), 490);
        queue.take(1);
        queue.add(NodeName("new"), 490);
        CPPUNIT_ASSERT(queue.take(1) == std::vector<NodeName>{NodeName("new")});
    }

    void longTickGapIsReportedAsPause()
    {
        PauseDetector detector;
        CPPUNIT_ASSERT(!detector.tick(MonotonicTime(seconds(100))));
        CPPUNIT_ASSERT(!detector.tick(MonotonicTime(seconds(102))));
        CPPUNIT_ASSERT(detector.tick(MonotonicTime(seconds(105))));
        CPPUNIT_ASSERT(!detector.tick(MonotonicTime(seconds(106))));
    }

    // Guards against a join after which a member has only part of the table.
    void groupFormsFromOneSeed()
    {
        FakeCluster cluster(1);
        startMany(cluster, "a", 20, "dc-1", "r", {"a0"});
        assertAgreed(cluster, seconds(30));
        for (const auto &name : cluster.runningMembers()) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), cluster.core(name).membership().watchers().size());
        }
    }

    // Guards against dead members that stay in the table as live. Bound: one probe round over 20 members, 1.5 s of
    // failed probes, 5 s of suspicion and the time to disseminate the update.
    void killedMemberIsDetected()
    {
        FakeCluster cluster(2);
        startMany(cluster, "a", 20, "dc-1", "r", {"a0"});
        assertAgreed(cluster, seconds(30));
        cluster.kill("a7");
        assertAgreed(cluster, seconds(20));
    }

    // Guards against requests to a leaving member that other members remove only after failed probes.
    void leavingMemberIsKnownBeforeAnyTimeout()
    {
        FakeCluster cluster(3);
        startMany(cluster, "a", 20, "dc-1", "r", {"a0"});
        assertAgreed(cluster, seconds(30));
        cluster.leave("a7");
        // Less than ProbeTimeout + IndirectProbeTimeout + SuspicionTimeout.
        assertAgreed(cluster, seconds(6));
        for (const auto &name : cluster.runningMembers()) {
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cluster.core(name).membership().counters().declaredDead);
        }
    }

    // An upstream that drains must be known to all members within a few seconds, and must be usable again afterwards.
    void leavingStateReachesAllMembers()
    {
        FakeCluster cluster(4);
        startMany(cluster, "a", 30, "dc-1", "r", {"a0"});
        assertAgreed(cluster, seconds(30));
        auto &drained = cluster.core("a3").membership();
        drained.setOwnState(MemberState::Leaving, ServiceName("s"), Slots(50), TicketEpoch(1), cluster.now());
        cluster.run(seconds(6));
        for (const auto &name : cluster.runningMembers()) {
            const auto *known = cluster.core(name).membership().table().find(NodeName("a3"));
            CPPUNIT_ASSERT_MESSAGE(name, known->state == MemberState::Leaving && !acceptsNewRequests(*known));
        }
        drained.setOwnState(MemberState::Alive, ServiceName("s"), Slots(50), TicketEpoch(1), cluster.now());
        assertAgreed(cluster, seconds(6));
    }

    // Guards against a member that is declared dead while it is paused and stays dead after it resumes.
    void pausedMemberRejoins()
    {
        FakeCluster cluster(5);
        startMany(cluster, "a", 12, "dc-1", "r", {"a0"});
        assertAgreed(cluster, seconds(30));
        cluster.pause("a4", seconds(60));
        cluster.run(seconds(50));
        CPPUNIT_ASSERT(!cluster.disagreement().empty());
        cluster.run(seconds(10));
        assertAgreed(cluster, seconds(20));
        CPPUNIT_ASSERT(cluster.core("a4").membership().counters().pauses > 0);
    }

    // Guards against a resumed process that counts its own pause as missing replies of the other members.
    void pausedMemberDeclaresNobodyDead()
    {
        FakeCluster cluster(6);
        startMany(cluster, "a", 12, "dc-1", "r", {"a0"});
        assertAgreed(cluster, seconds(30));
        for (int i = 0; i < 20; ++i) {
            cluster.pause("a4", std::chrono::milliseconds(2500 + 700 * i));
            cluster.run(seconds(30));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cluster.core("a4").membership().counters().declaredDead);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), cluster.core("a4").membership().counters().suspected);
    }

    // Guards against the removal of a healthy member because one other member cannot reach it.
    void oneWayLinkFailureDoesNotRemoveMember()
    {
        FakeCluster cluster(7);
        startMany(cluster, "a", 8, "dc-1", "r", {"a0"});
        assertAgreed(cluster, seconds(30));
        cluster.cutLink("a1", "a2");
        cluster.run(seconds(120));
        CPPUNIT_ASSERT_EQUAL(std::string(), cluster.disagreement());
    }

    // Guards against two sides of a partition that have marked each other dead and never probe each other again.
    void partitionedDataCentreMergesAfterHealing()
    {
        FakeCluster cluster(8);
        startMany(cluster, "a", 6, "dc-1", "r", {"a0"});
        startMany(cluster, "b", 6, "dc-1", "r", {"a0"});
        assertAgreed(cluster, seconds(30));
        for (int i = 0; i < 6; ++i) {
            for (int j = 0; j < 6; ++j) {
                cluster.cutLink("a" + std::to_string(i), "b" + std::to_string(j));
                cluster.cutLink("b" + std::to_string(j), "a" + std::to_string(i));
            }
        }
        cluster.run(seconds(120));
        CPPUNIT_ASSERT(cluster.core("a1").membership().table().find(NodeName("b1"))->state == MemberState::Dead);
        cluster.heal();
        assertAgreed(cluster, seconds(60));
    }

    // Guards against a group that does not converge after many members rejoin at once, as after a rack failure.
    void fortyMembersRestartAtOnce()
    {
        FakeCluster cluster(9);
        startMany(cluster, "a", 80, "dc-1", "r", {"a0", "a1"});
        assertAgreed(cluster, seconds(60));
        for (int i = 20; i < 60; ++i) {
            cluster.kill("a" + std::to_string(i));
        }
        cluster.run(seconds(3));
        startMany(cluster, "a", 60, "dc-1", "r", {"a0", "a1", "a70"});
        assertAgreed(cluster, seconds(60));
    }

    // Guards against a partition between data centres after which all members of the other side are declared dead.
    void unreachableDataCentreIsNotDeclaredDead()
    {
        FakeCluster cluster(10);
        startMany(cluster, "a", 8, "dc-1", "r1", {"a0"});
        startMany(cluster, "b", 8, "dc-2", "r1", {"a0"});
        startMany(cluster, "c", 8, "dc-3", "r2", {"a0"});
        assertAgreed(cluster, seconds(90));
        cluster.partitionDataCentres("dc-1", "dc-2");
        cluster.partitionDataCentres("dc-1", "dc-3");
        // Members must survive a partition of one hour.
        cluster.run(seconds(3600));
        CPPUNIT_ASSERT_EQUAL(std::string(), cluster.disagreement());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), cluster.core("a5").membership().unreachable(cluster.wall()).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.core("b5").membership().unreachable(cluster.wall()).size());
        cluster.kill("a3");
        cluster.start("b9", "dc-2", "r1", {"b0"});
        cluster.run(seconds(30));
        cluster.heal();
        assertAgreed(cluster, seconds(60));
        cluster.run(seconds(60));
        CPPUNIT_ASSERT(cluster.core("a5").membership().unreachable(cluster.wall()).empty());
    }

    // Guards against data centres that stay separate because their seeds list only their own members.
    void dataCentresFindEachOtherThroughContacts()
    {
        FakeCluster cluster(11);
        startMany(cluster, "a", 4, "dc-1", "r1", {"a0"});
        startMany(cluster, "b", 4, "dc-2", "r2", {"b0"});
        cluster.run(seconds(30));
        CPPUNIT_ASSERT(!cluster.disagreement().empty());
        for (const auto &name : cluster.runningMembers()) {
            cluster.core(name).membership().setContacts({Address("a1"), Address("b1")});
        }
        assertAgreed(cluster, seconds(60));
    }

    // Guards against a restarted process that all others ignore, because its clock was set back and its incarnation is
    // lower than before the restart.
    void memberRestartedWithEarlierClockRejoins()
    {
        FakeCluster cluster(12);
        startMany(cluster, "a", 5, "dc-1", "r", {"a0"});
        assertAgreed(cluster, seconds(30));
        MemberRecord former = cluster.core("a2").membership().self();
        former.incarnation = Incarnation(former.incarnation.value() + (std::uint64_t(3'600'000) << 20U));
        former.sequence = 77;
        SyncMessage message;
        message.to = NodeName("a1");
        message.self = former;
        cluster.core("a1").onRequest(message, cluster.now(), cluster.wall(), cluster.randomSource());
        cluster.run(seconds(20));
        CPPUNIT_ASSERT(cluster.core("a2").membership().self().incarnation > former.incarnation);
        CPPUNIT_ASSERT_EQUAL(std::string(), cluster.disagreement());
    }

    // Guards against tickets for an epoch that the member has not reached, and against an estimate that does not
    // advance while the record is unchanged.
    void estimatedTicketEpochIsNotAheadOfMember()
    {
        Random random(1);
        const WallTime start{std::chrono::hours(480'000)};
        MemberRecord member = record("a", 0, 1, MemberState::Alive);
        member.incarnation = makeIncarnation(start, random);
        member.epoch = TicketEpoch(1);
        for (int second = -100; second < 1000; ++second) {
            const auto own = static_cast<std::uint64_t>(1 + std::max(0, second) / 60);
            const auto estimate = ticketEpochOf(member, seconds(60), start + seconds(second)).value();
            CPPUNIT_ASSERT(estimate >= 1 && estimate <= own && estimate + 1 >= own);
        }
    }

    // Guards against a join that exceeds a node's limit of control traffic.
    void transferIsPaced()
    {
        MemberTransfer transfer;
        transfer.wantBuckets(DataCentreName("other"), {0}, NodeName("s"));
        transfer.wantBuckets(DataCentreName("own"), {0, 1}, NodeName("s"));
        transfer.wantService(ServiceName("bookings"));
        std::size_t records = 0;
        MonotonicTime now;
        bool first = true;
        for (int i = 0; i < 600; ++i, now += std::chrono::milliseconds(100)) {
            const auto fetch = transfer.nextFetch(DataCentreName("own"), now);
            if (!fetch) {
                continue;
            }
            CPPUNIT_ASSERT(!transfer.nextFetch(DataCentreName("own"), now));
            CPPUNIT_ASSERT_EQUAL(first, !fetch->request.services.empty());
            MembersReply reply;
            reply.records.resize(fetch->request.limit, record("n", 1, 1, MemberState::Alive));
            reply.more = !first;
            first = false;
            records += reply.records.size();
            transfer.onReply(fetch->request, reply);
        }
        const double bytes = static_cast<double>(records) * TransferRecordBytes;
        CPPUNIT_ASSERT(bytes <= 61 * TransferBytesPerSecond);
        CPPUNIT_ASSERT(bytes >= 50 * TransferBytesPerSecond);
    }

    // Guards against a former member that stays alive because another member now answers probes at its address.
    void messagesForAnotherNodeAreNotAnswered()
    {
        FakeCluster cluster(13);
        cluster.start("a", "dc-1", "r", {});
        SyncMessage message;
        message.to = NodeName("b");
        message.self = record("c", 1, 1, MemberState::Alive);
        const auto handled =
            cluster.core("a").onRequest(message, cluster.now(), cluster.wall(), cluster.randomSource());
        CPPUNIT_ASSERT(!handled.reply);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace

} // namespace Geraniumsail
