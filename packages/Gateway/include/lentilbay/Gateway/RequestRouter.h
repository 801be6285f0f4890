// Maps a caller's request to an operation, a service and a tier, and validates it.
#pragma once

#include "lentilbay/Gateway/Exchange.h"
#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Model/Request.h"
#include "lentilbay/Support/Result.h"

#include <memory>
#include <string>
#include <variant>

namespace lentilbay {

/// The listener enforces these limits only at a multiple of their values, so that a request slightly above a
/// limit gets a specific error response.
struct RequestLimits {
    uint64_t maxBodyBytes = 4 << 20U;
    /// Limit for each header field, and for path and query together.
    size_t maxFieldBytes = 16 << 10U;
    size_t maxFields = 100;
};

/// A request that must be dispatched to an endpoint.
struct EndpointRequest {
    std::shared_ptr<Exchange> exchange;
    Arrival arrival;
};

/// GET /v1/models
struct ModelsQuery { };

/// GET /v1/requests/<id> and GET /v1/requests/<id>/answer
struct OutcomeQuery {
    RequestId id;
    bool wantsAnswer = false;
};

using Route = std::variant<EndpointRequest, ModelsQuery, OutcomeQuery>;

/// Fails with BodyTooLarge or HeadersTooLarge.
Result<void> checkLimits(const CallerRequest& request, const RequestLimits& limits);

/// Moves the body out of the request on success.
Result<Route> routeRequest(CallerRequest& request, const Configuration& configuration,
    const Organisation& organisation, const RequestId& id);

} // namespace lentilbay
