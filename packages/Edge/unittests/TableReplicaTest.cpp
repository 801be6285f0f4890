// Tests which rows count as news, above all after the store has come back from an older copy.
#include "lentilbay/Edge/TableReplica.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

constexpr Duration rewriteDelay = 2s;
constexpr Duration copiedRowDelay = 30s;

platform::StoreRow row(const std::string& key, const std::string& value, StoreVersion version)
{
    return { .key = key, .value = value, .version = version };
}

platform::StoreRow deletion(const std::string& key, StoreVersion version)
{
    return { .key = key, .version = version, .isDeleted = true };
}

class TableReplicaTest : public testing::Test {
protected:
    /// Applies an answer and returns what it changed, as "key=value", "-key" or "?key" for lost rows.
    std::string apply(std::vector<platform::StoreRow> rows, StoreVersion version, TimePoint now)
    {
        return printed(replica.apply({ .rows = std::move(rows), .version = version }, now));
    }

    std::string due(TimePoint now) { return printed(replica.takeDue(TimePoint::max(), now)); }

    static std::string printed(const std::vector<RowChange>& changes)
    {
        std::string out;
        for (const auto& it : changes) {
            if (!out.empty())
                out += ' ';
            out += it.kind == RowChange::Kind::Written ? it.row.key + "=" + it.row.value
                : it.kind == RowChange::Kind::Deleted  ? "-" + it.row.key
                                                       : "?" + it.row.key;
        }
        return out;
    }

    /// Reads endpoint "e" as ready and then as leaving, in era 1 up to version 10.
    void readDeparture()
    {
        replica.enterEra(1);
        EXPECT_EQ(apply({ row("e", "ready", { 1, 3 }) }, { 1, 5 }, TimePoint(1s)), "e=ready");
        EXPECT_EQ(apply({ row("e", "leaving", { 1, 8 }) }, { 1, 10 }, TimePoint(2s)), "e=leaving");
    }

    TableReplica replica { { .deletionDelay = rewriteDelay, .copiedRowDelay = copiedRowDelay } };
};

TEST_F(TableReplicaTest, RowsOfAPeerReplaceOlderOnesOnly)
{
    TableReplica peer { { .keepsValues = true } };
    peer.enterEra(1);
    peer.apply(
        { .rows = { row("e", "leaving", { 1, 8 }), row("f", "ready", { 1, 9 }) }, .version = { 1, 10 } },
        TimePoint(1s));
    peer.apply({ .rows = { row("g", "ready", { 1, 11 }), deletion("f", { 1, 12 }) }, .version = { 1, 12 } },
        TimePoint(1s));
    replica.enterEra(1);
    EXPECT_EQ(apply({ row("e", "ready", { 1, 3 }), row("f", "ready", { 1, 9 }) }, { 1, 9 }, TimePoint(1s)),
        "e=ready f=ready");
    const auto changes = replica.applyPeerRows(*peer.rows(TimePoint(2s)), TimePoint(2s));
    ASSERT_TRUE(changes);
    EXPECT_EQ(printed(*changes), "e=leaving g=ready -f");
    EXPECT_EQ(replica.covered(), (StoreVersion { 1, 12 }));
    // The store answers again, from that version on.
    EXPECT_EQ(apply({ deletion("e", { 1, 14 }) }, { 1, 15 }, TimePoint(3s)), "-e");
    EXPECT_FALSE(replica.applyPeerRows(*peer.rows(TimePoint(4s)), TimePoint(4s)))
        << "the peer knows less by now";
}

TEST_F(TableReplicaTest, RowOfEachEraIsReportedAlsoIfItHasNotChanged)
{
    // Guards against a reader that takes what it has from elsewhere for the content of the store, because the
    // copy has the row that it had read before.
    replica = TableReplica { { .rowOfEachEra = "e" } };
    replica.enterEra(1);
    EXPECT_EQ(
        apply({ row("e", "1", { 1, 3 }), row("f", "1", { 1, 4 }) }, { 1, 5 }, TimePoint(1s)), "e=1 f=1");
    replica.enterEra(2);
    EXPECT_EQ(apply({ row("e", "1", { 2, 3 }), row("f", "1", { 2, 4 }) }, { 2, 5 }, TimePoint(2s)), "e=1");
}

