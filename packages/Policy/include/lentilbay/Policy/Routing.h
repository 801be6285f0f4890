// Chooses the endpoint of a request by a cost that combines the predicted completion time, cached prefixes,
// the network distance and the price of billed traffic.
#pragma once

#include "lentilbay/Policy/AnswerEstimates.h"
#include "lentilbay/Policy/EndpointEstimate.h"

#include <cstdint>
#include <span>

namespace lentilbay {

/// The network distance between an endpoint and this daemon. Traffic between regions is billed.
enum class Distance : uint8_t { SameDataCentre, SameRegion, OtherRegion };

struct RouteWeights {
    /// Round-trip times by distance.
    double sameDataCentreSeconds = 0.0005;
    double sameRegionSeconds = 0.001;
    double otherRegionSeconds = 0.008;
    /// The price of a megabyte between regions, in seconds of an engine slot.
    double slotSecondsPerBilledMegabyte = 0.5;
    /// An endpoint's cached prefix counts only while its requests in flight stay below this multiple of the
    /// mean of the candidates, plus one.
    double affinityLoadFactor = 1.25;
};

/// The expected work of a request, independent of the endpoint.
struct ExpectedWork {
    double promptTokens = 0;
    /// Answer tokens; 0 for a plain service.
    ExpectedSize answerTokens;
    /// Seconds of processing at a plain service; 0 for a model.
    ExpectedSize plainSeconds;

    auto operator<=>(const ExpectedWork&) const = default;
};

/// An endpoint that has capacity for the request.
struct RouteCandidate {
    EndpointSpeed speed;
    /// See EndpointEstimate::slowness().
    double slowness = 1;
    /// The estimated fraction of the prompt in the endpoint's KV cache, 0 to 1.
    double cachedFraction = 0;
    /// Seconds until the prefill of the requests sent before is done.
    double queuedPrefillSeconds = 0;
    /// Estimated requests in flight at the endpoint; see expectedLoad().
    double inFlight = 0;
    Distance distance = Distance::SameDataCentre;

    auto operator<=>(const RouteCandidate&) const = default;
};

/// Seconds from the dispatch to the first token and to the end of the answer.
struct PredictedTimes {
    double firstToken = 0;
    double total = 0;

    auto operator<=>(const PredictedTimes&) const = default;
};

/// @param sigmas standard deviations added to the answer size: negative is optimistic, positive conservative
PredictedTimes predictTimes(const ExpectedWork& work, const RouteCandidate& candidate,
    const RouteWeights& weights, double sigmas = 0);

/// The cost, in seconds, of sending the work to the candidate; lower is better.
/// @param meanInFlight the mean of RouteCandidate::inFlight over all candidates
double routeCost(const ExpectedWork& work, const RouteCandidate& candidate, const RouteWeights& weights,
    double meanInFlight);

/// The index of the candidate with the lowest cost, or candidates.size() if there are none.
size_t chooseRoute(
    const ExpectedWork& work, std::span<const RouteCandidate> candidates, const RouteWeights& weights);

} // namespace lentilbay
