// The internal state of MembershipController.
#pragma once

#include "DigestTable.h"
#include "MemberTable.h"

#include "lentilbay/Control/MembershipController.h"
#include "lentilbay/Support/Random.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lentilbay {

struct MembershipController::State {
    /// The unanswered probe of the current period.
    struct OutstandingProbe {
        uint64_t sequence = 0;
        DaemonId target;
        /// Of the process that was probed; a later process of the same name is not judged by this probe.
        uint64_t incarnation = 0;
        TimePoint sentAt {};
        bool indirectRequested = false;
    };
    /// A probe sent on behalf of another daemon.
    struct Relay {
        uint64_t sequence = 0;
        DaemonId origin;
        std::string address;
        TimePoint expires {};
    };

    State(Blackboard& board, MembershipOptions initialOptions, TimePoint now);

    // Updates (MembershipController.cpp).
    void mergeAll(const std::vector<MemberUpdate>& updates, TimePoint now);
    void merge(const MemberUpdate& update, TimePoint now);
    void refute(const MemberUpdate& update, TimePoint now);
    void updateSelf(MemberUpdate update, TimePoint now);
    void recordChange(const MemberUpdate& before, const MemberUpdate& after);
    void publish(const MemberUpdate& update);
    const MemberUpdate& self() const { return table.find(blackboard.self)->update; }
    std::vector<MemberUpdate> updatesFor(const DaemonId& about)
    {
        return table.takeUpdates(options.maxUpdatesPerMessage, about);
    }
    void send(const DaemonId& to, const std::string& address, PeerMessage message)
    {
        blackboard.outbox.push_back({ .to = to, .message = std::move(message), .address = address });
    }
    void sendState(
        const DaemonId& to, const std::string& address, bool wholeRegion, bool wantsReply, TimePoint now);

    // Probes (MembershipProbes.cpp).
    void startProbe(TimePoint now);
    void checkProbe(TimePoint now);
    void expireSuspicions(TimePoint now);
    std::optional<DaemonId> nextProbeTarget();
    std::vector<DaemonId> peersWithHealth(MemberHealth health) const;
    void contactSeeds(TimePoint now);
    void retryUnreachable(TimePoint now);
    void exchangeState(TimePoint now);
    std::vector<std::string> unansweredSeeds(TimePoint now) const;

    // Digests (MembershipDigests.cpp).
    void mergeDigests(const std::vector<DataCentreDigest>& received, TimePoint now);
    void gossipDigests(TimePoint now);
    void publishContacts(TimePoint now);
    void updateSilentDataCentres(TimePoint now);
    DataCentreDigest ownDigest() const;
    std::vector<const MemberUpdate*> representatives(size_t count) const;

    Blackboard& blackboard;
    MembershipOptions options;
    Random random;
    MemberTable table;
    DigestTable digests;
    MembershipCounters counters;
    std::vector<MembershipChange> changes;

    std::optional<OutstandingProbe> outstandingProbe;
    /// Keyed by the sequence number of the probe that this daemon sent. Bounded by maxRelays.
    std::map<uint64_t, Relay> relays;
    /// The daemons still to be probed in this round, the next one at the end.
    std::vector<DaemonId> probeRound;
    uint64_t lastSequence = 0;

    /// When each seed address last answered.
    std::map<std::string, TimePoint> seedAnswers;
    bool joined = false;
    bool stopped = false;

    /// The daemons on the blackboard that are known only from digests.
    std::set<DaemonId> contacts;
    std::set<DataCentreId> silentDataCentres;

    TimePoint lastStep {};
    TimePoint nextProbe {};
    TimePoint nextRetry {};
    TimePoint nextJoin {};
    TimePoint nextExchange {};
    TimePoint nextDigest {};
};

} // namespace lentilbay
