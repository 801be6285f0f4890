// Queue of claims waiting to be written, fair among organisations, and a rate limit for writes.
#pragma once

#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lentilbay {

/// Round-robin among organisations with waiting claims. This is deficit round-robin with a quantum of one
/// write; since each claim costs exactly one write, no deficits need to be tracked.
class ClaimQueue {
public:
    void push(const OrganisationId& organisation, std::string rowKey)
    {
        auto& queue = m_queues[organisation];
        if (queue.empty())
            m_roundRobin.push_back(organisation);
        queue.push_back(std::move(rowKey));
    }

    /// Removes and returns up to `count` row keys, one of each organisation in turn.
    std::vector<std::string> take(size_t count)
    {
        std::vector<std::string> out;
        while (out.size() < count && !m_roundRobin.empty()) {
            const auto organisation = m_roundRobin.front();
            m_roundRobin.pop_front();
            auto it = m_queues.find(organisation);
            out.push_back(std::move(it->second.front()));
            it->second.pop_front();
            if (it->second.empty())
                m_queues.erase(it);
            else
                m_roundRobin.push_back(organisation);
        }
        return out;
    }

    bool empty() const { return m_roundRobin.empty(); }

private:
    /// Contains no empty queue.
    std::map<OrganisationId, std::deque<std::string>> m_queues;
    /// Each organisation in m_queues exactly once, in the order of their turns.
    std::deque<OrganisationId> m_roundRobin;
};

/// Token bucket that limits writes per second.
class WriteBudget {
public:
    explicit WriteBudget(double perSecond)
        : m_perSecond(perSecond)
        , m_tokens(1)
    {
    }

    size_t available(TimePoint now)
    {
        if (now > m_refilledAt) {
            const auto refill = m_perSecond * toSeconds(now - m_refilledAt);
            m_tokens = std::min(std::max(1.0, m_perSecond * burstSeconds), m_tokens + refill);
            m_refilledAt = now;
        }
        return static_cast<size_t>(std::max(0.0, m_tokens));
    }
    void spend(size_t writes) { m_tokens -= static_cast<double>(writes); }
    /// Returns the time at which a write is available.
    TimePoint nextAt() const
    {
        return m_refilledAt + fromSeconds(std::max(0.0, 1 - m_tokens) / m_perSecond) + Duration(1);
    }

private:
    static constexpr double burstSeconds = 0.1;

    double m_perSecond;
    double m_tokens;
    TimePoint m_refilledAt {};
};

} // namespace lentilbay
