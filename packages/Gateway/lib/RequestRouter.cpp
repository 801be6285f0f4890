#include "lentilbay/Gateway/RequestRouter.h"

#include "lentilbay/Gateway/RequestParser.h"
#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <array>

namespace lentilbay {
namespace {

constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::string_view textPath = "/v1/completions";
constexpr std::string_view modelsPath = "/v1/models";
constexpr std::string_view requestsPath = "/v1/requests/";
constexpr std::string_view servicesPath = "/services/";
constexpr std::string_view answerSuffix = "/answer";

/// Fields that concern the caller's connection, its key or this daemon, and are not relayed.
constexpr std::array<std::string_view, 14> ownFields { "authorization", "connection", "content-length",
    "expect", "host", "idempotency-key", "keep-alive", "proxy-authorization", "proxy-connection", "te",
    "trailer", "transfer-encoding", "upgrade", "x-request-id" };
constexpr std::string_view ownFieldPrefix = "lentilbay-";

bool isRelayed(const HttpField& field)
{
    const auto& [name, value] = field;
    return std::find(ownFields.begin(), ownFields.end(), name) == ownFields.end()
        && !name.starts_with(ownFieldPrefix) && value.find_first_of("\r\n") == std::string::npos
        && value.find('\0') == std::string::npos;
}

Result<void> requireMethod(const CallerRequest& request, std::string_view method)
{
    if (request.method == method)
        return {};
    return fail(ResultCode::MethodNotAllowed, "Allowed: " + std::string(method) + ".");
}

Result<TierId> tierFor(const Organisation& organisation, const std::string& wanted)
{
    if (wanted.empty())
        return organisation.tiers.front();
    TierId tier { wanted };
    if (std::find(organisation.tiers.begin(), organisation.tiers.end(), tier) == organisation.tiers.end())
        return fail(ResultCode::TierNotAllowed, "");
    return tier;
}

uint64_t hashOfRequest(const CallerRequest& request)
{
    auto hash = hashOf(request.method);
    hash = hashOf(request.path, hash);
    hash = hashOf(request.query, hash);
    return hashOf(request.body, hash);
}

/// What is the same for models and plain services.
Result<EndpointRequest> commonRequest(
    CallerRequest& request, const Service& service, const Organisation& organisation, const RequestId& id)
{
    BOOST_LEAF_AUTO(headers, parseHeaders(request));
    BOOST_LEAF_AUTO(tier, tierFor(organisation, headers.tier));
    if (!service.idempotent && service.key == IdempotencyKeyRule::Required && headers.idempotencyKey.empty())
        return fail(ResultCode::IdempotencyKeyRequired, "");
    auto exchange = std::make_shared<Exchange>();
    exchange->keyed = { .id = id,
        .organisation = organisation.name,
        .service = service.name,
        .idempotencyKey = headers.idempotencyKey,
        .bodyHash = hashOfRequest(request) };
    exchange->kind = service.kind;
    exchange->idempotent = service.idempotent;
    exchange->method = request.method;
    exchange->connection = request.connection;
    Arrival arrival { .id = id,
        .organisation = organisation.name,
        .tier = tier,
        .service = service.name,
        .deadline = headers.deadline,
        .idempotencyKey = headers.idempotencyKey,
        .bodyHash = exchange->keyed.bodyHash };
    return EndpointRequest { .exchange = std::move(exchange), .arrival = std::move(arrival) };
}

Result<Route> routeCompletion(CallerRequest& request, const Configuration& configuration,
    const Organisation& organisation, const RequestId& id)
{
    BOOST_LEAF_CHECK(requireMethod(request, "POST"));
    const bool chat = request.path == chatPath;
    BOOST_LEAF_AUTO(facts, parseCompletion(request.body, chat ? CompletionKind::Chat : CompletionKind::Text));
    const auto* service = findService(configuration, ServiceId(facts.model));
    if (!service || service->kind != ServiceKind::Model)
        return fail(ResultCode::UnknownModel, "");
    BOOST_LEAF_AUTO(out, commonRequest(request, *service, organisation, id));
    out.arrival.promptTokens = facts.promptTokens;
    out.arrival.maxAnswerTokens = facts.maxAnswerTokens;
    out.arrival.prefixHashes = std::move(facts.prefixHashes);
    out.exchange->chat = chat;
    out.exchange->stream = facts.stream;
    out.exchange->target = request.path;
    out.exchange->fields = { { "Content-Type", "application/json" } };
    out.exchange->body = std::make_shared<const std::string>(std::move(request.body));
    return Route { std::move(out) };
}

Result<Route> routeService(CallerRequest& request, const Configuration& configuration,
    const Organisation& organisation, const RequestId& id)
{
    if (request.method == "CONNECT")
        return fail(ResultCode::MethodNotAllowed, "");
    const auto rest = std::string_view(request.path).substr(servicesPath.size());
    const auto end = std::min(rest.find('/'), rest.size());
    const auto* service = findService(configuration, ServiceId(std::string(rest.substr(0, end))));
    if (!service || service->kind != ServiceKind::Plain)
        return fail(ResultCode::UnknownService, "");
    BOOST_LEAF_AUTO(out, commonRequest(request, *service, organisation, id));
    out.exchange->target = end == rest.size() ? "/" : std::string(rest.substr(end));
    if (!request.query.empty())
        out.exchange->target += "?" + request.query;
    std::copy_if(
        request.fields.begin(), request.fields.end(), std::back_inserter(out.exchange->fields), isRelayed);
    if (!request.body.empty() || request.find("content-length") || request.find("transfer-encoding"))
        out.exchange->body = std::make_shared<const std::string>(std::move(request.body));
    return Route { std::move(out) };
}

Result<Route> routeOutcome(const CallerRequest& request)
{
    BOOST_LEAF_CHECK(requireMethod(request, "GET"));
    auto id = request.path.substr(requestsPath.size());
    const bool wantsAnswer = id.ends_with(answerSuffix);
    if (wantsAnswer)
        id.resize(id.size() - answerSuffix.size());
    return Route { OutcomeQuery { .id = RequestId(std::move(id)), .wantsAnswer = wantsAnswer } };
}

} // namespace

Result<void> checkLimits(const CallerRequest& request, const RequestLimits& limits)
{
    const auto tooLong
        = [&](const HttpField& it) { return it.first.size() + it.second.size() > limits.maxFieldBytes; };
    if (request.fields.size() > limits.maxFields
        || request.path.size() + request.query.size() > limits.maxFieldBytes
        || std::any_of(request.fields.begin(), request.fields.end(), tooLong))
        return fail(ResultCode::HeadersTooLarge,
            "Allowed: " + std::to_string(limits.maxFields) + " fields of "
                + std::to_string(limits.maxFieldBytes) + " bytes.");
    if (request.body.size() > limits.maxBodyBytes)
        return fail(ResultCode::BodyTooLarge, "Allowed: " + std::to_string(limits.maxBodyBytes) + " bytes.");
    return {};
}

Result<Route> routeRequest(CallerRequest& request, const Configuration& configuration,
    const Organisation& organisation, const RequestId& id)
{
    const std::string_view path = request.path;
    if (path == chatPath || path == textPath)
        return routeCompletion(request, configuration, organisation, id);
    if (path.starts_with(servicesPath))
        return routeService(request, configuration, organisation, id);
    if (path.starts_with(requestsPath))
        return routeOutcome(request);
    if (path != modelsPath)
        return fail(ResultCode::UnknownPath, "");
    BOOST_LEAF_CHECK(requireMethod(request, "GET"));
    return Route { ModelsQuery {} };
}

} // namespace lentilbay
