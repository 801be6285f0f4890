// Tests rollouts over a fleet of controllers in virtual time, with a store that keeps rows.
#include "lentilbay/Edge/RolloutController.h"

#include "lentilbay/Support/Hash.h"
#include "lentilbay/platform/Documents.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <set>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

const ServiceId service("s");
const std::string key = "rollout/s";
constexpr Work work { .isStream = false };

std::string decodedBase64(const std::string& text)
{
    std::string out(text.size() / 4 * 3 + 3, '\0');
    const int n = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    out.resize(static_cast<size_t>(n) - padding);
    return out;
}

/// The rows of the platform's store, and its answers to calls.
class FakeStore {
public:
    struct Row {
        uint64_t version = 0;
        std::string value;
    };

    StoreReply answer(const std::string& request, TimePoint now)
    {
        if (isAway)
            return {};
        if (request.starts_with("GET"))
            return read(request, now);
        const auto call = nlohmann::json::parse(request.substr(request.find("\r\n\r\n") + 4));
        platform::StoreRows current { .version = { .era = era, .number = version } };
        bool isCurrent = true;
        for (const auto& it : call["ExpectedRev"]) {
            const auto row = rows.find({ it["Table"], it["Key"] });
            isCurrent = isCurrent && (row == rows.end() ? 0 : row->second.version) == it["Ver"];
            if (row != rows.end())
                current.rows.push_back(storeRow(*row));
        }
        if (!isCurrent) {
            ++conflicts;
            return { .status = 412, .era = era, .body = withClock(encodeRows(current), now) };
        }
        ++version;
        ++writes;
        for (const auto& it : call["Write"])
            rows[{ it["Table"], it["Key"] }] = { .version = version, .value = decodedBase64(it["Value"]) };
        if (losesAnswers)
            return {};
        return {
            .status = 200, .era = era, .body = withClock(nlohmann::json { { "Ver", version } }.dump(), now)
        };
    }

    std::string status() const
    {
        const auto it = rows.find({ "status", key });
        return it == rows.end() ? "none" : std::string(nlohmann::json::parse(it->second.value)["State"]);
    }

    using Key = std::pair<std::string, std::string>;
    std::map<Key, Row> rows;
    uint64_t version = 100;
    uint64_t era = 1;
    bool isAway = false;
    /// Transactions are applied, but their answers are lost.
    bool losesAnswers = false;
    int writes = 0;
    int conflicts = 0;

private:
    platform::StoreRow storeRow(const std::pair<const Key, Row>& row) const
    {
        return { .table = row.first.first,
            .key = row.first.second,
            .value = row.second.value,
            .version = { .era = era, .number = row.second.version } };
    }

    static std::string withClock(const std::string& body, TimePoint now)
    {
        auto json = nlohmann::json::parse(body);
        json["NowMs"] = now.time_since_epoch() / 1ms + 5000;
        return json.dump();
    }

    StoreReply read(const std::string& request, TimePoint now) const
    {
        platform::StoreRows out { .version = { .era = era, .number = version } };
        for (const auto& it : rows) {
            if (request.find("Table=" + it.first.first + "&") != std::string::npos)
                out.rows.push_back(storeRow(it));
        }
        return { .status = 200, .era = era, .body = withClock(encodeRows(out), now) };
    }
};

/// One daemon: its list of endpoints and its controller.
struct Daemon {
    Daemon(const std::string& name, uint64_t incarnation, const RolloutLimits& limits, TimePoint& now)
        : name(name)
        , controller({ .daemon = name,
                         .incarnation = incarnation,
                         .storeHost = "s:1",
                         .limits = limits,
                         .clock = [&now] { return now; } },
              registry)
    {
    }

    void list(const std::string& id, const std::string& version)
    {
        registry.list({ .id = EndpointId(id),
            .service = service,
            .host = "10.0.0.1",
            .port = 80,
            .dataCentre = DataCentreId("a"),
            .slots = 1000,
            .softwareVersion = version });
    }

    std::string name;
    EndpointRegistry registry {
        { .ownDataCentre = DataCentreId("a"), .regions = { { DataCentreId("a"), RegionId("r") } } }, 1
    };
    RolloutController controller;
};

class RolloutControllerTest : public testing::Test {
protected:
    void SetUp() override
    {
        for (const auto* name : { "d0", "d1", "d2" })
            start(name);
    }

