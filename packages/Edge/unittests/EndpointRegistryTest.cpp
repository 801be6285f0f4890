// Tests the choice of the endpoint for a request, and what the registry learns from past sends.
#include "lentilbay/Edge/EndpointRegistry.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <ctime>
#include <gtest/gtest.h>
#include <limits>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

const ServiceId service("s");
constexpr Work shortStream { .isStream = true, .promptTokens = 500, .answerTokens = 100 };

RoutedEndpoint endpointOf(const std::string& id, const std::string& dataCentre, uint32_t slots = 2)
{
    return { .id = EndpointId(id),
        .service = service,
        .host = "10.0.0.1",
        .port = 80,
        .dataCentre = DataCentreId(dataCentre),
        .slots = slots };
}

class EndpointRegistryTest : public testing::Test {
protected:
    EndpointRegistryTest()
    {
        endpointRegistry.list(endpointOf("near", "a"));
        endpointRegistry.list(endpointOf("far", "b"));
    }

    std::string chosen(TimePoint now = TimePoint(1s), std::vector<EndpointId> tried = {})
    {
        const auto it = endpointRegistry.choose({ .service = service,
                                                    .work = shortStream,
                                                    .objectiveAt = now + 800ms,
                                                    .tried = std::move(tried) },
            now);
        return it ? it->entry().id.text() : "none";
    }

    EndpointState& at(const std::string& id) { return *endpointRegistry.find(EndpointId(id)); }

    void setPeerLoad(const std::string& id, uint16_t inFlight, TimePoint now)
    {
        endpointRegistry.updatePeerLoads("peer", { { .endpoint = hashOf(id), .inFlight = inFlight } }, now);
    }

    EndpointRegistry endpointRegistry {
        { .ownDataCentre = DataCentreId("a"),
            .regions = { { DataCentreId("a"), RegionId("ra") }, { DataCentreId("b"), RegionId("rb") } } },
        1
    };
};

TEST_F(EndpointRegistryTest, ReportsExcludedAllEndpointsOfAService)
{
    const TimePoint now(1s);
    const auto report = [&](const std::vector<std::string>& ids) {
        std::vector<EndpointFailureReport> reports;
        reports.reserve(ids.size());
        for (const auto& it : ids)
            reports.push_back({ .endpoint = hashOf(it),
                .nearby = { .daemons = 1, .dataCentres = 1, .failureAge = 10, .streakAge = 10 } });
        for (const auto* peer : { "p1", "p2" })
            endpointRegistry.failureReports().apply(
                { .name = peer, .dataCentre = "a" }, ReportScope::Daemon, reports, now);
    };
    endpointRegistry.failureReports().setDaemons({ .name = "self", .dataCentre = "a" }, {});
    report({ "near" });
    EXPECT_EQ(chosen(now), "far");
    EXPECT_EQ(endpointRegistry.occupancy(service, now).slots, 2);
    report({ "near", "far" });
    EXPECT_EQ(chosen(now), "near");
    report({});
    EXPECT_EQ(chosen(now), "near");
}

TEST_F(EndpointRegistryTest, EntryAtTheAddressOfAnotherEndpointTookMostRequests)
{
    // Such an entry looks idle for ever, because nothing is in flight there.
    endpointRegistry.list(endpointOf("wrong", "a", 100));
    int sends = 0;
    for (auto now = TimePoint(1s); now < TimePoint(61s); now += 50ms) {
        const auto it = endpointRegistry.choose(
            { .service = service, .work = shortStream, .objectiveAt = now + 800ms }, now);
        ASSERT_TRUE(it);
        it->recordSend(shortStream, now);
        const bool isWrong = it->entry().id.text() == "wrong";
        sends += isWrong;
        it->recordEnd(
            shortStream, isWrong ? SendOutcome::Misdirected : SendOutcome::Succeeded, false, now + 10ms);
    }
    EXPECT_LE(sends, 7) << "of 1200";
    // The endpoint has moved to an address of its own.
    auto moved = endpointOf("wrong", "a", 100);
    moved.port = 81;
    at("wrong").recordEnd(shortStream, SendOutcome::Misdirected, false, TimePoint(61s));
    endpointRegistry.list(moved);
    EXPECT_FALSE(at("wrong").isSuspended(TimePoint(61s)));
}

