// Which daemons there are: SWIM-style probes and gossip inside a region, digests between regions.
//
// Each daemon probes one other of its region a period; one that answers neither a direct nor an indirect
// probe is suspected, and is held dead where it does not contradict in time. News travels on the probes.
// Beyond the region a daemon knows of each data centre only how many daemons live there and a few to contact.
//
// Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group membership
// protocol", 2002.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/MembershipMessages.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/Time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay {

struct MembershipOptions {
    uint64_t seed = 1;
    /// Where others reach this daemon.
    std::string address;
    /// Greater than that of each earlier process under the same name.
    uint64_t incarnation = 1;
    /// Addresses at which other daemons may be; they may be wrong.
    std::vector<std::string> seeds;
    /// One other daemon is probed in each period.
    Duration probePeriod = std::chrono::milliseconds(200);
    /// An answer that takes longer is asked for through other daemons; less than the period.
    Duration probeTimeout = std::chrono::milliseconds(70);
    uint32_t indirectProbes = 3;
    /// How long a suspected daemon may contradict.
    Duration suspicionTimeout = std::chrono::milliseconds(1000);
    /// One dead daemon (or silent seed) is tried in each of these.
    Duration retryPeriod = std::chrono::seconds(10);
    /// Until one seed has answered, seeds are tried in each of these.
    Duration joinPeriod = std::chrono::seconds(1);
    /// Full state is exchanged with one other daemon in each of these.
    Duration exchangePeriod = std::chrono::minutes(1);
    Duration digestPeriod = std::chrono::seconds(2);
    /// A data centre of which nothing newer was heard is taken for silent.
    Duration digestLifetime = std::chrono::seconds(20);
    Duration deadRetention = std::chrono::hours(2);
    uint32_t maxDead = 256;
    uint32_t maxUpdatesPerMessage = 8;
    uint32_t maxDigestsPerMessage = 6;
    uint32_t contactsPerDataCentre = 3;
};

/// Something that operators want to know of.
struct MembershipChange {
    Event event;
    /// The daemon or the data centre.
    std::string subject;

    auto operator<=>(const MembershipChange&) const = default;
};

/// Counts since the start.
struct MembershipCounters {
    uint64_t probesSent = 0;
    uint64_t indirectProbesSent = 0;
    uint64_t suspicions = 0;
    uint64_t deaths = 0;
    uint64_t refutations = 0;
    uint64_t exchangesSent = 0;

    auto operator<=>(const MembershipCounters&) const = default;
};

class MembershipController {
public:
    /// Puts this daemon into the blackboard, which must outlive the controller.
    MembershipController(Blackboard& blackboard, MembershipOptions options, TimePoint now);
    ~MembershipController();

    /// A message came; `address` is where a reply goes, or empty where that is only known by name.
    void receive(const DaemonId& from, const std::string& address, const Probe& probe, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const ProbeReply& reply, TimePoint now);
    void receive(
        const DaemonId& from, const std::string& address, const ProbeRequest& request, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const StateExchange& state, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const DigestGossip& gossip, TimePoint now);

    /// Addresses from the platform's host list; they are only tried, and nothing is concluded from them.
    void addSeeds(const std::vector<std::string>& addresses);
    /// This daemon takes no new work from now on.
    void announceLeaving(TimePoint now);
    /// The process ends; its region is told at once.
    void announceStopped(TimePoint now);

    /// Sends what is due; call it after events and at nextWake().
    void step(TimePoint now);
    TimePoint nextWake() const;

    /// The incarnation of this daemon; raised where another process took the same name.
    uint64_t incarnation() const;
    /// Whether a seed has answered, or there is none.
    bool joined() const;
    const MembershipCounters& counters() const;
    /// Digests of all data centres but this one, with their present age.
    std::vector<DataCentreDigest> digests(TimePoint now) const;
    std::vector<MembershipChange> takeChanges();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