    void start(const std::string& name)
    {
        auto& it = daemons[name] = std::make_unique<Daemon>(name, ++incarnations, limits, now);
        for (const auto& [id, version] : endpoints)
            it->list(id, version);
        it->controller.setCaller(
            [this, name](std::string request, std::function<void(const StoreReply&)> done) {
                if (turnedAway.contains(name))
                    lost.push_back({ now + 200ms, std::move(done) });
                else
                    calls.emplace_back(std::move(request), std::move(done));
            });
        it->controller.setStoreStatus([this, name] { return turnedAway.contains(name); });
        it->controller.setSender([this, name](const std::string& to, const std::string& datagram) {
            const auto target = daemons.find(to);
            if (target == daemons.end() || isCut(name, to))
                return;
            const auto answer = target->second->controller.receive(datagram, now);
            if (!answer.empty())
                daemons.at(name)->controller.receive(answer, now);
        });
        if (orderValue)
            it->controller.applyOrderRow(orderRow(), now);
    }

    bool isCut(const std::string& a, const std::string& b) const
    {
        return cut.contains(a) != cut.contains(b);
    }

    platform::StoreRow orderRow() const
    {
        return { .table = "op",
            .key = key,
            .value = *orderValue,
            .version = { .era = store.era, .number = orderVersion } };
    }

    /// The operator orders a version.
    void order(const std::string& value)
    {
        orderVersion = ++store.version;
        orderValue = value;
        for (auto& [name, it] : daemons)
            it->controller.applyOrderRow(orderRow(), now);
    }

    /// Lets the daemons work, and sends this many requests each 10 ms, one after the other to all of them.
    void run(Duration time, int requests = 2)
    {
        for (const auto end = now + time; now < end; now += 10ms) {
            for (auto& [name, it] : daemons) {
                std::vector<std::string> others;
                for (const auto& [other, unused] : daemons) {
                    if (other != name && !isCut(name, other))
                        others.push_back(other);
                }
                it->controller.setDaemons(others, true, daemons.size());
                it->controller.poll(now);
            }
            for (auto waiting = std::exchange(lost, {}); auto& call : waiting) {
                if (call.until <= now)
                    call.done({});
                else
                    lost.push_back(std::move(call));
            }
            while (!calls.empty()) {
                const auto [request, done] = std::move(calls.front());
                calls.pop_front();
                done(store.answer(request, now));
            }
            for (int i = 0; i < requests; ++i) {
                auto it = daemons.begin();
                std::advance(it, ++requestCount % daemons.size());
                send(*it->second);
            }
        }
    }

    /// Sends a request, which ends at once.
    void send(Daemon& daemon, RolloutTicket ticket = {})
    {
        auto& controller = daemon.controller;
        controller.assign(service, std::nullopt, ticket, now);
        const auto endpoint
            = daemon.registry.choose({ .service = service, .work = work, .versions = ticket.rule }, now);
        if (!endpoint || !controller.mayUse(service, endpoint->versionHash(), now)) {
            ++refused;
            return;
        }
        const auto version = endpoint->entry().softwareVersion;
        ++sent[version];
        ++sentTo[endpoint->entry().id.text()];
        lastSentAt[version] = now;
        endpoint->recordSend(work, now);
        auto record = controller.recordSend(*endpoint, "r", work, ticket, now);
        const bool isBad = version == badVersion && ++badCount % 2 == 0;
        endpoint->recordEnd(work, SendOutcome::Succeeded, true, now);
        controller.recordEnd(
            record, ticket, { .outcome = isBad ? SendOutcome::Failed : SendOutcome::Succeeded }, now);
    }

    TimePoint now { 100s };
    FakeStore store;
    std::map<std::string, std::string> endpoints { { "a1", "v1" }, { "a2", "v1" }, { "b1", "v2" },
        { "b2", "v2" }, { "b3", "v2" } };
    std::map<std::string, std::unique_ptr<Daemon>> daemons;
    std::deque<std::pair<std::string, std::function<void(const StoreReply&)>>> calls;
    /// Daemons that the store does not answer, and their calls.
    std::set<std::string> turnedAway;
    struct LostCall {
        TimePoint until;
        std::function<void(const StoreReply&)> done;
    };
    std::vector<LostCall> lost;
    std::optional<std::string> orderValue;
    uint64_t orderVersion = 0;
    uint64_t incarnations = 0;
    /// Daemons that reach each other, but not the rest.
    std::set<std::string> cut;
    std::string badVersion;
    int badCount = 0;
    size_t requestCount = 0;
    int refused = 0;
    std::map<std::string, int> sent;
    /// The same by endpoint.
    std::map<std::string, int> sentTo;
    RolloutLimits limits;
    std::map<std::string, TimePoint> lastSentAt;
};