TEST_F(EndpointRegistryTest, PrefersItsOwnRegionWhileItHasRoom)
{
    EXPECT_EQ(chosen(), "near");
    at("near").recordSend(shortStream, TimePoint(1s));
    at("near").recordSend(shortStream, TimePoint(1s));
    EXPECT_EQ(chosen(), "far") << "both slots are taken";
    at("far").recordSend(shortStream, TimePoint(1s));
    at("far").recordSend(shortStream, TimePoint(1s));
    EXPECT_EQ(chosen(), "none");
    at("near").recordEnd(shortStream, SendOutcome::Succeeded, false, TimePoint(1s));
    EXPECT_EQ(chosen(), "near");
}

TEST_F(EndpointRegistryTest, CountsTheLoadOfOtherDaemonsUntilItIsStale)
{
    setPeerLoad("near", 2, TimePoint(1s));
    EXPECT_EQ(chosen(TimePoint(1s)), "far");
    endpointRegistry.dropStaleLoads(TimePoint(4s));
    EXPECT_EQ(chosen(TimePoint(4s)), "near") << "stale loads are not counted";
}

TEST_F(EndpointRegistryTest, RemoteEndpointNeedsHeadroomWhileItsLoadIsReportedLate)
{
    // With 55 daemons, all see the same free slot of a remote endpoint for up to a second; a quarter of the
    // sends were then refused at capacity (djspu-edit-grown scale-1).
    endpointRegistry.list(endpointOf("far", "b", 4));
    setPeerLoad("near", 2, TimePoint(1s));
    EXPECT_EQ(chosen(), "far");
    endpointRegistry.setHeadroom({ .sameRegion = 2, .otherRegion = 3 });
    EXPECT_EQ(chosen(), "far");
    at("far").recordSend(shortStream, TimePoint(1s));
    EXPECT_EQ(chosen(), "none");
    setPeerLoad("near", 1, TimePoint(1s));
    EXPECT_EQ(chosen(), "near") << "local endpoints need no headroom";
}

TEST_F(EndpointRegistryTest, HeartbeatReplacesThePreviousOneAndAReaddedEndpointStartsEmpty)
{
    setPeerLoad("near", 2, TimePoint(1s));
    setPeerLoad("far", 1, TimePoint(1s));
    EXPECT_EQ(at("near").load(), 0);
    EXPECT_EQ(at("far").load(), 1);
    endpointRegistry.unlist(EndpointId("far"));
    endpointRegistry.list(endpointOf("far", "b"));
    EXPECT_EQ(at("far").load(), 0);
    setPeerLoad("near", 2, TimePoint(1s));
    EXPECT_EQ(at("far").load(), 0)
        << "the load of the removed endpoint must not be subtracted from the new one";
}

TEST_F(EndpointRegistryTest, SkipsDrainingAndTriedEndpoints)
{
    auto leaving = endpointOf("near", "a");
    leaving.isDraining = true;
    endpointRegistry.list(leaving);
    EXPECT_EQ(chosen(), "far");
    EXPECT_EQ(chosen(TimePoint(1s), { EndpointId("far") }), "none");
    endpointRegistry.unlist(EndpointId("far"));
    EXPECT_EQ(chosen(), "none");
    EXPECT_FALSE(endpointRegistry.hasCandidate(service));
}

TEST_F(EndpointRegistryTest, OlderEntryBringsNoEndpointBack)
{
    auto entry = endpointOf("near", "a");
    entry.startedAtMilliseconds = 5;
    endpointRegistry.list(entry);
    EXPECT_FALSE(endpointRegistry.wouldReturn(entry));
    auto leaving = entry;
    leaving.isDraining = true;
    EXPECT_FALSE(endpointRegistry.wouldReturn(leaving));
    endpointRegistry.list(leaving);
    EXPECT_TRUE(endpointRegistry.wouldReturn(entry));
    entry.startedAtMilliseconds = 4;
    EXPECT_TRUE(endpointRegistry.wouldReturn(entry)) << "an earlier start";
    entry.startedAtMilliseconds = 6;
    EXPECT_FALSE(endpointRegistry.wouldReturn(entry)) << "a later start";
    endpointRegistry.unlist(EndpointId("near"));
    EXPECT_TRUE(endpointRegistry.wouldReturn(entry)) << "removed";
}

