// Which endpoint gets the next request.
#include "lentilbay/Edge/EndpointBook.h"

#include "lentilbay/Support/Hash.h"

#include <gtest/gtest.h>

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

class EndpointBookTest : public testing::Test {
protected:
    EndpointBookTest()
    {
        book.list(endpointOf("near", "a"));
        book.list(endpointOf("far", "b"));
    }

    std::string chosen(TimePoint now = TimePoint(1s), std::vector<EndpointId> tried = {})
    {
        const auto it = book.choose({ .service = service,
                                        .work = shortStream,
                                        .objectiveAt = now + 800ms,
                                        .tried = std::move(tried) },
            now);
        return it ? it->listed().id.text() : "none";
    }

    EndpointState& at(const std::string& id) { return *book.find(EndpointId(id)); }

    void peerHas(const std::string& id, uint16_t inFlight, TimePoint now)
    {
        book.heardLoads("peer", { { .endpoint = hashOf(id), .inFlight = inFlight } }, now);
    }

    EndpointBook book {
        { .ownDataCentre = DataCentreId("a"),
            .regions = { { DataCentreId("a"), RegionId("ra") }, { DataCentreId("b"), RegionId("rb") } } },
        1
    };
};

TEST_F(EndpointBookTest, PrefersItsOwnRegionWhileThereIsRoom)
{
    EXPECT_EQ(chosen(), "near");
    at("near").sent(shortStream, TimePoint(1s));
    at("near").sent(shortStream, TimePoint(1s));
    EXPECT_EQ(chosen(), "far") << "both slots are taken";
    at("far").sent(shortStream, TimePoint(1s));
    at("far").sent(shortStream, TimePoint(1s));
    EXPECT_EQ(chosen(), "none");
    at("near").ended(shortStream, SendEnd::Good, false, TimePoint(1s));
    EXPECT_EQ(chosen(), "near");
}

TEST_F(EndpointBookTest, CountsTheLoadOfOtherDaemonsForAWhile)
{
    peerHas("near", 2, TimePoint(1s));
    EXPECT_EQ(chosen(TimePoint(1s)), "far");
    book.forgetStaleLoads(TimePoint(4s));
    EXPECT_EQ(chosen(TimePoint(4s)), "near") << "what was heard long ago no longer counts";
}

TEST_F(EndpointBookTest, AnEndpointOfAnotherRegionNeedsHeadroomWhereItsLoadIsHeardLate)
{
    // The load of djspu-edit-grown scale-1: 55 daemons see the same free slot of a far engine for a second,
    // and a quarter of the sends were turned away by full engines.
    book.list(endpointOf("far", "b", 4));
    peerHas("near", 2, TimePoint(1s));
    EXPECT_EQ(chosen(), "far");
    book.setHeadroom({ .sameRegion = 2, .otherRegion = 3 });
    EXPECT_EQ(chosen(), "far");
    at("far").sent(shortStream, TimePoint(1s));
    EXPECT_EQ(chosen(), "none");
    peerHas("near", 1, TimePoint(1s));
    EXPECT_EQ(chosen(), "near") << "what is heard often needs none";
}

TEST_F(EndpointBookTest, AStatusReplacesTheOneBeforeAndTheEndpointListedAnewBeginsEmpty)
{
    peerHas("near", 2, TimePoint(1s));
    peerHas("far", 1, TimePoint(1s));
    EXPECT_EQ(at("near").load(), 0);
    EXPECT_EQ(at("far").load(), 1);
    book.unlist(EndpointId("far"));
    book.list(endpointOf("far", "b"));
    EXPECT_EQ(at("far").load(), 0);
    peerHas("near", 2, TimePoint(1s));
    EXPECT_EQ(at("far").load(), 0) << "what the former one had isn't taken from its successor";
}

TEST_F(EndpointBookTest, SendsNothingToWhatLeavesOrWasTried)
{
    auto leaving = endpointOf("near", "a");
    leaving.isDraining = true;
    book.list(leaving);
    EXPECT_EQ(chosen(), "far");
    EXPECT_EQ(chosen(TimePoint(1s), { EndpointId("far") }), "none");
    book.unlist(EndpointId("far"));
    EXPECT_EQ(chosen(), "none");
    EXPECT_FALSE(book.hasAny(service));
}

TEST_F(EndpointBookTest, OneFailureIsARequestsTwoAreTheEndpoints)
{
    at("near").sent(shortStream, TimePoint(1s));
    at("near").ended(shortStream, SendEnd::Bad, false, TimePoint(1s));
    EXPECT_EQ(chosen(), "near");
    at("near").sent(shortStream, TimePoint(1s));
    at("near").ended(shortStream, SendEnd::Bad, false, TimePoint(1s));
    EXPECT_EQ(chosen(), "far");
    // After the pause it gets one request at a time, until one is good.
    peerHas("far", 2, TimePoint(10s));
    EXPECT_EQ(chosen(TimePoint(10s)), "near");
    at("near").sent(shortStream, TimePoint(10s));
    EXPECT_EQ(chosen(TimePoint(10s)), "none");
    at("near").ended(shortStream, SendEnd::Good, false, TimePoint(10s));
    EXPECT_EQ(chosen(TimePoint(10s)), "near");
}

