// Decides what a caller's request is for: the path, the service, the tier and everything that may be wrong.
#pragma once

#include "lentilbay/Gateway/Exchange.h"
#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Model/Request.h"
#include "lentilbay/Support/Result.h"

#include <memory>
#include <string>
#include <variant>

namespace lentilbay {

/// Limits that the listener enforces only beyond a multiple, so that the caller hears why it is refused.
struct RequestLimits {
    uint64_t maxBodyBytes = 4 << 20U;
    /// Of one header field and of the path.
    size_t maxFieldBytes = 16 << 10U;
    size_t maxFields = 100;
};

/// Work for an endpoint.
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

/// Moves the body out of the request where it succeeds.
Result<Route> routeRequest(CallerRequest& request, const Configuration& configuration,
    const Organisation& organisation, const RequestId& id);

} // namespace lentilbay
