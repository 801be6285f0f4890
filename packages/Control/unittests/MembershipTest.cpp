// Membership in virtual time: joining, death, false suspicion, leaving, restart, pause, partition, digests.
#include "MemberNetwork.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

std::string nameOf(const std::string& dataCentre, int number)
{
    return fmt::format("{}-{}", dataCentre, number);
}

/// Starts `count` daemons of one data centre, with the first of them as the default seed.
void startDataCentre(MemberNetwork& network, const std::string& region, const std::string& dataCentre,
    int count, std::vector<std::string> seeds = {})
{
    if (seeds.empty())
        seeds.push_back(nameOf(dataCentre, 0));
    for (int i = 0; i < count; ++i)
        network.start(nameOf(dataCentre, i), region, dataCentre, seeds);
}

int countAt(MemberNetwork& network, const std::string& observer, MemberStatus status)
{
    int count = 0;
    for (const auto& [id, member] : network.node(observer).blackboard.members)
        count += member.status == status ? 1 : 0;
    return count;
}

TEST(Membership, AllDaemonsOfARegionDiscoverEachOther)
{
    MemberNetwork network({ .seed = 1, .loss = 0.05, .duplication = 0.05, .maxDelay = 30ms });
    startDataCentre(network, "r", "a", 16);
    startDataCentre(network, "r", "b", 8, { "a-0" });
    network.run(10s);
    for (const auto& [address, node] : network.nodes) {
        EXPECT_EQ(countAt(network, node->blackboard.self.text(), MemberStatus::Alive), 24) << address;
        EXPECT_TRUE(node->membership->joined());
    }
}

TEST(Membership, EveryDaemonDetectsADeathWithinThreeSeconds)
{
    Duration slowest {};
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        MemberNetwork network({ .seed = seed, .loss = 0.02, .duplication = 0.02, .maxDelay = 20ms });
        startDataCentre(network, "r", "a", 16);
        network.run(8s + Duration(seed * 7000));
        network.node("a-5").running = false;
        const auto died = network.now;
        const auto noticed = [&] {
            for (int i = 0; i < 16; ++i) {
                if (i != 5 && network.statusAt(nameOf("a", i), "a-5") != MemberStatus::Dead)
                    return false;
            }
            return true;
        };
        while (!noticed() && network.now - died < 10s)
            network.run(10ms);
        slowest = std::max(slowest, network.now - died);
        EXPECT_LT(network.now - died, Duration(3s)) << "seed " << seed;
    }
    RecordProperty("slowestMilliseconds", static_cast<int>(toMilliseconds(slowest)));
}

TEST(Membership, ADaemonWithASinglePeerDetectsItsDeath)
{
    MemberNetwork network({ .seed = 3 });
    startDataCentre(network, "r", "a", 2);
    network.run(5s);
    network.node("a-1").running = false;
    network.run(3s);
    EXPECT_EQ(network.statusAt("a-0", "a-1"), MemberStatus::Dead);
}

/// The number of false death reports in one hour with 16 running daemons.
uint64_t countFalseDeaths(double loss)
{
    MemberNetwork network({ .seed = 11, .loss = loss, .duplication = 0.02, .maxDelay = 20ms });
    startDataCentre(network, "r", "a", 16);
    network.run(1h);
    uint64_t deaths = 0;
    for (const auto& [address, node] : network.nodes)
        deaths += node->membership->counters().deaths;
    return deaths;
}

TEST(Membership, FivePercentLossCausesNoFalseDeaths) { EXPECT_EQ(countFalseDeaths(0.05), 0U); }

TEST(Membership, TheFleetRecoversFromHeavyLoss)
{
    MemberNetwork network({ .seed = 12, .loss = 0.4, .maxDelay = 20ms });
    startDataCentre(network, "r", "a", 8);
    network.run(60s);
    network.options.loss = 0.05;
    // Each daemon retries one dead daemon every ten seconds, and the reply spreads by gossip.
    int alive = 0;
    for (int i = 0; i < 120 && alive < 8 * 8; ++i) {
        network.run(1s);
        alive = 0;
        for (int n = 0; n < 8; ++n)
            alive += countAt(network, nameOf("a", n), MemberStatus::Alive);
    }
    EXPECT_EQ(alive, 8 * 8);
}

TEST(Membership, LeavingIsAnnouncedAndNotReverted)
{
    MemberNetwork network({ .seed = 4 });
    startDataCentre(network, "r", "a", 6);
    network.run(5s);
    network.node("a-2").membership->announceLeaving(network.now);
    network.collect();
    network.run(50ms);
    for (const int i : { 0, 1, 3, 4, 5 })
        EXPECT_EQ(network.statusAt(nameOf("a", i), "a-2"), MemberStatus::Leaving);
    network.run(60s);
    EXPECT_EQ(network.statusAt("a-0", "a-2"), MemberStatus::Leaving);
    network.node("a-2").membership->announceStopped(network.now);
    network.collect();
    network.run(50ms);
    EXPECT_EQ(network.statusAt("a-0", "a-2"), MemberStatus::Dead);
}