const std::string toV2 = R"({"Service":"s","To":"v2","DurationS":20})";

// Guards against a good version that is not adopted in time, and against sends to the former one afterwards.
TEST_F(RolloutControllerTest, GoodVersionIsAdoptedBeforeTheDeadline)
{
    order(toV2);
    const auto orderedAt = now;
    run(1s);
    EXPECT_EQ(store.status(), "running");
    while (store.status() == "running" && now < orderedAt + 20s)
        run(100ms);
    EXPECT_EQ(store.status(), "complete");
    EXPECT_LT(now, orderedAt + 20s);
    run(500ms);
    const auto formerly = sent["v1"];
    run(2s);
    EXPECT_EQ(sent["v1"], formerly);
    EXPECT_EQ(refused, 0);
    EXPECT_LE(store.writes, 4);
}

// Guards against exposure of a bad version beyond its bounds, and against sends after it was rejected.
TEST_F(RolloutControllerTest, BadVersionIsReverted)
{
    badVersion = "v2";
    order(toV2);
    run(15s);
    EXPECT_EQ(store.status(), "reverted");
    EXPECT_LE(sent["v2"], 0.1 * (sent["v1"] + sent["v2"]) + 50);
    EXPECT_LT(lastSentAt["v2"], now - 2s);
    run(10s);
    EXPECT_EQ(store.status(), "reverted");
    EXPECT_EQ(refused, 0);
}

// Guards against sends to a version that nobody has permitted: the store does not answer.
TEST_F(RolloutControllerTest, NoOrderBeginsWhileTheStoreIsAway)
{
    store.isAway = true;
    order(toV2);
    run(5s);
    EXPECT_EQ(sent["v2"], 0);
    EXPECT_EQ(refused, 0);
    store.isAway = false;
    run(2s);
    EXPECT_EQ(store.status(), "running");
    EXPECT_GT(sent["v2"], 0);
}

// Guards against a bad version that goes on getting requests because its rejection cannot be written.
TEST_F(RolloutControllerTest, RevertTakesEffectWhileTheStoreIsAway)
{
    order(toV2);
    run(2s);
    ASSERT_EQ(store.status(), "running");
    store.isAway = true;
    badVersion = "v2";
    run(14s);
    EXPECT_LT(lastSentAt["v2"], now - 2s);
    EXPECT_EQ(store.status(), "running");
    store.isAway = false;
    run(2s);
    EXPECT_EQ(store.status(), "reverted");
}

// Guards against a status that is final after the deadline, because the daemons saw the order late.
TEST_F(RolloutControllerTest, DeadlineCountsFromWhenTheOrderMayHaveBeenWritten)
{
    run(100ms);
    for (auto& [name, it] : daemons)
        it->controller.confirmOrders(now);
    const auto writtenAt = now;
    now += 1500ms;
    order(toV2);
    while (store.status() != "complete" && now < writtenAt + 30s)
        run(100ms);
    EXPECT_LT(now, writtenAt + 20s);
    EXPECT_GT(now, writtenAt + 17s);
}

// Guards against a coordinator that judges nothing while a call to the store is in progress or has failed.
TEST_F(RolloutControllerTest, VersionIsJudgedWhileCallsToTheStoreFail)
{
    order(toV2);
    run(2s);
    for (auto& [name, it] : daemons)
        it->controller.storeEraChanged();
    store.isAway = true;
    run(2s);
    badVersion = "v2";
    run(12s);
    EXPECT_LT(lastSentAt["v2"], now - 2s);
    EXPECT_EQ(store.status(), "running");
}

// Guards against an order that stands still because the store answers all daemons but its coordinator.
TEST_F(RolloutControllerTest, DaemonThatReachesTheStoreTakesOver)
{
    const std::vector<std::string_view> names { "d0", "d1", "d2" };
    order(toV2);
    const auto orderedAt = now;
    run(2s);
    turnedAway.emplace(names[rendezvousOwner(key, names)]);
    run(16s);
    while (store.status() == "running" && now < orderedAt + 25s)
        run(100ms);
    EXPECT_EQ(store.status(), "complete");
    EXPECT_LT(now, orderedAt + 20s);
    run(1s);
    const auto formerly = sent["v1"];
    run(2s);
    EXPECT_EQ(sent["v1"], formerly);
}

