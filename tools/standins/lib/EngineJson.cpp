// JSON written by the fake engine: chunks, completions, state and records.
#include "ControlJson.h"
#include "EngineService.h"
#include "lentilbay/Fakes/AnswerText.h"
#include "lentilbay/Support/SteadyClock.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lentilbay::standins {

using nlohmann::json;

namespace {

std::string usageOf(const EngineRecord& record, uint32_t tokens)
{
    return fmt::format(
        R"({{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{},"cached_tokens":{}}})",
        record.promptTokens, tokens, record.promptTokens + tokens, record.prefillCached);
}

std::string_view printed(EngineEnd end)
{
    switch (end) {
    case EngineEnd::Running:
        return "running";
    case EngineEnd::Whole:
        return "whole";
    case EngineEnd::Cancelled:
        return "cancelled";
    case EngineEnd::Refused:
        return "refused";
    }
    return "";
}

json toJson(const EngineRecord& record)
{
    return { { "request_id", record.id.text() }, { "model", record.model }, { "digest", record.digest },
        { "arrived_us", toMicroseconds(record.arrivedAt) },
        { "first_token_us", toMicroseconds(record.firstTokenAt) },
        { "ended_us", toMicroseconds(record.endedAt) }, { "prompt_tokens", record.promptTokens },
        { "prefill_computed", record.prefillComputed }, { "prefill_cached", record.prefillCached },
        { "answer_tokens", record.answerTokens }, { "tokens_produced", record.tokensProduced },
        { "broken_streams", record.brokenStreams }, { "end", printed(record.end) } };
}

json toJson(const EngineOrderRecord& record)
{
    constexpr std::string_view actions[] = { "load", "unload", "role" };
    const auto& order = record.order;
    return { { "fencing", order.fencing }, { "action", actions[static_cast<size_t>(order.action)] },
        { "model", order.model }, { "version", order.version }, { "adapter", order.adapter },
        { "role", order.role }, { "at_us", toMicroseconds(record.at) }, { "accepted", record.accepted } };
}

} // namespace

std::string EngineService::chunkOf(const PendingResponse& response, const EngineOutput& output) const
{
    const auto& record = m_engine.records()[output.record];
    const bool last = output.index + 1 == record.answerTokens;
    // Formatted directly, not built as a JSON value, for speed. Only the model name needs escaping.
    return fmt::format(
        R"({{"id":"{}","object":"{}","model":{},"token_index":{},"choices":[{{"index":0,{}"{}"{},"finish_reason":{}}}]{}{}}})",
        response.requestId, response.chat ? "chat.completion.chunk" : "text_completion",
        json(response.model).dump(), output.index, response.chat ? R"("delta":{"content":)" : R"("text":)",
        answerToken(response.digest, output.index), response.chat ? "}" : "", last ? R"("stop")" : "null",
        last ? R"(,"usage":)" : "", last ? usageOf(record, record.answerTokens) : "");
}

std::string EngineService::usageChunkOf(const PendingResponse& response, const EngineOutput& output) const
{
    return fmt::format(R"({{"id":"{}","object":"{}","model":{},"choices":[],"usage":{}}})",
        response.requestId, response.chat ? "chat.completion.chunk" : "text_completion",
        json(response.model).dump(), usageOf(m_engine.records()[output.record], output.index));
}

std::string EngineService::responseBodyOf(const PendingResponse& response, const EngineOutput& output) const
{
    json choice { { "index", 0 }, { "finish_reason", "stop" } };
    if (response.chat)
        choice["message"] = { { "role", "assistant" }, { "content", response.text } };
    else
        choice["text"] = response.text;
    const json answer { { "id", response.requestId },
        { "object", response.chat ? "chat.completion" : "text_completion" }, { "model", response.model },
        { "choices", { choice } },
        { "usage", json::parse(usageOf(m_engine.records()[output.record], output.index)) } };
    return answer.dump();
}

std::string EngineService::loadJson() const
{
    const auto now = steadyNow();
    const auto load = m_engine.reportedLoad(now);
    const json reply { { "running", load.running }, { "waiting", load.waiting },
        { "kv_tokens_used", load.kvTokensUsed }, { "kv_tokens", m_engine.options().kvTokens },
        { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - load.at).count() },
        { "leaving", m_engine.faults().leaving } };
    return reply.dump();
}

std::string EngineService::eventsJson(uint64_t after) const
{
    json events = json::array();
    auto last = after;
    for (const auto& it : m_engine.events(after, steadyNow())) {
        events.push_back({ { "sequence", it.sequence },
            { "kind", it.kind == CacheEvent::Kind::Stored ? "stored" : "evicted" },
            { "prefix_hash", it.prefixHash } });
        last = it.sequence;
    }
    return json { { "events", std::move(events) }, { "last", last } }.dump();
}

std::string EngineService::modelsJson() const
{
    json models = json::array();
    for (const auto& [name, loaded] : m_engine.models())
        models.push_back(
            { { "model", name }, { "version", loaded.version }, { "adapters", loaded.adapters } });
    return json { { "models", std::move(models) }, { "role", m_engine.role() } }.dump();
}

std::string EngineService::recordsJson() const
{
    json records = json::array();
    for (const auto& it : m_engine.records())
        records.push_back(toJson(it));
    json orders = json::array();
    for (const auto& it : m_engine.orderRecords())
        orders.push_back(toJson(it));
    return json {
        { "kind", "engine" }, { "leaving_since_us", toMicroseconds(m_engine.leavingSince()) },
        { "records", std::move(records) }, { "orders", std::move(orders) }
    }.dump();
}

void EngineService::control(const HttpRequest& request, HttpExchangePtr exchange)
{
    auto body = json::parse(request.body);
    auto faults = m_engine.faults();
    int64_t resetAfterTokens = faults.resetAfterTokens ? int64_t { *faults.resetAfterTokens } : -1;
    consumeFault(body, "slow_factor", faults.slowFactor);
    consumeFault(body, "stall", faults.stalled);
    consumeFault(body, "reset_after_tokens", resetAfterTokens);
    consumeFault(body, "drop_answers", faults.dropAnswers);
    consumeFault(body, "refuse", faults.refuse);
    consumeFault(body, "leaving", faults.leaving);
    consumeFault(body, "event_gap", faults.eventGap);
    consumeMilliseconds(body, "event_delay_ms", faults.eventDelay);
    consumeMilliseconds(body, "load_lag_ms", faults.loadLag);
    bool outage = m_outage;
    consumeFault(body, "outage", outage);
    rejectUnknownFaults(body);
    faults.resetAfterTokens
        = resetAfterTokens < 0 ? std::nullopt : std::optional(static_cast<uint32_t>(resetAfterTokens));
    m_outage = outage;
    m_engine.setFaults(faults, steadyNow());
    advanceModel();
    exchange->replyJson(200, "{}");
}

} // namespace lentilbay::standins
