// Generates the requests of the two example deployments from a seed: contents, times and expected answers.
#pragma once

#include "lentilbay/Invariants/Records.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay::load {

/// A class of similar requests in a workload.
struct RequestKind {
    /// The service that the requests ask for; also the name of the kind.
    std::string service;
    std::vector<std::string> organisations;
    std::string tier;
    int rank = 0;
    /// HTTP method of an application service; empty for a model.
    std::string method;
    /// Path at an application service; empty for a model.
    std::string path;
    bool nonIdempotent = false;
    uint32_t minPromptTokens = 0;
    uint32_t maxPromptTokens = 0;
    /// Leading prompt tokens that all requests of one organisation share, such as a style guide or a contract
    /// template.
    uint32_t sharedPrefixTokens = 0;
    uint32_t maxAnswerTokens = 0;
    Duration deadline {};
    /// Relative frequency among the kinds of a workload.
    double share = 1;
};

/// The request kinds of the example deployment "daejeon" or "cooperative"; throws std::invalid_argument for
/// other names.
std::vector<RequestKind> requestKindsOf(const std::string& user);

struct WorkloadOptions {
    std::vector<RequestKind> kinds;
    uint64_t seed = 1;
    /// Mean arrivals per second, with exponentially distributed gaps. A burst counts as one arrival, a resent
    /// request as none.
    double rate = 20;
    size_t count = 100;
    /// Interval after which the next arrival is a burst.
    Duration burstEvery {};
    /// Requests that a burst sends at the same time; 0 for no bursts.
    size_t burstSize = 0;
    /// Factor on the token counts of prompts and answers.
    double tokenScale = 1;
    /// Factor on the deadlines.
    double deadlineScale = 1;
    /// Fraction of the requests with an idempotency key that are sent a second time with the same key.
    double resend = 0;
    /// Fraction of the model requests that ask for a streamed answer.
    double streams = 0.5;
};

struct PlannedRequest {
    /// Time to send it, relative to the start of the run.
    Duration at {};
    std::string method;
    std::string path;
    std::string body;
    std::string idempotencyKey;
    bool streams = false;
    /// Has the fields that are known before the request is sent, such as tier, digest, token counts,
    /// deadline.
    CallerRecord record;
    /// The complete text of a model's answer; empty for an application service.
    std::string expectedAnswer;
};

/// Returns all requests of a run, ordered by time. Equal options give equal requests.
std::vector<PlannedRequest> planWorkload(const WorkloadOptions& options);

/// Sets the shares of the kinds named in the mix, such as "price-answers=5,line-edits=0". Throws
/// std::invalid_argument for an unknown kind or a share that is not a non-negative number.
void applyMix(std::vector<RequestKind>& kinds, const std::string& mix);

} // namespace lentilbay::load