// Guards against reads of the store that grow with the number of daemons, while one lacks an order that the
// others report to it.
TEST_F(RolloutControllerTest, UnknownOrderIsReadOncePerSecond)
{
    const std::vector<std::string_view> names { "d0", "d1", "d2" };
    const std::string first(names[rendezvousOwner(key, names)]);
    int reads = 0;
    daemons[first]->controller.setOrderReader([&] { ++reads; });
    orderVersion = ++store.version;
    orderValue = toV2;
    for (auto& [name, it] : daemons) {
        if (name != first)
            it->controller.applyOrderRow(orderRow(), now);
    }
    run(5s);
    EXPECT_GE(reads, 4);
    EXPECT_LE(reads, 5);
}

// Guards against a coordinator that does not judge what it has observed itself, while another daemon that
// does not answer stands in for it.
TEST_F(RolloutControllerTest, FirstCoordinatorJudgesItsOwnResponses)
{
    limits.revert = 2s;
    for (const auto* name : { "d0", "d1", "d2" })
        start(name);
    order(toV2);
    run(2s, 6);
    ASSERT_EQ(store.status(), "running");
    const std::vector<std::string_view> names { "d0", "d1", "d2" };
    const std::string first(names[rendezvousOwner(key, names)]);
    turnedAway.emplace(first);
    daemons[first]->controller.setSender([](const std::string&, const std::string&) {});
    badVersion = "v2";
    const auto phase = [&] {
        const auto all = daemons[first]->controller.gauges(now);
        return std::ranges::find(all, "rollout_phase{service=\"s\"}", &std::pair<std::string, double>::first)
            ->second;
    };
    run(400ms, 0);
    ASSERT_EQ(phase(), 0);
    for (int i = 0; i < 100; ++i) {
        run(10ms, 0);
        for (int n = 0; n < 6; ++n)
            send(*daemons[first]);
    }
    run(300ms, 0);
    EXPECT_EQ(phase(), 3);
}

// Guards against a bad version that seems good because the counts of daemons are forgotten when they and the
// coordinator are killed: by the daemon that takes over, or by the first one when it is back.
TEST_F(RolloutControllerTest, CountsOfKilledDaemonsAreKept)
{
    limits.revert = 2s;
    const std::vector<std::string_view> names { "d0", "d1", "d2" };
    const std::string first(names[rendezvousOwner(key, names)]);
    std::string last;
    for (const auto it : names) {
        if (it != first)
            last = it;
    }
    const auto fail = [&](const std::string& daemon, const char* endpoint) {
        auto& it = *daemons.at(daemon);
        RolloutTicket ticket;
        const auto send
            = it.controller.recordSend(*it.registry.find(EndpointId(endpoint)), "r", work, ticket, now);
        it.controller.recordEnd(send, ticket, { .outcome = SendOutcome::Failed }, now);
    };
    for (const bool isBack : { false, true }) {
        for (const auto it : names)
            start(std::string(it));
        order(R"({"Service":"s","To":"v2","DurationS":60})");
        run(2s, 1);
        for (const auto* endpoint : { "b1", "b2", "b1", "b2" })
            fail(first, endpoint);
        run(1s, 1);
        ASSERT_EQ(store.status(), "running");
        daemons.erase(first);
        run(3s, 1);
        if (isBack) {
            start(first);
            run(3s, 1);
        }
        ASSERT_EQ(store.status(), "running");
        for (const auto* endpoint : { "b1", "b2", "b3" })
            fail(last, endpoint);
        run(1s, 1);
        EXPECT_EQ(store.status(), "reverted") << isBack;
    }
}

