// Reads and writes records by field name. Times are microseconds of the host's steady clock.
#include "lentilbay/Invariants/RecordsJson.h"

#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace lentilbay {

using nlohmann::json;

namespace {

constexpr std::array<std::string_view, 4> callerEnds { "answered", "refused", "lost", "left" };
constexpr std::array<std::string_view, 5> faultKinds { "daemon-killed", "daemon-paused", "partition",
    "platform", "endpoint" };

template <class Enum, size_t count>
Enum parseEnum(const std::array<std::string_view, count>& names, const std::string& name)
{
    for (size_t n = 0; n < count; ++n) {
        if (names[n] == name)
            return static_cast<Enum>(n);
    }
    throw std::runtime_error("unknown enumeration value: " + name);
}

TimePoint timeOf(const json& body, const char* field)
{
    return TimePoint { Duration(body.at(field).get<int64_t>()) };
}

std::optional<TimePoint> optionalTimeOf(const json& body, const char* field)
{
    if (!body.contains(field) || body.at(field).is_null())
        return std::nullopt;
    return timeOf(body, field);
}

json toJson(TimePoint at) { return at.time_since_epoch().count(); }

ResultCode parseCode(const std::string& text)
{
    for (const auto& row : resultCodeTable()) {
        if (printed(row.code) == text)
            return row.code;
    }
    throw std::runtime_error("unknown result code: " + text);
}

Executed parseExecuted(const std::string& text)
{
    for (const auto it : { Executed::No, Executed::Partly, Executed::Unknown }) {
        if (printed(it) == text)
            return it;
    }
    throw std::runtime_error("unknown value of ran: " + text);
}

CallerRecord toCallerRecord(const json& body)
{
    CallerRecord record { .id = RequestId(body.at("request_id")),
        .contentDigest = body.at("digest"),
        .daemon = DaemonId(body.at("daemon")),
        .organisation = OrganisationId(body.at("organisation")),
        .tier = TierId(body.at("tier")),
        .rank = body.at("rank"),
        .service = ServiceId(body.at("service")),
        .nonIdempotent = body.at("non_idempotent"),
        .idempotencyKey = body.at("key"),
        .promptTokens = body.at("prompt_tokens"),
        .sharedPrefixTokens = body.at("shared_prefix_tokens"),
        .answerTokens = body.at("answer_tokens"),
        .sentAt = timeOf(body, "sent_us"),
        .endedAt = timeOf(body, "ended_us"),
        .end = parseEnum<CallerEnd>(callerEnds, body.at("end")),
        .code = parseCode(body.at("code")),
        .ran = parseExecuted(body.at("ran")),
        .whole = body.at("whole"),
        .own = body.at("own") };
    if (!body.at("deadline_us").is_null())
        record.deadline = Duration(body.at("deadline_us").get<int64_t>());
    return record;
}

DispatchRecord engineDispatch(const json& body, const EndpointId& endpoint)
{
    const auto end = body.at("end").get<std::string>();
    return { .id = RequestId(body.at("request_id")),
        .contentDigest = body.at("digest"),
        .endpoint = endpoint,
        .service = ServiceId(body.at("model")),
        .arrivedAt = timeOf(body, "arrived_us"),
        .endedAt = optionalTimeOf(body, "ended_us"),
        .executed = end != "refused",
        .endpointFailed = end == "refused" || body.at("broken_streams").get<uint32_t>() > 0,
        .prefillComputed = body.at("prefill_computed"),
        .prefillCached = body.at("prefill_cached") };
}

DispatchRecord serviceDispatch(const json& body, const EndpointId& endpoint)
{
    return { .id = RequestId(body.at("request_id")),
        .contentDigest = body.at("digest"),
        .endpoint = endpoint,
        .idempotencyKey = body.at("key"),
        .arrivedAt = timeOf(body, "arrived_us"),
        .endedAt = optionalTimeOf(body, "ended_us"),
        .executed = body.at("executed"),
        .endpointFailed = body.at("refused").get<bool>() || body.at("answer_dropped").get<bool>() };
}

EndpointRecord toEndpoint(const json& body)
{
    EndpointRecord endpoint { .id = EndpointId(body.at("name")),
        .prefillTokensPerSecond = body.value("prefill_tokens_per_second", 0.0),
        .decodeStep = Duration(body.value("decode_step_us", int64_t { 0 })),
        .callTime = Duration(body.value("call_time_us", int64_t { 0 })) };
    for (const auto& it : body.at("services"))
        endpoint.services.emplace_back(it.get<std::string>());
    return endpoint;
}

void readEvents(const json& body, RunRecords& records)
{
    for (const auto& it : body.value("stops", json::array()))
        records.stops.push_back({ .daemon = DaemonId(it.at("daemon")),
            .requestedAt = timeOf(it, "requested_us"),
            .exitedAt = optionalTimeOf(it, "exited_us"),
            .exitCode = it.value("exit_code", 0) });
    for (const auto& it : body.value("faults", json::array()))
        records.faults.push_back({ .kind = parseEnum<FaultRecord::Kind>(faultKinds, it.at("kind")),
            .subject = it.value("subject", ""),
            .from = timeOf(it, "from_us"),
            .until = optionalTimeOf(it, "until_us") });
    for (const auto& it : body.value("accepted", json::array()))
        records.accepted.push_back({ .version = it.at("version"),
            .contentDigest = it.value("digest", uint64_t { 0 }),
            .acceptedAt = timeOf(it, "accepted_us") });
    for (const auto& it : body.value("observed", json::array()))
        records.observed.push_back({ .daemon = DaemonId(it.at("daemon")),
            .version = it.at("version"),
            .contentDigest = it.value("digest", uint64_t { 0 }),
            .at = timeOf(it, "at_us"),
            .takesWork = it.value("takes_work", true) });
}

void readMilliseconds(const json& options, const char* field, Duration& option)
{
    if (options.contains(field))
        option = fromSeconds(options.at(field).get<double>() / 1'000);
}

} // namespace

std::string printJson(const CallerRecord& record)
{
    return json {
        { "request_id", record.id.text() }, { "digest", record.contentDigest },
        { "daemon", record.daemon.text() }, { "organisation", record.organisation.text() },
        { "tier", record.tier.text() }, { "rank", record.rank }, { "service", record.service.text() },
        { "non_idempotent", record.nonIdempotent }, { "key", record.idempotencyKey },
        { "prompt_tokens", record.promptTokens }, { "shared_prefix_tokens", record.sharedPrefixTokens },
        { "answer_tokens", record.answerTokens },
        { "deadline_us", record.deadline ? json(record.deadline->count()) : json(nullptr) },
        { "sent_us", toJson(record.sentAt) }, { "ended_us", toJson(record.endedAt) },
        { "end", callerEnds[static_cast<size_t>(record.end)] }, { "code", printed(record.code) },
        { "ran", printed(record.ran) }, { "whole", record.whole }, { "own", record.own }
    }.dump();
}

std::vector<CallerRecord> readCallerRecords(std::istream& in)
{
    std::vector<CallerRecord> records;
    size_t number = 0;
    for (std::string line; std::getline(in, line);) {
        ++number;
        try {
            records.push_back(toCallerRecord(json::parse(line)));
        } catch (const std::exception& error) {
            throw std::runtime_error(fmt::format("line {}: {}", number, error.what()));
        }
    }
    return records;
}

void readEndpointRecords(std::string_view text, EndpointRecord endpoint, RunRecords& records)
{
    try {
        const auto body = json::parse(text);
        const bool engine = body.at("kind") == "engine";
        for (const auto& it : body.at("records"))
            records.dispatches.push_back(
                engine ? engineDispatch(it, endpoint.id) : serviceDispatch(it, endpoint.id));
        endpoint.leavingSince = optionalTimeOf(body, "leaving_since_us");
        records.endpoints.push_back(std::move(endpoint));
    } catch (const json::exception& error) {
        throw std::runtime_error(endpoint.id.text() + ": " + error.what());
    }
}

RunDescription readRunDescription(std::string_view text)
{
    try {
        RunDescription run;
        const auto body = json::parse(text);
        for (const auto& it : body.value("endpoints", json::array()))
            run.records.endpoints.push_back(toEndpoint(it));
        readEvents(body, run.records);
        const auto options = body.value("options", json::object());
        readMilliseconds(options, "leaving_grace_ms", run.options.leavingGrace);
        readMilliseconds(options, "configuration_grace_ms", run.options.configurationGrace);
        readMilliseconds(options, "idle_overhead_ms", run.options.idleOverhead);
        readMilliseconds(options, "answer_delay_ms", run.options.answerDelay);
        readMilliseconds(options, "fault_aftermath_ms", run.options.faultGracePeriod);
        return run;
    } catch (const json::exception& error) {
        throw std::runtime_error(std::string("run description: ") + error.what());
    }
}

} // namespace lentilbay
