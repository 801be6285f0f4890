// Tests what a peer's view confirms, when it is read from which peer, and the header field that states it.
#include "lentilbay/Edge/ConfigurationViews.h"

#include "lentilbay/Support/Random.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <set>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start { 100s };
constexpr Duration bound = 5s;

StoreVersion at(uint64_t number, uint64_t era = 1) { return { .era = era, .number = number }; }

TEST(ConfigurationViewField, Survives)
{
    const ConfigurationView view { .covered = at(12, 3), .changed = at(9, 3), .age = 1234567us };
    http::Headers headers;
    addConfigurationView(headers, view);
    EXPECT_EQ(configurationViewOf(headers), view);
}

TEST(ConfigurationViewField, FieldThatCannotBeReadConfirmsNothing)
{
    EXPECT_EQ(configurationViewOf({}), std::nullopt) << "an older build states none";
    for (const auto* it : { "", "1", "1.2", "1.2 3", "1.2 3 ", "1.2 3 -5", "1.2 3 4x", "1,2 3 4", "a.2 3 4",
             "1.99999999999999999999 3 4", "1.2 3 4 5" }) {
        http::Headers headers;
        headers.add("Lentilbay-Configuration-View", it);
        EXPECT_EQ(configurationViewOf(headers), std::nullopt) << it;
    }
}

TEST(ConfigurationViewField, TargetOfACallStatesTheOwnDocument)
{
    EXPECT_EQ(ownHashOf(configurationTarget(0xabc123)), 0xabc123U);
    EXPECT_EQ(ownHashOf("/configuration"), std::nullopt) << "a call of an older build";
    EXPECT_EQ(ownHashOf("/configuration?have="), std::nullopt);
    EXPECT_EQ(ownHashOf("/configuration?have=12x"), std::nullopt);
}

class ConfigurationViewsTest : public testing::Test {
protected:
    PeerTable::Peer peerIn(const std::string& dataCentre)
    {
        PeerTable::Peer out;
        out.incarnation = 1;
        out.isSilent = false;
        out.dataCentre = dataCentre;
        out.configurationVersion = 7;
        return out;
    }

    static Topology topologyOf(const std::string& own)
    {
        return { .ownDataCentre = DataCentreId(own),
            .regions = { { DataCentreId("a"), RegionId("r") }, { DataCentreId("b"), RegionId("s") } } };
    }

    std::map<std::string, PeerTable::Peer> peers { { "near", peerIn("a") }, { "far", peerIn("b") } };
    ConfigurationViews views { "d", topologyOf("a"), bound };
    /// The store does not answer, and peers of this data centre know more.
    ConfigurationViews::Own own { .version = 7, .age = 2s, .isStoreUnreachable = true, .nearAge = 500ms };
};

TEST_F(ConfigurationViewsTest, ViewIsDatedByTheCallAndNotByItsAnswer)
{
    // Guards against a delayed answer that confirms the configuration as of its arrival.
    views.recordAnswer({ .covered = at(5), .changed = at(4), .age = 700ms }, start);
    EXPECT_EQ(views.confirmedAt(), start - 700ms);
    views.recordAnswer({ .covered = at(5), .changed = at(4), .age = 3s }, start + 1s);
    EXPECT_EQ(views.confirmedAt(), start - 700ms) << "an older view than the known one confirms nothing";
}