// Guards against a canary that sends to an engine which is suspended, and against one that gets less than its
// share because its engines had no room for a while.
TEST_F(RolloutControllerTest, CanaryAvoidsSuspendedEndpointsAndCatchesUp)
{
    order(toV2);
    run(1s);
    for (auto& [name, it] : daemons) {
        for (const auto* id : { "b1", "b2" }) {
            const auto endpoint = it->registry.find(EndpointId(id));
            for (int i = 0; i < 8; ++i) {
                endpoint->recordSend(work, now);
                endpoint->recordEnd(work, SendOutcome::Failed, false, now);
            }
            ASSERT_TRUE(endpoint->isSuspended(now + 1s));
        }
    }
    const auto before = sent["v2"];
    sentTo.clear();
    run(1s);
    EXPECT_EQ(sentTo["b1"] + sentTo["b2"], 0);
    EXPECT_GT(sentTo["b3"], 0);
    EXPECT_EQ(sentTo["b3"], sent["v2"] - before);
    // Without room at the target version, the former one serves, and the share is used later.
    for (auto& [name, it] : daemons)
        it->registry.updatePeerLoads("other",
            { { .endpoint = hashOf("b1"), .inFlight = 1000 }, { .endpoint = hashOf("b2"), .inFlight = 1000 },
                { .endpoint = hashOf("b3"), .inFlight = 1000 } },
            now);
    const auto share = sent["v2"] / double(sent["v1"] + sent["v2"]);
    const auto full = sent["v2"];
    run(5s);
    ASSERT_EQ(sent["v2"], full);
    for (auto& [name, it] : daemons)
        it->registry.updatePeerLoads("other", {}, now);
    run(5s);
    EXPECT_GT(sent["v2"], 0.8 * share * (sent["v1"] + sent["v2"]));
    EXPECT_EQ(refused, 0);
}

// Guards against a coordinator that takes a lost answer for a failed write, or its own write for another's.
TEST_F(RolloutControllerTest, TransactionsWhoseAnswersAreLostAreNotUndone)
{
    store.losesAnswers = true;
    order(toV2);
    run(2s);
    EXPECT_EQ(store.status(), "running");
    EXPECT_EQ(store.writes, 1);
    EXPECT_GT(sent["v2"], 0);
    run(20s);
    EXPECT_EQ(store.status(), "complete");
}

// Guards against two decisions on one order by daemons that do not hear each other.
TEST_F(RolloutControllerTest, OfTwoCoordinatorsOneDecides)
{
    order(toV2);
    run(3s);
    cut = { "d0" };
    std::set<std::string> states;
    for (int i = 0; i < 200; ++i) {
        run(100ms);
        states.insert(store.status());
    }
    EXPECT_EQ(states, (std::set<std::string> { "running", "complete" }));
    run(3s);
    const auto formerly = sent["v1"];
    run(2s);
    EXPECT_EQ(sent["v1"], formerly) << "both parts act by the state in the store";
}

// Guards against an order that begins anew, or a bad version that is tried again, after a restart.
TEST_F(RolloutControllerTest, RestartOfAllDaemonsContinuesTheOrder)
{
    order(toV2);
    const auto orderedAt = now;
    run(8s);
    for (const auto* name : { "d0", "d1", "d2" })
        start(name);
    const auto before = sent["v2"];
    send(*daemons["d0"]);
    EXPECT_EQ(sent["v2"], before) << "without a permit";
    run(orderedAt + 20s - now);
    EXPECT_EQ(store.status(), "complete") << "by the deadline of the order";
    const auto writes = store.writes;
    for (const auto* name : { "d0", "d1", "d2" })
        start(name);
    run(2s);
    const auto formerly = sent["v1"];
    run(2s);
    EXPECT_EQ(sent["v1"], formerly);
    EXPECT_EQ(store.writes, writes);
}

// Guards against an end that is forgotten because the daemon that decided is gone before it could write it.
TEST_F(RolloutControllerTest, NextCoordinatorWritesTheEnd)
{
    order(toV2);
    run(2s);
    store.isAway = true;
    badVersion = "v2";
    run(10s);
    ASSERT_EQ(store.status(), "running");
    const std::vector<std::string_view> names { "d0", "d1", "d2" };
    daemons.erase(std::string(names[rendezvousOwner(key, names)]));
    store.isAway = false;
    run(3s);
    EXPECT_EQ(store.status(), "reverted");
}

// Guards against a state that goes back because the store has lost what was written.
TEST_F(RolloutControllerTest, StateIsWrittenAgainAfterTheStoreCameBackFromACopy)
{
    badVersion = "v2";
    order(toV2);
    run(2s);
    const auto copy = store.rows;
    run(10s);
    ASSERT_EQ(store.status(), "reverted");
    store.rows = copy;
    ++store.era;
    for (auto& [name, it] : daemons)
        it->controller.storeEraChanged();
    // The operator writes the row again, which gets another version.
    order(toV2);
    const auto before = sent["v2"];
    run(3s);
    EXPECT_EQ(store.status(), "reverted");
    EXPECT_EQ(sent["v2"], before);
}

