// Tests of the fake table: atomic transactions, rate limits and lost responses.
#include "lentilbay/Fakes/TableModel.h"

#include <gtest/gtest.h>

using namespace lentilbay;
using namespace lentilbay::fakes;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

FakeWrite put(const std::string& key, const std::string& value, std::optional<uint64_t> expect = {})
{
    return { .table = "t", .key = key, .value = value, .expect = expect };
}

std::optional<FakeRow> rowOf(TableModel& table, const std::string& key)
{
    return table.read({ { .table = "t", .key = key } }, start).rows.at(0);
}

} // namespace

TEST(TableModel, incrementsVersions)
{
    TableModel table;
    EXPECT_EQ(table.transact({ put("a", "1") }, start).versions, std::vector<uint64_t> { 1 });
    EXPECT_EQ(table.transact({ put("a", "2", 1) }, start).versions, std::vector<uint64_t> { 2 });
    EXPECT_EQ(rowOf(table, "a"), (FakeRow { .key = "a", .value = "2", .version = 2 }));
    EXPECT_EQ(rowOf(table, "b"), std::nullopt);
}

TEST(TableModel, writesAllOrNothing)
{
    TableModel table;
    table.transact({ put("a", "1") }, start);
    const auto answer = table.transact({ put("b", "x", 0), put("a", "2", 7) }, start);
    EXPECT_EQ(answer.status, FakeStoreStatus::Conflict);
    EXPECT_EQ(answer.rows.size(), 2U);
    EXPECT_EQ(answer.rows[0], std::nullopt);
    EXPECT_EQ(answer.rows[1]->value, "1");
    EXPECT_EQ(rowOf(table, "b"), std::nullopt);
    EXPECT_EQ(table.counts().conflicts, 1U);
}

TEST(TableModel, absenceConditionHoldsOnce)
{
    TableModel table;
    EXPECT_EQ(table.transact({ put("a", "first", 0) }, start).status, FakeStoreStatus::Done);
    EXPECT_EQ(table.transact({ put("a", "second", 0) }, start).status, FakeStoreStatus::Conflict);
    EXPECT_EQ(rowOf(table, "a")->value, "first");
}

TEST(TableModel, versionIncreasesAcrossDeletion)
{
    TableModel table;
    table.transact({ put("a", "1") }, start);
    table.transact({ { .table = "t", .key = "a" } }, start);
    EXPECT_EQ(rowOf(table, "a"), std::nullopt);
    EXPECT_EQ(table.transact({ put("a", "2", 0) }, start).versions, std::vector<uint64_t> { 3 });
}

TEST(TableModel, scansInKeyOrder)
{
    TableModel table;
    for (const auto* key : { "p/3", "p/1", "q/1", "p/2", "o" })
        table.transact({ put(key, key) }, start);
    const auto page = table.scan("t", "p/", "", 2, start);
    ASSERT_EQ(page.rows.size(), 2U);
    EXPECT_EQ(page.rows[0]->key, "p/1");
    const auto rest = table.scan("t", "p/", page.rows[1]->key, 10, start);
    ASSERT_EQ(rest.rows.size(), 1U);
    EXPECT_EQ(rest.rows[0]->key, "p/3");
}

TEST(TableModel, limitsWritesAndReadsSeparately)
{
    TableModel table({ .writesPerSecond = 2, .readsPerSecond = 3 });
    EXPECT_EQ(table.transact({ put("a", "1"), put("b", "1") }, start).status, FakeStoreStatus::Done);
    const auto limited = table.transact({ put("c", "1") }, start);
    EXPECT_EQ(limited.status, FakeStoreStatus::Limited);
    EXPECT_EQ(rowOf(table, "c"), std::nullopt);
    EXPECT_EQ(table.transact({ put("c", "1") }, start + limited.retryAfter).status, FakeStoreStatus::Done);
    table.read({ { .table = "t", .key = "a" }, { .table = "t", .key = "b" } }, start);
    EXPECT_EQ(table.read({ { .table = "t", .key = "a" } }, start).status, FakeStoreStatus::Limited);
}

TEST(TableModel, lostResponseHasTakenEffect)
{
    TableModel table;
    table.faults().loseAnswers = 1;
    EXPECT_EQ(table.transact({ put("a", "1", 0) }, start).status, FakeStoreStatus::Lost);
    EXPECT_EQ(rowOf(table, "a")->value, "1");
    EXPECT_TRUE(table.writeRecords().at(0).answerLost);
    EXPECT_EQ(table.transact({ put("a", "2", 1) }, start).status, FakeStoreStatus::Done);
}

TEST(TableModel, lostRequestHasNoEffect)
{
    TableModel table;
    table.faults().loseRequests = 1;
    EXPECT_EQ(table.transact({ put("a", "1", 0) }, start).status, FakeStoreStatus::Lost);
    EXPECT_EQ(rowOf(table, "a"), std::nullopt);
}

TEST(TableModel, hasNoEffectInOutage)
{
    TableModel table;
    table.faults().outage = true;
    EXPECT_EQ(table.transact({ put("a", "1") }, start).status, FakeStoreStatus::Outage);
    EXPECT_EQ(table.read({ { .table = "t", .key = "a" } }, start).status, FakeStoreStatus::Outage);
    table.faults().outage = false;
    EXPECT_EQ(rowOf(table, "a"), std::nullopt);
}