TEST(Membership, ARestartHasAHigherIncarnation)
{
    MemberNetwork network({ .seed = 5 });
    startDataCentre(network, "r", "a", 4);
    network.run(5s);
    network.start("a-3", "r", "a", { "a-0" }, 2);
    network.run(3s);
    const auto& seen = network.node("a-1").blackboard.members.at(DaemonId("a-3"));
    EXPECT_EQ(seen.incarnation, 2U);
    EXPECT_EQ(seen.status, MemberStatus::Alive);
}

TEST(Membership, ARestartWithALowerIncarnationRaisesIt)
{
    MemberNetwork network({ .seed = 6 });
    startDataCentre(network, "r", "a", 3);
    network.start("a-9", "r", "a", { "a-0" }, 50);
    network.run(5s);
    network.node("a-9").running = false;
    network.run(5s);
    network.start("a-9", "r", "a", { "a-0" }, 7);
    network.run(15s);
    EXPECT_EQ(network.node("a-9").membership->incarnation(), 51U);
    EXPECT_EQ(network.node("a-0").blackboard.members.at(DaemonId("a-9")).incarnation, 51U);
    EXPECT_EQ(network.statusAt("a-0", "a-9"), MemberStatus::Alive);
}

/// One controller whose only peer, d1, is played by the test.
struct ProbingDaemon {
    ProbingDaemon()
    {
        blackboard.self = DaemonId("d0");
        blackboard.region = RegionId("r");
        blackboard.dataCentre = DataCentreId("a");
        membership = std::make_unique<MembershipController>(
            blackboard, MembershipOptions { .seed = 1, .address = "addr:d0" }, now);
    }

    /// A process of d1 reports itself.
    void hear(uint64_t incarnation)
    {
        const MemberUpdate update { .id = DaemonId("d1"),
            .region = blackboard.region,
            .dataCentre = blackboard.dataCentre,
            .address = "addr:d1",
            .incarnation = incarnation };
        membership->receive(update.id, update.address, StateExchange { .members = { update } }, now);
    }

    /// Steps at each wake until `end`; returns whether a probe was sent.
    bool runUntil(TimePoint end)
    {
        while (membership->nextWake() <= end) {
            now = std::max(now, membership->nextWake());
            membership->step(now);
        }
        now = end;
        bool probed = false;
        for (const auto& it : std::exchange(blackboard.outbox, {}))
            probed = probed || std::holds_alternative<Probe>(it.message);
        return probed;
    }

    MemberStatus status() { return blackboard.members.at(DaemonId("d1")).status; }

    Blackboard blackboard;
    TimePoint now { 1000s };
    std::unique_ptr<MembershipController> membership;
};

TEST(Membership, ARestartedDaemonWasSuspectedForAProbeOfItsFormerProcess)
{
    ProbingDaemon daemon;
    daemon.hear(1);
    while (!daemon.runUntil(daemon.now + 1ms)) { }
    const auto probed = daemon.now;
    daemon.runUntil(probed + 197ms);
    daemon.hear(2);
    daemon.runUntil(probed + 210ms);
    EXPECT_EQ(daemon.status(), MemberStatus::Alive);
    EXPECT_EQ(daemon.membership->counters().suspicions, 0U);
}

TEST(Membership, ARestartedDaemonThatDoesNotAnswerItsOwnProbesIsSuspectedAndDies)
{
    ProbingDaemon daemon;
    daemon.hear(1);
    while (!daemon.runUntil(daemon.now + 1ms)) { }
    const auto probed = daemon.now;
    daemon.runUntil(probed + 197ms);
    daemon.hear(2);
    // The new process is probed at 200 ms.
    daemon.runUntil(probed + 410ms);
    EXPECT_EQ(daemon.status(), MemberStatus::Suspect);
    EXPECT_EQ(daemon.blackboard.members.at(DaemonId("d1")).incarnation, 2U);
    daemon.runUntil(probed + 1410ms);
    EXPECT_EQ(daemon.status(), MemberStatus::Dead);
}

