// Responds with the call's digest, or with 503 to a call that the endpoint refuses.
#include "ApplicationService.h"

#include "ControlJson.h"
#include "lentilbay/Fakes/AnswerText.h"

namespace lentilbay::standins {

using nlohmann::json;

uint64_t callDigest(const std::string& method, const std::string& pathAndQuery, const std::string& body)
{
    return promptDigest(method + "\n" + pathAndQuery + "\n" + body);
}

void ApplicationService::handle(const HttpRequest& request, HttpExchangePtr exchange)
{
    try {
        if (request.path == "/control")
            return control(request, exchange);
        if (request.path == "/records")
            return exchange->replyJson(200, recordsJson());
        if (m_outage)
            return exchange->breakConnection();
        if (request.path == "/load")
            return exchange->replyJson(200, loadJson());
        call(request, exchange);
    } catch (const std::exception& error) {
        exchange->replyJson(400, errorBody(error.what()));
    }
}

void ApplicationService::call(const HttpRequest& request, HttpExchangePtr exchange)
{
    const auto target = request.query.empty() ? request.path : request.path + "?" + request.query;
    const auto record = m_service.submit({ .id = RequestId(request.header("X-Request-Id")),
                                             .key = request.header("Idempotency-Key"),
                                             .digest = callDigest(request.method, target, request.body) },
        steadyNow());
    if (!record)
        return exchange->replyJson(503, errorBody("the service refuses new calls"));
    m_pendingCalls.emplace(*record, std::move(exchange));
    advanceModel();
}

void ApplicationService::advanceModel()
{
    m_service.advance(steadyNow());
    for (const auto& it : m_service.takeOutputs()) {
        const auto pending = m_pendingCalls.extract(it.record);
        if (pending.empty())
            continue;
        const auto& record = m_service.records()[it.record];
        if (it.broken)
            pending.mapped()->breakConnection();
        else
            pending.mapped()->replyJson(
                200, json { { "digest", record.digest }, { "key", record.key } }.dump());
    }
    m_timer.wakeAt(m_service.nextWake());
}

void ApplicationService::control(const HttpRequest& request, HttpExchangePtr exchange)
{
    auto body = json::parse(request.body);
    auto faults = m_service.faults();
    auto outage = m_outage;
    consumeFault(body, "slow_factor", faults.slowFactor);
    consumeFault(body, "stall", faults.stalled);
    consumeFault(body, "drop_answers", faults.dropAnswers);
    consumeFault(body, "refuse", faults.refuse);
    consumeFault(body, "leaving", faults.leaving);
    consumeMilliseconds(body, "load_lag_ms", faults.loadLag);
    consumeFault(body, "outage", outage);
    rejectUnknownFaults(body);
    m_outage = outage;
    m_service.setFaults(faults, steadyNow());
    advanceModel();
    exchange->replyJson(200, "{}");
}

std::string ApplicationService::loadJson() const
{
    const auto now = steadyNow();
    const auto load = m_service.reportedLoad(now);
    return json {
        { "running", load.running }, { "waiting", load.waiting }, { "kv_tokens_used", 0 }, { "kv_tokens", 0 },
        { "age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - load.at).count() },
        { "leaving", m_service.faults().leaving }
    }.dump();
}

std::string ApplicationService::recordsJson() const
{
    json records = json::array();
    for (const auto& it : m_service.records())
        records.push_back({ { "request_id", it.id.text() }, { "key", it.key }, { "digest", it.digest },
            { "arrived_us", toMicroseconds(it.arrivedAt) }, { "ended_us", toMicroseconds(it.endedAt) },
            { "executed", it.executed }, { "refused", it.refused }, { "answer_dropped", it.answerDropped } });
    return json {
        { "kind", "service" }, { "leaving_since_us", toMicroseconds(m_service.leavingSince()) },
        { "records", std::move(records) }, { "executions_by_key", m_service.executionsByKey() },
        { "executions_by_id", m_service.executionsById() }
    }.dump();
}

} // namespace lentilbay::standins
