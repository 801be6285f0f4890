// Predicts answer times per endpoint and chooses the endpoint with the lowest cost.
#include "lentilbay/Policy/Routing.h"

#include <algorithm>

namespace lentilbay {
namespace {

constexpr double bytesPerToken = 4;
/// Relative cost increase per request in flight, which spreads load over otherwise equal candidates.
constexpr double costPerInFlight = 0.01;

double roundTripSeconds(Distance distance, const RouteWeights& weights)
{
    switch (distance) {
    case Distance::SameDataCentre:
        return weights.sameDataCentreSeconds;
    case Distance::SameRegion:
        return weights.sameRegionSeconds;
    case Distance::OtherRegion:
        break;
    }
    return weights.otherRegionSeconds;
}

} // namespace

PredictedTimes predictTimes(
    const ExpectedWork& work, const RouteCandidate& candidate, const RouteWeights& weights, double sigmas)
{
    const double slowness = std::max(1.0, candidate.slowness);
    const double networkSeconds = roundTripSeconds(candidate.distance, weights);
    const auto size
        = [&](const ExpectedSize& it) { return std::max(it.mean * 0.1, it.mean + sigmas * it.spread); };
    const double prefillSeconds = work.promptTokens * (1 - candidate.cachedFraction)
        * candidate.speed.secondsPerPromptToken * slowness;
    const double decodeSeconds = size(work.answerTokens) * candidate.speed.secondsPerAnswerToken * slowness;
    const double plainSeconds = size(work.plainSeconds) * slowness;
    const double firstTokenSeconds
        = networkSeconds + candidate.queuedPrefillSeconds + prefillSeconds + plainSeconds;
    return { .firstToken = firstTokenSeconds, .total = firstTokenSeconds + decodeSeconds };
}

double routeCost(const ExpectedWork& work, const RouteCandidate& candidate, const RouteWeights& weights,
    double meanInFlight)
{
    RouteCandidate adjusted = candidate;
    if (candidate.inFlight > meanInFlight * weights.affinityLoadFactor + 1)
        adjusted.cachedFraction = 0;
    double cost = predictTimes(work, adjusted, weights).total;
    cost *= 1 + costPerInFlight * candidate.inFlight;
    if (candidate.distance == Distance::OtherRegion) {
        const double bytes = bytesPerToken * (work.promptTokens + work.answerTokens.mean);
        cost += bytes / 1e6 * weights.slotSecondsPerBilledMegabyte;
    }
    return cost;
}

size_t chooseRoute(
    const ExpectedWork& work, std::span<const RouteCandidate> candidates, const RouteWeights& weights)
{
    double inFlight = 0;
    for (const auto& it : candidates)
        inFlight += it.inFlight;
    const double mean = candidates.empty() ? 0 : inFlight / static_cast<double>(candidates.size());
    size_t best = candidates.size();
    double least = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const double cost = routeCost(work, candidates[i], weights, mean);
        if (best == candidates.size() || cost < least) {
            best = i;
            least = cost;
        }
    }
    return best;
}

} // namespace lentilbay
