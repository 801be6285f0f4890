// What the parts of the configuration controller share. Private to Control.
#pragma once

#include "StoreCaller.h"
#include "lentilbay/Control/ConfigurationController.h"
#include "lentilbay/Support/Random.h"

#include <algorithm>

namespace lentilbay {

struct ConfigurationContext {
    Blackboard& blackboard;
    ConfigurationOptions options;
    StoreCaller store;
    Random random;
};

/// The pauses between attempts while a service is away: doubled each time up to a limit, spread at random so
/// that a fleet does not return all at once.
class Backoff {
public:
    Backoff(Duration least, Duration most)
        : m_least(least)
        , m_most(most)
        , m_pause(least)
    {
    }

    bool isDue(TimePoint now) const { return now >= m_due; }
    TimePoint due() const { return m_due; }

    void failed(TimePoint now, Random& random)
    {
        const auto half = std::max<int64_t>(1, m_pause.count() / 2);
        m_due = now + Duration(half + static_cast<int64_t>(random.below(static_cast<uint64_t>(half) + 1)));
        m_pause = std::min(m_most, m_pause * 2);
    }

    void succeeded(TimePoint due = TimePoint())
    {
        m_pause = m_least;
        m_due = due;
    }

private:
    Duration m_least;
    Duration m_most;
    Duration m_pause;
    TimePoint m_due {};
};

} // namespace lentilbay
