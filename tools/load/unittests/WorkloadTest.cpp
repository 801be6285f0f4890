// Tests that workloads are reproducible by seed and that AnswerReader classifies responses.
#include "Workload.h"
#include "AnswerReader.h"
#include "lentilbay/Fakes/AnswerText.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <set>

using namespace lentilbay;
using namespace lentilbay::load;
using nlohmann::json;

namespace {

WorkloadOptions makeOptions(const std::string& user)
{
    return {
        .kinds = requestKindsOf(user), .seed = 7, .rate = 100, .count = 300, .tokenScale = 0.05, .resend = 0.3
    };
}

PlannedRequest firstRequestTo(const std::string& service, bool streams)
{
    auto options = makeOptions(service == "line-edits" ? "daejeon" : "cooperative");
    options.streams = streams ? 1 : 0;
    for (auto& it : planWorkload(options)) {
        if (it.record.service.text() == service)
            return it;
    }
    throw std::runtime_error("no request of " + service);
}

CallerRecord read(
    const PlannedRequest& request, int status, const std::string& body, const std::string& error = {})
{
    AnswerReader reader(request);
    reader.append(body);
    return reader.finish({ .status = status, .error = error });
}

std::string event(const json& data) { return "data: " + data.dump() + "\n\n"; }

json chunkOf(const std::string& text)
{
    json chunk;
    chunk["choices"].push_back({ { "delta", { { "content", text } } } });
    return chunk;
}

} // namespace

TEST(Workload, isReproducibleBySeed)
{
    const auto options = makeOptions("daejeon");
    const auto first = planWorkload(options);
    const auto second = planWorkload(options);
    ASSERT_EQ(first.size(), second.size());
    for (size_t n = 0; n < first.size(); ++n) {
        EXPECT_EQ(first[n].body, second[n].body);
        EXPECT_EQ(first[n].at, second[n].at);
    }
    auto other = options;
    other.seed = 8;
    EXPECT_NE(planWorkload(other)[0].at, first[0].at);
}

TEST(Workload, hasAllKindsOfBothUsersWithUniqueContents)
{
    for (const auto* user : { "daejeon", "cooperative" }) {
        std::set<std::string> services;
        std::map<uint64_t, std::set<std::string>> contents;
        for (const auto& it : planWorkload(makeOptions(user))) {
            services.insert(it.record.service.text());
            contents[it.record.contentDigest].insert(it.idempotencyKey + it.body + it.path);
            EXPECT_EQ(it.record.nonIdempotent, !it.idempotencyKey.empty());
        }
        EXPECT_EQ(services.size(), 5U);
        for (const auto& [digest, requests] : contents)
            EXPECT_EQ(requests.size(), 1U);
    }
    EXPECT_THROW(requestKindsOf("nobody"), std::invalid_argument);
}

TEST(Workload, promptSizesVaryByFactorOfHundred)
{
    auto options = makeOptions("daejeon");
    options.tokenScale = 1;
    uint32_t least = UINT32_MAX;
    uint32_t most = 0;
    for (const auto& it : planWorkload(options)) {
        if (it.record.promptTokens == 0)
            continue;
        least = std::min(least, it.record.promptTokens);
        most = std::max(most, it.record.promptTokens);
    }
    EXPECT_GE(most, 100 * least);
}

TEST(Workload, burstRequestsShareOneTime)
{
    auto options = makeOptions("cooperative");
    options.burstEvery = std::chrono::milliseconds(200);
    options.burstSize = 20;
    std::map<Duration, size_t> requestsAtTime;
    for (const auto& it : planWorkload(options))
        ++requestsAtTime[it.at];
    EXPECT_TRUE(std::ranges::any_of(requestsAtTime, [](const auto& it) { return it.second >= 20; }));
}

