// Tests what a peer's view confirms, when it is read from which peer, and the header field that states it.
#include "lentilbay/Edge/ConfigurationViews.h"

#include "lentilbay/Edge/ActiveConfiguration.h"
#include "lentilbay/Edge/ConfigurationCatchUp.h"
#include "lentilbay/Edge/TableReplica.h"
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

TEST(ConfigurationViewField, ViewOfATableThatIsNotCompleteIsNone)
{
    EXPECT_EQ(configurationViewOf(TableView { .coveredVersion = 3, .changedVersion = 2 }, 1), std::nullopt);
    const TableView table { .coveredVersion = 3, .changedVersion = 2, .ageMicroseconds = 7 };
    EXPECT_EQ(configurationViewOf(table, 5),
        (ConfigurationView { .covered = at(3, 5), .changed = at(2, 5), .age = 7us }));
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

/// Daemons that lose the store and each other's answers at random while keys are withdrawn and the store
/// comes back from older copies and daemons are restarted, in virtual time. Every message states what its
/// sender knew when it was written, and arrives up to some seconds later. One daemon is of a build that
/// cannot decode all documents.
class WithdrawalModel {
public:
    enum class Fault : uint8_t {
        None,
        /// An answer confirms the configuration as of its arrival.
        DatesByArrival,
        /// An answer without a document confirms whatever is in force when it arrives.
        ConfirmsAnotherDocument,
        /// A daemon states a view of rows that its configuration does not contain.
        StatesViewOfInvalidRow,
        /// A row of an older copy replaces a document of the same version.
        RestoresCopiedRow,
        /// The store's answers confirm what it has lost and not got back yet.
        TrustsCopyAtOnce,
        /// The store confirms a configuration although a peer is known to have a newer one.
        IgnoresKnownVersion,
        /// A daemon that starts in a later era takes the store's first answer for complete.
        TrustsCopyAtStart,
    };

    WithdrawalModel(uint64_t seed, Fault fault, bool hasRestarts)
        : m_random(seed)
        , m_fault(fault)
        , m_hasRestarts(hasRestarts)
    {
        for (int i = 0; i < 6; ++i) {
            m_nodes.push_back(nodeOf(fmt::format("edge-{}", i), true));
            m_nodes.back().canDecodeAll = i != 0;
        }
        for (auto& it : m_nodes)
            applyStore(it, answer(it), m_now);
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
            restartOne();
            for (auto& it : m_nodes)
                step(it);
            for (auto& it : m_nodes)
                judge(it);
        }
        return m_violations;
    }

    /// How many of the judged moments a daemon could verify keys in.
    double verifiedFraction() const
    {
        return static_cast<double>(m_verified) / static_cast<double>(m_judged);
    }

private:
    /// What the operator has written; it withdraws a key that all other texts accept.
    struct Document {
        std::string text = "0";
        uint64_t version = 1;
        bool needsNewBuild = false;
        TimePoint writtenAt = start;
    };
    struct Store {
        uint64_t era = 1;
        uint64_t version = 1;
        size_t document = 0;
        /// The versions of the row with the configuration and of another one.
        uint64_t row = 1;
        uint64_t otherRow = 0;
    };
    struct Node {
        std::string name;
        ConfigurationViews views;
        ConfigurationCatchUp catchUp;
        bool canDecodeAll = true;
        /// How often it was restarted; what was sent to it before is lost.
        uint64_t restarts = 0;
        ActiveConfiguration active {};
        TableReplica replica { TableReplicaOptions { .rowOfEachEra = "config" } };
        uint64_t era = 0;
        TimePoint followedAt {};
        TimePoint confirmedAt {};
        TimePoint cutUntil {};
        /// When it first knew that a peer has a version.
        std::map<uint64_t, TimePoint> knownAt {};
    };
    struct Message {
        TimePoint arrivesAt;
        std::function<void()> apply;
    };
    struct Answer {
        uint64_t era = 0;
        /// The era of the position from which the call asked; std::nullopt if it had none.
        std::optional<uint64_t> positionEra;
        platform::StoreRows rows;
    };

    bool isDrawn(double probability) { return m_random.fraction() < probability; }
    Duration delay() { return fromSeconds(m_random.fraction() * (isDrawn(0.2) ? 6 : 0.3)); }
    void send(std::function<void()> apply) { m_messages.push_back({ m_now + delay(), std::move(apply) }); }
    /// Sends an answer to a call that the daemon made when it had been restarted so often.
    void answerTo(const Node& it, uint64_t restarts, std::function<void()> apply)
    {
        send([&it, restarts, apply = std::move(apply)] {
            if (it.restarts == restarts)
                apply();
        });
    }
    static Node nodeOf(const std::string& name, bool isSettled)
    {
        return Node { .name = name,
            .views { name, Topology { .ownDataCentre = DataCentreId("a") }, bound },
            .catchUp = ConfigurationCatchUp({ .daemon = name, .isSettled = isSettled }) };
    }
    /// When a text was written last.
    size_t newestWith(const std::string& text) const
    {
        size_t i = m_documents.size() - 1;
        while (m_documents[i].text != text)
            --i;
        return i;
    }
    uint64_t versionOf(const Node& it) const { return m_documents[newestWith(it.active.text())].version; }

    void confirm(Node& it, TimePoint time) const
    {
        const auto known = m_fault == Fault::IgnoresKnownVersion ? 0 : it.catchUp.newestKnown(m_now);
        if (it.active.mayConfirm(time, known))
            it.confirmedAt = std::max(it.confirmedAt, time);
    }

    void write(size_t document)
    {
        m_store.row = ++m_store.version;
        m_store.document = document;
    }

    void changeStore()
    {
        m_history.emplace_back(m_now, m_store);
        if (isDrawn(0.02))
            m_store.otherRow = ++m_store.version;
        if (isDrawn(0.01)) {
            auto document = m_documents.back();
            const auto version = document.version + (isDrawn(0.5) ? 0 : 1);
            const auto former = m_documents.size() < 2 ? document : m_documents[m_documents.size() - 2];
            if (former.version == version && isDrawn(0.4))
                document = former;
            else
                document = { .text = std::to_string(m_documents.size()),
                    .version = version,
                    .needsNewBuild = isDrawn(0.2) };
            document.writtenAt = m_now;
            m_documents.push_back(document);
            write(m_documents.size() - 1);
        }
        if (isDrawn(0.006)) {
            const auto copiedAt = m_now - fromSeconds(m_random.fraction() * 8);
            const auto copy
                = std::ranges::find_if(m_history, [&](const auto& it) { return it.first >= copiedAt; });
            const auto era = m_store.era + 1;
            m_store = copy->second;
            m_store.era = era;
            m_rewriteAt = m_now + fromSeconds(m_random.fraction() * 2);
        }
        if (m_now >= m_rewriteAt) {
            m_rewriteAt = TimePoint::max();
            if (m_documents[m_store.document].text != m_documents.back().text)
                write(m_documents.size() - 1);
        }
    }

    std::optional<ConfigurationView> viewOf(const Node& it) const
    {
        const auto& read = it.views;
        const auto covered = it.replica.covered();
        if (read.covered() && read.covered()->era == it.era
            && (!covered || it.followedAt < read.confirmedAt()))
            return ConfigurationView { *read.covered(), read.changed(), m_now - read.confirmedAt() };
        if (!covered)
            return std::nullopt;
        return ConfigurationView { *covered, at(it.replica.changed().number, it.era), m_now - it.followedAt };
    }

    void enterEra(Node& it, uint64_t era)
    {
        if (era <= it.era)
            return;
        const bool isStart = it.era == 0;
        const bool mayBeCopy = era > 1 && m_fault != Fault::TrustsCopyAtOnce;
        if (mayBeCopy && !(isStart && m_fault == Fault::TrustsCopyAtStart))
            it.active.enterEra(m_now);
        it.era = era;
        it.replica.enterEra(era);
    }

    /// Restarts a daemon, which reads the store at once. Not the one that cannot decode all documents: it
    /// might have none in force, and verify no keys.
    void restartOne()
    {
        if (!m_hasRestarts || !isDrawn(0.01))
            return;
        auto& it = m_nodes[1 + m_random.below(m_nodes.size() - 1)];
        const auto restarts = it.restarts + 1;
        it = nodeOf(it.name, false);
        it.restarts = restarts;
        applyStore(it, answer(it), m_now);
        it.catchUp.storeRead(m_store.era > 1, m_now);
    }

    void step(Node& it)
    {
        if (isDrawn(0.01))
            it.cutUntil = m_now + fromSeconds(m_random.fraction() * 15);
        if (m_now >= it.cutUntil && isDrawn(0.1))
            answerTo(it, it.restarts,
                [this, &it, sentAt = m_now, answer = answer(it)] { applyStore(it, answer, sentAt); });
        auto& peer = m_nodes[m_random.below(m_nodes.size())];
        if (&peer == &it)
            return;
        if (isDrawn(0.3))
            hear(it, peer);
        if (isDrawn(0.1))
            ask(it, peer);
    }

    Answer answer(const Node& it) const
    {
        const auto covered = it.replica.covered();
        Answer out { .era = m_store.era };
        if (covered)
            out.positionEra = covered->era;
        out.rows.version = at(m_store.version, m_store.era);
        const auto add = [&](const std::string& key, uint64_t number, const std::string& value) {
            if (number > 0 && (!covered || number > covered->number))
                out.rows.rows.push_back({ .key = key, .value = value, .version = at(number, m_store.era) });
        };
        add("config", m_store.row, m_documents[m_store.document].text);
        add("other", m_store.otherRow, std::to_string(m_store.otherRow));
        return out;
    }

    void applyStore(Node& it, const Answer& answer, TimePoint sentAt)
    {
        enterEra(it, answer.era);
        // What follows a position of another era, or none, does not follow from the present one. A daemon
        // that enters an era drops its calls.
        if (answer.era < it.era || answer.positionEra.value_or(it.era) != it.era
            || answer.positionEra.has_value() != it.replica.covered().has_value())
            return;
        const bool isFromSnapshot = !answer.positionEra && m_fault != Fault::RestoresCopiedRow;
        for (const auto& change : it.replica.apply(answer.rows, m_now)) {
            if (change.row.key != "config")
                continue;
            const auto row = change.row.version;
            take(it, change.row.value, [&](const auto& document) {
                return it.active.applyRow(document, { row, it.views.isSuperseded(row), isFromSnapshot });
            });
        }
        it.followedAt = std::max(it.followedAt, sentAt);
        confirm(it, sentAt);
    }

    /// Decodes a document and applies it; returns whether the configuration in force contains its changes.
    bool take(Node& it, const std::string& text, const auto& apply)
    {
        const auto& document = m_documents[newestWith(text)];
        const bool isDecoded = it.canDecodeAll || !document.needsNewBuild;
        const ActiveConfiguration::Outcome outcome = apply(ActiveConfiguration::Document {
            text, isDecoded ? std::optional(document.version) : std::nullopt });
        return outcome != ActiveConfiguration::Outcome::Invalid
            && outcome != ActiveConfiguration::Outcome::Kept;
    }

    /// The peer's heartbeat echoes one that this daemon sends now.
    void hear(Node& it, Node& peer)
    {
        send([this, &it, &peer, echoed = m_now, restarts = it.restarts] {
            answerTo(it, restarts,
                [this, &it, &peer, echoed, version = versionOf(peer), era = peer.era, view = viewOf(peer)] {
                    it.catchUp.recordPeer(peer.name, Locality::OwnDataCentre, version, m_now);
                    enterEra(it, era);
                    if (!view || view->covered.era != it.era)
                        return;
                    const auto time = echoed - view->age;
                    if (it.replica.covered() && it.replica.applyPeerView(view->covered, view->changed)) {
                        it.followedAt = std::max(it.followedAt, time);
                        confirm(it, time);
                    }
                    if (it.views.recordView(view->covered, view->changed, time))
                        confirm(it, time);
                });
        });
    }

    void ask(Node& it, Node& peer)
    {
        send([this, &it, &peer, restarts = it.restarts,
                 call = ConfigurationCall { m_now, it.active.hash() }] {
            const bool states = peer.active.containsRow() || m_fault == Fault::StatesViewOfInvalidRow;
            const bool isSame = call.ownHash == peer.active.hash();
            answerTo(it, restarts,
                [this, &it, call, era = peer.era, text = isSame ? std::string() : peer.active.text(),
                    view = states ? viewOf(peer) : std::nullopt] { applyAnswer(it, call, era, text, view); });
        });
    }

    void applyAnswer(Node& it, const ConfigurationCall& call, uint64_t era, const std::string& text,
        const std::optional<ConfigurationView>& stated)
    {
        if (stated)
            enterEra(it, era);
        const auto view = stated && stated->covered.era == it.era ? stated : std::nullopt;
        const auto own = std::max(it.replica.covered(), it.views.covered());
        const auto ownHash = m_fault == Fault::ConfirmsAnotherDocument ? it.active.hash() : call.ownHash;
        const bool isContained = text.empty()
            ? it.active.applySameDocument(ownHash, view, own) == ActiveConfiguration::Outcome::Same
            : take(it, text,
                [&](const auto& document) { return it.active.applyPeerDocument(document, view, own); });
        if (!isContained || !view || versionOf(it) < it.catchUp.newestKnown(m_now))
            return;
        it.views.recordAnswer(*view, m_fault == Fault::DatesByArrival ? m_now : call.askedAt);
        confirm(it, it.views.confirmedAt());
    }

    void judge(Node& it)
    {
        // A daemon verifies keys for so long; see EdgeState::canVerifyKeys().
        const bool accepts = m_now - it.confirmedAt < 4600ms && it.catchUp.isSettled(versionOf(it), m_now);
        if (!it.canDecodeAll) {
            // What a daemon cannot decode withdraws nothing there before a peer tells that it is in force.
            const auto known = it.catchUp.newestKnown(m_now);
            it.knownAt.try_emplace(known, m_now);
            const auto newer = it.knownAt.upper_bound(versionOf(it));
            const bool isLate = std::any_of(
                newer, it.knownAt.end(), [&](const auto& at) { return m_now - at.second > bound; });
            m_violations += known > versionOf(it) && accepts && isLate ? 1 : 0;
            return;
        }
        ++m_judged;
        m_verified += accepts ? 1 : 0;
        const auto own = newestWith(it.active.text());
        for (size_t i = own + 1; i < m_documents.size(); ++i) {
            if (accepts && m_now - m_documents[i].writtenAt > bound)
                ++m_violations;
        }
    }

    Random m_random;
    Fault m_fault;
    bool m_hasRestarts;
    std::vector<Node> m_nodes;
    std::vector<Message> m_messages;
    TimePoint m_now = start;
    std::vector<Document> m_documents { Document() };
    Store m_store;
    std::vector<std::pair<TimePoint, Store>> m_history;
    /// When the operator writes again what the store has lost.
    TimePoint m_rewriteAt = TimePoint::max();
    size_t m_violations = 0;
    size_t m_judged = 0;
    size_t m_verified = 0;
};