/// A daemon that was cut off from the store until 4 s, has read the deletion of "e" since then, and delays it
/// until 6 s.
TableReplica peerThatDelaysADeletion()
{
    TableReplica out { { .deletionDelay = rewriteDelay, .keepsValues = true } };
    out.enterEra(1);
    out.apply({ .rows = { row("e", "ready", { 1, 3 }) }, .version = { 1, 5 } }, TimePoint(1s));
    out.reconnected(3s, TimePoint(4s));
    EXPECT_TRUE(
        out.apply({ .rows = { deletion("e", { 1, 8 }) }, .version = { 1, 10 } }, TimePoint(4s)).empty());
    return out;
}

TEST_F(TableReplicaTest, DeletionWasUndoneByAPeerThatDelaysIt)
{
    const auto peer = peerThatDelaysADeletion();
    replica.enterEra(1);
    apply({ row("e", "ready", { 1, 3 }) }, { 1, 5 }, TimePoint(1s));
    EXPECT_EQ(apply({ deletion("e", { 1, 8 }) }, { 1, 9 }, TimePoint(2s)), "-e");
    const auto changes = replica.applyPeerRows(*peer.rows(TimePoint(4s)), TimePoint(4s));
    ASSERT_TRUE(changes);
    EXPECT_EQ(printed(*changes), "");
    EXPECT_EQ(replica.covered(), (StoreVersion { 1, 10 }));
    // The opposite: the row is written again.
    EXPECT_EQ(apply({ row("e", "again", { 1, 11 }) }, { 1, 11 }, TimePoint(5s)), "e=again");
}

TEST_F(TableReplicaTest, DeletionThatAPeerDelayedWasNeverLearned)
{
    const auto peer = peerThatDelaysADeletion();
    replica.enterEra(1);
    apply({ row("e", "ready", { 1, 3 }) }, { 1, 5 }, TimePoint(1s));
    ASSERT_TRUE(replica.applyPeerRows(*peer.rows(TimePoint(5s)), TimePoint(5s)));
    EXPECT_EQ(replica.covered(), (StoreVersion { 1, 10 }));
    EXPECT_EQ(due(TimePoint(5900ms)), "") << "no sooner than at the peer";
    EXPECT_EQ(due(TimePoint(6s)), "-e");
}

TEST_F(TableReplicaTest, RowWrittenAgainAfterADelayedDeletionRemains)
{
    const auto peer = peerThatDelaysADeletion();
    replica.enterEra(1);
    apply({ row("e", "ready", { 1, 3 }) }, { 1, 5 }, TimePoint(1s));
    ASSERT_TRUE(replica.applyPeerRows(*peer.rows(TimePoint(5s)), TimePoint(5s)));
    EXPECT_EQ(apply({ row("e", "again", { 1, 12 }) }, { 1, 12 }, TimePoint(5500ms)), "e=again");
    EXPECT_EQ(due(TimePoint(7s)), "");
}

TEST_F(TableReplicaTest, DeletionOfAFormerEraWasUndoneByAPeerThatDelaysIt)
{
    auto peer = peerThatDelaysADeletion();
    replica.enterEra(1);
    apply({ row("e", "ready", { 1, 3 }) }, { 1, 5 }, TimePoint(1s));
    EXPECT_EQ(apply({ deletion("e", { 1, 8 }) }, { 1, 9 }, TimePoint(2s)), "-e");
    // The copy of the store lacks the row, so the peer takes it for lost.
    peer.enterEra(2);
    peer.apply({ .version = { 2, 4 } }, TimePoint(5s));
    replica.enterEra(2);
    const auto changes = replica.applyPeerRows(*peer.rows(TimePoint(5s)), TimePoint(5s));
    ASSERT_TRUE(changes);
    EXPECT_EQ(printed(*changes), "");
    EXPECT_EQ(due(TimePoint(60s)), "");
}