TEST_F(ConfigurationViewsTest, ViewInAHeartbeatConfirmsOnlyWhatTheConfigurationContains)
{
    EXPECT_FALSE(views.recordView(at(5), at(4), start)) << "no peer's configuration was read";
    views.recordAnswer({ .covered = at(5), .changed = at(4) }, start);
    EXPECT_TRUE(views.recordView(at(9), at(5), start + 1s));
    EXPECT_EQ(views.confirmedAt(), start + 1s);
    EXPECT_TRUE(views.recordView(at(9), at(9), start + 1s)) << "nothing had changed up to version 9";
    EXPECT_FALSE(views.recordView(at(11), at(10), start + 2s)) << "a change that was not read";
    EXPECT_FALSE(views.recordView(at(2, 2), at(1, 2), start + 2s)) << "versions of eras are not comparable";
    EXPECT_EQ(views.confirmedAt(), start + 1s);
    views.recordAnswer({ .covered = at(2, 2), .changed = at(1, 2) }, start + 2s);
    EXPECT_FALSE(views.recordView(at(20), at(1), start + 3s)) << "a peer that does not know the new era";
    views.recordAnswer({ .covered = at(20), .changed = at(1) }, start + 3s);
    EXPECT_EQ(views.confirmedAt(), start + 2s);
    EXPECT_EQ(views.covered(), at(2, 2));
}

TEST_F(ConfigurationViewsTest, LateAnswerOfTheStoreDoesNotReplaceWhatAPeerHasConfirmed)
{
    // Guards against a withdrawn key that is accepted again: of two documents of the same version, the
    // earlier one came last, in a delayed answer of the store, and later views confirmed it as if it were the
    // other.
    EXPECT_FALSE(views.isSuperseded(at(4))) << "no peer's configuration was read";
    views.recordAnswer({ .covered = at(8), .changed = at(6) }, start);
    EXPECT_TRUE(views.isSuperseded(at(4)));
    EXPECT_FALSE(views.isSuperseded(at(8))) << "the newest row itself";
    EXPECT_FALSE(views.isSuperseded(at(9)));
    EXPECT_FALSE(views.isSuperseded(at(2, 2))) << "a row of a later era";
    EXPECT_TRUE(views.recordView(at(12), at(8), start));
    EXPECT_TRUE(views.isSuperseded(at(9)));
}

TEST_F(ConfigurationViewsTest, DaemonWithARecentViewAsksNobody)
{
    own.age = 1400ms;
    EXPECT_FALSE(views.nextSource(peers, own, start));
    // A daemon for which another one reads the store.
    own = { .version = 7, .age = 2400ms };
    EXPECT_FALSE(views.nextSource(peers, own, start));
    own.age = 2800ms;
    EXPECT_TRUE(views.nextSource(peers, own, start)) << "nobody has noticed that the store does not answer";
}

TEST_F(ConfigurationViewsTest, AsksOtherDataCentresIfItsOwnIsCutOff)
{
    EXPECT_EQ(views.nextSource(peers, own, start), "near");
    EXPECT_FALSE(views.nextSource(peers, own, start + 400ms)) << "the call is in progress";
    own.nearAge = own.age;
    EXPECT_EQ(views.nextSource(peers, own, start + 1s), "far");
    peers.erase("far");
    EXPECT_EQ(views.nextSource(peers, own, start + 2s), "near");
}

TEST_F(ConfigurationViewsTest, AsksNoPeerThatCannotConfirm)
{
    peers.erase("far");
    auto& peer = peers["near"];
    const auto asks = [&] { return views.nextSource(peers, own, start).has_value(); };
    peer.isOutdated = true;
    EXPECT_FALSE(asks()) << "cut off itself";
    peer = peerIn("a");
    peer.revision = WireRevision::WindowParts;
    EXPECT_FALSE(asks()) << "answers with the whole document and no view";
    peer = peerIn("a");
    peer.configurationVersion = 6;
    EXPECT_FALSE(asks()) << "has an older configuration";
    peer = peerIn("a");
    peer.isSilent = true;
    EXPECT_FALSE(asks());
    peer = peerIn("a");
    EXPECT_TRUE(asks());
}

TEST_F(ConfigurationViewsTest, PeerThatDoesNotAnswerIsFollowedByAnother)
{
    peers["far2"] = peerIn("b");
    own.nearAge = own.age;
    const auto first = views.nextSource(peers, own, start);
    const auto second = views.nextSource(peers, own, start + 600ms);
    ASSERT_TRUE(first && second);
    EXPECT_NE(*first, *second);
    EXPECT_NE(*second, "near");
}

