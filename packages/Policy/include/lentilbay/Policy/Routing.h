// Where a request goes: predicted completion, cached prefix, distance and billed bytes in one cost.
#pragma once

#include "lentilbay/Policy/AnswerEstimates.h"
#include "lentilbay/Policy/EndpointEstimate.h"

#include <cstdint>
#include <span>

namespace lentilbay {

/// How far an endpoint is from this daemon; billed links lie between regions.
enum class Distance : uint8_t { SameDataCentre, SameRegion, OtherRegion };

struct RouteWeights {
    /// Seconds for one way there and back, by distance.
    double sameDataCentreSeconds = 0.0005;
    double sameRegionSeconds = 0.001;
    double otherRegionSeconds = 0.008;
    /// What a billed megabyte between regions is worth, in seconds of an engine's slot.
    double slotSecondsPerBilledMegabyte = 0.5;
    /// An endpoint that holds the prefix may hold this many times the pool's mean before it is passed over.
    double affinityLoadFactor = 1.25;
};

/// What is expected of a request, wherever it runs.
struct ExpectedWork {
    double promptTokens = 0;
    /// Tokens of the answer; for a plain service 0.
    ExpectedSize answerTokens;
    /// For a plain service the seconds of an answer, otherwise 0.
    ExpectedSize plainSeconds;

    auto operator<=>(const ExpectedWork&) const = default;
};

/// One endpoint that could take the request now.
struct RouteCandidate {
    EndpointSpeed speed;
    /// Times its usual speed; see EndpointEstimate::slowness().
    double slowness = 1;
    /// The part of the prompt that it is thought to hold in its cache.
    double cachedFraction = 0;
    /// Seconds until it has read the prompts that were sent to it before.
    double prefillAhead = 0;
    /// Requests that it is thought to hold now.
    double inFlight = 0;
    Distance distance = Distance::SameDataCentre;

    auto operator<=>(const RouteCandidate&) const = default;
};

/// Seconds from the dispatch to the first token and to the whole answer.
struct PredictedTimes {
    double firstToken = 0;
    double whole = 0;

    auto operator<=>(const PredictedTimes&) const = default;
};

/// `sigmas` shifts the answer's length by its spread: -1 is optimistic, +1 careful.
PredictedTimes predictTimes(const ExpectedWork& work, const RouteCandidate& candidate,
    const RouteWeights& weights, double sigmas = 0);

/// The cost of sending the work to the candidate in seconds; the least is best.
double routeCost(const ExpectedWork& work, const RouteCandidate& candidate, const RouteWeights& weights,
    double meanInFlight);

/// The index of the best candidate, or candidates.size() where there is none.
size_t chooseRoute(
    const ExpectedWork& work, std::span<const RouteCandidate> candidates, const RouteWeights& weights);

} // namespace lentilbay
