// Learns endpoints' speeds from observed timings.
#include "lentilbay/Policy/EndpointEstimate.h"

#include <algorithm>
#include <cmath>

namespace lentilbay {
namespace {

/// An endpoint this many times slower than usual is a straggler, and no longer below the second number.
constexpr double stragglerSlowness = 2;
constexpr uint32_t answersToRecover = 2;
constexpr double recoveredSlowness = 1.4;
constexpr uint64_t minObservations = 3;
/// The knee is the least number of requests that gives this part of the greatest throughput.
constexpr float kneeThroughput = 0.95F;
constexpr double mostAboveKnee = 1.5;
constexpr uint16_t minLevelSamples = 20;
constexpr Duration firstProbeAfter = std::chrono::seconds(2);
constexpr Duration longestProbeInterval = std::chrono::seconds(30);
constexpr Duration longestProbeDelay = std::chrono::seconds(5);
constexpr double loadHalfLife = 0.5;
/// No endpoint of a generation is believed to be slower than the generation by more than this factor.
constexpr double slowestOfGeneration = 2;

} // namespace

EndpointSpeed EndpointEstimate::speed(const GenerationEstimate& generation) const
{
    auto out = generation.speed();
    const auto bounded = [&](const Estimate& own, double shared) {
        if (own.observations() < minObservations)
            return shared;
        return generation.isKnown() ? std::min(own.mean(), shared * slowestOfGeneration) : own.mean();
    };
    out.secondsPerPromptToken = bounded(m_prefill, out.secondsPerPromptToken);
    out.secondsPerAnswerToken = bounded(m_decode, out.secondsPerAnswerToken);
    return out;
}

void EndpointEstimate::noteRatio(double ratio)
{
    const bool wasStraggler = isStraggler();
    m_slowness.observe(std::clamp(ratio, 0.2, 20.0));
    m_usualAnswers = ratio < recoveredSlowness ? m_usualAnswers + 1 : 0;
    if (m_usualAnswers > 0)
        m_failedProbes = 0;
    if (wasStraggler && m_usualAnswers >= answersToRecover)
        m_slowness = Estimate { 1, recentWeight };
}

void EndpointEstimate::observePrefill(double tokens, double seconds, GenerationEstimate& generation)
{
    if (tokens < 1 || seconds <= 0)
        return;
    const double each = seconds / tokens;
    if (isStraggler())
        return;
    m_prefill.observe(each);
    generation.observePrefill(each);
}

void EndpointEstimate::observeDecode(
    double tokens, double seconds, uint32_t running, GenerationEstimate& generation)
{
    if (tokens < 1 || seconds <= 0)
        return;
    const double each = seconds / tokens;
    const double usual = speed(generation).secondsPerAnswerToken;
    const bool isKnown = m_decode.observations() >= minObservations || generation.isKnown();
    if (isKnown)
        noteRatio(each / usual);
    if (isStraggler())
        return;
    m_decode.observe(each);
    generation.observeDecode(each);
    const auto level = std::clamp<uint32_t>(running, 1, maxLevels) - 1;
    auto& samples = m_levelSamples[level];
    samples = static_cast<uint16_t>(std::min<int>(samples + 1, 1'000));
    const double weight = std::max(0.05, 1.0 / samples);
    m_levelSeconds[level] += static_cast<float>(weight * (each - m_levelSeconds[level]));
}

bool EndpointEstimate::isStraggler() const
{
    return m_slowness.observations() >= minObservations && m_slowness.mean() >= stragglerSlowness;
}

bool EndpointEstimate::mayProbe(TimePoint now) const { return now >= m_nextProbe; }

bool EndpointEstimate::mustProbe(TimePoint now) const
{
    return mayProbe(now) && now >= m_nextProbe + longestProbeDelay;
}

void EndpointEstimate::probeSent(TimePoint now)
{
    const auto factor = 1U << std::min<uint32_t>(m_failedProbes, 4);
    m_nextProbe = now + std::min(firstProbeAfter * factor, longestProbeInterval);
    ++m_failedProbes;
}

uint32_t EndpointEstimate::knee(uint32_t configured) const
{
    const auto levels = std::min(configured, maxLevels);
    const auto tokensPerSecond = [&](uint32_t level) {
        return m_levelSamples[level] < minLevelSamples ? 0 : (level + 1) / m_levelSeconds[level];
    };
    float most = 0;
    for (uint32_t i = 0; i < levels; ++i)
        most = std::max(most, tokensPerSecond(i));
    // Where the configured number was not tried yet, it is still believed.
    if (most == 0 || m_levelSamples[levels - 1] < minLevelSamples)
        return configured;
    for (uint32_t i = 0; i < levels; ++i) {
        if (tokensPerSecond(i) >= most * kneeThroughput)
            return i + 1;
    }
    return configured;
}

void EndpointEstimate::observeAnswer(double firstTokenSeconds, double wholeSeconds)
{
    if (isStraggler())
        return;
    m_firstTokenSeconds.observe(firstTokenSeconds);
    m_wholeSeconds.observe(wholeSeconds);
}

uint32_t EndpointEstimate::slots(uint32_t configured) const
{
    const double decoding = knee(configured);
    if (m_wholeSeconds.observations() < minLevelSamples)
        return static_cast<uint32_t>(decoding);
    const double reading = std::clamp(m_firstTokenSeconds.mean() / m_wholeSeconds.mean(), 0.0, 0.9);
    return static_cast<uint32_t>(std::ceil(decoding * std::min(mostAboveKnee, 1 / (1 - reading)) - 1e-9));
}

double expectedLoad(uint32_t reported, Duration age, double ownInFlight)
{
    const double fading = std::exp2(-toSeconds(std::max(age, Duration::zero())) / loadHalfLife);
    return std::max<double>(ownInFlight, reported * fading + ownInFlight * (1 - fading));
}

} // namespace lentilbay