TEST_F(EndpointRegistryTest, ListingThousandsOfEndpointsTookTheSquareOfTheirNumber)
{
    // Guards against daemons that serve nothing for 30 s after a restart of a large fleet: each of 3,000
    // endpoints that were listed one by one cost as much as all before it.
    const auto ticksFor = [](size_t n) {
        std::clock_t least = std::numeric_limits<std::clock_t>::max();
        // The least of several runs, as other processes can only add to it.
        for (int run = 0; run < 5; ++run) {
            EndpointRegistry registry({ .ownDataCentre = DataCentreId("a") }, 1);
            const auto start = std::clock();
            for (size_t i = 0; i < n; ++i)
                registry.list(endpointOf("e" + std::to_string(i), "a"));
            least = std::min(least, std::clock() - start);
        }
        return least;
    };
    // Eight times the endpoints; 64 times the time if it is quadratic.
    EXPECT_LT(ticksFor(4000), 30 * ticksFor(500));
}

TEST_F(EndpointRegistryTest, SharesFollowTheDaemonsAndTheSlotsOfTheService)
{
    // Guards against a cached share that outlives the fleet or the entry for which it was computed.
    std::vector<SlotAssignment::Daemon> daemons;
    daemons.reserve(20);
    for (int i = 0; i < 20; ++i)
        daemons.push_back({ .name = "d" + std::to_string(i), .dataCentre = DataCentreId("a") });
    for (int i = 0; i < 20; ++i)
        endpointRegistry.list(endpointOf("e" + std::to_string(i), "a", 8));
    EXPECT_EQ(endpointRegistry.assignedSlots(), 0U);
    endpointRegistry.assignSlots("d0", daemons);
    const auto own = endpointRegistry.assignedSlots();
    EXPECT_GT(own, 0U);
    EXPECT_LT(own, 30U) << "160 slots of 20 daemons";
    daemons.resize(2);
    endpointRegistry.assignSlots("d0", daemons);
    EXPECT_GT(endpointRegistry.assignedSlots(), 50U);
    for (int i = 0; i < 20; ++i)
        endpointRegistry.list(endpointOf("e" + std::to_string(i), "a", 1));
    EXPECT_LE(endpointRegistry.assignedSlots(), 24U);
    for (int i = 0; i < 20; ++i)
        endpointRegistry.unlist(EndpointId("e" + std::to_string(i)));
    endpointRegistry.unlist(EndpointId("far"));
    EXPECT_EQ(endpointRegistry.assignedSlots(), 0U) << "fewer than two slots for each daemon";
    EXPECT_EQ(chosen(), "near");
}

TEST_F(EndpointRegistryTest, EntryThatNamesAnotherServiceIsChosenForThatOneOnly)
{
    // Guards against requests of the former service that are sent to an endpoint which now serves another
    // one.
    auto moved = endpointOf("near", "a");
    moved.service = ServiceId("t");
    endpointRegistry.list(moved);
    EXPECT_EQ(chosen(), "far");
    EXPECT_EQ(endpointRegistry.endpointsOf(service).size(), 1U);
    EXPECT_EQ(endpointRegistry.endpointsOf(ServiceId("t")).size(), 1U);
    endpointRegistry.list(endpointOf("near", "a"));
    EXPECT_EQ(chosen(), "near");
    EXPECT_TRUE(endpointRegistry.endpointsOf(ServiceId("t")).empty());
}

TEST_F(EndpointRegistryTest, SuspendsAnEndpointAfterTwoFailuresInARow)
{
    at("near").recordSend(shortStream, TimePoint(1s));
    at("near").recordEnd(shortStream, SendOutcome::Failed, false, TimePoint(1s));
    EXPECT_EQ(chosen(), "near");
    at("near").recordSend(shortStream, TimePoint(1s));
    at("near").recordEnd(shortStream, SendOutcome::Failed, false, TimePoint(1s));
    EXPECT_EQ(chosen(), "far");
    // After the suspension it gets one request at a time until one succeeds.
    setPeerLoad("far", 2, TimePoint(10s));
    EXPECT_EQ(chosen(TimePoint(10s)), "near");
    at("near").recordSend(shortStream, TimePoint(10s));
    EXPECT_EQ(chosen(TimePoint(10s)), "none");
    at("near").recordEnd(shortStream, SendOutcome::Succeeded, false, TimePoint(10s));
    EXPECT_EQ(chosen(TimePoint(10s)), "near");
}