/// Daemons of which some are cut off from the store, in virtual time. They tell each other their views as
/// heartbeats do, and ask peers as EdgeDaemon does.
class CutOffFleet {
public:
    /// @param changePeriod how often another row of the configuration's table changes; zero for never
    CutOffFleet(size_t daemons, std::set<std::string> cutDataCentres, Duration changePeriod = {})
        : m_cut(std::move(cutDataCentres))
        , m_changePeriod(changePeriod)
    {
        for (size_t i = 0; i < daemons; ++i) {
            const std::string dataCentre = i % 3 == 0 ? "a" : i % 3 == 1 ? "b" : "c";
            const auto name = fmt::format("edge-{}", i);
            const Topology topology { .ownDataCentre = DataCentreId(dataCentre),
                .regions = { { DataCentreId("a"), RegionId("r") }, { DataCentreId("b"), RegionId("r") },
                    { DataCentreId("c"), RegionId("s") } } };
            m_daemons.emplace(name, Daemon { .dataCentre = dataCentre, .views { name, topology, bound } });
        }
    }

    /// Runs for a time in which the configuration does not change.
    void run(Duration duration)
    {
        constexpr Duration step = 200ms;
        for (const auto end = m_now + duration; m_now < end; m_now += step) {
            if (m_changePeriod > Duration::zero() && (m_now - start) % m_changePeriod == Duration::zero())
                ++m_storeVersion;
            for (auto& [name, it] : m_daemons) {
                if (isCut(it))
                    continue;
                // A daemon for which another one reads the store has a view of up to 2.4 s.
                if (m_now - it.confirmedAt >= 2400ms)
                    it.confirmedAt = m_now;
                it.covered = it.changed = m_storeVersion;
            }
            for (auto& [name, it] : m_daemons)
                ask(name, it);
            for (auto& [name, it] : m_daemons)
                maxAge = std::max(maxAge, m_now - it.confirmedAt);
        }
    }

    size_t calls() const { return m_calls; }
    size_t mostCallsOfOnePeer() const
    {
        size_t out = 0;
        for (const auto& [name, it] : m_daemons)
            out = std::max(out, it.served);
        return out;
    }

    Duration maxAge {};

private:
    struct Daemon {
        std::string dataCentre;
        ConfigurationViews views;
        TimePoint confirmedAt = start;
        uint64_t covered = 1;
        uint64_t changed = 1;
        size_t served = 0;
    };

    bool isCut(const Daemon& it) const { return m_cut.contains(it.dataCentre); }

    void ask(const std::string& name, Daemon& it)
    {
        if (!isCut(it))
            return;
        std::map<std::string, PeerTable::Peer> peers;
        TimePoint nearAt {};
        for (const auto& [other, state] : m_daemons) {
            if (other == name)
                continue;
            auto& peer = peers[other];
            peer.incarnation = 1;
            peer.isSilent = false;
            peer.dataCentre = state.dataCentre;
            peer.configurationVersion = 7;
            peer.isOutdated = m_now - state.confirmedAt > 4s;
            if (state.dataCentre != it.dataCentre)
                continue;
            // A heartbeat is up to two periods old.
            const auto heardAt = std::min(state.confirmedAt, m_now - 400ms);
            nearAt = std::max(nearAt, heardAt);
            if (it.views.recordView(at(state.covered), at(state.changed), heardAt))
                confirm(it);
        }
        const ConfigurationViews::Own own {
            .version = 7, .age = m_now - it.confirmedAt, .isStoreUnreachable = true, .nearAge = m_now - nearAt
        };
        const auto source = it.views.nextSource(peers, own, m_now);
        if (!source)
            return;
        ++m_calls;
        auto& peer = m_daemons.at(*source);
        ++peer.served;
        it.views.recordAnswer(
            { .covered = at(peer.covered), .changed = at(peer.changed), .age = m_now - peer.confirmedAt },
            m_now);
        confirm(it);
    }