TEST_F(TableReplicaTest, OwnDelayedDeletionWasUndoneByAPeer)
{
    auto own = peerThatDelaysADeletion();
    // A daemon of an earlier version does not state which deletions it delays.
    const ReplicaRows listed { .rows = own.rows(TimePoint(5s))->rows };
    const auto changes = own.applyPeerRows(listed, TimePoint(5s));
    ASSERT_TRUE(changes);
    EXPECT_EQ(printed(*changes), "");
    EXPECT_EQ(printed(own.takeDue(TimePoint::max(), TimePoint(6s))), "-e");
}

TEST_F(TableReplicaTest, RowWrittenAgainIsReadFromAPeer)
{
    auto peer = peerThatDelaysADeletion();
    replica.enterEra(1);
    apply({ row("e", "ready", { 1, 3 }) }, { 1, 5 }, TimePoint(1s));
    EXPECT_EQ(apply({ deletion("e", { 1, 8 }) }, { 1, 9 }, TimePoint(2s)), "-e");
    peer.apply({ .rows = { row("e", "again", { 1, 12 }) }, .version = { 1, 12 } }, TimePoint(5s));
    const auto changes = replica.applyPeerRows(*peer.rows(TimePoint(5s)), TimePoint(5s));
    ASSERT_TRUE(changes);
    EXPECT_EQ(printed(*changes), "e=again");
    EXPECT_EQ(due(TimePoint(9s)), "");
}

TEST_F(TableReplicaTest, RowWrittenAgainAtALowerVersionWasPassedOver)
{
    replica.enterEra(1);
    apply({ row("e", "ready", { 1, 9 }) }, { 1, 10 }, TimePoint(1s));
    EXPECT_TRUE(replica.enterEra(2));
    EXPECT_EQ(replica.covered(), std::nullopt) << "the position of the former era is not comparable";
    EXPECT_EQ(apply({ row("e", "ready", { 2, 4 }) }, { 2, 5 }, TimePoint(2s)), "");
    EXPECT_EQ(apply({ row("e", "leaving", { 2, 6 }) }, { 2, 6 }, TimePoint(3s)), "e=leaving");
    EXPECT_EQ(apply({ row("e", "ready", { 2, 7 }) }, { 2, 7 }, TimePoint(4s)), "e=ready");
}

TEST_F(TableReplicaTest, CopiedRowUndidADeparture)
{
    readDeparture();
    replica.enterEra(2);
    EXPECT_EQ(apply({ row("e", "ready", { 2, 3 }) }, { 2, 4 }, TimePoint(3s)), "");
    EXPECT_EQ(due(TimePoint(20s)), "");
    EXPECT_EQ(apply({ row("e", "leaving", { 2, 5 }) }, { 2, 5 }, TimePoint(21s)), "e=leaving");
    EXPECT_EQ(due(TimePoint(60s)), "") << "written again, so the copied row does not count";
}

TEST_F(TableReplicaTest, CopiedRowIsTrueIfNobodyWritesItAgain)
{
    readDeparture();
    replica.enterEra(2);
    apply({ row("e", "ready", { 2, 3 }) }, { 2, 4 }, TimePoint(3s));
    EXPECT_EQ(due(TimePoint(33s)), "e=ready");
}

TEST_F(TableReplicaTest, DepartureWrittenAgainBeforeTheFirstReadWasWithheld)
{
    TableReplica it({ .copiedRowDelay = copiedRowDelay,
        .isHarmless = [](const auto& row) { return row.value == "leaving"; } });
    it.enterEra(1);
    it.apply(
        { .rows = { row("e", "ready", { 1, 20 }), row("f", "leaving", { 1, 19 }) }, .version = { 1, 20 } },
        TimePoint(1s));
    it.enterEra(2);
    const auto changes = it.apply(
        { .rows = { row("e", "leaving", { 2, 15 }), row("f", "ready", { 2, 14 }) }, .version = { 2, 15 } },
        TimePoint(2s));
    EXPECT_EQ(printed(changes), "e=leaving");
}

