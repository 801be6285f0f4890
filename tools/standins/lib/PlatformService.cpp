// JSON of the platform services. A lost response closes the connection instead.
#include "PlatformService.h"

#include "ControlJson.h"

#include <cmath>

namespace lentilbay::standins {

using nlohmann::json;

namespace {

constexpr auto jsonContentType = "application/json";
constexpr auto binaryContentType = "application/octet-stream";

json toJson(const std::optional<FakeRow>& row)
{
    if (!row)
        return nullptr;
    return { { "key", row->key }, { "value", row->value }, { "version", row->version } };
}

json toJson(const std::vector<std::optional<FakeRow>>& rows)
{
    json result = json::array();
    for (const auto& it : rows)
        result.push_back(toJson(it));
    return result;
}

FakeWrite toWrite(const json& body)
{
    FakeWrite write { .table = body.at("table"), .key = body.at("key") };
    if (!body.at("value").is_null())
        write.value = body.at("value").get<std::string>();
    if (body.contains("expect") && !body.at("expect").is_null())
        write.expect = body.at("expect").get<uint64_t>();
    return write;
}

void setStoreFaults(json& body, const char* service, StoreFaults& faults)
{
    auto section = body.value(service, json::object());
    body.erase(service);
    consumeFault(section, "outage", faults.outage);
    consumeMilliseconds(section, "delay_ms", faults.delay);
    consumeFault(section, "lose_answers", faults.loseAnswers);
    consumeFault(section, "lose_requests", faults.loseRequests);
    rejectUnknownFaults(section);
}

std::vector<FakeHost> toHosts(const json& list)
{
    std::vector<FakeHost> hosts;
    for (const auto& it : list)
        hosts.push_back({ .name = it.at("name"),
            .address = it.at("address"),
            .leaving = it.value("state", "live") == "leaving" });
    return hosts;
}

} // namespace

void PlatformService::handle(const HttpRequest& request, HttpExchangePtr exchange)
{
    try {
        if (request.path == "/table/transact")
            return transact(request, exchange);
        if (request.path == "/table/read")
            return read(request, exchange);
        if (request.path == "/table/scan")
            return scan(request, exchange);
        if (request.path.starts_with("/objects/"))
            return object(request, exchange);
        if (request.path.starts_with("/weights/"))
            return weights(exchange);
        if (request.path == "/hosts")
            return exchange->replyJson(200, hostsJson());
        if (request.path == "/control")
            return control(request, exchange);
        if (request.path == "/records")
            return exchange->replyJson(200, recordsJson());
        exchange->replyJson(404, errorBody("unknown path"));
    } catch (const std::exception& error) {
        exchange->replyJson(400, errorBody(error.what()));
    }
}

void PlatformService::transact(const HttpRequest& request, HttpExchangePtr exchange)
{
    std::vector<FakeWrite> writes;
    const auto body = json::parse(request.body);
    for (const auto& it : body.at("writes"))
        writes.push_back(toWrite(it));
    respondFromTable(std::move(exchange), m_table.transact(writes, steadyNow()));
}

void PlatformService::read(const HttpRequest& request, HttpExchangePtr exchange)
{
    std::vector<FakeKey> keys;
    const auto body = json::parse(request.body);
    for (const auto& it : body.at("reads"))
        keys.push_back({ .table = it.at("table"), .key = it.at("key") });
    respondFromTable(std::move(exchange), m_table.read(keys, steadyNow()));
}

void PlatformService::scan(const HttpRequest& request, HttpExchangePtr exchange)
{
    const auto body = json::parse(request.body);
    respondFromTable(std::move(exchange),
        m_table.scan(body.at("table"), body.value("prefix", ""), body.value("after", ""),
            body.value("limit", size_t { 100 }), steadyNow()));
}

void PlatformService::respondFromTable(HttpExchangePtr exchange, const TableResponse& reply)
{
    json body;
    if (!reply.versions.empty())
        body["versions"] = reply.versions;
    else
        body["rows"] = toJson(reply.rows);
    respond(std::move(exchange), reply.status, reply.retryAfter, m_table.faults().delay, body.dump(),
        jsonContentType);
}

void PlatformService::object(const HttpRequest& request, HttpExchangePtr exchange)
{
    const auto key = request.path.substr(std::string_view("/objects/").size());
    if (request.method != "PUT" && request.method != "GET")
        return exchange->replyJson(405, errorBody("only PUT and GET"));
    auto reply = request.method == "PUT" ? m_objects.put(key, request.body, steadyNow())
                                         : m_objects.get(key, steadyNow());
    respond(std::move(exchange), reply.status, reply.retryAfter, m_objects.faults().delay,
        std::move(reply.body), binaryContentType);
}

void PlatformService::weights(HttpExchangePtr exchange)
{
    const auto wait = m_weights.fetch(steadyNow());
    respond(std::move(exchange), wait ? FakeStoreStatus::Limited : FakeStoreStatus::Done,
        wait.value_or(Duration {}), {}, std::string(wait ? 0 : m_weights.weightBytes(), 'w'),
        binaryContentType);
}

void PlatformService::respond(HttpExchangePtr exchange, FakeStoreStatus status, Duration retryAfter,
    Duration delay, std::string body, const char* contentType)
{
    auto send = [=, body = std::move(body)]() mutable {
        switch (status) {
        case FakeStoreStatus::Done:
            return exchange->reply(
                200, std::move(body), { { .name = "Content-Type", .value = contentType } });
        case FakeStoreStatus::Conflict:
            return exchange->replyJson(409, std::move(body));
        case FakeStoreStatus::Missing:
            return exchange->replyJson(404, errorBody("no such object"));
        case FakeStoreStatus::Limited: {
            const auto seconds = std::to_string(static_cast<int64_t>(std::ceil(toSeconds(retryAfter))));
            return exchange->reply(429, errorBody("over the rate limit"),
                { { .name = "Content-Type", .value = jsonContentType },
                    { .name = "Retry-After", .value = seconds } });
        }
        case FakeStoreStatus::Outage:
            return exchange->replyJson(503, errorBody("outage"));
        case FakeStoreStatus::Lost:
            return exchange->breakConnection();
        }
    };
    if (delay == Duration {})
        send();
    else
        m_callAfter(delay, std::move(send));
}

std::string PlatformService::hostsJson() const
{
    json hosts = json::array();
    for (const auto& it : m_hosts.listedHosts(steadyNow()))
        hosts.push_back(
            { { "name", it.name }, { "address", it.address }, { "state", it.leaving ? "leaving" : "live" } });
    return json { { "hosts", std::move(hosts) } }.dump();
}

std::string PlatformService::recordsJson() const
{
    json writes = json::array();
    for (const auto& it : m_table.writeRecords())
        writes.push_back({ { "at_us", toMicroseconds(it.at) }, { "table", it.table }, { "key", it.key },
            { "version", it.version }, { "answer_lost", it.answerLost } });
    const auto& counts = m_table.counts();
    return json {
        { "kind", "platform" }, { "writes", std::move(writes) },
        { "table",
            { { "transactions", counts.transactions }, { "writes", counts.writes },
                { "conflicts", counts.conflicts }, { "reads", counts.reads },
                { "limited", counts.limited } } },
        { "objects", { { "puts", m_objects.puts() }, { "gets", m_objects.gets() } } },
        { "weights", { { "fetched", m_weights.fetched() }, { "limited", m_weights.limited() } } }
    }.dump();
}

void PlatformService::control(const HttpRequest& request, HttpExchangePtr exchange)
{
    auto body = json::parse(request.body);
    setStoreFaults(body, "table", m_table.faults());
    setStoreFaults(body, "objects", m_objects.faults());
    auto hosts = body.value("hosts", json::object());
    body.erase("hosts");
    consumeMilliseconds(hosts, "lag_ms", m_hosts.lag());
    if (hosts.contains("list")) {
        m_hosts.setHosts(toHosts(hosts.at("list")), steadyNow());
        hosts.erase("list");
    }
    rejectUnknownFaults(hosts);
    rejectUnknownFaults(body);
    exchange->replyJson(200, "{}");
}

} // namespace lentilbay::standins
