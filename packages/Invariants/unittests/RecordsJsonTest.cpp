// Records round-trip through JSON, and invalid records are reported with their line.
#include "lentilbay/Invariants/RecordsJson.h"
#include "RunFixture.h"

#include <gtest/gtest.h>
#include <sstream>

using namespace lentilbay;
using namespace std::chrono_literals;

TEST(RecordsJson, callerRecordsRoundTrip)
{
    auto lot = reservation("lot-1", "k1", 20, 40);
    lot.deadline = 10s;
    lot.sharedPrefixTokens = 7;
    const std::vector records { lot, refusedCaller("r", 1, 5, 9, ResultCode::Preempted) };
    std::stringstream text;
    for (const auto& it : records)
        text << printJson(it) << '\n';
    EXPECT_EQ(readCallerRecords(text), records);
}

TEST(RecordsJson, reportsLineOfInvalidRecord)
{
    std::stringstream text(printJson(reservation("a", "k", 0, 1)) + "\n{\"request_id\": 1}\n");
    try {
        readCallerRecords(text);
        FAIL() << "no exception for an invalid line";
    } catch (const std::runtime_error& error) {
        EXPECT_EQ(std::string(error.what()).find("line 2: "), 0U) << error.what();
    }
}

TEST(RecordsJson, readsEngineRecords)
{
    RunRecords run;
    readEndpointRecords(R"({"kind":"engine","leaving_since_us":7,"orders":[],"records":[
        {"request_id":"r1","digest":5,"model":"editor","arrived_us":1,"first_token_us":2,"ended_us":null,
         "prompt_tokens":9,"prefill_computed":8,"prefill_cached":1,"answer_tokens":4,"tokens_produced":1,
         "broken_streams":1,"end":"running"},
        {"request_id":"r2","digest":6,"model":"editor","arrived_us":3,"first_token_us":null,"ended_us":3,
         "prompt_tokens":9,"prefill_computed":0,"prefill_cached":0,"answer_tokens":4,"tokens_produced":0,
         "broken_streams":0,"end":"refused"}]})",
        { .id = EndpointId("e1") }, run);
    ASSERT_EQ(run.endpoints.size(), 1U);
    EXPECT_EQ(run.endpoints[0].leavingSince, TimePoint(7us));
    ASSERT_EQ(run.dispatches.size(), 2U);
    EXPECT_EQ(run.dispatches[0],
        (DispatchRecord { .id = RequestId("r1"),
            .contentDigest = 5,
            .endpoint = EndpointId("e1"),
            .service = ServiceId("editor"),
            .arrivedAt = TimePoint(1us),
            .executed = true,
            .endpointFailed = true,
            .prefillComputed = 8,
            .prefillCached = 1 }));
    EXPECT_FALSE(run.dispatches[1].executed);
}

TEST(RecordsJson, readsApplicationEndpointRecords)
{
    RunRecords run;
    readEndpointRecords(R"({"kind":"service","leaving_since_us":null,"records":[
        {"request_id":"r1","key":"k","digest":5,"arrived_us":1,"ended_us":4,"executed":true,"refused":false,
         "answer_dropped":true}]})",
        { .id = EndpointId("app") }, run);
    ASSERT_EQ(run.dispatches.size(), 1U);
    EXPECT_TRUE(run.dispatches[0].endpointFailed);
    EXPECT_EQ(run.dispatches[0].idempotencyKey, "k");
    EXPECT_EQ(run.dispatches[0].endedAt, TimePoint(4us));
}

TEST(RecordsJson, readsRunDescription)
{
    const auto run = readRunDescription(R"({
        "endpoints": [{"name":"e1","services":["a","b"],"prefill_tokens_per_second":10,"decode_step_us":3}],
        "stops": [{"daemon":"d1","requested_us":1,"exited_us":2,"exit_code":1}],
        "faults": [{"kind":"platform","from_us":1,"until_us":null}],
        "accepted": [{"version":2,"accepted_us":5}],
        "observed": [{"daemon":"d1","version":2,"at_us":6,"takes_work":false}],
        "options": {"answer_delay_ms": 1.5}})");
    EXPECT_EQ(run.records.endpoints[0].services.size(), 2U);
    EXPECT_EQ(run.records.stops[0].exitCode, 1);
    EXPECT_EQ(run.records.faults[0].kind, FaultRecord::Kind::PlatformFault);
    EXPECT_EQ(run.records.accepted[0].version, 2U);
    EXPECT_FALSE(run.records.observed[0].takesWork);
    EXPECT_EQ(run.options.answerDelay, 1500us);
    EXPECT_THROW(readRunDescription("{"), std::runtime_error);
    EXPECT_THROW(readRunDescription(R"({"faults":[{"kind":"flood","from_us":1}]})"), std::runtime_error);
}
