// The answers to questions about models and about requests.
#pragma once

#include "lentilbay/Gateway/AnswerStore.h"
#include "lentilbay/Gateway/Exchange.h"
#include "lentilbay/Model/Configuration.h"

namespace lentilbay {

/// GET /v1/models: the models that some endpoint offers.
CallerAnswer modelsAnswer(const Configuration& configuration, const RequestId& id);
/// GET /v1/requests/<id> of a request that has not ended.
CallerAnswer openAnswer(const Exchange& exchange, const RequestId& id);
/// GET /v1/requests/<id> of one that has.
CallerAnswer outcomeAnswer(const FinishedRequest& finished, const RequestId& id);
/// GET /v1/requests/<id>/answer: the answer as its caller got it, or the refusal.
CallerAnswer storedAnswer(const FinishedRequest& finished, const RequestId& id);

} // namespace lentilbay