    static void confirm(Daemon& it)
    {
        it.confirmedAt = std::max(it.confirmedAt, it.views.confirmedAt());
        it.covered = it.views.covered()->number;
        it.changed = it.views.changed().number;
    }

    std::set<std::string> m_cut;
    Duration m_changePeriod;
    std::map<std::string, Daemon> m_daemons;
    TimePoint m_now = start;
    uint64_t m_storeVersion = 1;
    size_t m_calls = 0;
};

TEST(ConfigurationViewsOfAFleet, DataCentreThatIsCutOffVerifiesKeysAtBoundedCost)
{
    CutOffFleet fleet(300, { "a" });
    fleet.run(15s);
    EXPECT_LT(fleet.maxAge, 4600ms);
    // Two daemons read views for the 100 of their data centre, at most every 500 ms.
    EXPECT_LE(fleet.calls(), 160U);
}

TEST(ConfigurationViewsOfAFleet, ChangesOfOtherRowsDoNotRaiseTheCostWithoutBound)
{
    // Each daemon has to learn from a peer that the change is not one of the configuration.
    CutOffFleet fleet(300, { "a" }, 1s);
    fleet.run(15s);
    EXPECT_LT(fleet.maxAge, 4600ms);
    // 100 daemons in 15 s: two calls a second of each would be 3,000.
    EXPECT_LE(fleet.calls(), 2100U);
    EXPECT_LE(fleet.mostCallsOfOnePeer(), 30U);
}

TEST(ConfigurationViewsOfAFleet, DaemonsThatAreAllCutOffConfirmNothingForEachOther)
{
    CutOffFleet fleet(30, { "a", "b", "c" });
    fleet.run(20s);
    EXPECT_GE(fleet.maxAge, 19s);
}

/// Daemons that lose the store and each other's answers at random while keys are withdrawn, in virtual time.
/// Every message states what its sender knew when it was written, and arrives up to some seconds later.
class WithdrawalModel {
public:
    /// @param datesByArrival plays the fault that an answer confirms the configuration as of its arrival
    WithdrawalModel(uint64_t seed, bool datesByArrival)
        : m_random(seed)
        , m_datesByArrival(datesByArrival)
    {
        const Topology topology { .ownDataCentre = DataCentreId("a") };
        for (int i = 0; i < 6; ++i)
            m_nodes.push_back(Node { .views { fmt::format("edge-{}", i), topology, bound } });
    }

    /// Returns how often a daemon would have accepted a withdrawn key too late.
    size_t run()
    {
        for (const auto end = m_now + 40s; m_now < end; m_now += 50ms) {
            for (size_t i = 0; i < m_messages.size();) {
                if (m_messages[i].arrivesAt > m_now) {
                    ++i;
                    continue;
                }
                const auto apply = std::move(m_messages[i].apply);
                m_messages.erase(m_messages.begin() + static_cast<ptrdiff_t>(i));
                apply();
            }
            changeStore();
            for (auto& it : m_nodes)
                step(it);
            for (const auto& it : m_nodes)
                judge(it);
        }
        return m_violations;
    }

private:
    struct Node {
        ConfigurationViews views;
        uint64_t configuration = 1;
        /// Of the table, as StoreFollower has read it.
        uint64_t covered = 1;
        uint64_t changed = 1;
        TimePoint followedAt = start;
        TimePoint confirmedAt = start;
        TimePoint cutUntil {};
    };
    struct Message {
        TimePoint arrivesAt;
        std::function<void()> apply;
    };

    bool isDrawn(double probability) { return m_random.fraction() < probability; }
    Duration delay() { return fromSeconds(m_random.fraction() * (isDrawn(0.2) ? 6 : 0.3)); }
    void send(std::function<void()> apply) { m_messages.push_back({ m_now + delay(), std::move(apply) }); }
    static void confirm(Node& it, TimePoint time) { it.confirmedAt = std::max(it.confirmedAt, time); }

