// Routes requests by path and validates methods, tiers and idempotency keys.
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

/// Hop-by-hop fields, credentials, and fields that this daemon evaluates or sets. They are not forwarded to
/// endpoints.
constexpr std::array<std::string_view, 14> unforwardedFields { "authorization", "connection",
    "content-length", "expect", "host", "idempotency-key", "keep-alive", "proxy-authorization",
    "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "x-request-id" };
constexpr std::string_view unforwardedFieldPrefix = "lentilbay-";

bool isForwarded(const HttpField& field)
{
    const auto& [name, value] = field;
    return std::find(unforwardedFields.begin(), unforwardedFields.end(), name) == unforwardedFields.end()
        && !name.starts_with(unforwardedFieldPrefix) && value.find_first_of("\r\n") == std::string::npos
        && value.find('\0') == std::string::npos;
}

Result<void> requireMethod(const CallerRequest& request, std::string_view method)
{
    if (request.method == method)
        return {};
    return fail(ResultCode::MethodNotAllowed, "Allowed: " + std::string(method) + ".");
}

Result<TierId> selectTier(const Organisation& organisation, const std::string& requested)
{
    if (requested.empty())
        return organisation.tiers.front();
    TierId tier { requested };
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

/// Creates the parts of a request that models and plain services have in common.
Result<EndpointRequest> makeEndpointRequest(
    CallerRequest& request, const Service& service, const Organisation& organisation, const RequestId& id)
{
    BOOST_LEAF_AUTO(headers, parseHeaders(request));
    BOOST_LEAF_AUTO(tier, selectTier(organisation, headers.tier));
    if (!service.idempotent && service.key == IdempotencyKeyRule::Required && headers.idempotencyKey.empty())
        return fail(ResultCode::IdempotencyKeyRequired, "");
    auto exchange = std::make_shared<Exchange>();
    exchange->identity = { .id = id,
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
        .bodyHash = exchange->identity.bodyHash };
    return EndpointRequest { .exchange = std::move(exchange), .arrival = std::move(arrival) };
}

Result<Route> routeCompletion(CallerRequest& request, const Configuration& configuration,
    const Organisation& organisation, const RequestId& id)
{
    BOOST_LEAF_CHECK(requireMethod(request, "POST"));
    const bool chat = request.path == chatPath;
    BOOST_LEAF_AUTO(
        parameters, parseCompletion(request.body, chat ? CompletionKind::Chat : CompletionKind::Text));
    const auto* service = findService(configuration, ServiceId(parameters.model));
    if (!service || service->kind != ServiceKind::Model)
        return fail(ResultCode::UnknownModel, "");
    BOOST_LEAF_AUTO(out, makeEndpointRequest(request, *service, organisation, id));
    out.arrival.promptTokens = parameters.promptTokens;
    out.arrival.maxAnswerTokens = parameters.maxAnswerTokens;
    out.arrival.prefixHashes = std::move(parameters.prefixHashes);
    out.exchange->chat = chat;
    out.exchange->stream = parameters.stream;
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
    BOOST_LEAF_AUTO(out, makeEndpointRequest(request, *service, organisation, id));
    out.exchange->target = end == rest.size() ? "/" : std::string(rest.substr(end));
    if (!request.query.empty())
        out.exchange->target += "?" + request.query;
    std::copy_if(
        request.fields.begin(), request.fields.end(), std::back_inserter(out.exchange->fields), isForwarded);
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