// Guards against a status that is lost or goes back, because the engines of the version that was rejected
// have left when the store comes back from a copy without the order.
TEST_F(RolloutControllerTest, EndIsWrittenAgainAfterEnginesHaveLeft)
{
    badVersion = "v2";
    order(toV2);
    run(10s);
    ASSERT_EQ(store.status(), "reverted");
    for (auto& [name, it] : daemons) {
        for (const auto* id : { "b1", "b2", "b3" })
            it->registry.unlist(EndpointId(id));
    }
    store.rows.clear();
    ++store.era;
    for (auto& [name, it] : daemons)
        it->controller.storeEraChanged();
    order(toV2);
    std::set<std::string> states;
    for (int i = 0; i < 50; ++i) {
        run(50ms);
        states.insert(store.status());
    }
    states.erase("none");
    EXPECT_EQ(states, std::set<std::string> { "reverted" });
    EXPECT_EQ(refused, 0);
}

// Guards against orders that cannot be carried out and stop a service, or are begun.
TEST_F(RolloutControllerTest, InvalidOrdersAffectNothing)
{
    for (const auto* value :
        { R"({"Service":"s","To":"v9","DurationS":20})", R"({"Service":"s","To":"v2","DurationS":0})", "{",
            R"({"Service":"other","To":"v2","DurationS":20})" }) {
        order(value);
        run(4s);
        EXPECT_EQ(store.status(), "none") << value;
    }
    EXPECT_EQ(refused, 0);
    EXPECT_GT(sent["v1"], 0);
    EXPECT_GT(sent["v2"], 0) << "as without an order";
    const auto gauges = daemons["d0"]->controller.gauges(now);
    EXPECT_NE(
        std::ranges::find(gauges, std::pair<std::string, double>("rollout_orders_invalid", 3)), gauges.end());
}

// Guards against a rejected version that comes back with the next order, and against an order that stays in
// force after it was replaced or withdrawn.
TEST_F(RolloutControllerTest, ReplacedAndWithdrawnOrdersEnd)
{
    order(toV2);
    run(2s);
    endpoints["c1"] = endpoints["c2"] = "v3";
    for (auto& [name, it] : daemons) {
        it->list("c1", "v3");
        it->list("c2", "v3");
    }
    order(R"({"Service":"s","To":"v3","DurationS":20})");
    const auto before = sent["v2"];
    run(2s);
    EXPECT_EQ(sent["v2"], before);
    EXPECT_GT(sent["v3"], 0);
    orderValue.reset();
    for (auto& [name, it] : daemons)
        it->controller.orderRowDeleted(key, now);
    const auto rejected = sent["v3"];
    run(2s);
    EXPECT_EQ(sent["v3"], rejected);
    EXPECT_EQ(store.status(), "reverted");
    EXPECT_EQ(refused, 0);
}

// Guards against an outage of a service whose order ended before the daemon started: only the new version is
// left, and no coordinator has answered yet.
TEST_F(RolloutControllerTest, ServiceWithOneVersionIsServedWithoutAPermit)
{
    endpoints = { { "b1", "v2" }, { "b2", "v2" } };
    store.isAway = true;
    for (const auto* name : { "d0", "d1", "d2" })
        start(name);
    order(toV2);
    run(3s);
    EXPECT_EQ(refused, 0);
    EXPECT_GT(sent["v2"], 0);
}

// Guards against requests to new engines whose order has not been read yet.
TEST_F(RolloutControllerTest, NewVersionIsUsedOnceTheOrdersAreKnown)
{
    endpoints = { { "a1", "v1" }, { "a2", "v1" } };
    for (const auto* name : { "d0", "d1", "d2" })
        start(name);
    run(100ms);
    for (auto& [name, it] : daemons) {
        it->controller.confirmOrders(now);
        it->list("b1", "v2");
    }
    now += 10ms;
    run(500ms);
    EXPECT_EQ(sent["v2"], 0);
    EXPECT_GT(sent["v1"], 0);
    for (auto& [name, it] : daemons)
        it->controller.confirmOrders(now);
    run(500ms);
    EXPECT_GT(sent["v2"], 0);
}

