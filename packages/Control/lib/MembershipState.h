// The state behind MembershipController, and its steps.
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
    /// The one probe of the present period that has not been answered.
    struct Outstanding {
        uint64_t sequence = 0;
        DaemonId target;
        TimePoint sentAt {};
        bool askedOthers = false;
    };
    /// A probe sent for another daemon.
    struct Relay {
        uint64_t sequence = 0;
        DaemonId origin;
        std::string address;
        TimePoint expires {};
    };

    State(Blackboard& board, MembershipOptions given, TimePoint now);

    // News (MembershipController.cpp).
    void mergeAll(const std::vector<MemberUpdate>& updates, TimePoint now);
    void merge(const MemberUpdate& update, TimePoint now);
    void contradict(const MemberUpdate& update, TimePoint now);
    void changeSelf(MemberUpdate update, TimePoint now);
    void noteChange(const MemberUpdate& before, const MemberUpdate& after);
    void publish(const MemberUpdate& update);
    const MemberUpdate& self() const { return table.find(blackboard.self)->update; }
    std::vector<MemberUpdate> news(const DaemonId& about)
    {
        return table.takeNews(options.maxUpdatesPerMessage, about);
    }
    void send(const DaemonId& to, const std::string& address, PeerMessage message)
    {
        blackboard.outbox.push_back({ .to = to, .message = std::move(message), .address = address });
    }
    void sendState(
        const DaemonId& to, const std::string& address, bool wholeRegion, bool wantsReply, TimePoint now);

    // Probes (MembershipProbes.cpp).
    void startProbe(TimePoint now);
    void followProbe(TimePoint now);
    void endSuspicions(TimePoint now);
    std::optional<DaemonId> nextTarget();
    std::vector<DaemonId> others(MemberHealth health) const;
    void trySeeds(TimePoint now);
    void retryOne(TimePoint now);
    void exchangeWithOne(TimePoint now);
    std::vector<std::string> openSeeds(TimePoint now) const;

    // Digests (MembershipDigests.cpp).
    void mergeDigests(const std::vector<DataCentreDigest>& received, TimePoint now);
    void gossipDigests(TimePoint now);
    void publishContacts(TimePoint now);
    void noteSilence(TimePoint now);
    DataCentreDigest ownDigest() const;
    std::vector<const MemberUpdate*> speakers(size_t count) const;

    Blackboard& blackboard;
    MembershipOptions options;
    Random random;
    MemberTable table;
    DigestTable digests;
    MembershipCounters counters;
    std::vector<MembershipChange> changes;

    std::optional<Outstanding> outstanding;
    /// By the sequence of the probe that this daemon sent. Bounded by maxRelays.
    std::map<uint64_t, Relay> relays;
    /// Daemons still to be probed in this round, the next one last.
    std::vector<DaemonId> round;
    uint64_t lastSequence = 0;

    /// When an address of the seeds last answered.
    std::map<std::string, TimePoint> seedAnswers;
    bool joined = false;
    bool stopped = false;

    /// Daemons on the blackboard that are known from digests only.
    std::set<DaemonId> contacts;
    std::set<DataCentreId> silent;

    TimePoint lastStep {};
    TimePoint nextProbe {};
    TimePoint nextRetry {};
    TimePoint nextJoin {};
    TimePoint nextExchange {};
    TimePoint nextDigest {};
};

} // namespace lentilbay