TEST_F(EndpointRegistryTest, FailuresOfRequestsThatFailElsewhereSuspendedAnEndpoint)
{
    // Failures that say little add up.
    auto& near = at("near");
    const auto fail = [&](double evidence) {
        near.recordSend(shortStream, TimePoint(1s));
        near.recordEnd(shortStream, SendOutcome::Failed, false, TimePoint(1s), evidence);
    };
    for (int i = 0; i < 3; ++i)
        fail(0.5);
    EXPECT_FALSE(near.isSuspended(TimePoint(1s)));
    fail(0.5);
    EXPECT_TRUE(near.isSuspended(TimePoint(1s)));
    // One of them turns out to be the request's.
    near.retractFailure(0.5, TimePoint(1s));
    EXPECT_FALSE(near.isSuspended(TimePoint(1s)));
    EXPECT_FALSE(near.isOnProbation());
}

TEST_F(EndpointRegistryTest, FailuresExcludedAllEndpointsOfAServiceThatWorks)
{
    const auto fail = [&](SendOutcome outcome, TimePoint now) {
        for (const auto* id : { "near", "far" }) {
            for (int i = 0; i < 2; ++i) {
                at(id).recordSend(shortStream, now);
                at(id).recordEnd(shortStream, outcome, false, now);
            }
        }
    };
    fail(SendOutcome::Failed, TimePoint(1s));
    EXPECT_EQ(chosen(), "none") << "nothing has succeeded";
    at("far").recordSend(shortStream, TimePoint(2s));
    at("far").recordEnd(shortStream, SendOutcome::Succeeded, false, TimePoint(2s));
    fail(SendOutcome::Failed, TimePoint(2s));
    EXPECT_EQ(chosen(TimePoint(2s)), "near");
    EXPECT_GT(endpointRegistry.occupancy(service, TimePoint(2s)).slots, 0);
    EXPECT_EQ(chosen(TimePoint(3900ms)), "near");
    fail(SendOutcome::Failed, TimePoint(3900ms));
    EXPECT_EQ(chosen(TimePoint(4100ms)), "none") << "the last success is too long ago";
    // No request can cause a failure to connect.
    at("far").recordSend(shortStream, TimePoint(20s));
    at("far").recordEnd(shortStream, SendOutcome::Succeeded, false, TimePoint(20s));
    fail(SendOutcome::Unreachable, TimePoint(20s));
    EXPECT_EQ(chosen(TimePoint(20s)), "none");
}

TEST_F(EndpointRegistryTest, RequestsThatAreNeverAnsweredExcludedAllEndpoints)
{
    for (const auto* id : { "near", "far" })
        at(id).recordSend(shortStream, TimePoint(1s));
    EXPECT_EQ(chosen(TimePoint(5s)), "none");
    at("near").recordSend(shortStream, TimePoint(5s));
    at("near").recordEnd(shortStream, SendOutcome::Succeeded, false, TimePoint(5s));
    EXPECT_NE(chosen(TimePoint(5400ms)), "none");
    EXPECT_EQ(chosen(TimePoint(5600ms)), "none") << "all links may be lost";
}

TEST_F(EndpointRegistryTest, SuspendsAnEndpointWithAHighFailureRate)
{
    // Most requests fail, but never two in a row (srv_grey).
    auto& near = at("near");
    int suspendedAfter = 0;
    for (int i = 0; i < 30 && suspendedAfter == 0; ++i) {
        near.recordSend(shortStream, TimePoint(1s));
        near.recordEnd(
            shortStream, i % 2 == 0 ? SendOutcome::Failed : SendOutcome::Succeeded, false, TimePoint(1s));
        if (near.isSuspended(TimePoint(1s)))
            suspendedAfter = i;
    }
    EXPECT_GT(suspendedAfter, 0);
}

TEST_F(EndpointRegistryTest, AvoidsAStalledEndpoint)
{
    auto& near = at("near");
    near.recordSend(shortStream, TimePoint(1s));
    EXPECT_FALSE(near.isStalled(TimePoint(1300ms)));
    EXPECT_TRUE(near.isStalled(TimePoint(4s)));
    EXPECT_EQ(chosen(TimePoint(4s)), "far");
    near.recordProgress(6, 30ms, TimePoint(4s));
    EXPECT_EQ(chosen(TimePoint(4s)), "near");
}