/// Returns the mean of the fractions of time in which daemons could verify keys.
double playWithdrawals(uint64_t seeds, bool hasRestarts)
{
    double verified = 0;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        WithdrawalModel model(seed, WithdrawalModel::Fault::None, hasRestarts);
        EXPECT_EQ(model.run(), 0U) << "seed " << seed;
        verified += model.verifiedFraction() / static_cast<double>(seeds);
    }
    return verified;
}

TEST(ConfigurationViewsOfAFleet, WithdrawnKeyIsNotAcceptedAfterTheBound)
{
    // Guards against a source that confirms a configuration which lacks the withdrawal of a key.
    // Daemons are cut off for most of the time.
    EXPECT_GE(playWithdrawals(300, false), 0.7) << "daemons that confirm nothing would pass, too";
}

TEST(ConfigurationViewsOfAFleet, WithdrawnKeyIsNotAcceptedAfterARestart)
{
    // Guards against a daemon that starts after the store has come back from an older copy, and takes the
    // copy for complete. A daemon is restarted every 25 s on average.
    const double verified = playWithdrawals(300, true);
    RecordProperty("verified", fmt::format("{:.3f}", verified));
    EXPECT_GE(verified, 0.7) << "daemons that confirm nothing would pass, too";
}

TEST(ConfigurationViewsOfAFleet, ModelOfWithdrawalsShowsEachFault)
{
    // Guards against a model in which a daemon could not accept a withdrawn key whatever it confirms.
    using Fault = WithdrawalModel::Fault;
    const std::map<Fault, size_t> leastSeeds { { Fault::DatesByArrival, 30 },
        { Fault::ConfirmsAnotherDocument, 3 }, { Fault::StatesViewOfInvalidRow, 30 },
        { Fault::RestoresCopiedRow, 10 }, { Fault::TrustsCopyAtOnce, 10 }, { Fault::IgnoresKnownVersion, 30 },
        { Fault::TrustsCopyAtStart, 10 } };
    for (const auto& [fault, least] : leastSeeds) {
        size_t withFault = 0;
        for (uint64_t seed = 1; seed <= 300; ++seed)
            withFault += WithdrawalModel(seed, fault, fault == Fault::TrustsCopyAtStart).run() > 0 ? 1 : 0;
        RecordProperty(fmt::format("fault{}", static_cast<int>(fault)), static_cast<int>(withFault));
        EXPECT_GE(withFault, least) << "fault " << static_cast<int>(fault);
    }
}

} // namespace
} // namespace lentilbay::edge
