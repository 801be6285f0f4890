// Draws request kinds in proportion to their shares and prompt sizes from a log-uniform distribution.
#include "Workload.h"

#include "ApplicationService.h"
#include "PromptText.h"
#include "lentilbay/Fakes/AnswerText.h"
#include "lentilbay/Model/PromptPrefix.h"
#include "lentilbay/Support/Units.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <stdexcept>

namespace lentilbay::load {

using nlohmann::json;

namespace {

/// Returns a text of this many tokens that starts with the label.
std::string fillerText(const std::string& label, uint32_t tokens)
{
    const auto bytes = size_t { tokens } * bytesPerToken;
    std::string text = label;
    while (text.size() < bytes)
        text += " the cathode lot and the manuscript page " + std::to_string(text.size());
    text.resize(bytes);
    return text;
}

uint32_t scaled(uint32_t tokens, double scale)
{
    return std::max<uint32_t>(1, static_cast<uint32_t>(std::lround(tokens * scale)));
}

class Planner {
public:
    explicit Planner(const WorkloadOptions& options)
        : m_options(options)
        , m_random(options.seed)
    {
    }

    std::vector<PlannedRequest> plan()
    {
        std::vector<PlannedRequest> requests;
        Duration at {};
        auto nextBurst = m_options.burstEvery;
        while (requests.size() < m_options.count) {
            at += fromSeconds(-std::log(1 - m_random.fraction()) / m_options.rate);
            const bool burst = m_options.burstSize > 0 && at >= nextBurst;
            nextBurst += burst ? m_options.burstEvery : Duration {};
            const auto requestCount = burst ? m_options.burstSize : 1;
            for (size_t n = 0; n < requestCount && requests.size() < m_options.count; ++n)
                addRequest(at, requests);
        }
        std::ranges::stable_sort(requests, {}, &PlannedRequest::at);
        return requests;
    }

private:
    void addRequest(Duration at, std::vector<PlannedRequest>& requests)
    {
        const auto& kind = drawKind();
        auto request = kind.method.empty() ? makeModelRequest(kind) : makeServiceRequest(kind);
        request.at = at;
        requests.push_back(request);
        if (request.idempotencyKey.empty() || !m_random.chance(m_options.resend))
            return;
        request.at += std::chrono::milliseconds(m_random.below(50));
        requests.push_back(std::move(request));
    }

    const RequestKind& drawKind()
    {
        double total = 0;
        for (const auto& it : m_options.kinds)
            total += it.share;
        auto drawn = m_random.fraction() * total;
        for (const auto& it : m_options.kinds) {
            drawn -= it.share;
            if (drawn < 0)
                return it;
        }
        return m_options.kinds.back();
    }

    PlannedRequest makeRequest(const RequestKind& kind)
    {
        PlannedRequest request;
        auto& record = request.record;
        record.organisation = OrganisationId(kind.organisations[m_random.below(kind.organisations.size())]);
        record.tier = TierId(kind.tier);
        record.rank = kind.rank;
        record.service = ServiceId(kind.service);
        record.nonIdempotent = kind.nonIdempotent;
        record.deadline = fromSeconds(toSeconds(kind.deadline) * m_options.deadlineScale);
        ++m_number;
        if (kind.nonIdempotent)
            request.idempotencyKey = fmt::format("{}-{}-{}", kind.service, m_options.seed, m_number);
        record.idempotencyKey = request.idempotencyKey;
        return request;
    }

    PlannedRequest makeModelRequest(const RequestKind& kind)
    {
        auto request = makeRequest(kind);
        auto& record = request.record;
        const auto spread = std::log(double(kind.maxPromptTokens) / kind.minPromptTokens);
        const auto drawn = kind.minPromptTokens * std::exp(spread * m_random.fraction());
        const auto tokens = scaled(static_cast<uint32_t>(drawn), m_options.tokenScale);
        const auto shared = std::min(scaled(kind.sharedPrefixTokens, m_options.tokenScale), tokens / 2);
        const auto maxAnswer = scaled(kind.maxAnswerTokens, m_options.tokenScale);
        const auto uniqueLabel = fmt::format("request {}-{} of {}:", m_options.seed, m_number, kind.service);
        const auto prompt = fillerText(kind.service + " for " + record.organisation.text(), shared)
            + fillerText(uniqueLabel, tokens - shared) + uniqueLabel;
        request.streams = m_random.chance(m_options.streams);
        json body { { "model", kind.service }, { "max_tokens", maxAnswer }, { "stream", request.streams } };
        body["messages"].push_back({ { "role", "user" }, { "content", prompt } });
        const auto text = standins::promptTextOf(body);
        record.contentDigest = fakes::promptDigest(text);
        record.promptTokens = estimateTokens(text);
        record.sharedPrefixTokens = shared;
        record.answerTokens = fakes::answerLength(record.contentDigest, maxAnswer);
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.body = body.dump();
        request.expectedAnswer = fakes::wholeAnswer(record.contentDigest, record.answerTokens);
        return request;
    }

    PlannedRequest makeServiceRequest(const RequestKind& kind)
    {
        auto request = makeRequest(kind);
        const auto target = fmt::format("{}?request={}-{}", kind.path, m_options.seed, m_number);
        request.method = kind.method;
        request.path = "/services/" + kind.service + target;
        if (kind.method != "GET")
            request.body = json {
                { "request", m_number }, { "organisation", request.record.organisation.text() }
            }.dump();
        request.record.contentDigest = standins::callDigest(kind.method, target, request.body);
        return request;
    }

    const WorkloadOptions& m_options;
    Random m_random;
    uint64_t m_number = 0;
};

} // namespace

std::vector<PlannedRequest> planWorkload(const WorkloadOptions& options) { return Planner(options).plan(); }

void applyMix(std::vector<RequestKind>& kinds, const std::string& mix)
{
    std::stringstream parts(mix);
    for (std::string part; std::getline(parts, part, ',');) {
        const auto equals = part.find('=');
        const auto share
            = equals == std::string::npos ? -1.0 : parseNumber(part.substr(equals + 1)).value_or(-1);
        const auto kind = std::ranges::find(kinds, part.substr(0, equals), &RequestKind::service);
        if (share < 0 || kind == kinds.end())
            throw std::invalid_argument("not KIND=SHARE with a known request kind: " + part);
        kind->share = share;
    }
}

} // namespace lentilbay::load