/// A probe sent to a daemon while it is only suspected is still unanswered when that daemon is back.
TEST(Membership, ARestartWasReportedAsAliveTwice)
{
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        MemberNetwork network({ .seed = seed });
        startDataCentre(network, "r", "a", 3);
        network.run(5s + Duration(seed * 7000));
        network.node("a-2").running = false;
        const auto hasDied = [&](int observer) {
            return network.statusAt(nameOf("a", observer), "a-2") == MemberStatus::Dead;
        };
        while (!hasDied(0) || !hasDied(1))
            network.run(10ms);
        network.start("a-2", "r", "a", { "a-0" }, 2);
        network.run(3s);
        for (int i = 0; i < 2; ++i) {
            const auto changes = network.node(nameOf("a", i)).membership->takeChanges();
            const auto count = [&](Event event) {
                return std::count(changes.begin(), changes.end(), MembershipChange { event, "a-2" });
            };
            EXPECT_EQ(count(Event::DaemonAlive), 2) << "seed " << seed << " observer " << i;
            EXPECT_EQ(count(Event::DaemonSuspected), 1) << "seed " << seed << " observer " << i;
        }
    }
}

TEST(Membership, AResumedDaemonCausesNoFalseDeaths)
{
    MemberNetwork network({ .seed = 7 });
    startDataCentre(network, "r", "a", 6);
    network.run(5s);
    network.node("a-4").paused = true;
    network.run(30s);
    EXPECT_EQ(network.statusAt("a-0", "a-4"), MemberStatus::Dead);
    network.node("a-4").paused = false;
    const auto before = network.node("a-4").membership->counters().deaths;
    network.run(12s);
    EXPECT_EQ(network.node("a-4").membership->counters().deaths, before);
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(countAt(network, nameOf("a", i), MemberStatus::Alive), 6) << i;
}

TEST(Membership, AWrongHostListHasNoEffect)
{
    MemberNetwork network({ .seed = 8 });
    startDataCentre(network, "r", "a", 3);
    network.run(5s);
    network.node("a-0").membership->addSeeds({ "addr:gone", "addr:a-1" });
    network.run(60s);
    EXPECT_EQ(countAt(network, "a-0", MemberStatus::Alive), 3);
    EXPECT_EQ(network.node("a-0").blackboard.members.size(), 3U);
}

class MembershipPartition : public testing::TestWithParam<uint64_t> { };

TEST_P(MembershipPartition, HealsAfterAnHourWithoutAMessageStorm)
{
    MemberNetwork network({ .seed = GetParam() });
    startDataCentre(network, "r", "a", 8);
    startDataCentre(network, "r", "b", 8, { "a-0" });
    network.run(10s);
    bool cut = true;
    network.reaches = [&cut](const MemberNetwork::Node& from, const MemberNetwork::Node& to) {
        return !cut || from.blackboard.dataCentre == to.blackboard.dataCentre;
    };
    network.run(1h);
    EXPECT_EQ(countAt(network, "a-0", MemberStatus::Dead), 8);
    std::map<std::string, uint64_t> sentBefore;
    for (const auto& [address, node] : network.nodes)
        sentBefore[address] = node->messagesSent;
    cut = false;
    network.run(15s);
    for (const auto& [address, node] : network.nodes) {
        EXPECT_EQ(countAt(network, node->blackboard.self.text(), MemberStatus::Alive), 16) << address;
        // An idle daemon sends about ten messages per second.
        EXPECT_LT(node->messagesSent - sentBefore[address], 250U) << address;
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, MembershipPartition, testing::Range<uint64_t>(9, 13));

TEST(Membership, DigestsDescribeOtherRegions)
{
    MemberNetwork network({ .seed = 10, .loss = 0.02, .maxDelay = 15ms });
    for (int i = 0; i < 6; ++i)
        startDataCentre(network, fmt::format("r{}", i / 2), fmt::format("d{}", i), 4, { "d0-0" });
    network.run(60s);
    for (const auto& [address, node] : network.nodes) {
        const auto digests = node->membership->digests(network.now);
        EXPECT_EQ(digests.size(), 5U) << address;
        for (const auto& it : digests) {
            EXPECT_EQ(it.liveDaemons, 4)
                << address << " of " << it.dataCentre.text() << " age " << it.ageMilliseconds;
            EXPECT_EQ(it.contacts.size(), 3U) << address;
        }
        // All daemons of its own region, and three contacts of each of the four data centres in other
        // regions.
        EXPECT_EQ(node->blackboard.members.size(), 8U + 12U) << address;
    }
    for (int i = 0; i < 4; ++i)
        network.node(nameOf("d5", i)).running = false;
    network.node("d3-2").running = false;
    network.run(60s);
    EXPECT_EQ(network.statusAt("d0-1", "d5-0"), MemberStatus::Dead);
    for (const auto& it : network.node("d0-1").membership->digests(network.now)) {
        if (it.dataCentre == DataCentreId("d3")) {
            EXPECT_EQ(it.liveDaemons, 3);
        }
    }
    const auto changes = network.node("d0-1").membership->takeChanges();
    EXPECT_NE(std::find(changes.begin(), changes.end(), MembershipChange { Event::DataCentreSilent, "d5" }),
        changes.end());
}

} // namespace
} // namespace lentilbay
