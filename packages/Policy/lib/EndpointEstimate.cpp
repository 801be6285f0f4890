// Estimates endpoint speeds and saturation points from observed timings.
#include "lentilbay/Policy/EndpointEstimate.h"

#include <algorithm>
#include <cmath>

namespace lentilbay {
namespace {

/// An endpoint is a straggler from this slowness on, and recovers after `answersToRecover` consecutive
/// answers below `recoveredSlowness`.
constexpr double stragglerSlowness = 2;
constexpr uint32_t answersToRecover = 2;
constexpr double recoveredSlowness = 1.4;
constexpr uint64_t minObservations = 3;
/// The knee is the smallest concurrency that reaches this fraction of the maximum throughput.
constexpr float kneeThroughputFraction = 0.95F;
constexpr double maxSlotsPerKnee = 1.5;
constexpr uint16_t minLevelSamples = 20;
constexpr Duration initialProbeInterval = std::chrono::seconds(2);
constexpr Duration maxProbeInterval = std::chrono::seconds(30);
constexpr Duration maxProbeDelay = std::chrono::seconds(5);
constexpr double loadHalfLifeSeconds = 0.5;
/// Caps the estimated seconds per token of an endpoint relative to its generation.
constexpr double maxSlownessInGeneration = 2;

} // namespace

EndpointSpeed EndpointEstimate::speed(const GenerationEstimate& generation) const
{
    auto out = generation.speed();
    const auto bounded = [&](const Estimate& own, double shared) {
        if (own.observations() < minObservations)
            return shared;
        return generation.isKnown() ? std::min(own.mean(), shared * maxSlownessInGeneration) : own.mean();
    };
    out.secondsPerPromptToken = bounded(m_prefill, out.secondsPerPromptToken);
    out.secondsPerAnswerToken = bounded(m_decode, out.secondsPerAnswerToken);
    return out;
}

void EndpointEstimate::updateSlowness(double ratio)
{
    const bool wasStraggler = isStraggler();
    m_slowness.observe(std::clamp(ratio, 0.2, 20.0));
    m_consecutiveUsualAnswers = ratio < recoveredSlowness ? m_consecutiveUsualAnswers + 1 : 0;
    if (m_consecutiveUsualAnswers > 0)
        m_failedProbes = 0;
    if (wasStraggler && m_consecutiveUsualAnswers >= answersToRecover)
        m_slowness = Estimate { 1, recentWeight };
}

void EndpointEstimate::observePrefill(double tokens, double seconds, GenerationEstimate& generation)
{
    if (tokens < 1 || seconds <= 0)
        return;
    const double secondsPerToken = seconds / tokens;
    if (isStraggler())
        return;
    m_prefill.observe(secondsPerToken);
    generation.observePrefill(secondsPerToken);
}

void EndpointEstimate::observeDecode(
    double tokens, double seconds, uint32_t running, GenerationEstimate& generation)
{
    if (tokens < 1 || seconds <= 0)
        return;
    const double secondsPerToken = seconds / tokens;
    const double usual = speed(generation).secondsPerAnswerToken;
    const bool isKnown = m_decode.observations() >= minObservations || generation.isKnown();
    if (isKnown)
        updateSlowness(secondsPerToken / usual);
    if (isStraggler())
        return;
    m_decode.observe(secondsPerToken);
    generation.observeDecode(secondsPerToken);
    const auto level = std::clamp<uint32_t>(running, 1, maxLevels) - 1;
    auto& samples = m_levelSamples[level];
    samples = static_cast<uint16_t>(std::min<int>(samples + 1, 1'000));
    const double weight = std::max(0.05, 1.0 / samples);
    m_levelSeconds[level] += static_cast<float>(weight * (secondsPerToken - m_levelSeconds[level]));
}

bool EndpointEstimate::isStraggler() const
{
    return m_slowness.observations() >= minObservations && m_slowness.mean() >= stragglerSlowness;
}

bool EndpointEstimate::mayProbe(TimePoint now) const { return now >= m_nextProbe; }

bool EndpointEstimate::mustProbe(TimePoint now) const
{
    return mayProbe(now) && now >= m_nextProbe + maxProbeDelay;
}

void EndpointEstimate::probeSent(TimePoint now)
{
    const auto factor = 1U << std::min<uint32_t>(m_failedProbes, 4);
    m_nextProbe = now + std::min(initialProbeInterval * factor, maxProbeInterval);
    ++m_failedProbes;
}

uint32_t EndpointEstimate::knee(uint32_t configured) const
{
    const auto levels = std::min(configured, maxLevels);
    const auto tokensPerSecond = [&](uint32_t level) {
        return m_levelSamples[level] < minLevelSamples ? 0 : (level + 1) / m_levelSeconds[level];
    };
    float maxThroughput = 0;
    for (uint32_t i = 0; i < levels; ++i)
        maxThroughput = std::max(maxThroughput, tokensPerSecond(i));
    // Trust the configured number until that concurrency has been observed.
    if (maxThroughput == 0 || m_levelSamples[levels - 1] < minLevelSamples)
        return configured;
    for (uint32_t i = 0; i < levels; ++i) {
        if (tokensPerSecond(i) >= maxThroughput * kneeThroughputFraction)
            return i + 1;
    }
    return configured;
}

void EndpointEstimate::observeAnswer(double firstTokenSeconds, double totalSeconds)
{
    if (isStraggler())
        return;
    m_firstTokenSeconds.observe(firstTokenSeconds);
    m_totalSeconds.observe(totalSeconds);
}

uint32_t EndpointEstimate::slots(uint32_t configured) const
{
    const double decoding = knee(configured);
    if (m_totalSeconds.observations() < minLevelSamples)
        return static_cast<uint32_t>(decoding);
    const double prefillFraction = std::clamp(m_firstTokenSeconds.mean() / m_totalSeconds.mean(), 0.0, 0.9);
    return static_cast<uint32_t>(
        std::ceil(decoding * std::min(maxSlotsPerKnee, 1 / (1 - prefillFraction)) - 1e-9));
}

double expectedLoad(uint32_t reported, Duration age, double ownInFlight)
{
    const double reportWeight = std::exp2(-toSeconds(std::max(age, Duration::zero())) / loadHalfLifeSeconds);
    return std::max<double>(ownInFlight, reported * reportWeight + ownInFlight * (1 - reportWeight));
}

} // namespace lentilbay
