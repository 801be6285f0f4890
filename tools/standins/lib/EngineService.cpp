// Request handling of the fake engine: reads JSON, writes OpenAI-compatible JSON or SSE.
#include "EngineService.h"

#include "ControlJson.h"
#include "PromptText.h"
#include "lentilbay/Fakes/AnswerText.h"
#include "lentilbay/Model/PromptPrefix.h"
#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lentilbay::standins {

using nlohmann::json;

namespace {

constexpr uint32_t defaultAnswerTokens = 64;

} // namespace

void EngineService::handle(const HttpRequest& request, HttpExchangePtr exchange)
{
    try {
        if (request.path == "/control")
            return control(request, exchange);
        if (request.path == "/records")
            return exchange->replyJson(200, recordsJson());
        if (m_outage)
            return exchange->breakConnection();
        if (request.path == "/v1/chat/completions")
            return complete(request, exchange, true);
        if (request.path == "/v1/completions")
            return complete(request, exchange, false);
        if (request.path == "/v1/resume")
            return resume(request, exchange);
        if (request.path == "/v1/cancel")
            return cancel(request, exchange);
        if (request.path == "/load")
            return exchange->replyJson(200, loadJson());
        if (request.path == "/cache/events") {
            const auto after = request.parameter("after");
            return exchange->replyJson(200, eventsJson(after.empty() ? 0 : std::stoull(after)));
        }
        if (request.path == "/kv/export")
            return exportPrefix(request, exchange);
        if (request.path == "/kv/import")
            return importPrefix(request, exchange);
        if (request.path == "/models")
            return exchange->replyJson(200, modelsJson());
        if (request.path == "/orders")
            return order(request, exchange);
        exchange->replyJson(404, errorBody("unknown path"));
    } catch (const std::exception& error) {
        exchange->replyJson(400, errorBody(error.what()));
    }
}

void EngineService::complete(const HttpRequest& request, HttpExchangePtr exchange, bool chat)
{
    const auto body = json::parse(request.body);
    const auto prompt = promptTextOf(body);
    const auto digest = promptDigest(prompt);
    const auto model = body.value("model", "");
    const auto id = request.header("X-Request-Id");
    const auto stream = m_engine.submit(
        { .id = RequestId(id),
            .model = model,
            .digest = digest,
            .promptTokens = std::max<uint32_t>(1, estimateTokens(prompt)),
            .prefixHashes = prefixHashesOf(prompt),
            .answerTokens = answerLength(digest, body.value("max_tokens", defaultAnswerTokens)) },
        steadyNow());
    if (!stream)
        return exchange->replyJson(503, errorBody("the engine refuses new work"));
    m_resumableRequests[id] = { .model = model, .digest = digest, .chat = chat };
    const bool streaming = body.value("stream", false);
    if (streaming)
        exchange->beginStream("text/event-stream");
    m_pendingResponses.emplace(*stream,
        PendingResponse { .exchange = std::move(exchange),
            .requestId = id,
            .model = model,
            .digest = digest,
            .chat = chat,
            .streaming = streaming });
    advanceModel();
}

void EngineService::resume(const HttpRequest& request, HttpExchangePtr exchange)
{
    const auto body = json::parse(request.body);
    const auto id = body.at("request_id").get<std::string>();
    const auto resumable = m_resumableRequests.find(id);
    const auto stream = resumable == m_resumableRequests.end()
        ? std::nullopt
        : m_engine.resume(RequestId(id), body.at("from").get<uint32_t>(), steadyNow());
    if (!stream)
        return exchange->replyJson(404, errorBody("the request is not held"));
    exchange->beginStream("text/event-stream");
    m_pendingResponses.emplace(*stream,
        PendingResponse { .exchange = std::move(exchange),
            .requestId = id,
            .model = resumable->second.model,
            .digest = resumable->second.digest,
            .chat = resumable->second.chat,
            .streaming = true });
    advanceModel();
}

void EngineService::cancel(const HttpRequest& request, HttpExchangePtr exchange)
{
    m_engine.cancel(RequestId(json::parse(request.body).at("request_id").get<std::string>()), steadyNow());
    advanceModel();
    exchange->replyJson(200, "{}");
}

void EngineService::exportPrefix(const HttpRequest& request, HttpExchangePtr exchange)
{
    const auto hash = json::parse(request.body).at("prefix_hash").get<uint64_t>();
    const auto chain = m_engine.exportPrefix(hash);
    if (!chain)
        return exchange->replyJson(404, errorBody("the prefix is not cached"));
    const json reply { { "prefix_hash", hash }, { "tokens", chain->size() * prefixBlockTokens },
        { "data", json(*chain).dump() } };
    exchange->replyJson(200, reply.dump());
}

void EngineService::importPrefix(const HttpRequest& request, HttpExchangePtr exchange)
{
    const auto body = json::parse(request.body);
    const auto chain = json::parse(body.at("data").get<std::string>()).get<std::vector<uint64_t>>();
    m_engine.importPrefix(chain, steadyNow());
    exchange->replyJson(200, "{}");
}

void EngineService::order(const HttpRequest& request, HttpExchangePtr exchange)
{
    const auto body = json::parse(request.body);
    const auto action = body.at("action").get<std::string>();
    if (action != "load" && action != "unload" && action != "role")
        return exchange->replyJson(400, errorBody("unknown action"));
    const EngineOrder order { .fencing = body.at("fencing").get<uint64_t>(),
        .action = action == "load" ? EngineOrder::Action::Load
            : action == "unload"   ? EngineOrder::Action::Unload
                                   : EngineOrder::Action::Role,
        .model = body.value("model", ""),
        .version = body.value("version", ""),
        .adapter = body.value("adapter", ""),
        .role = body.value("role", "") };
    if (m_engine.order(order, steadyNow()))
        return exchange->replyJson(200, "{}");
    exchange->replyJson(409, json { { "fencing", m_engine.newestFencing() } }.dump());
}

void EngineService::advanceModel()
{
    m_engine.advance(steadyNow());
    for (auto outputs = m_engine.takeOutputs(); const auto& it : outputs)
        deliver(it);
    for (auto& [stream, response] : m_pendingResponses) {
        if (response.streaming && !response.text.empty())
            response.exchange->writeChunk(std::exchange(response.text, {}));
    }
    m_timer.wakeAt(m_engine.nextWake());
}

void EngineService::deliver(const EngineOutput& output)
{
    const auto it = m_pendingResponses.find(output.stream);
    if (it == m_pendingResponses.end())
        return;
    if (output.kind == EngineOutput::Kind::Token)
        return addToken(it->second, output);
    finish(it->second, output);
    m_pendingResponses.erase(it);
}

void EngineService::addToken(PendingResponse& response, const EngineOutput& output)
{
    if (!response.streaming) {
        response.text += answerToken(response.digest, output.index);
        return;
    }
    response.text += "data: " + chunkOf(response, output) + "\n\n";
    response.sentUsage = output.index + 1 == m_engine.records()[output.record].answerTokens;
}

void EngineService::finish(PendingResponse& response, const EngineOutput& output)
{
    if (output.kind == EngineOutput::Kind::Break) {
        if (response.streaming)
            response.exchange->writeChunk(std::exchange(response.text, {}));
        return response.exchange->breakConnection();
    }
    if (!response.streaming)
        return response.exchange->replyJson(200, responseBodyOf(response, output));
    if (!response.sentUsage)
        response.text += "data: " + usageChunkOf(response, output) + "\n\n";
    response.exchange->writeChunk(std::exchange(response.text, {}) + "data: [DONE]\n\n");
    response.exchange->endStream();
}

} // namespace lentilbay::standins
