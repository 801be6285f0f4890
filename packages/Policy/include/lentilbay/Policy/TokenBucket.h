// A token bucket in which the present time is an argument.
#pragma once

#include "lentilbay/Support/Time.h"

#include <algorithm>

namespace lentilbay {

struct TokenBucketOptions {
    /// Tokens a second.
    double rate = 1;
    /// The most that it holds.
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

    /// Changes rate and capacity; what is in it stays, up to the new capacity.
    void configure(TokenBucketOptions options, TimePoint now)
    {
        fill(now);
        m_options = options;
        m_level = std::min(m_level, m_options.capacity);
    }

    /// Takes the amount if it is there. An amount above the capacity is let through from a full bucket, which
    /// is then in debt.
    bool take(double amount, TimePoint now)
    {
        fill(now);
        if (m_options.capacity <= 0 || m_level < std::min(amount, m_options.capacity))
            return false;
        m_level -= amount;
        return true;
    }

    /// Gives back (or, if negative, takes) the difference between what was expected and what was used.
    void settle(double amount, TimePoint now)
    {
        fill(now);
        m_level = std::min(m_level + amount, m_options.capacity);
    }

    /// How long until the amount is there.
    Duration timeUntil(double amount, TimePoint now)
    {
        fill(now);
        const double missing = std::min(amount, m_options.capacity) - m_level;
        return missing <= 0 || m_options.rate <= 0 ? Duration::zero() : fromSeconds(missing / m_options.rate);
    }

    double level(TimePoint now)
    {
        fill(now);
        return m_level;
    }

private:
    void fill(TimePoint now)
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
