// Rate limit in bytes per second for a class of links. Only deferrable messages wait for it.
#pragma once

#include "lentilbay/Support/Time.h"

#include <algorithm>
#include <cstdint>

namespace lentilbay {

/// Network distance to a peer. Links over longer distances are slower, and their traffic is billed.
enum class LinkClass : uint8_t { DataCentre, Region, InterRegion };
constexpr size_t linkClassCount = 3;

/// A token bucket in bytes. Its level may become negative, since messages that are not deferrable are sent
/// regardless; the debt is limited to one burst.
class ByteBudget {
public:
    ByteBudget() = default;
    /// @param bytesPerSecond 0 means unlimited.
    ByteBudget(uint64_t bytesPerSecond, uint64_t burst)
        : m_rate(static_cast<double>(bytesPerSecond))
        , m_burst(static_cast<double>(burst))
        , m_tokens(static_cast<double>(burst))
    {
    }

    /// Returns whether a deferrable message may be sent now.
    bool hasCredit(TimePoint now)
    {
        refill(now);
        return m_rate == 0 || m_tokens > 0;
    }

    /// Deducts bytes that were sent.
    void consume(uint64_t bytes, TimePoint now)
    {
        refill(now);
        m_tokens = std::max(m_tokens - static_cast<double>(bytes), -m_burst);
    }

private:
    void refill(TimePoint now)
    {
        if (now > m_lastRefill) {
            m_tokens = std::min(m_burst, m_tokens + m_rate * toSeconds(now - m_lastRefill));
            m_lastRefill = now;
        }
    }

    double m_rate = 0;
    double m_burst = 0;
    double m_tokens = 0;
    TimePoint m_lastRefill {};
};

} // namespace lentilbay
