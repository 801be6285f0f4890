// Predicts the times of requests at endpoints, and learns from their observed times.
#include "EntryState.h"

#include <algorithm>

namespace lentilbay {
namespace {

/// The decode speed is measured over samples of this many tokens.
constexpr uint32_t decodeSampleTokens = 64;
/// The shorter sample at the end of an answer needs at least this many tokens.
constexpr uint32_t minDecodeSampleTokens = 16;
/// The prefill speed is measured only if at most this fraction of the prompt is believed to be cached.
constexpr double negligibleFraction = 0.02;
/// Lower bound of the time on an idle endpoint, as a fraction of the time that was learned under load.
constexpr double idleTimeFraction = 0.5;
/// The same while nothing has been learned, as a fraction of the default time.
constexpr double unlearnedTimeFraction = 0.05;
/// Lower bound of the length of an answer, as a fraction of the expected length.
constexpr double minAnswerFraction = 0.1;

} // namespace

RouteCandidate EntryController::State::candidateOf(
    const EndpointRuntime& endpoint, double cachedFraction, TimePoint now) const
{
    const auto ahead = std::max(endpoint.prefillEndsAt - now, Duration::zero());
    double inFlight = static_cast<double>(endpoint.activeRequests.size());
    if (endpoint.position != noPosition) {
        const auto& load = blackboard.endpoints[endpoint.position].load;
        if (load)
            inFlight = expectedLoad(load->running + load->waiting, now - load->measuredAt, inFlight);
    }
    return { .speed = endpoint.speed,
        .slowness = endpoint.isStraggler ? endpoint.estimate.slowness() : 1,
        .cachedFraction = cachedFraction,
        .queuedPrefillSeconds = toSeconds(ahead),
        .inFlight = inFlight,
        .distance = endpoint.distance };
}

PredictedTimes EntryController::State::predict(
    const OpenRequest& request, const EndpointRuntime& endpoint, double sigmas, TimePoint now) const
{
    const auto candidate = candidateOf(endpoint, request.cachedFraction, now);
    return predictTimes(request.expected, candidate, runtime.weights, sigmas);
}

PredictedTimes EntryController::State::predictRunning(const OpenRequest& request) const
{
    auto candidate = candidateOf(*request.endpoint, request.cachedFraction, request.endpoint->prefillEndsAt);
    candidate.queuedPrefillSeconds = request.queuedPrefillSeconds;
    return predictTimes(request.expected, candidate, runtime.weights);
}

PredictedTimes EntryController::State::predictBest(const OpenRequest& request, double sigmas) const
{
    auto best = request.pool->fastest;
    best.cachedFraction = request.cachedFraction;
    return predictTimes(request.expected, best, runtime.weights, sigmas);
}

bool EntryController::State::isInTime(
    const OpenRequest& request, TimePoint start, const PredictedTimes& times) const
{
    if (request.deadline && start + fromSeconds(times.total) > *request.deadline)
        return false;
    return !request.firstTokenDeadline
        || start + fromSeconds(times.firstToken) <= *request.firstTokenDeadline;
}

bool EntryController::State::isInfeasible(const OpenRequest& request) const
{
    if (request.isPlain())
        return false;
    auto work = request.expected;
    work.answerTokens = { .mean = minAnswerFraction * work.answerTokens.mean, .spread = 0 };
    auto idle = request.pool->fastest;
    idle.cachedFraction = request.cachedFraction;
    const double timeFraction = request.pool->isSpeedKnown ? idleTimeFraction : unlearnedTimeFraction;
    idle.speed.secondsPerPromptToken *= timeFraction;
    idle.speed.secondsPerAnswerToken *= timeFraction;
    return !isInTime(request, request.arrivedAt, predictTimes(work, idle, runtime.weights));
}

std::optional<TimePoint> EntryController::State::latestStart(const OpenRequest& request, double sigmas) const
{
    const auto times = predictBest(request, sigmas);
    std::optional<TimePoint> out;
    if (request.deadline)
        out = *request.deadline - fromSeconds(times.total);
    if (request.firstTokenDeadline) {
        const auto latest = *request.firstTokenDeadline - fromSeconds(times.firstToken);
        out = out ? std::min(*out, latest) : latest;
    }
    return out;
}

double EntryController::State::remainingSeconds(const OpenRequest& request, TimePoint now) const
{
    const auto times = predictRunning(request);
    const double elapsed = toSeconds(now - request.dispatchedAt);
    // Assume that an overdue request still needs at least as long as it is already overdue.
    const double overdue = elapsed - times.total;
    if (!request.firstTokenAt)
        return std::max(times.total - elapsed, times.total - times.firstToken + std::max(overdue, 0.0));
    const auto& size = request.expected.answerTokens;
    const double left = std::max(size.mean - request.answerTokens, 0.1 * size.mean + 0.25 * size.spread);
    return std::max(left * request.endpoint->speed.secondsPerAnswerToken, overdue);
}

RunningWork EntryController::State::runningWork(const OpenRequest& request, TimePoint now) const
{
    RunningWork out {
        .sequence = request.sequence, .rank = request.rank, .preemptible = request.preemptible
    };
    if (request.phase == RequestPhase::Connecting) {
        // Nothing was written yet, so any request can be revoked without loss.
        out.preemptible = !request.isRevoked;
        out.remainingSeconds = predictRunning(request).total;
        return out;
    }
    out.remainingSeconds = remainingSeconds(request, now);
    const double tokens = request.expected.promptTokens * (1 - request.cachedFraction);
    const double seconds = std::max(1e-6, predictRunning(request).firstToken - request.queuedPrefillSeconds);
    const double elapsed = toSeconds(now - request.dispatchedAt) - request.queuedPrefillSeconds;
    const double done = request.firstTokenAt ? 1 : std::clamp(elapsed / seconds, 0.0, 1.0);
    out.prefilledTokens = tokens * done;
    return out;
}

void EntryController::State::observeTokens(OpenRequest& request, uint32_t tokens, TimePoint now)
{
    if (!request.firstTokenAt) {
        auto& endpoint = *request.endpoint;
        request.firstTokenAt = now;
        request.prefillStartedAt = std::max(request.dispatchedAt, endpoint.lastFirstTokenAt);
        endpoint.lastFirstTokenAt = now;
        const bool isLast = std::all_of(endpoint.activeRequests.begin(), endpoint.activeRequests.end(),
            [](const OpenRequest* it) { return it->firstTokenAt.has_value(); });
        if (isLast)
            endpoint.prefillEndsAt = now;
        request.sampleStartedAt = now;
        request.answerTokens += tokens;
        request.sampleStartTokens = request.answerTokens;
        return;
    }
    request.answerTokens += tokens;
    const auto sampleTokens = request.answerTokens - request.sampleStartTokens;
    if (sampleTokens < decodeSampleTokens || request.isPlain())
        return;
    auto& endpoint = *request.endpoint;
    endpoint.estimate.observeDecode(sampleTokens, toSeconds(now - request.sampleStartedAt),
        static_cast<uint32_t>(endpoint.activeRequests.size()), *endpoint.generation);
    request.sampleStartTokens = request.answerTokens;
    request.sampleStartedAt = now;
}

void EntryController::State::observeEnd(OpenRequest& request, TimePoint now)
{
    auto& endpoint = *request.endpoint;
    auto& pool = *request.pool;
    const double seconds = toSeconds(now - request.dispatchedAt);
    const bool isLate = request.deadline && now > *request.deadline;
    pool.answerWeight.observe(isLate ? 0 : request.goodputWeight);
    pool.slotSeconds.observe(seconds);
    if (request.isPlain()) {
        endpoint.estimate.observeSlowdown(seconds / request.expected.plainSeconds.mean);
        if (!endpoint.estimate.isStraggler())
            runtime.plainSeconds.observe(request.arrival.organisation, request.arrival.service, seconds);
        return;
    }
    const auto& arrival = request.arrival;
    if (arrival.maxAnswerTokens > 0) {
        const double fraction = static_cast<double>(request.answerTokens) / arrival.maxAnswerTokens;
        runtime.answerFractions.observe(arrival.organisation, arrival.service, fraction);
    } else {
        runtime.answerTokens.observe(arrival.organisation, arrival.service, request.answerTokens);
    }
    if (!request.firstTokenAt)
        return;
    if (endpoint.isStraggler) {
        // The answers of probes may be too short for a decode sample, so compare the total time with the
        // usual one.
        const double tokens = request.expected.promptTokens * (1 - request.cachedFraction);
        const double usual = request.queuedPrefillSeconds + tokens * endpoint.speed.secondsPerPromptToken
            + request.answerTokens * endpoint.speed.secondsPerAnswerToken;
        endpoint.estimate.observeSlowdown(seconds / std::max(1e-3, usual));
    }
    endpoint.estimate.observeAnswer(toSeconds(*request.firstTokenAt - request.dispatchedAt), seconds);
    const auto sampleTokens = request.answerTokens - request.sampleStartTokens;
    if (sampleTokens >= minDecodeSampleTokens) {
        endpoint.estimate.observeDecode(sampleTokens, toSeconds(now - request.sampleStartedAt),
            static_cast<uint32_t>(endpoint.activeRequests.size()), *endpoint.generation);
    }
    const double prefill = toSeconds(*request.firstTokenAt - request.prefillStartedAt);
    if (request.reportedCachedTokens) {
        endpoint.estimate.observePrefill(
            request.expected.promptTokens - *request.reportedCachedTokens, prefill, *endpoint.generation);
    } else if (request.cachedFraction < negligibleFraction) {
        endpoint.estimate.observePrefill(request.expected.promptTokens, prefill, *endpoint.generation);
    }
}

} // namespace lentilbay
