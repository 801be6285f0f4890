// Links between daemons in virtual time, with delay, loss, duplication and reordering drawn from a seed, and
// with partitions.
#pragma once

#include "lentilbay/Control/PeerMessage.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace lentilbay {

struct LinkFaults {
    /// Probabilities, 0 to 1.
    double loss = 0;
    double duplication = 0;
    Duration minDelay = std::chrono::milliseconds(1);
    Duration maxDelay = std::chrono::milliseconds(2);
};

class VirtualNetwork {
public:
    struct Delivery {
        TimePoint at;
        /// Breaks ties between messages that arrive at the same time.
        uint64_t order = 0;
        size_t from = 0;
        size_t to = 0;
        PeerMessage message;
    };

    VirtualNetwork(size_t daemons, uint64_t seed);

    void setFaults(const LinkFaults& faults) { m_faults = faults; }
    /// Drops all messages between the two daemons in both directions.
    void cut(size_t a, size_t b) { setCut(a, b, true); }
    void heal(size_t a, size_t b) { setCut(a, b, false); }
    bool isCut(size_t a, size_t b) const { return m_cut[a][b]; }

    void send(size_t from, size_t to, const PeerMessage& message, TimePoint now);
    /// Removes and returns the next message that has arrived by now.
    std::optional<Delivery> take(TimePoint now);
    std::optional<TimePoint> nextArrival() const;
    uint64_t messagesSent() const { return m_messagesSent; }

private:
    struct Later {
        bool operator()(const Delivery& a, const Delivery& b) const
        {
            return std::pair(a.at, a.order) > std::pair(b.at, b.order);
        }
    };

    void setCut(size_t a, size_t b, bool isCut);

    Random m_random;
    LinkFaults m_faults;
    std::vector<std::vector<bool>> m_cut;
    std::priority_queue<Delivery, std::vector<Delivery>, Later> m_inTransit;
    uint64_t m_messagesSent = 0;
};

} // namespace lentilbay
