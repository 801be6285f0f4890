// What was learned of one endpoint: its speeds, whether it is a straggler, and how many requests it holds
// before it slows.
#pragma once

#include "lentilbay/Policy/Estimate.h"
#include "lentilbay/Support/Time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace lentilbay {

/// Seconds for each token of one request that runs among others.
struct EndpointSpeed {
    double secondsPerPromptToken = 0.0002;
    double secondsPerAnswerToken = 0.02;

    auto operator<=>(const EndpointSpeed&) const = default;
};

/// First estimates that the endpoints of one hardware generation share.
class GenerationEstimate {
public:
    void observePrefill(double secondsPerToken) { m_prefill.observe(secondsPerToken); }
    void observeDecode(double secondsPerToken) { m_decode.observe(secondsPerToken); }
    EndpointSpeed speed() const
    {
        return { .secondsPerPromptToken = m_prefill.mean(), .secondsPerAnswerToken = m_decode.mean() };
    }
    bool isKnown() const { return m_decode.observations() >= 8; }

private:
    Estimate m_prefill { EndpointSpeed {}.secondsPerPromptToken, 0.02 };
    Estimate m_decode { EndpointSpeed {}.secondsPerAnswerToken, 0.02 };
};

class EndpointEstimate {
public:
    /// Until it has answers of its own, the endpoint is taken to be as fast as its generation.
    EndpointSpeed speed(const GenerationEstimate& generation) const;

    void observePrefill(double tokens, double seconds, GenerationEstimate& generation);
    void observeDecode(double tokens, double seconds, uint32_t running, GenerationEstimate& generation);
    /// For a plain service: the time of an answer against what was expected of it.
    void observeRatio(double ratio) { noteRatio(ratio); }

    /// How much slower than usual its last answers were; 1 is as usual.
    double slowness() const { return m_slowness.mean(); }
    /// A straggler gets no work with a deadline, and single requests as probes.
    bool isStraggler() const;
    /// Whether a probe may be sent now, where nothing else is in flight.
    bool mayProbe(TimePoint now) const;
    /// Whether a probe has been due for so long that one must be sent, even if its answer may come late.
    bool mustProbe(TimePoint now) const;
    void probeSent(TimePoint now);

    /// An answer took so long, of which the first part until its first token.
    void observeAnswer(double firstTokenSeconds, double wholeSeconds);

    /// Requests that decode at once before it slows; at most the configured number.
    uint32_t knee(uint32_t configured) const;
    /// Requests that it may hold at once so that as many as the knee decode: those whose prompt is still read
    /// come on top, up to half of the knee.
    uint32_t slots(uint32_t configured) const;

private:
    void noteRatio(double ratio);

    static constexpr double recentWeight = 0.25;

    // Follow the endpoint's usual speed and stand still while it straggles.
    Estimate m_prefill { 0, 0.05 };
    Estimate m_decode { 0, 0.05 };
    /// Follows the last few answers.
    Estimate m_slowness { 1, recentWeight };
    Estimate m_firstTokenSeconds { 0, 0.05 };
    Estimate m_wholeSeconds { 0, 0.05 };
    uint32_t m_failedProbes = 0;
    /// Answers in a row at the usual speed while it was a straggler.
    uint32_t m_usualAnswers = 0;
    TimePoint m_nextProbe {};

    /// Decode seconds for each number of requests that ran beside each other (the last holds all above).
    static constexpr uint32_t maxLevels = 32;
    std::array<float, maxLevels> m_levelSeconds {};
    std::array<uint16_t, maxLevels> m_levelSamples {};
};

/// How many requests an endpoint that reported its load some time ago is taken to hold now: the report fades
/// with its age, and what this entry itself sent counts in full.
double expectedLoad(uint32_t reported, Duration age, double ownInFlight);

} // namespace lentilbay
