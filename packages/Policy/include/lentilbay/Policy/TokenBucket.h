// Token bucket rate limiter; the current time is passed in by the caller.
#pragma once

#include "lentilbay/Support/Time.h"

#include <algorithm>

namespace lentilbay {

struct TokenBucketOptions {
    /// Tokens per second.
    double rate = 1;
    /// Maximum level, in tokens.
    double capacity = 1;

    auto operator<=>(const TokenBucketOptions&) const = default;
};

class TokenBucket {
public:
    /// Starts full.
    TokenBucket(TokenBucketOptions options, TimePoint now)
        : m_options(options)
        , m_level(options.capacity)
        , m_updatedAt(now)
    {
    }

    /// Changes rate and capacity; keeps the level, up to the new capacity.
    void configure(TokenBucketOptions options, TimePoint now)
    {
        refill(now);
        m_options = options;
        m_level = std::min(m_level, m_options.capacity);
    }

    /// Takes the amount and returns true if the level covers it. An amount above the capacity is taken from a
    /// full bucket, whose level becomes negative.
    bool take(double amount, TimePoint now)
    {
        refill(now);
        if (m_options.capacity <= 0 || m_level < std::min(amount, m_options.capacity))
            return false;
        m_level -= amount;
        return true;
    }

    /// Returns tokens to the bucket or, if `amount` is negative, takes them regardless of the level; corrects
    /// an earlier take() by the actual use.
    void settle(double amount, TimePoint now)
    {
        refill(now);
        m_level = std::min(m_level + amount, m_options.capacity);
    }

    /// The time until take() can succeed; zero if the rate is zero.
    Duration timeUntil(double amount, TimePoint now)
    {
        refill(now);
        const double missing = std::min(amount, m_options.capacity) - m_level;
        return missing <= 0 || m_options.rate <= 0 ? Duration::zero() : fromSeconds(missing / m_options.rate);
    }

    double level(TimePoint now)
    {
        refill(now);
        return m_level;
    }

private:
    void refill(TimePoint now)
    {
        if (now <= m_updatedAt)
            return;
        m_level = std::min(m_options.capacity, m_level + m_options.rate * toSeconds(now - m_updatedAt));
        m_updatedAt = now;
    }

    TokenBucketOptions m_options;
    double m_level;
    TimePoint m_updatedAt;
};

} // namespace lentilbay