// Guards against responses that are counted although they say nothing on the version, or are not counted.
TEST_F(RolloutControllerTest, EvidenceIsCountedByItsKind)
{
    auto& daemon = *daemons["d0"];
    auto& controller = daemon.controller;
    const auto endpoint = daemon.registry.find(EndpointId("b1"));
    const auto former = daemon.registry.find(EndpointId("a1"));
    for (int i = 0; i < 20; ++i) {
        RolloutTicket ticket;
        auto send = controller.recordSend(*former, "r", work, ticket, now);
        now += 50ms;
        controller.poll(now);
        controller.recordFirstEvent(send, now);
        controller.recordEnd(send, ticket, { .outcome = SendOutcome::Succeeded }, now);
    }
    order(toV2);
    run(2s, 0);
    const auto counted = [&](Duration time, const RolloutController::End& end, bool hasEvent = true) {
        const auto valueOf = [&](const std::string& name) {
            const auto all = controller.gauges(now);
            return std::ranges::find(all, name, &std::pair<std::string, double>::first)->second;
        };
        const auto bad = valueOf("rollout_bad_responses");
        const auto slow = valueOf("rollout_slow_responses");
        RolloutTicket ticket;
        controller.assign(service, std::nullopt, ticket, now);
        auto send = controller.recordSend(*endpoint, "r", work, ticket, now);
        run(time, 0);
        if (hasEvent)
            controller.recordFirstEvent(send, now);
        controller.recordEnd(send, ticket, end, now);
        return std::pair(valueOf("rollout_bad_responses") - bad, valueOf("rollout_slow_responses") - slow);
    };
    using Counts = std::pair<double, double>;
    EXPECT_EQ(counted(50ms, { .outcome = SendOutcome::Succeeded }), Counts(0, 0));
    EXPECT_EQ(counted(300ms, { .outcome = SendOutcome::Succeeded }), Counts(0, 1));
    EXPECT_EQ(counted(50ms, { .outcome = SendOutcome::Failed }), Counts(1, 0));
    EXPECT_EQ(counted(300ms, { .outcome = SendOutcome::Failed }), Counts(1, 1));
    EXPECT_EQ(counted(50ms, { .outcome = SendOutcome::Failed, .evidence = 0.2 }), Counts(0, 0));
    for (const auto outcome : { SendOutcome::Unreachable, SendOutcome::Full, SendOutcome::Misdirected })
        EXPECT_EQ(counted(300ms, { .outcome = outcome }, false), Counts(0, 0));
    EXPECT_EQ(counted(300ms, { .outcome = SendOutcome::Neutral }, false), Counts(0, 1))
        << "no answer in time";
    EXPECT_EQ(counted(50ms, { .outcome = SendOutcome::Neutral }, false), Counts(0, 0));
}

// Guards against a good version that seems slow because its engines process prompts which the former ones
// have in their caches.
TEST_F(RolloutControllerTest, EmptyPromptCachesDoNotMakeAVersionSlow)
{
    auto& daemon = *daemons["d0"];
    auto& controller = daemon.controller;
    const Work whole { .isStream = true, .promptTokens = 6610 };
    const Work cached { .isStream = true, .promptTokens = 6610, .cachedTokens = 6610 };
    const auto respond = [&](const char* endpoint, const Work& sent, Duration time) {
        RolloutTicket ticket;
        auto send
            = controller.recordSend(*daemon.registry.find(EndpointId(endpoint)), "r", sent, ticket, now);
        run(time, 0);
        controller.recordFirstEvent(send, now);
        controller.recordEnd(send, ticket, { .outcome = SendOutcome::Succeeded, .answerTokens = 1 }, now);
    };
    for (int i = 0; i < 20; ++i)
        respond("a1", cached, 100ms);
    order(toV2);
    run(2s, 0);
    const auto slowResponses = [&] {
        const auto all = controller.gauges(now);
        return std::ranges::find(all, "rollout_slow_responses", &std::pair<std::string, double>::first)
            ->second;
    };
    // 2.8 times the work.
    respond("b1", whole, 300ms);
    EXPECT_EQ(slowResponses(), 0);
    respond("b1", whole, 1s);
    EXPECT_EQ(slowResponses(), 1);
}

} // namespace
} // namespace lentilbay::edge