TEST_F(TableReplicaTest, ConfigurationWrittenAgainBeforeTheFirstReadWasWithheld)
{
    // Its reader compares the configuration's own version.
    TableReplica it({});
    it.enterEra(1);
    it.apply({ .rows = { row("config", "13", { 1, 20 }) }, .version = { 1, 20 } }, TimePoint(1s));
    it.enterEra(2);
    const auto changes
        = it.apply({ .rows = { row("config", "14", { 2, 17 }) }, .version = { 2, 17 } }, TimePoint(2s));
    EXPECT_EQ(printed(changes), "config=14");
}

TEST_F(TableReplicaTest, CopyContainedARowThatHadBeenDeleted)
{
    readDeparture();
    EXPECT_EQ(apply({ deletion("e", { 1, 12 }) }, { 1, 12 }, TimePoint(3s)), "-e");
    replica.enterEra(2);
    EXPECT_EQ(apply({ row("e", "leaving", { 2, 8 }) }, { 2, 9 }, TimePoint(4s)), "");
    EXPECT_EQ(apply({ deletion("e", { 2, 10 }) }, { 2, 10 }, TimePoint(5s)), "-e");
    EXPECT_EQ(due(TimePoint(60s)), "");
}

TEST_F(TableReplicaTest, CopyOfAnEarlierEraHasHigherVersionsThanTheNewerRow)
{
    readDeparture();
    replica.enterEra(2);
    apply({ row("e", "leaving", { 2, 2 }) }, { 2, 2 }, TimePoint(3s));
    replica.enterEra(3);
    EXPECT_EQ(apply({ row("e", "ready", { 3, 3 }) }, { 3, 5 }, TimePoint(4s)), "");
}

TEST_F(TableReplicaTest, OtherValueAtTheSameOrAHigherVersionIsNews)
{
    for (const uint64_t number : { 8U, 9U, 20U }) {
        TableReplica it({ .copiedRowDelay = copiedRowDelay });
        it.enterEra(1);
        it.apply({ .rows = { row("e", "a", { 1, 8 }) }, .version = { 1, 10 } }, TimePoint(1s));
        it.enterEra(2);
        const auto changes
            = it.apply({ .rows = { row("e", "b", { 2, number }) }, .version = { 2, 20 } }, TimePoint(2s));
        EXPECT_EQ(printed(changes), "e=b") << number;
    }
}

TEST_F(TableReplicaTest, RowThatTheStoreLostStaysUntilNobodyWritesItAgain)
{
    replica.enterEra(1);
    apply({ row("a", "x", { 1, 8 }), row("b", "x", { 1, 9 }) }, { 1, 10 }, TimePoint(1s));
    replica.enterEra(2);
    EXPECT_EQ(apply({}, { 2, 4 }, TimePoint(2s)), "?a ?b");
    EXPECT_EQ(apply({ row("a", "x", { 2, 5 }) }, { 2, 5 }, TimePoint(3s)), "a=x");
    EXPECT_EQ(due(TimePoint(3900ms)), "");
    EXPECT_EQ(due(TimePoint(4s)), "-b");
}

TEST_F(TableReplicaTest, RowOfItsReaderIsLostButNotDeleted)
{
    TableReplica own({ .forgetsLostRows = true });
    own.enterEra(1);
    own.apply({ .rows = { row("a", "x", { 1, 8 }) }, .version = { 1, 10 } }, TimePoint(1s));
    own.enterEra(2);
    EXPECT_EQ(printed(own.apply({ .version = { 2, 4 } }, TimePoint(2s))), "?a");
    EXPECT_TRUE(own.takeDue(TimePoint::max(), TimePoint(60s)).empty());
}

