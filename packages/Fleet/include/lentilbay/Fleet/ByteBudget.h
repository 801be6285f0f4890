// How many bytes a class of links may carry a second; only deferrable messages wait for it.
#pragma once

#include "lentilbay/Support/Time.h"

#include <algorithm>
#include <cstdint>

namespace lentilbay {

/// How far a peer is; links that are further away are slower and billed.
enum class LinkClass : uint8_t { DataCentre, Region, InterRegion };
constexpr size_t linkClasses = 3;

/// A token bucket in bytes that may go into debt for messages that do not wait.
class ByteBudget {
public:
    ByteBudget() = default;
    /// @param bytesPerSecond 0 means unlimited.
    ByteBudget(uint64_t bytesPerSecond, uint64_t burst)
        : m_rate(static_cast<double>(bytesPerSecond))
        , m_burst(static_cast<double>(burst))
        , m_level(static_cast<double>(burst))
    {
    }

    /// Whether a deferrable message may go now.
    bool open(TimePoint now)
    {
        refill(now);
        return m_rate == 0 || m_level > 0;
    }

    /// Counts bytes that were sent.
    void spend(uint64_t bytes, TimePoint now)
    {
        refill(now);
        m_level = std::max(m_level - static_cast<double>(bytes), -m_burst);
    }

private:
    void refill(TimePoint now)
    {
        if (now > m_refilledAt) {
            m_level = std::min(m_burst, m_level + m_rate * toSeconds(now - m_refilledAt));
            m_refilledAt = now;
        }
    }

    double m_rate = 0;
    double m_burst = 0;
    double m_level = 0;
    TimePoint m_refilledAt {};
};

} // namespace lentilbay
