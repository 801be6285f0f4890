// Builds the JSON responses to queries about models and requests.
#include "QueryAnswers.h"

#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;

CallerAnswer jsonAnswer(const Json& body, const RequestId& id)
{
    return { .status = statusOk,
        .fields = { { "Content-Type", "application/json" }, { "Lentilbay-Request-Id", id.text() } },
        .body = std::make_shared<std::string>(body.dump(-1, ' ', false, Json::error_handler_t::replace)) };
}

} // namespace

CallerAnswer modelsAnswer(const Configuration& configuration, const RequestId& id)
{
    auto models = Json::array();
    for (const auto& service : configuration.services) {
        if (service.kind == ServiceKind::Model)
            models.push_back(
                { { "id", service.name.text() }, { "object", "model" }, { "owned_by", "lentilbay" } });
    }
    return jsonAnswer({ { "object", "list" }, { "data", std::move(models) } }, id);
}

CallerAnswer openAnswer(const Exchange& exchange, const RequestId& id)
{
    return jsonAnswer({ { "request_id", exchange.id().text() }, { "state", "open" },
                          { "service", exchange.identity.service.text() } },
        id);
}

CallerAnswer outcomeAnswer(const FinishedRequest& finished, const RequestId& id)
{
    const auto& outcome = finished.outcome;
    Json body { { "request_id", outcome.id.text() }, { "state", "finished" },
        { "code", printed(outcome.code) }, { "tier", outcome.tier.text() },
        { "endpoint", outcome.endpoint.text() }, { "prompt_tokens", outcome.promptTokens },
        { "answer_tokens", outcome.answerTokens }, { "total_ms", toMilliseconds(outcome.total) },
        { "in_time", outcome.inTime }, { "has_answer", finished.answer.has_value() } };
    if (outcome.code != ResultCode::Ok)
        body["ran"] = printed(outcome.ran);
    return jsonAnswer(body, id);
}

CallerAnswer storedAnswer(const FinishedRequest& finished, const RequestId& id)
{
    if (finished.answer)
        return *finished.answer;
    if (finished.refusal)
        return errorAnswer(*finished.refusal, id);
    return errorAnswer(
        { .failure = { .code = ResultCode::UnknownRequest, .detail = "Its answer is no longer kept." },
            .ran = finished.outcome.ran },
        id);
}

} // namespace lentilbay