TEST_F(EndpointRegistryTest, AvoidsAnEndpointThatIsObservedToBeSlow)
{
    auto& near = at("near");
    for (int i = 0; i < 60; ++i)
        near.recordProgress(6, 400ms, TimePoint(1s));
    EXPECT_EQ(chosen(), "far");
    EXPECT_GT(near.expectedTotalTime(shortStream), Duration(5s));
}

TEST_F(EndpointRegistryTest, LongAnswerWaitsForAFastEnoughEndpoint)
{
    // Answers of thousands of tokens, with engines that differ in speed by a factor of five (djspu-edit
    // scale-1).
    auto& near = at("near");
    for (int i = 0; i < 60; ++i)
        near.recordProgress(6, 75ms, TimePoint(1s));
    const ChoiceQuery query { .service = service,
        .work = { .isStream = true, .promptTokens = 500, .answerTokens = 1500 },
        .objectiveAt = TimePoint(1800ms),
        .expiresAt = TimePoint(16s) };
    ASSERT_TRUE(endpointRegistry.choose(query, TimePoint(1s)));
    EXPECT_EQ(endpointRegistry.choose(query, TimePoint(1s))->entry().id, EndpointId("far"));
    setPeerLoad("far", 2, TimePoint(1s));
    EXPECT_EQ(endpointRegistry.choose(query, TimePoint(1s)), nullptr)
        << "the slow endpoint would be cut off at the deadline";
    endpointRegistry.unlist(EndpointId("far"));
    EXPECT_TRUE(endpointRegistry.choose(query, TimePoint(1s)))
        << "the slow endpoint is used if there is no faster one";
}

TEST_F(EndpointRegistryTest, LongPromptDoesNotDelayStreamsOfASlowEndpoint)
{
    // A prompt that a fast engine processes in 80 ms stops the streams of an engine five times slower for
    // longer than their gap objective (djspu-edit scale-1).
    auto& near = at("near");
    for (int i = 0; i < 60; ++i)
        near.recordProgress(6, 75ms, TimePoint(1s));
    const auto query = [&](double promptTokens, bool mayWait) {
        return ChoiceQuery { .service = service,
            .work = { .isStream = true, .promptTokens = promptTokens, .answerTokens = 60 },
            .objectiveAt = TimePoint(1800ms),
            .expiresAt = TimePoint(16s),
            .gapObjective = 300ms,
            .tokensPerEvent = 6,
            .mayWait = mayWait };
    };
    ASSERT_EQ(endpointRegistry.choose(query(9000, true), TimePoint(1s))->entry().id, EndpointId("far"));
    setPeerLoad("far", 2, TimePoint(1s));
    EXPECT_EQ(endpointRegistry.choose(query(9000, true), TimePoint(1s)), nullptr)
        << "a slot of the fast endpoint is expected soon";
    EXPECT_EQ(endpointRegistry.choose(query(9000, false), TimePoint(1s))->entry().id, EndpointId("near"));
    EXPECT_EQ(endpointRegistry.choose(query(500, true), TimePoint(1s))->entry().id, EndpointId("near"));
    endpointRegistry.unlist(EndpointId("far"));
    EXPECT_TRUE(endpointRegistry.choose(query(9000, true), TimePoint(1s)))
        << "no better endpoint will become free";
}

