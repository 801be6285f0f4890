// Gives a daemon that has no fleet all slots of every endpoint. It knows no other daemon's work, so it gives
// no verdict, and nothing is shed for want of capacity.
#pragma once

#include "DaemonPart.h"
#include "lentilbay/Control/Blackboard.h"

namespace lentilbay {

class LocalSlots final : public DaemonPart {
public:
    explicit LocalSlots(Blackboard& blackboard)
        : m_blackboard(blackboard)
    {
    }

    void step(TimePoint now) override;
    std::optional<TimePoint> nextWake() const override { return m_renewAt; }

private:
    Blackboard& m_blackboard;
    TimePoint m_renewAt {};
    uint64_t m_version = 0;
};

} // namespace lentilbay
