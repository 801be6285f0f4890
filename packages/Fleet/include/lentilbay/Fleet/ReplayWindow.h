// Replay protection: rejects packets that were already received and packets of an earlier incarnation of the
// sender.
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
    /// A sequence number this far behind the newest one is treated as replayed.
    static constexpr size_t width = 1024;
    /// Packets of further senders are rejected until an idle sender is evicted.
    static constexpr size_t maxSenders = 4096;
    /// A sender is evicted after this time without a packet.
    static constexpr Duration idleLifetime = std::chrono::minutes(10);

    /// Returns whether the packet is new, and marks it as received if so.
    bool accept(const DaemonId& sender, uint64_t incarnation, uint64_t sequence, TimePoint now);
    size_t senderCount() const { return m_senders.size(); }

private:
    struct Sender {
        uint64_t incarnation = 0;
        uint64_t newest = 0;
        /// Bit i is set if the sequence number `newest - i` was received.
        std::bitset<width> received;
        TimePoint lastPacketAt {};
    };

    void evictIdleSenders(TimePoint now);

    std::unordered_map<DaemonId, Sender> m_senders;
};

} // namespace lentilbay
