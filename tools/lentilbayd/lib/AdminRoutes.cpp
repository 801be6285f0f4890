// Bodies of the health, metrics, status and drain routes.
#include "AdminRoutes.h"

#include "lentilbay/Support/SteadyClock.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace lentilbay {
namespace {

using Json = nlohmann::json;

/// Maximum number of listed requests. The member "open" counts all of them.
constexpr size_t maxListedRequests = 1'000;

std::string_view printed(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Alive:
        return "alive";
    case MemberStatus::Suspect:
        return "suspect";
    case MemberStatus::Leaving:
        return "leaving";
    case MemberStatus::Dead:
        return "dead";
    }
    return "";
}

Json membersJson(const Blackboard& blackboard)
{
    auto members = Json::array();
    for (const auto& [id, it] : blackboard.members)
        members.push_back({ { "daemon", id.text() }, { "region", it.region.text() },
            { "data_centre", it.dataCentre.text() }, { "address", it.address },
            { "incarnation", it.incarnation }, { "status", printed(it.status) } });
    return members;
}

Json statusJson(Daemon& daemon)
{
    const auto& blackboard = daemon.blackboard();
    const auto& counters = daemon.entry().counters();
    return { { "daemon", blackboard.self.text() }, { "region", blackboard.region.text() },
        { "data_centre", blackboard.dataCentre.text() },
        { "configuration_version", blackboard.configuration->version }, { "ready", daemon.isReady() },
        { "fenced", blackboard.fenced }, { "draining", blackboard.draining },
        { "open_requests", daemon.entry().openRequests() }, { "preempted", counters.preempted },
        { "prefill_tokens_lost", counters.prefillTokensLost }, { "members", membersJson(blackboard) } };
}

Json endpointsJson(const Blackboard& blackboard, TimePoint now)
{
    auto endpoints = Json::array();
    for (const auto& it : blackboard.endpoints) {
        Json row { { "endpoint", it.endpoint.name.text() }, { "region", it.endpoint.region.text() },
            { "data_centre", it.endpoint.dataCentre.text() },
            { "address", it.endpoint.host + ":" + std::to_string(it.endpoint.port) },
            { "slots", it.endpoint.slots }, { "granted", now < it.grant.expiresAt ? it.grant.slots : 0 },
            { "in_flight", it.inFlightTotal() }, { "leaving", it.leaving } };
        if (it.load) {
            row["running"] = it.load->running;
            row["waiting"] = it.load->waiting;
            row["kv_tokens_used"] = it.load->kvTokensUsed;
            row["load_age_ms"] = toMilliseconds(now - it.load->measuredAt);
        }
        endpoints.push_back(std::move(row));
    }
    return { { "endpoints", std::move(endpoints) } };
}

Json requestsJson(Daemon& daemon)
{
    auto requests = Json::array();
    for (const auto& [id, it] : daemon.gateway().exchanges()) {
        if (requests.size() == maxListedRequests)
            break;
        requests.push_back({ { "request", id.text() }, { "organisation", it->identity.organisation.text() },
            { "service", it->identity.service.text() }, { "endpoint", it->endpointUrl },
            { "stream", it->stream }, { "caller", it->channel ? "waits" : "left" } });
    }
    return { { "requests", std::move(requests) }, { "open", daemon.gateway().openExchanges() } };
}

std::string metricsText(Daemon& daemon, const Metrics& metrics)
{
    auto out = metrics.text();
    const auto& blackboard = daemon.blackboard();
    const auto& counters = daemon.entry().counters();
    appendGauge(out, "lentilbay_open_requests", "Requests that wait or run.",
        static_cast<double>(daemon.entry().openRequests()));
    appendGauge(out, "lentilbay_configuration_version", "The configuration in force.",
        static_cast<double>(blackboard.configuration->version));
    appendGauge(out, "lentilbay_fenced", "1 where the daemon takes no new work.", blackboard.fenced ? 1 : 0);
    appendMetricHeader(
        out, "lentilbay_prefill_tokens_lost_total", "counter", "Prompt tokens computed for cancelled work.");
    appendSample(
        out, "lentilbay_prefill_tokens_lost_total", "", static_cast<double>(counters.prefillTokensLost));
    appendMetricHeader(
        out, "lentilbay_preempted_total", "counter", "Requests that gave way to a higher tier.");
    appendSample(out, "lentilbay_preempted_total", "", static_cast<double>(counters.preempted));
    appendMetricHeader(
        out, "lentilbay_endpoint_in_flight", "gauge", "This daemon's requests at each endpoint.");
    for (const auto& it : blackboard.endpoints)
        appendSample(out, "lentilbay_endpoint_in_flight",
            fmt::format("endpoint=\"{}\"", it.endpoint.name.text()), it.inFlightTotal());
    appendMetricHeader(
        out, "lentilbay_pool_waiting", "gauge", "This daemon's requests that wait for each service.");
    for (const auto& it : blackboard.pools) {
        uint64_t waiting = 0;
        for (const auto n : it.waiting)
            waiting += n;
        appendSample(out, "lentilbay_pool_waiting", fmt::format("service=\"{}\"", it.service.text()),
            static_cast<double>(waiting));
    }
    return out + daemon.partMetrics();
}

AdminReply jsonReply(const Json& body) { return { .body = body.dump() }; }

AdminReply textReply(int status, std::string body)
{
    return { .status = status, .body = std::move(body), .contentType = "text/plain; version=0.0.4" };
}

} // namespace

void addAdminRoutes(AdminServer& server, Daemon& daemon, const Metrics& metrics)
{
    constexpr int ok = 200;
    constexpr int unavailable = 503;
    using Request = const CallerRequest&;
    using Answer = AdminServer::Answer;
    server.add("GET", "/healthz", [](Request, const Answer& answer) { answer(textReply(ok, "ok\n")); });
    server.add("GET", "/readyz", [&daemon](Request, const Answer& answer) {
        answer(daemon.isReady() ? textReply(ok, "ready\n") : textReply(unavailable, "not ready\n"));
    });
    server.add("GET", "/metrics", [&daemon, &metrics](Request, const Answer& answer) {
        answer(textReply(ok, metricsText(daemon, metrics)));
    });
    server.add("GET", "/admin/status",
        [&daemon](Request, const Answer& answer) { answer(jsonReply(statusJson(daemon))); });
    server.add("GET", "/admin/endpoints", [&daemon](Request, const Answer& answer) {
        answer(jsonReply(endpointsJson(daemon.blackboard(), steadyNow())));
    });
    server.add("GET", "/admin/requests",
        [&daemon](Request, const Answer& answer) { answer(jsonReply(requestsJson(daemon))); });
    server.add("POST", "/admin/drain", [&daemon](Request, const Answer& answer) {
        daemon.drain();
        answer(jsonReply({ { "draining", true }, { "open_requests", daemon.entry().openRequests() } }));
    });
}

} // namespace lentilbay
