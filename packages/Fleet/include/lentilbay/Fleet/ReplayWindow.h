// Rejects packets that were received before, or that come from an earlier process of the same name.
#pragma once

#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace lentilbay {

class ReplayWindow {
public:
    /// Sequences this far behind the newest are taken for replayed.
    static constexpr size_t width = 1024;
    /// Senders beyond this number are refused until an idle one is forgotten.
    static constexpr size_t maxSenders = 4096;
    /// A sender is forgotten after this time without a packet.
    static constexpr Duration idleLifetime = std::chrono::minutes(10);

    /// Whether the packet is new; it is then marked as received.
    bool accept(const DaemonId& sender, uint64_t incarnation, uint64_t sequence, TimePoint now);
    size_t senders() const { return m_senders.size(); }

private:
    struct Sender {
        uint64_t incarnation = 0;
        uint64_t newest = 0;
        /// Bit i: the sequence `newest - i` was received.
        std::bitset<width> received;
        TimePoint lastHeard {};
    };

    void forgetIdle(TimePoint now);

    std::unordered_map<DaemonId, Sender> m_senders;
};

} // namespace lentilbay
