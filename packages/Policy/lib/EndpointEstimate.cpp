// Learns endpoints' speeds from observed timings.
#include "lentilbay/Policy/EndpointEstimate.h"

#include <algorithm>
#include <cmath>

namespace lentilbay {
namespace {

/// An endpoint this many times slower than usual is a straggler, and no longer below the second number.
constexpr double stragglerSlowness = 1.8;
constexpr double recoveredSlowness = 1.3;
constexpr uint64_t minObservations = 3;
/// Decode may slow by this factor between one request and the knee.
constexpr double kneeSlowdown = 1.25;
constexpr uint16_t minLevelSamples = 6;
constexpr Duration firstProbeAfter = std::chrono::seconds(2);
constexpr Duration longestProbeInterval = std::chrono::seconds(30);
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
    m_slowness.observe(std::clamp(ratio, 0.2, 20.0));
    if (m_slowness.mean() < recoveredSlowness)
        m_failedProbes = 0;
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

bool EndpointEstimate::mayProbe(TimePoint now) const { return !m_probing && now >= m_nextProbe; }

void EndpointEstimate::probeSent(TimePoint now)
{
    m_probing = true;
    const auto factor = 1U << std::min<uint32_t>(m_failedProbes, 4);
    m_nextProbe = now + std::min(firstProbeAfter * factor, longestProbeInterval);
    ++m_failedProbes;
}

uint32_t EndpointEstimate::knee(uint32_t configured) const
{
    double least = 0;
    for (uint32_t i = 0; i < maxLevels; ++i) {
        if (m_levelSamples[i] >= minLevelSamples && (least == 0 || m_levelSeconds[i] < least))
            least = m_levelSeconds[i];
    }
    uint32_t knee = configured;
    for (uint32_t i = 0; i < std::min(configured, maxLevels); ++i) {
        if (m_levelSamples[i] >= minLevelSamples && m_levelSeconds[i] > least * kneeSlowdown)
            return std::max<uint32_t>(1, std::min(knee, i));
    }
    return knee;
}

double expectedLoad(uint32_t reported, Duration age, uint32_t ownInFlight)
{
    const double fading = std::exp2(-toSeconds(std::max(age, Duration::zero())) / loadHalfLife);
    return std::max<double>(ownInFlight, reported * fading + ownInFlight * (1 - fading));
}

} // namespace lentilbay
