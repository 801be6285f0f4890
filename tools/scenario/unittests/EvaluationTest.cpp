// Tests that unmet expectations are reported with their line and invariant violations without an expectation.
#include "Evaluation.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace lentilbay;
using namespace lentilbay::scenario;
using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

namespace {

CallerRecord answered(const std::string& id, const std::string& service, Duration time)
{
    return { .id = RequestId(id),
        .tier = TierId("desk"),
        .rank = 4,
        .service = ServiceId(service),
        .sentAt = TimePoint(1h),
        .endedAt = TimePoint(1h) + time,
        .end = CallerEnd::Answered,
        .whole = true,
        .own = true };
}

RunRecords run()
{
    RunRecords records;
    records.callers = { answered("a", "lot-checks", 10ms), answered("b", "grade-summaries", 30ms) };
    records.callers.push_back(answered("c", "lot-checks", 5ms));
    records.callers.back().end = CallerEnd::Refused;
    records.callers.back().code = ResultCode::RequestRateLimit;
    records.dispatches = { { .id = RequestId("a"), .endpoint = EndpointId("app"), .prefillComputed = 10 } };
    return records;
}

std::vector<std::string> evaluated(const Expectation& expectation)
{
    return evaluate({ .name = "s.lua", .expectations = { expectation } }, run());
}

} // namespace

TEST(Evaluate, reportsNothingIfExpectationsAreMet)
{
    using Kind = Expectation::Kind;
    EXPECT_THAT(
        evaluated({ .kind = Kind::Goodput, .subject = "desk", .least = 0.6, .most = 0.7 }), IsEmpty());
    EXPECT_THAT(evaluated({ .subject = "refused", .least = 1, .most = 1 }), IsEmpty());
    EXPECT_THAT(evaluated({ .subject = "LB-2001", .service = "lot-checks", .least = 1 }), IsEmpty());
    EXPECT_THAT(evaluated({ .subject = "answered", .service = "lot-checks", .most = 1 }), IsEmpty());
    EXPECT_THAT(evaluated({ .kind = Kind::Dispatches, .subject = "app", .least = 1, .most = 1 }), IsEmpty());
    EXPECT_THAT(evaluated({ .kind = Kind::WastedPrefill, .most = 0 }), IsEmpty());
    EXPECT_THAT(evaluated({ .kind = Kind::Sooner, .subject = "lot-checks", .service = "grade-summaries" }),
        IsEmpty());
}

TEST(Evaluate, reportsUnmetExpectations)
{
    using Kind = Expectation::Kind;
    EXPECT_THAT(evaluated({ .kind = Kind::Goodput, .subject = "desk", .least = 0.9, .line = 7 }),
        ElementsAre("s.lua:7: desk: 0.6667, expected at least 0.9"));
    EXPECT_THAT(evaluated({ .subject = "lost", .least = 1, .most = 2 }),
        ElementsAre("s.lua:0: lost: 0, expected at least 1 and at most 2"));
    EXPECT_THAT(evaluated({ .kind = Kind::Sooner, .subject = "grade-summaries", .service = "lot-checks" }),
        ElementsAre(HasSubstr("expected sooner than lot-checks")));
    EXPECT_THAT(evaluated({ .kind = Kind::Goodput, .subject = "proof", .least = 0 }),
        ElementsAre(HasSubstr("no request of tier proof")));
    EXPECT_THAT(evaluated({ .kind = Kind::Sooner, .subject = "none", .service = "lot-checks" }),
        ElementsAre(HasSubstr("no request of none")));
}

TEST(Evaluate, reportsInvariantViolationsWithoutExpectations)
{
    auto records = run();
    records.dispatches.push_back(records.dispatches.front());
    EXPECT_THAT(evaluate({ .name = "s.lua" }, records), ElementsAre(HasSubstr("dispatched-at-most-once: a")));
}
