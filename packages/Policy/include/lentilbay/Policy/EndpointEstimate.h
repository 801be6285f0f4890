// Performance estimates of one endpoint: its prefill and decode speed, whether it is a straggler, and the
// number of concurrent requests beyond which its throughput stops growing.
#pragma once

#include "lentilbay/Policy/Estimate.h"
#include "lentilbay/Support/Time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace lentilbay {

/// Seconds per token of a single request while other requests run on the same endpoint.
struct EndpointSpeed {
    double secondsPerPromptToken = 0.0002;
    double secondsPerAnswerToken = 0.02;

    auto operator<=>(const EndpointSpeed&) const = default;
};

/// Speed estimate shared by all endpoints of one hardware generation; the prior of a new endpoint.
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
    /// Falls back to the speed of the hardware generation until the endpoint has enough observations.
    EndpointSpeed speed(const GenerationEstimate& generation) const;

    void observePrefill(double tokens, double seconds, GenerationEstimate& generation);
    void observeDecode(double tokens, double seconds, uint32_t running, GenerationEstimate& generation);
    /// For a plain service.
    /// @param ratio the actual duration of an answer divided by the expected one
    void observeSlowdown(double ratio) { updateSlowness(ratio); }

    /// Recent answer times relative to the usual ones; 1 means no slowdown.
    double slowness() const { return m_slowness.mean(); }
    /// A straggler receives no requests with a deadline, only one probe request at a time.
    bool isStraggler() const;
    /// Whether a probe may be sent, provided that nothing else is in flight at the endpoint.
    bool mayProbe(TimePoint now) const;
    /// Whether a probe is so far overdue that it must be sent even if the probe request may miss its
    /// deadline.
    bool mustProbe(TimePoint now) const;
    void probeSent(TimePoint now);

    /// Records the times from the dispatch to the first token and to the end of an answer.
    void observeAnswer(double firstTokenSeconds, double totalSeconds);

    /// The number of concurrently decoding requests at which throughput saturates; at most `configured`.
    uint32_t knee(uint32_t configured) const;
    /// The number of requests to keep in flight so that as many as the knee are decoding. Requests still in
    /// prefill are added on top, up to half of the knee.
    uint32_t slots(uint32_t configured) const;

private:
    void updateSlowness(double ratio);

    static constexpr double recentWeight = 0.25;

    // Seconds per token at the usual speed; not updated while the endpoint is a straggler.
    Estimate m_prefill { 0, 0.05 };
    Estimate m_decode { 0, 0.05 };
    /// Weighted towards the last few answers.
    Estimate m_slowness { 1, recentWeight };
    Estimate m_firstTokenSeconds { 0, 0.05 };
    Estimate m_totalSeconds { 0, 0.05 };
    uint32_t m_failedProbes = 0;
    /// The number of consecutive answers that were not slow; enough of them end the state of a straggler.
    uint32_t m_consecutiveUsualAnswers = 0;
    TimePoint m_nextProbe {};

    /// Decode seconds per token by the number of concurrent requests; the last level covers all higher ones.
    static constexpr uint32_t maxLevels = 32;
    std::array<float, maxLevels> m_levelSeconds {};
    std::array<uint16_t, maxLevels> m_levelSamples {};
};

/// Estimates the number of requests at an endpoint from its last load report. The weight of the report decays
/// with its age; the requests that this daemon itself has in flight there count in full.
double expectedLoad(uint32_t reported, Duration age, double ownInFlight);

} // namespace lentilbay