TEST_F(EndpointBookTest, FailingAPartOfItsRequestsIsNoticed)
{
    // The load of srv_grey: most requests fail, but never two in a row.
    auto& near = at("near");
    int refusedBy = 0;
    for (int i = 0; i < 30 && refusedBy == 0; ++i) {
        near.sent(shortStream, TimePoint(1s));
        near.ended(shortStream, i % 2 == 0 ? SendEnd::Bad : SendEnd::Good, false, TimePoint(1s));
        if (near.isSuspended(TimePoint(1s)))
            refusedBy = i;
    }
    EXPECT_GT(refusedBy, 0);
}

TEST_F(EndpointBookTest, AvoidsAnEndpointThatFellSilent)
{
    auto& near = at("near");
    near.sent(shortStream, TimePoint(1s));
    EXPECT_FALSE(near.isSilent(TimePoint(1300ms)));
    EXPECT_TRUE(near.isSilent(TimePoint(4s)));
    EXPECT_EQ(chosen(TimePoint(4s)), "far");
    near.progressed(6, 30ms, TimePoint(4s));
    EXPECT_EQ(chosen(TimePoint(4s)), "near");
}

TEST_F(EndpointBookTest, LearnsThatAnEndpointIsSlow)
{
    auto& near = at("near");
    for (int i = 0; i < 60; ++i)
        near.progressed(6, 400ms, TimePoint(1s));
    EXPECT_EQ(chosen(), "far");
    EXPECT_GT(near.expectedWhole(shortStream), Duration(5s));
}

TEST_F(EndpointBookTest, ALongAnswerWaitsForAnEndpointThatIsFastEnough)
{
    // The load of djspu-edit scale-1: answers of thousands of tokens, and engines that are five times slower.
    auto& near = at("near");
    for (int i = 0; i < 60; ++i)
        near.progressed(6, 75ms, TimePoint(1s));
    const ChoiceQuery query { .service = service,
        .work = { .isStream = true, .promptTokens = 500, .answerTokens = 1500 },
        .objectiveAt = TimePoint(1800ms),
        .giveUpAt = TimePoint(16s) };
    ASSERT_TRUE(book.choose(query, TimePoint(1s)));
    EXPECT_EQ(book.choose(query, TimePoint(1s))->listed().id, EndpointId("far"));
    peerHas("far", 2, TimePoint(1s));
    EXPECT_EQ(book.choose(query, TimePoint(1s)), nullptr) << "the slow one would be cut off at the deadline";
    book.unlist(EndpointId("far"));
    EXPECT_TRUE(book.choose(query, TimePoint(1s))) << "with no faster one it is tried all the same";
}

TEST_F(EndpointBookTest, ALongPromptDoesNotHoldUpTheStreamsOfASlowEndpoint)
{
    // The load of djspu-edit scale-1: prompts that a fast engine reads in 80 ms stop the streams of one that
    // is five times slower for longer than their gap objective.
    auto& near = at("near");
    for (int i = 0; i < 60; ++i)
        near.progressed(6, 75ms, TimePoint(1s));
    const auto query = [&](double promptTokens, bool isPatient) {
        return ChoiceQuery { .service = service,
            .work = { .isStream = true, .promptTokens = promptTokens, .answerTokens = 60 },
            .objectiveAt = TimePoint(1800ms),
            .giveUpAt = TimePoint(16s),
            .gapObjective = 300ms,
            .tokensPerEvent = 6,
            .isPatient = isPatient };
    };
    ASSERT_EQ(book.choose(query(9000, true), TimePoint(1s))->listed().id, EndpointId("far"));
    peerHas("far", 2, TimePoint(1s));
    EXPECT_EQ(book.choose(query(9000, true), TimePoint(1s)), nullptr) << "a slot comes free soon";
    EXPECT_EQ(book.choose(query(9000, false), TimePoint(1s))->listed().id, EndpointId("near"));
    EXPECT_EQ(book.choose(query(500, true), TimePoint(1s))->listed().id, EndpointId("near"));
    book.unlist(EndpointId("far"));
    EXPECT_TRUE(book.choose(query(9000, true), TimePoint(1s))) << "nothing better will come free";
}

TEST_F(EndpointBookTest, LongPromptsAheadDelayTheFirstEvent)
{
    auto& near = at("near");
    const auto before = near.expectedFirst(shortStream);
    near.sent({ .isStream = true, .promptTokens = 50'000, .answerTokens = 100 }, TimePoint(1s));
    EXPECT_GT(near.expectedFirst(shortStream), before + 300ms);
    EXPECT_EQ(chosen(), "far") << "it would miss the objective behind the long prompt";
}

} // namespace
} // namespace lentilbay::edge
