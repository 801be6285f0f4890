// Divides the slots of endpoints among the daemons of a large fleet, so that they do not all send to the same
// ones.
//
// Loads that other daemons report are up to 0.8 s old, about as long as a request takes, so each daemon sees
// a free slot long after it was taken, and all daemons see the same ones: those of the fastest endpoints.
// Therefore each slot is assigned to a daemon by rendezvous hashing, preferably to one that is near the
// endpoint. A daemon uses the slots that are assigned to it whatever is reported. Those that are reported to
// be free otherwise are lent: for a short time, each daemon may use a selection of the endpoints, so large
// that about as many daemons select an endpoint as it has slots to lend. An endpoint of the own data centre
// that is nearly idle is used by all.
#pragma once

#include "lentilbay/Model/Topology.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilbay {

class SlotAssignment {
public:
    struct Daemon {
        std::string name;
        DataCentreId dataCentre;

        auto operator<=>(const Daemon&) const = default;
    };
    struct Endpoint {
        /// hashOf() of the endpoint's id.
        uint64_t hash = 0;
        DataCentreId dataCentre;
        uint32_t slots = 0;
        /// Whether the reported loads are recent enough to lend slots by; not right after the endpoint was
        /// excluded, when all daemons have requests waiting and no load has been reported yet.
        bool isLoadKnown = true;
    };

    /// Sets the daemons that send to endpoints; `self` is this one and must be among them. Without any, the
    /// slots are not divided.
    void setDaemons(const Topology& topology, const std::string& self, std::vector<Daemon> daemons);
    bool isActive() const { return !m_daemons.empty(); }
    size_t daemons() const { return m_daemons.size(); }
    /// The number of the endpoint's slots that are assigned to this daemon.
    uint32_t assigned(const Endpoint& endpoint) const;
    /// Whether this daemon may send one more request to the endpoint.
    /// @param own this daemon's requests in flight there
    /// @param load those of all daemons, as far as known
    bool mayTake(const Endpoint& endpoint, uint32_t own, double load, TimePoint now) const;

private:
    Topology m_topology;
    std::string m_self;
    uint64_t m_selfHash = 0;
    std::vector<Daemon> m_daemons;
    struct Assigned {
        uint32_t slots = 0;
        uint32_t own = 0;
    };
    /// By endpoint, as far as computed since the daemons changed.
    mutable std::unordered_map<uint64_t, Assigned> m_assigned;
};

} // namespace lentilbay
