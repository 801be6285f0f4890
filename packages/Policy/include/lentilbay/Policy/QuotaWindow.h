// Token quotas over a sliding window, kept by many daemons without a store.
//
// Each daemon tells the others how much it has admitted so far. What a daemon has heard counts in full; for
// each daemon that it does not hear, an equal share is set aside. So the sum stays below the quota however
// the network splits: a daemon that hears nobody spends its own share and no more.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace lentilbay {

/// What was admitted within the last window, in steps of a bucket's length.
class WindowSum {
public:
    void add(double amount, TimePoint now);
    double within(Duration window, TimePoint now);

private:
    struct Bucket {
        TimePoint at {};
        double amount = 0;
    };

    std::deque<Bucket> m_buckets;
};

class QuotaWindow {
public:
    struct Limits {
        double tokensPerSecond = 0;
        double burstTokens = 0;
        Duration window = std::chrono::seconds(8);
    };

    /// Takes the past window as used up by the whole fleet at an even pace: a process that was restarted knows
    /// neither what it admitted before nor what others did, and all may have been restarted.
    void assumePast(const Limits& limits, TimePoint now);

    struct Peers {
        /// All daemons that may admit, this one included.
        size_t known = 1;
        /// Those that were not heard lately.
        size_t silent = 0;
    };

    /// Counts the tokens and returns true where the quota allows them.
    bool admit(double tokens, const Limits& limits, const Peers& peers, TimePoint now);
    /// How long until the tokens would be allowed, if nobody else takes them.
    Duration timeUntil(double tokens, const Limits& limits) const;
    /// Gives back what was admitted but never sent to an endpoint.
    void giveBack(double tokens, TimePoint now);

    /// All that this daemon has admitted since it started.
    double admittedTotal() const { return m_total; }
    /// Another daemon, in one incarnation, has admitted so much since it started.
    void heard(const std::string& daemon, uint64_t incarnation, double admittedTotal, TimePoint now);

private:
    struct PeerTotal {
        uint64_t incarnation = 0;
        double total = 0;
    };

    WindowSum m_used;
    double m_total = 0;
    std::map<std::string, PeerTotal> m_peers;
};

} // namespace lentilbay
