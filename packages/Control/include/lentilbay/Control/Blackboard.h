// The blackboard: the state of one daemon that its controllers share.
//
// A single thread owns it. The comment of each member names the one controller that writes it; the others
// only read it. The I/O layer posts events to the controllers, executes their commands and sends the messages
// that they append here.
#pragma once

#include "lentilbay/Control/PeerMessage.h"
#include "lentilbay/Control/StoreMessages.h"
#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lentilbay {

/// Slots of an endpoint that its owner has granted to this entry daemon.
struct SlotGrant {
    uint32_t slots = 0;
    /// Only requests of this rank or a higher tier (a lower rank) may be dispatched under the grant.
    int lowestRank = maxTiers - 1;
    /// Expiry: no dispatch is allowed from this time on. The lifetime starts when the grant was requested.
    TimePoint expiresAt {};

    auto operator<=>(const SlotGrant&) const = default;
};

/// The load that an endpoint reported, and when it was measured.
struct LoadReport {
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint64_t kvTokensUsed = 0;
    TimePoint measuredAt {};

    auto operator<=>(const LoadReport&) const = default;
};

/// The state of one endpoint as seen by this daemon.
struct EndpointState {
    /// Written by the configuration controller.
    Endpoint endpoint;
    /// Written by the slot holder: the slots that this entry daemon may use.
    SlotGrant grant;
    /// Written by the entry controller: its own requests in flight at this endpoint, by tier rank.
    std::array<uint32_t, maxTiers> inFlight {};
    /// Written by the slot owner and, for other daemons' endpoints, by the slot holder.
    std::optional<LoadReport> load;
    /// Written by the entry controller: the number of concurrent requests beyond which the endpoint slows
    /// down, learned from the answers to this daemon's own requests; 0 until enough has been observed. At
    /// most 1.5 times the configured slots.
    uint32_t learnedSlots = 0;
    /// Written by the same controllers as the load: the endpoint is leaving and gets no new requests.
    bool leaving = false;

    /// The total that an owner may grant: the learned number of slots, or the configured one until it is
    /// known.
    uint32_t usableSlots() const { return learnedSlots > 0 ? learnedSlots : endpoint.slots; }

    uint32_t inFlightTotal() const
    {
        uint32_t total = 0;
        for (const auto n : inFlight)
            total += n;
        return total;
    }

    /// The number of slots in which a request of this rank may be dispatched now.
    uint32_t freeSlots(TimePoint now, int rank = 0) const
    {
        if (leaving || now >= grant.expiresAt || rank > grant.lowestRank)
            return 0;
        const auto used = inFlightTotal();
        return used >= grant.slots ? 0 : grant.slots - used;
    }
};

/// The occupancy of a pool by tier, aggregated from the reports of all owners of its endpoints.
struct PoolOccupancy {
    /// The greatest rank (lowest tier) that runs on the pool or may be dispatched there while this
    /// information is valid; -1 if there is none, maxTiers if some owner cannot tell.
    int lowestServedRank = -1;
    /// The greatest rank that is known to run on the pool, or -1.
    int lowestRunningRank = -1;
    bool hasFreeSlot = true;
    /// Whether all owners know which tiers their endpoints serve.
    bool isKnown() const { return lowestServedRank < maxTiers; }
    /// When the oldest of the reports was requested; empty if some owner has not reported.
    std::optional<TimePoint> requestedAt;

    auto operator<=>(const PoolOccupancy&) const = default;
};

/// A demand to preempt requests of lower tiers in favour of a higher tier that waits for the pool.
struct SlotRecall {
    /// Only requests of a greater rank than this are preempted.
    int forRank = 0;
    uint32_t slots = 0;

    auto operator<=>(const SlotRecall&) const = default;
};

/// All endpoints that offer one service.
struct PoolState {
    ServiceId service;
    /// Indices into Blackboard::endpoints.
    std::vector<size_t> endpoints;
    /// Written by the slot holder.
    PoolOccupancy occupancy;
    /// Written by the slot holder; the entry controller preempts that many of its requests and resets it.
    SlotRecall recall;
    /// Written by the entry controller: its waiting requests, by tier rank.
    std::array<uint32_t, maxTiers> waiting {};
    /// Written by the entry controller: its waiting requests that miss their deadline unless they get a slot
    /// at once, by tier rank.
    std::array<uint32_t, maxTiers> urgent {};
};

enum class MemberStatus : uint8_t { Alive, Suspect, Leaving, Dead };

/// The state of a fleet member, possibly this daemon itself, as seen by this daemon.
struct MemberState {
    DaemonId id;
    RegionId region;
    DataCentreId dataCentre;
    /// Host and port for both UDP and TCP, such as "127.0.0.1:7000".
    std::string address;
    /// Increases with each restart of the process under the same name.
    uint64_t incarnation = 0;
    MemberStatus status = MemberStatus::Alive;

    auto operator<=>(const MemberState&) const = default;
};

struct Blackboard {
    DaemonId self;
    RegionId region;
    DataCentreId dataCentre;

    /// Written by the configuration controller; never null.
    std::shared_ptr<const Configuration> configuration = std::make_shared<Configuration>();
    /// Written by the configuration controller: this daemon must not start new requests.
    bool fenced = false;
    /// Written by the configuration controller: from this time on, this daemon must not start new requests
    /// unless the controller extends it. Keeps a process that was paused from acting on outdated state.
    TimePoint workAllowedUntil = TimePoint::max();
    /// Written by the daemon: it is shutting down.
    bool draining = false;

    /// Rebuilt by applyConfiguration(), which keeps the state of endpoints that remain configured.
    std::vector<EndpointState> endpoints;
    std::unordered_map<EndpointId, size_t> endpointPositions;
    std::vector<PoolState> pools;
    std::unordered_map<ServiceId, size_t> poolPositions;

    /// Written by the membership controller; includes this daemon.
    std::map<DaemonId, MemberState> members;

    /// Written by the control plane: digests of the data centres of other regions.
    std::vector<DataCentreDigest> remoteDataCentres;

    /// Messages to send, appended by any controller and drained by the links to the peers.
    std::vector<OutgoingMessage> outbox;
    /// Calls to the platform's services, appended by any controller and drained by the platform clients.
    std::vector<StoreCommand> storeOutbox;

    bool mustNotStartWork(TimePoint now) const { return fenced || now >= workAllowedUntil; }

    EndpointState* findEndpointState(const EndpointId& id);
    PoolState* findPool(const ServiceId& service);
    /// The incarnation of a member; 0 if the member is unknown.
    uint64_t incarnationOf(const DaemonId& id) const;
};

/// Puts a configuration into effect: endpoints and pools that remain keep their state, the others are added
/// or removed.
void applyConfiguration(Blackboard& blackboard, std::shared_ptr<const Configuration> configuration);

} // namespace lentilbay
