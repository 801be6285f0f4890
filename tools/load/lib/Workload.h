// The requests of both first users, drawn from a seed: what is sent, when, and what the answer must be.
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

/// One kind of request of a user's desk.
struct RequestKind {
    /// Also the name of its service.
    std::string service;
    std::vector<std::string> organisations;
    std::string tier;
    int rank = 0;
    /// Empty for a model; else the method and path of a plain service.
    std::string method;
    std::string path;
    bool nonIdempotent = false;
    uint32_t leastPromptTokens = 0;
    uint32_t mostPromptTokens = 0;
    /// The leading tokens that requests of one organisation share: its house style or its contract's frame.
    uint32_t sharedPrefixTokens = 0;
    uint32_t maxAnswerTokens = 0;
    Duration deadline {};
    /// How often it comes against the others.
    double share = 1;
};

/// "daejeon" or "cooperative"; throws std::invalid_argument for others.
std::vector<RequestKind> kindsOf(const std::string& user);

struct WorkloadOptions {
    std::vector<RequestKind> kinds;
    uint64_t seed = 1;
    /// Requests a second, with exponential gaps.
    double rate = 20;
    size_t count = 100;
    /// Every so often burstSize requests come at once; 0 for no bursts.
    Duration burstEvery {};
    size_t burstSize = 0;
    /// Multiplies the tokens of prompts and answers.
    double tokenScale = 1;
    /// Multiplies the deadlines.
    double deadlineScale = 1;
    /// The part of keyed requests that is sent a second time with the same key.
    double resend = 0;
    /// The part of model requests that asks for a stream.
    double streams = 0.5;
};

/// A request ready to be sent.
struct PlannedRequest {
    /// From the start of the run.
    Duration at {};
    std::string method;
    std::string path;
    std::string body;
    std::string idempotencyKey;
    bool streams = false;
    /// Everything known before it is sent: tier, service, digest, expected answer, deadline.
    CallerRecord record;
    /// The text of a model's whole answer; empty for a plain service.
    std::string expectedAnswer;
};

/// All requests of a run in the order of their times. Equal options give equal requests.
std::vector<PlannedRequest> planWorkload(const WorkloadOptions& options);

/// Replaces the shares: "price-answers=5,line-edits=0". Throws std::invalid_argument for an unknown kind or
/// a share that is not a number.
void applyMix(std::vector<RequestKind>& kinds, const std::string& mix);

} // namespace lentilbay::load
