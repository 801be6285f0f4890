// What daemons tell each other, several times a second by UDP: their load at each endpoint, and what they
// have admitted of each quota. Losing a datagram loses nothing, since each carries totals.
#pragma once

#include "lentilbay/Edge/EndpointBook.h"
#include "lentilbay/Support/Result.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentilbay::edge {

/// What the sender of a status knows of one table of the store.
struct TableView {
    /// The version of the store up to which the view is complete.
    uint64_t coveredVersion = 0;
    /// The newest change that the view holds.
    uint64_t changedVersion = 0;
    /// How long ago the view was known to be complete, when the status was written; negative: never.
    int64_t ageMicroseconds = -1;

    auto operator<=>(const TableView&) const = default;
};

struct StoreViews {
    TableView configuration;
    TableView endpoints;

    auto operator<=>(const StoreViews&) const = default;
};

struct PeerStatus {
    std::string daemon;
    /// Drawn at random by each process.
    uint64_t incarnation = 0;
    /// Counts up; older datagrams are dropped.
    uint64_t sequence = 0;
    std::string dataCentre;
    /// The next status to this peer follows after this time.
    uint32_t periodMilliseconds = 0;
    /// The daemon leaves: it takes no more requests.
    bool isLeaving = false;
    /// The send time, by the receiver's clock, of the newest status of the receiver that the sender had when
    /// it wrote this one; 0 for none. What the status says was true no earlier than then.
    int64_t echoedMicroseconds = 0;
    /// The incarnation of the receiver that sent it: the clock of another one may have begun anew.
    uint64_t echoedIncarnation = 0;
    /// The send time by the sender's own clock, for it to be echoed.
    int64_t sentMicroseconds = 0;
    /// Only daemons of one data centre read for each other.
    std::optional<StoreViews> views;
    std::vector<PeerLoad> loads;
    struct QuotaUse {
        /// hashOf() of the organisation's name.
        uint64_t organisation = 0;
        double admittedTotal = 0;

        auto operator<=>(const QuotaUse&) const = default;
    };
    std::vector<QuotaUse> quotas;
    struct QuotaLevel {
        /// What the sender's bucket holds.
        float level = 0;
        /// What the sender has seen in the last window.
        float inWindow = 0;

        auto operator<=>(const QuotaLevel&) const = default;
    };
    /// In the order of `quotas`; only for a receiver that needs them because it was restarted.
    std::vector<QuotaLevel> levels;
    /// The sender's quotas have counted all use for as long as it matters.
    bool countsAllUse = false;

    auto operator<=>(const PeerStatus&) const = default;
};

std::string encodePeerStatus(const PeerStatus& status);
/// Never throws; a datagram that is no status, or of another version, is an error.
Result<PeerStatus> decodePeerStatus(std::string_view datagram);

/// Which daemons there are, and which of them were heard lately.
class PeerTable {
public:
    explicit PeerTable(std::string self)
        : m_self(std::move(self))
    {
    }

    struct Peer {
        std::string host;
        uint16_t port = 0;
        uint64_t incarnation = 0;
        uint64_t sequence = 0;
        TimePoint heardAt {};
        std::string dataCentre;
        /// How often it speaks.
        Duration period {};
        /// Its own clock's time in its newest status.
        int64_t sentMicroseconds = 0;
        bool isSilent = true;
        bool isLeaving = false;
        bool countsAllUse = true;
    };

    /// The platform's store lists a daemon.
    void listed(const std::string& daemon, const std::string& host, uint16_t port, TimePoint now);
    /// A status came from this address. Returns false for an old or repeated one.
    bool heard(const PeerStatus& status, const std::string& host, uint16_t port, TimePoint now);
    /// Returns the daemons that have fallen silent since the last call, and forgets those long gone.
    std::vector<std::string> step(TimePoint now);

    const std::map<std::string, Peer>& peers() const { return m_peers; }
    /// All daemons, this one included.
    size_t known() const { return m_peers.size() + 1; }
    /// Those that are not heard, but for the ones that said that they leave and so admit nothing more.
    size_t silent() const;

private:
    std::string m_self;
    std::map<std::string, Peer> m_peers;
};

} // namespace lentilbay::edge
