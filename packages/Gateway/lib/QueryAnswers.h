// Responses to queries about models and requests.
#pragma once

#include "lentilbay/Gateway/AnswerStore.h"
#include "lentilbay/Gateway/Exchange.h"
#include "lentilbay/Model/Configuration.h"

namespace lentilbay {

/// GET /v1/models: the models of the configuration.
CallerAnswer modelsAnswer(const Configuration& configuration, const RequestId& id);
/// GET /v1/requests/<id> for a request that has not finished.
CallerAnswer openAnswer(const Exchange& exchange, const RequestId& id);
/// GET /v1/requests/<id> for a finished request.
CallerAnswer outcomeAnswer(const FinishedRequest& finished, const RequestId& id);
/// GET /v1/requests/<id>/answer: the response or error that was sent to the caller.
CallerAnswer storedAnswer(const FinishedRequest& finished, const RequestId& id);

} // namespace lentilbay