TEST_F(TableReplicaTest, PeerViewOfThisEraShowsWhatIsMissing)
{
    replica.enterEra(2);
    apply({}, { 2, 4 }, TimePoint(1s));
    EXPECT_TRUE(replica.applyPeerView({ 2, 9 }, { 2, 4 }));
    EXPECT_EQ(replica.covered(), (StoreVersion { 2, 9 }));
    EXPECT_FALSE(replica.applyPeerView({ 2, 12 }, { 2, 11 }));
    EXPECT_EQ(replica.covered(), (StoreVersion { 2, 9 }));
}

/// A store that goes back to the state before any number of its latest transactions.
class RewindingStore {
public:
    struct Transaction {
        std::string key;
        /// Empty if the row is deleted.
        std::string value;
    };

    void write(const std::string& key, const std::string& value)
    {
        m_transactions.push_back({ .key = key, .value = value });
        m_lost.erase(key);
    }

    void rewind(size_t n)
    {
        for (; n > 0 && !m_transactions.empty(); --n) {
            const auto& it = m_transactions.back();
            m_lost.try_emplace(it.key, it.value);
            m_transactions.pop_back();
        }
        ++m_era;
    }

    /// Writes one of the lost values again.
    void writeAgain()
    {
        if (!m_lost.empty())
            write(std::string(m_lost.begin()->first), std::string(m_lost.begin()->second));
    }

    platform::StoreRows read(std::optional<StoreVersion> after) const
    {
        std::map<std::string, platform::StoreRow> rows;
        for (uint64_t i = after ? after->number : 0; i < m_transactions.size(); ++i) {
            const auto& it = m_transactions[i];
            rows[it.key] = {
                .key = it.key, .value = it.value, .version = { m_era, i + 1 }, .isDeleted = it.value.empty()
            };
        }
        platform::StoreRows out { .version = { m_era, m_transactions.size() } };
        for (const auto& [key, it] : rows) {
            if (after || !it.isDeleted)
                out.rows.push_back(it);
        }
        return out;
    }

    bool hasLost() const { return !m_lost.empty(); }
    uint64_t era() const { return m_era; }

private:
    uint64_t m_era = 1;
    std::vector<Transaction> m_transactions;
    std::map<std::string, std::string> m_lost;
};

RC_GTEST_PROP(TableReplica, NeverGoesBackAndAgreesWithTheStoreInTheEnd, ())
{
    // Each value states its place in the order in which the values were first written.
    RewindingStore store;
    TableReplica replica({ .deletionDelay = rewriteDelay, .copiedRowDelay = copiedRowDelay });
    std::map<std::string, std::string> view;
    std::map<std::string, std::string> newest;
    TimePoint now(1s);
    const auto take = [&](const std::vector<RowChange>& changes) {
        for (const auto& it : changes) {
            if (it.kind == RowChange::Kind::Written) {
                RC_ASSERT(it.row.value >= newest[it.row.key]);
                view[it.row.key] = newest[it.row.key] = it.row.value;
            } else if (it.kind == RowChange::Kind::Deleted) {
                view.erase(it.row.key);
            }
        }
    };
    const auto read = [&] {
        replica.enterEra(store.era());
        take(replica.apply(store.read(replica.covered()), now));
    };
    const auto steps = *rc::gen::inRange(1, 60);
    for (int i = 0; i < steps; ++i) {
        now += 100ms;
        const auto key = *rc::gen::element<std::string>("a", "b", "c");
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            store.write(key, "");
            break;
        case 1:
            store.rewind(*rc::gen::inRange<size_t>(0, 6));
            break;
        case 2:
        case 3:
            store.write(key, fmt::format("{:03}", i));
            break;
        case 4:
            store.writeAgain();
            break;
        default:
            read();
            break;
        }
        take(replica.takeDue(TimePoint::max(), now));
    }
    while (store.hasLost())
        store.writeAgain();
    now += copiedRowDelay;
    read();
    now += copiedRowDelay;
    take(replica.takeDue(TimePoint::max(), now));
    std::map<std::string, std::string> expected;
    for (const auto& it : store.read(std::nullopt).rows)
        expected[it.key] = it.value;
    RC_ASSERT(view == expected);
}

} // namespace
} // namespace lentilbay::edge
