// Membership of the fleet: SWIM-style probes and gossip inside a region, digests between regions.
//
// Each daemon probes one other daemon of its region per period. A daemon that answers neither a direct nor an
// indirect probe is suspected, and is declared dead if it does not refute this in time. Updates are
// piggybacked on the probes. Of data centres in other regions a daemon knows only the number of live daemons
// and a few contacts.
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
    /// Where other daemons reach this one.
    std::string address;
    /// Greater than that of every earlier process with the same name.
    uint64_t incarnation = 1;
    /// Addresses at which other daemons may run; they may be wrong.
    std::vector<std::string> seeds;
    /// One other daemon is probed per period.
    Duration probePeriod = std::chrono::milliseconds(200);
    /// After this time without a reply, indirect probes are sent; less than probePeriod.
    Duration probeTimeout = std::chrono::milliseconds(70);
    uint32_t indirectProbes = 3;
    /// How long a suspected daemon may refute the suspicion.
    Duration suspicionTimeout = std::chrono::milliseconds(1000);
    /// One dead daemon and one seed that has not answered are tried per period.
    Duration retryPeriod = std::chrono::seconds(10);
    /// Until a seed has answered, seeds are tried once per period.
    Duration joinPeriod = std::chrono::seconds(1);
    /// Full state is exchanged with one other daemon per period.
    Duration exchangePeriod = std::chrono::minutes(1);
    Duration digestPeriod = std::chrono::seconds(2);
    /// A data centre without a newer digest for this long is considered silent.
    Duration digestLifetime = std::chrono::seconds(20);
    Duration deadRetention = std::chrono::hours(2);
    uint32_t maxDead = 256;
    uint32_t maxUpdatesPerMessage = 8;
    uint32_t maxDigestsPerMessage = 6;
    uint32_t contactsPerDataCentre = 3;
};

/// A membership event that is reported to operators.
struct MembershipChange {
    Event event;
    /// The name of the daemon or the data centre.
    std::string subject;

    auto operator<=>(const MembershipChange&) const = default;
};

/// Counters since the start of the process.
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
    /// Publishes this daemon on the blackboard, which must outlive the controller.
    MembershipController(Blackboard& blackboard, MembershipOptions options, TimePoint now);
    ~MembershipController();

    /// Handles a message; `address` is where a reply goes, or empty if the sender is known only by name.
    void receive(const DaemonId& from, const std::string& address, const Probe& probe, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const ProbeReply& reply, TimePoint now);
    void receive(
        const DaemonId& from, const std::string& address, const ProbeRequest& request, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const StateExchange& state, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const DigestGossip& gossip, TimePoint now);

    /// Adds addresses from the platform's host list; they are only tried, and their presence or absence is no
    /// evidence of a daemon's state.
    void addSeeds(const std::vector<std::string>& addresses);
    /// Announces that this daemon takes no new work from now on.
    void announceLeaving(TimePoint now);
    /// Announces to the region that this process stops.
    void announceStopped(TimePoint now);

    /// Sends all messages that are due; call it after events and at nextWake().
    void step(TimePoint now);
    TimePoint nextWake() const;

    /// The incarnation of this daemon; it is raised if another process used the same name.
    uint64_t incarnation() const;
    /// Whether a seed has answered, or there is none to ask.
    bool joined() const;
    const MembershipCounters& counters() const;
    /// The digests of all data centres but this one, with their current age.
    std::vector<DataCentreDigest> digests(TimePoint now) const;
    std::vector<MembershipChange> takeChanges();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
