// Claims that wait for their write, fair among organisations and bounded in writes a second.
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

/// Round robin among the organisations that wait: each claim is one write, so a quantum of one write is a
/// deficit round robin without deficits.
class ClaimQueue {
public:
    void push(const OrganisationId& organisation, std::string rowKey)
    {
        auto& queue = m_queues[organisation];
        if (queue.empty())
            m_turns.push_back(organisation);
        queue.push_back(std::move(rowKey));
    }

    /// Up to `count` row keys, one of each organisation in turn.
    std::vector<std::string> take(size_t count)
    {
        std::vector<std::string> out;
        while (out.size() < count && !m_turns.empty()) {
            const auto organisation = m_turns.front();
            m_turns.pop_front();
            auto it = m_queues.find(organisation);
            out.push_back(std::move(it->second.front()));
            it->second.pop_front();
            if (it->second.empty())
                m_queues.erase(it);
            else
                m_turns.push_back(organisation);
        }
        return out;
    }

    bool empty() const { return m_turns.empty(); }

private:
    /// Holds no empty queue.
    std::map<OrganisationId, std::deque<std::string>> m_queues;
    /// Each organisation of m_queues once, the next one first.
    std::deque<OrganisationId> m_turns;
};

/// A token bucket of writes.
class WriteBudget {
public:
    explicit WriteBudget(double perSecond)
        : m_perSecond(perSecond)
        , m_level(1)
    {
    }

    size_t available(TimePoint now)
    {
        if (now > m_refilledAt) {
            const auto refill = m_perSecond * toSeconds(now - m_refilledAt);
            m_level = std::min(std::max(1.0, m_perSecond * burstSeconds), m_level + refill);
            m_refilledAt = now;
        }
        return static_cast<size_t>(std::max(0.0, m_level));
    }
    void spend(size_t writes) { m_level -= static_cast<double>(writes); }
    /// When a write is available again.
    TimePoint nextAt() const
    {
        return m_refilledAt + fromSeconds(std::max(0.0, 1 - m_level) / m_perSecond) + Duration(1);
    }

private:
    static constexpr double burstSeconds = 0.1;

    double m_perSecond;
    double m_level;
    TimePoint m_refilledAt {};
};

} // namespace lentilbay
