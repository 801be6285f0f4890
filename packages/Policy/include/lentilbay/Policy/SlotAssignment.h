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
//
// When a daemon comes, it is compared with the present daemon of each slot; when one goes, all others are
// compared for its slots only. With 300 daemons and 3,000 endpoints of 8 slots, comparing all of them for all
// slots at each change took more processor time than hosts with a tenth of a core have while a fleet starts.
#pragma once

#include "lentilbay/Model/Topology.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <limits>
#include <map>
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
    /// What decides about an endpoint's slots as long as the daemons stay the same.
    struct Share {
        uint64_t endpoint = 0;
        uint32_t slots = 0;
        /// The number of the slots that are assigned to this daemon.
        uint32_t assigned = 0;
        /// How many daemons as near as this one may select the endpoint for each slot that it can lend.
        double borrowersPerSlot = 0;
        bool isInOwnDataCentre = false;
    };
    Share shareOf(const Endpoint& endpoint) const;
    /// Increases when a Share may have changed.
    uint64_t revision() const { return m_changes; }
    /// The number of the endpoint's slots that are assigned to this daemon.
    uint32_t assigned(const Endpoint& endpoint) const;
    /// Whether this daemon may send one more request to the endpoint.
    /// @param own this daemon's requests in flight there
    /// @param load those of all daemons, as far as known
    bool mayTake(const Share& share, bool isLoadKnown, uint32_t own, double load, TimePoint now) const;
    bool mayTake(const Endpoint& endpoint, uint32_t own, double load, TimePoint now) const
    {
        return mayTake(shareOf(endpoint), endpoint.isLoadKnown, own, load, now);
    }
    /// How often a daemon was compared with the others for a slot, which is what an assignment costs.
    uint64_t comparisons() const { return m_comparisons; }

private:
    struct Slot {
        /// The distance of the daemon to which it is assigned, the least of all.
        double distance = std::numeric_limits<double>::infinity();
        uint64_t daemon = 0;
    };
    struct Assigned {
        DataCentreId dataCentre;
        std::vector<Slot> slots;
        /// The number of slots of this daemon.
        uint32_t own = 0;
        /// m_changes when it was last used.
        uint64_t usedAt = 0;
    };
    /// A daemon as it is compared with others.
    struct Candidate {
        uint64_t hash = 0;
        /// Index into the vectors of m_weights.
        size_t dataCentre = 0;
    };
    /// Assigns those of the slots to the daemon to which it has a lesser distance than the present one.
    void offer(uint64_t endpoint, Assigned& assigned, const std::vector<size_t>& slots,
        const Candidate& daemon, const std::vector<double>& weights) const;
    /// How often daemons of each data centre are assigned a slot of an endpoint there.
    const std::vector<double>& weightsAt(const DataCentreId& endpoint) const;
    std::vector<Candidate> candidates(const std::vector<Daemon>& daemons) const;
    void countOwn(Assigned& assigned) const;
    /// Changes the assignments that daemons which have gone or come have or get.
    void update(const std::vector<Daemon>& gone, const std::vector<Daemon>& come);

    Topology m_topology;
    std::string m_self;
    uint64_t m_selfHash = 0;
    std::vector<Daemon> m_daemons;
    std::vector<Candidate> m_candidates;
    /// Those of the daemons, sorted.
    std::vector<DataCentreId> m_dataCentres;
    /// By the endpoint's data centre; one for each of m_dataCentres.
    mutable std::map<DataCentreId, std::vector<double>> m_weights;
    /// By endpoint, for those that have been used.
    mutable std::unordered_map<uint64_t, Assigned> m_assigned;
    /// How often the daemons have changed.
    uint64_t m_changes = 0;
    mutable uint64_t m_comparisons = 0;
};

} // namespace lentilbay