    void changeStore()
    {
        if (isDrawn(0.02))
            m_storeChanged = ++m_storeVersion;
        if (isDrawn(0.01)) {
            m_storeChanged = ++m_storeVersion;
            m_withdrawnAt[++m_configuration] = m_now;
        }
    }

    ConfigurationView viewOf(const Node& it) const
    {
        const auto& read = it.views;
        if (!read.covered() || it.followedAt >= read.confirmedAt())
            return { at(it.covered), at(it.changed), m_now - it.followedAt };
        return { *read.covered(), read.changed(), m_now - read.confirmedAt() };
    }

    void step(Node& it)
    {
        if (isDrawn(0.01))
            it.cutUntil = m_now + fromSeconds(m_random.fraction() * 15);
        if (m_now >= it.cutUntil && isDrawn(0.1))
            readStore(it);
        auto& peer = m_nodes[m_random.below(m_nodes.size())];
        if (&peer == &it)
            return;
        if (isDrawn(0.3))
            hear(it, peer);
        if (isDrawn(0.1))
            ask(it, peer);
    }

    void readStore(Node& it)
    {
        send([&it, sentAt = m_now, configuration = m_configuration, covered = m_storeVersion,
                 changed = m_storeChanged] {
            if (covered < it.covered)
                return;
            it.configuration = std::max(it.configuration, configuration);
            it.covered = covered;
            it.changed = std::max(it.changed, changed);
            it.followedAt = std::max(it.followedAt, sentAt);
            confirm(it, sentAt);
        });
    }

    /// The peer's heartbeat echoes one that this daemon sends now.
    void hear(Node& it, Node& peer)
    {
        send([this, &it, &peer, echoed = m_now] {
            send([&it, echoed, view = viewOf(peer)] {
                const auto time = echoed - view.age;
                if (view.changed.number <= it.covered) {
                    it.covered = std::max(it.covered, view.covered.number);
                    it.followedAt = std::max(it.followedAt, time);
                    confirm(it, time);
                }
                if (it.views.recordView(view.covered, view.changed, time))
                    confirm(it, time);
            });
        });
    }

    void ask(Node& it, Node& peer)
    {
        send([this, &it, &peer, askedAt = m_now] {
            send([this, &it, askedAt, configuration = peer.configuration, view = viewOf(peer)] {
                it.configuration = std::max(it.configuration, configuration);
                it.views.recordAnswer(view, m_datesByArrival ? m_now : askedAt);
                confirm(it, it.views.confirmedAt());
            });
        });
    }

    void judge(const Node& it)
    {
        // A daemon verifies keys for so long; see EdgeState::canVerifyKeys().
        const bool accepts = m_now - it.confirmedAt < 4600ms;
        for (const auto& [version, time] : m_withdrawnAt) {
            if (accepts && it.configuration < version && m_now - time > bound)
                ++m_violations;
        }
    }

    Random m_random;
    bool m_datesByArrival;
    std::vector<Node> m_nodes;
    std::vector<Message> m_messages;
    TimePoint m_now = start;
    uint64_t m_storeVersion = 1;
    uint64_t m_storeChanged = 1;
    uint64_t m_configuration = 1;
    /// By the configuration that withdraws a key.
    std::map<uint64_t, TimePoint> m_withdrawnAt;
    size_t m_violations = 0;
};

TEST(ConfigurationViewsOfAFleet, WithdrawnKeyIsNotAcceptedAfterTheBound)
{
    size_t withFault = 0;
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        EXPECT_EQ(WithdrawalModel(seed, false).run(), 0U) << "seed " << seed;
        withFault += WithdrawalModel(seed, true).run() > 0 ? 1 : 0;
    }
    EXPECT_GE(withFault, 30U) << "the model would not show an answer that is dated by its arrival";
}

} // namespace
} // namespace lentilbay::edge