TEST(Workload, appliesMix)
{
    auto kinds = requestKindsOf("cooperative");
    applyMix(kinds, "price-answers=1,contract-drafts=0,grade-summaries=0,lot-checks=0,lot-booking=0");
    auto options = makeOptions("cooperative");
    options.kinds = kinds;
    for (const auto& it : planWorkload(options))
        EXPECT_EQ(it.record.service.text(), "price-answers");
    EXPECT_THROW(applyMix(kinds, "no-such=1"), std::invalid_argument);
    EXPECT_THROW(applyMix(kinds, "price-answers"), std::invalid_argument);
    EXPECT_THROW(applyMix(kinds, "price-answers=x"), std::invalid_argument);
}

TEST(AnswerReader, recognisesWholeAndOwnAnswers)
{
    const auto request = firstRequestTo("line-edits", false);
    json answer;
    answer["choices"].push_back({ { "message", { { "content", request.expectedAnswer } } } });
    const auto record = read(request, 200, answer.dump());
    EXPECT_EQ(record.end, CallerEnd::Answered);
    EXPECT_TRUE(record.whole && record.own);
    answer["choices"][0]["message"]["content"] = request.expectedAnswer.substr(0, 12);
    EXPECT_FALSE(read(request, 200, answer.dump()).whole);
    EXPECT_TRUE(read(request, 200, answer.dump()).own);
    answer["choices"][0]["message"]["content"] = fakes::wholeAnswer(1, request.record.answerTokens);
    EXPECT_FALSE(read(request, 200, answer.dump()).own);
    EXPECT_FALSE(read(request, 200, "garbage").whole);
}

TEST(AnswerReader, requiresDoneMarkerOfStreams)
{
    const auto request = firstRequestTo("price-answers", true);
    const auto half = request.expectedAnswer.size() / 2;
    const auto first = event(chunkOf(request.expectedAnswer.substr(0, half)));
    const auto second = event(chunkOf(request.expectedAnswer.substr(half)));
    const auto whole = read(request, 200, first + second + "data: [DONE]\n\n");
    EXPECT_EQ(whole.end, CallerEnd::Answered);
    EXPECT_TRUE(whole.whole && whole.own);
    EXPECT_FALSE(read(request, 200, first + "data: [DONE]\n\n").whole);
    EXPECT_FALSE(read(request, 200, first + first + second + "data: [DONE]\n\n").own);
    EXPECT_EQ(read(request, 200, first + second).end, CallerEnd::Lost);
    EXPECT_EQ(read(request, 200, first, "broken").end, CallerEnd::Lost);
}

TEST(AnswerReader, readsRefusalsInBodiesAndStreams)
{
    const json refusal { { "error", { { "code", "LB-3005" }, { "ran", "partly" } } } };
    const auto streamed
        = read(firstRequestTo("price-answers", true), 200, event(chunkOf("")) + event(refusal));
    EXPECT_EQ(streamed.end, CallerEnd::Refused);
    EXPECT_EQ(streamed.code, ResultCode::Preempted);
    EXPECT_EQ(streamed.ran, Executed::Partly);
    const auto plain = read(firstRequestTo("line-edits", false), 503, refusal.dump());
    EXPECT_EQ(plain.code, ResultCode::Preempted);
    const auto endpoints = read(firstRequestTo("lot-checks", false), 503, "busy");
    EXPECT_EQ(endpoints.code, ResultCode::EndpointRefused);
    EXPECT_EQ(endpoints.ran, Executed::Unknown);
}

TEST(AnswerReader, distinguishesLostFromAnswered)
{
    const auto request = firstRequestTo("lot-booking", false);
    EXPECT_EQ(read(request, 0, "", "refused").end, CallerEnd::Lost);
    const json answer { { "digest", request.record.contentDigest } };
    EXPECT_EQ(read(request, 200, answer.dump(), "partial").end, CallerEnd::Lost);
    EXPECT_TRUE(read(request, 200, answer.dump()).own);
    EXPECT_FALSE(read(request, 200, json { { "digest", 1 } }.dump()).own);
}
