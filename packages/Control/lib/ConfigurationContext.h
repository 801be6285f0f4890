// State shared by the parts of the configuration controller. Private to Control.
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

/// Exponential backoff with a limit, for calls of an unavailable service. The delays are randomised so that
/// the daemons of a fleet do not retry at the same time.
class Backoff {
public:
    Backoff(Duration initial, Duration limit)
        : m_initial(initial)
        , m_limit(limit)
        , m_delay(initial)
    {
    }

    bool isDue(TimePoint now) const { return now >= m_due; }
    TimePoint due() const { return m_due; }

    void recordFailure(TimePoint now, Random& random)
    {
        const auto half = std::max<int64_t>(1, m_delay.count() / 2);
        m_due = now + Duration(half + static_cast<int64_t>(random.below(static_cast<uint64_t>(half) + 1)));
        m_delay = std::min(m_limit, m_delay * 2);
    }

    void recordSuccess(TimePoint due = TimePoint())
    {
        m_delay = m_initial;
        m_due = due;
    }

private:
    Duration m_initial;
    Duration m_limit;
    Duration m_delay;
    TimePoint m_due {};
};

} // namespace lentilbay
