// Determines the owner of each endpoint: the daemon that leases its slots to entry daemons.
//
// The owner is chosen by rendezvous hashing over the live daemons of the endpoint's data centre; if there are
// none, over those of its region, and then over all. Daemons that disagree on the owner may overcommit an
// endpoint, but correctness never depends on ownership.
#pragma once

#include "lentilbay/Policy/Routing.h"
#include "lentilbay/Support/Identifier.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lentilbay {

struct Blackboard;
struct Configuration;

class Ownership {
public:
    /// Recomputes all owners if the members or the configuration have changed. Returns whether they had.
    bool refresh(const Blackboard& blackboard);

    /// Returns the owner of the endpoint at a position of Blackboard::endpoints; empty if it has none.
    const DaemonId& ownerOf(size_t position) const { return m_owners[position]; }
    /// Returns the positions of the endpoints that a daemon owns, in ascending order.
    const std::vector<size_t>& endpointsOf(const DaemonId& owner) const;
    /// Returns the distance of an endpoint from this daemon.
    Distance distanceOf(size_t position) const { return m_distances[position]; }
    /// The positions of all endpoints that have an owner, by owner.
    const std::map<DaemonId, std::vector<size_t>>& endpointsByOwner() const { return m_byOwner; }
    /// Returns the address of an owner in another region; empty for a member.
    std::string addressOf(const DaemonId& owner) const;
    /// Returns the data centre of a daemon; empty if it is unknown.
    DataCentreId dataCentreOf(const DaemonId& daemon) const;
    /// Returns a hash of the live daemons of a data centre. Daemons with the same view get the same hash.
    uint64_t viewHash(const DataCentreId& dataCentre) const;

private:
    void updateLocations(const Blackboard& blackboard);

    uint64_t m_membersHash = 0;
    std::shared_ptr<const Configuration> m_configuration;
    std::vector<DaemonId> m_owners;
    std::vector<Distance> m_distances;
    std::map<DaemonId, std::vector<size_t>> m_byOwner;
    std::map<DataCentreId, uint64_t> m_viewHashes;
    std::map<DaemonId, DataCentreId> m_dataCentres;
    /// Addresses of daemons in other regions.
    std::map<DaemonId, std::string> m_addresses;
};

} // namespace lentilbay