TEST_F(EndpointRegistryTest, PendingLongPromptsDelayTheFirstEvent)
{
    auto& near = at("near");
    const auto before = near.expectedTimeToFirstEvent(shortStream);
    near.recordSend({ .isStream = true, .promptTokens = 50'000, .answerTokens = 100 }, TimePoint(1s));
    EXPECT_GT(near.expectedTimeToFirstEvent(shortStream), before + 300ms);
    EXPECT_EQ(chosen(), "far") << "the first event would miss the objective behind the long prompt";
}

/// Two daemons that share the slots of engines, one of which states that rejections make it fail.
class BrittleEndpointsTest : public testing::Test {
protected:
    BrittleEndpointsTest()
    {
        list("brittle");
        list("other");
        registry.updateSignals("d0", daemons, now);
        state(1);
    }

    void list(const std::string& id, uint64_t startedAt = 1)
    {
        registry.list({ .id = EndpointId(id),
            .service = ServiceId("llm"),
            .dataCentre = DataCentreId("a"),
            .slots = 4,
            .startedAtMilliseconds = startedAt });
    }

    /// `limit` is what the endpoint states.
    void state(std::optional<double> limit)
    {
        const auto endpoint = registry.find(EndpointId("brittle"));
        for (int i = 0; i < 2; ++i) {
            now += 10ms;
            registry.recordSignals(*endpoint,
                { .endpoint = endpoint->incarnation(),
                    .signals = { .maxRejectionsPerSecond = limit },
                    .isConclusive = true,
                    .sentAt = now },
                now);
        }
    }

    /// How many requests this daemon may have in flight.
    size_t capacity()
    {
        std::vector<std::shared_ptr<EndpointState>> sends;
        while (const auto it = registry.choose({ .service = ServiceId("llm"), .work = work }, now)) {
            it->recordSend(work, now);
            sends.push_back(it);
        }
        for (const auto& it : sends)
            it->recordEnd(work, SendOutcome::Succeeded, false, now);
        return sends.size();
    }

    TimePoint now { 10s };
    EndpointRegistry registry { Topology { .ownDataCentre = DataCentreId("a") }, 1 };
    const Work work { .isStream = true, .promptTokens = 10, .answerTokens = 10 };
    const std::vector<SendingDaemon> daemons { { .name = "d0" }, { .name = "d1" } };
};

TEST_F(BrittleEndpointsTest, SlotsOfTheServiceAreDivided)
{
    EXPECT_TRUE(registry.isBrittle(ServiceId("llm")));
    EXPECT_EQ(capacity(), 4U) << "half of the slots of both";
}

TEST_F(BrittleEndpointsTest, EndpointThatIsBackAfterAFailureIsNotMetByAll)
{
    list("other", 2);
    registry.unlist(EndpointId("other"));
    list("other", 3);
    registry.updateSignals("d0", daemons, now);
    EXPECT_EQ(capacity(), 4U);
}

TEST_F(BrittleEndpointsTest, NewEndpointGetsNoMoreThanItsSlotsFromTheFirstMoment)
{
    list("new");
    EXPECT_EQ(capacity(), 6U);
}

TEST_F(BrittleEndpointsTest, ShareOfALostDaemonIsUsedLater)
{
    registry.updateSignals("d0", { { .name = "d0" } }, now);
    EXPECT_EQ(capacity(), 4U) << "the other daemon may still send";
    now += 2s;
    registry.updateSignals("d0", { { .name = "d0" } }, now);
    EXPECT_EQ(capacity(), 8U);
    now += 2s;
    registry.updateSignals("d0", daemons, now);
    EXPECT_EQ(capacity(), 4U);
}

TEST_F(BrittleEndpointsTest, AllSlotsAreUsedOnceItIsOver)
{
    state(std::nullopt);
    EXPECT_FALSE(registry.isBrittle(ServiceId("llm")));
    EXPECT_EQ(capacity(), 8U);
}

// Guards against requests that go to a software version, or to an engine of it, that their rule excludes.
TEST_F(EndpointRegistryTest, RulesOnVersionsAreKept)
{
    const auto now = TimePoint(1s);
    for (const auto* id : { "new-1", "new-2" }) {
        auto endpoint = endpointOf(id, "a", 4);
        endpoint.softwareVersion = "v2";
        endpointRegistry.list(endpoint);
    }
    const auto chosenBy = [&](const VersionRule& versions) {
        const auto it = endpointRegistry.choose(
            { .service = service, .work = shortStream, .objectiveAt = now + 800ms, .versions = versions },
            now);
        return it ? it->entry().id.text() : "none";
    };
    const VersionRule former { .excluded = { hashOf("v2") } };
    const VersionRule target { .required = hashOf("v2"),
        .endpoints = std::vector { hashOf("new-2") },
        .otherwise = std::make_shared<const VersionRule>(former) };
    EXPECT_EQ(chosenBy(former), "near");
    EXPECT_EQ(chosenBy(target), "new-2");
    setPeerLoad("new-2", 4, now);
    EXPECT_EQ(chosenBy(target), "near") << "no room at the endpoints of the rule";
    EXPECT_EQ(chosenBy({ .required = hashOf("v2"), .endpoints = std::vector { hashOf("new-2") } }), "none");
    EXPECT_EQ(chosenBy({ .required = hashOf("v3") }), "none");
    EXPECT_FALSE(endpointRegistry.hasCandidate(service, {}, { .required = hashOf("v3") }));
    EXPECT_TRUE(endpointRegistry.hasCandidate(service, { EndpointId("new-2") }, target));
    EXPECT_FALSE(endpointRegistry.hasCandidate(service, { EndpointId("near"), EndpointId("far") }, former));
    // The queue reckons with the slots that most requests can use.
    EXPECT_EQ(endpointRegistry.occupancy(service, now).slots, 12);
    endpointRegistry.setUsualVersions({ { service, former } });
    EXPECT_EQ(endpointRegistry.occupancy(service, now).slots, 4);
}

// Guards against requests of a canary that go to an engine which no daemon can reach, because the reports
// exclude all engines of the canary although others can serve the request.
TEST_F(EndpointRegistryTest, ReportsExcludeTheEndpointsOfARuleThatHasAnAlternative)
{
    const auto now = TimePoint(10s);
    auto endpoint = endpointOf("new", "a", 4);
    endpoint.softwareVersion = "v2";
    endpointRegistry.list(endpoint);
    const auto hash = hashOf("new");
    auto& reports = endpointRegistry.failureReports();
    const std::vector<EndpointFailureReports::Daemon> daemons { { "d0", "a" }, { "d1", "a" }, { "d2", "a" } };
    reports.setDaemons(daemons[0], daemons);
    reports.recordFailure(hash, endpoint.startedAtMilliseconds, now);
    for (const auto& it : { daemons[1], daemons[2] }) {
        EndpointFailureReports other;
        other.setDaemons(it, daemons);
        other.recordFailure(hash, endpoint.startedAtMilliseconds, now);
        reports.apply(it, ReportScope::Daemon, other.reports(ReportScope::Daemon, now), now);
    }
    ASSERT_EQ(endpointRegistry.useOf(*endpointRegistry.find(EndpointId("new")), now), EndpointUse::Excluded);
    const VersionRule onlyTarget { .required = hashOf("v2") };
    auto target = onlyTarget;
    target.otherwise = std::make_shared<const VersionRule>(VersionRule { .excluded = { hashOf("v2") } });
    const auto chosenBy = [&](const VersionRule& versions) {
        const auto it = endpointRegistry.choose(
            { .service = service, .work = shortStream, .objectiveAt = now + 800ms, .versions = versions },
            now);
        return it ? it->entry().id.text() : "none";
    };
    EXPECT_EQ(chosenBy(target), "near");
    EXPECT_EQ(chosenBy(onlyTarget), "new") << "nothing else may serve the request";
}

// Guards against requests of a canary that go to an engine which is suspended, because a success was seen
// there shortly before, although others can serve the request.
TEST_F(EndpointRegistryTest, SuspendedEndpointsOfARuleThatHasAnAlternativeGetNoRequests)
{
    const auto now = TimePoint(10s);
    auto endpoint = endpointOf("new", "a", 4);
    endpoint.softwareVersion = "v2";
    endpointRegistry.list(endpoint);
    for (const auto outcome : { SendOutcome::Succeeded, SendOutcome::Failed, SendOutcome::Failed }) {
        at("new").recordSend(shortStream, now);
        at("new").recordEnd(shortStream, outcome, true, now);
    }
    ASSERT_TRUE(at("new").isSuspended(now));
    const VersionRule onlyTarget { .required = hashOf("v2") };
    auto target = onlyTarget;
    target.otherwise = std::make_shared<const VersionRule>(VersionRule { .excluded = { hashOf("v2") } });
    const auto chosenBy = [&](const VersionRule& versions) {
        const auto it = endpointRegistry.choose(
            { .service = service, .work = shortStream, .objectiveAt = now + 800ms, .versions = versions },
            now);
        return it ? it->entry().id.text() : "none";
    };
    EXPECT_EQ(chosenBy(target), "near");
    EXPECT_EQ(chosenBy(onlyTarget), "new") << "nothing else may serve the request";
}

} // namespace
} // namespace lentilbay::edge
