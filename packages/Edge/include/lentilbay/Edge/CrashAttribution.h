// Attributes crashes of endpoints to triggers, and blocks triggers. A trigger is a part of a prompt that
// crashes each endpoint that answers a request with it, or a whole request that crashes each endpoint that
// runs it and comes again unchanged.
//
// A request that crashes the endpoint that answers it (a "query of death") looks like any other victim of the
// crash, and each daemon sees only some of the crashes. The daemons therefore exchange, for each crash, the
// triggers of the requests whose answer had not begun. A trigger is blocked if it was present at several
// crashes and no answer to a request with it has begun since. Triggers that come with it in the same
// requests, and other requests at the same endpoints, are present at the same crashes. They are not blamed if
// answers to other requests with them begin, or if they are in many more requests, or at fewer crashes, than
// a blocked trigger that was present as well.
//
// A trigger may be blamed wrongly, for example if all endpoints of a service end at once. Therefore a blocked
// trigger gets trials, one at a time over all daemons and less and less often; an answer that begins frees
// it.
//
// A block applies to the organisations whose requests crashed endpoints. If there were several, it applies to
// all, so that one organisation cannot have another one's parts blocked.
#pragma once

#include "lentilbay/Edge/EndpointSignalTable.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace lentilbay::edge {

/// The id of a trigger states its kind in this bit.
constexpr uint64_t wholeRequestBit = uint64_t { 1 } << 63U;
constexpr uint64_t triggerOfPart(uint64_t part) { return part & ~wholeRequestBit; }
constexpr uint64_t triggerOfRequest(uint64_t fingerprint) { return fingerprint | wholeRequestBit; }
constexpr bool isWholeRequest(uint64_t trigger) { return (trigger & wholeRequestBit) != 0; }

/// A request, as far as crashes can be attributed to it.
struct AttributedRequest {
    /// The parts of its prompt but the last, which is the request's own, and the whole request: a hash of its
    /// host, path, organisation, body and these parts.
    std::vector<uint64_t> triggers;
    /// hashOf() of the name of the request's organisation; 0 if it has none.
    uint64_t organisation = 0;
};

/// What a daemon knows of one trigger, for its heartbeats. Ages are as of when the report was written;
/// negative: never.
struct TriggerReport {
    struct Crash {
        /// Identifies the endpoint and its incarnation.
        uint64_t endpoint = 0;
        int64_t ageMicroseconds = 0;

        auto operator<=>(const Crash&) const = default;
    };

    uint64_t trigger = 0;
    /// The organisation whose requests crashed endpoints, unless there were several.
    uint64_t organisation = 0;
    bool hasSeveralOrganisations = false;
    bool isBlocked = false;
    /// Answers to other requests with the trigger have begun at the sender.
    bool isKnownSound = false;
    /// The crashes that the sender has observed.
    std::vector<Crash> crashes;
    int64_t lastCrashAgeMicroseconds = -1;
    int64_t answeredAgeMicroseconds = -1;
    uint32_t trials = 0;
    int64_t trialAgeMicroseconds = -1;

    auto operator<=>(const TriggerReport&) const = default;
};

/// A change of what is known of a trigger, for logs and for the platform's store.
struct TriggerChange {
    enum class Kind : uint8_t { Suspected, Blocked, Freed };

    uint64_t trigger = 0;
    Kind kind = Kind::Suspected;
    /// The endpoints that crashed: ids of those that this daemon has observed, hashes of the others.
    std::vector<std::string> endpoints;
};

/// The part of a blocked trigger's state that outlives all daemons.
struct BlockedTrigger {
    uint64_t organisation = 0;
    bool hasSeveralOrganisations = false;
    uint32_t trials = 0;

    auto operator<=>(const BlockedTrigger&) const = default;
};

/// A request that an endpoint broke off before its answer had begun.
struct BrokenRequest {
    /// The endpoint's id.
    std::string name;
    EndpointIncarnation endpoint;
    AttributedRequest request;
    TimePoint at {};
    /// Peers may report that the endpoint has rejected requests, which make it fail.
    bool mayBeOverloaded = false;
};

class CrashAttribution {
public:
    enum class Verdict : uint8_t { Allowed, Trial, Blocked };

    /// Whether a request may be sent now. A trial must be recorded when it is sent.
    Verdict judge(const AttributedRequest& request, TimePoint now) const;
    /// When the next trial of a blocked trigger of the request is due, or `now`.
    TimePoint nextTrialAt(const AttributedRequest& request, TimePoint now) const;
    void recordTrial(const AttributedRequest& request, TimePoint now);

    /// Counts a request by its triggers.
    void recordRequest(const AttributedRequest& request);
    /// Records that an endpoint broke off a request whose answer had not begun.
    void recordBreak(BrokenRequest request);
    /// Records that an endpoint answers a request that was sent to it at `sentAt`. It has not crashed since.
    void recordAlive(uint64_t endpoint, TimePoint sentAt);
    /// Records that the endpoint keeps a new connection, so that it has not crashed just before.
    void recordConnected(uint64_t endpoint, TimePoint now);
    /// Drops the requests that were broken off since then and are not yet known to be due to crashes: the
    /// links to the endpoints were lost.
    void dropBreaksSince(TimePoint since);
    /// The same for the requests that an endpoint broke off, which has failed under load.
    void dropBreaksAt(uint64_t endpoint);
    /// Records that an answer to this request has begun.
    void recordAnswer(const AttributedRequest& request, TimePoint now);

    /// Sets the daemons that are alive, this one among them, and the time that their reports need.
    void setDaemons(const std::string& self, std::vector<std::string> daemons, Duration reportDelay);
    std::vector<TriggerReport> reports(TimePoint now);
    /// Whether a daemon has to be told a report. In a large fleet, a trigger that was present at one crash is
    /// told to its owners only, which tell all daemons of the second crash: most such triggers are victims. A
    /// block is told to the owners as well, and by them to all daemons.
    bool isAddressedTo(const TriggerReport& report, const std::string& daemon) const;
    /// Whether this daemon is an owner of the trigger, by rendezvous hashing.
    bool isOwner(uint64_t trigger) const { return isOwner(trigger, m_self); }
    /// Applies what a peer knew at `at` or later.
    void applyReport(const TriggerReport& report, TimePoint at, TimePoint now);
    /// Blocks a trigger that was blocked before all daemons were restarted.
    void restore(uint64_t trigger, const BlockedTrigger& blocked, TimePoint now);
    /// Frees a trigger on an operator's behalf.
    void release(uint64_t trigger, TimePoint now);

    /// Decides which triggers are blocked, and returns the changes since the previous call. To be called
    /// regularly. While `areLinksSuspicious`, the links to the endpoints may have been lost instead of
    /// endpoints.
    std::vector<TriggerChange> update(TimePoint now, bool areLinksSuspicious = false);

    /// The number of crashes that this daemon has observed under triggers that are not known to be sound.
    uint64_t suspiciousCrashes() const { return m_suspiciousCrashes; }
    size_t blockedTriggers() const { return m_blocked; }
    bool isBlocked(uint64_t trigger) const
    {
        const auto it = m_triggers.find(trigger);
        return it != m_triggers.end() && it->second.blockedAt;
    }
    /// The blocked triggers that this daemon has to keep in the platform's store.
    std::map<uint64_t, BlockedTrigger> ownedBlockedTriggers() const;

private:
    struct Crash {
        uint64_t endpoint = 0;
        TimePoint at {};
        bool isOwn = false;
        /// The endpoint's id; empty if a peer observed the crash.
        std::string name;
    };

    /// The state of a trigger that was present at a crash.
    struct Trigger {
        std::vector<Crash> crashes;
        TimePoint lastCrashAt {};
        std::optional<TimePoint> answeredAt;
        std::optional<uint64_t> organisation;
        bool hasSeveralOrganisations = false;
        bool isSuspected = false;
        /// The number of requests, of a whole request only.
        uint64_t requests = 0;
        std::optional<TimePoint> blockedAt;
        uint32_t trials = 0;
        TimePoint trialAt {};
        /// When a report to peers last had something new to say.
        TimePoint changedAt {};
        /// A peer has evidence against it or was told of some.
        bool isShared = false;
    };

    Trigger& entryOf(uint64_t id, TimePoint now);
    /// `isRelayed` is whether this daemon has to tell the others of a crash that a peer observed.
    void addCrash(Trigger& trigger, Crash crash, bool isRelayed, TimePoint now);
    static void addOrganisation(Trigger& trigger, uint64_t organisation);
    static void setAnswered(Trigger& trigger, TimePoint at, TimePoint now);
    static std::vector<std::string> crashedEndpoints(const Trigger& trigger);
    static bool isBlockedFor(const Trigger& trigger, uint64_t organisation);
    /// Whether peers should be told of the trigger now.
    bool isReported(uint64_t id, const Trigger& trigger, TimePoint now) const;
    static TimePoint trialDueAt(const Trigger& trigger);
    void promoteBreaks(Duration confirmation, TimePoint now);
    void dropOld(TimePoint now);
    /// The number of crashes that count against a trigger, without those at which a blocked trigger was
    /// present.
    size_t unexplainedCrashes(uint64_t id, const Trigger& trigger, TimePoint now);
    /// Whether a crash at which a blocked trigger was present does not count for another trigger.
    bool explains(uint64_t culprit, uint64_t id) const;
    /// How many of the last requests had the trigger; whole requests are counted from their first crash on.
    uint64_t requestsWith(uint64_t trigger) const;
    /// Blocks a trigger that a peer has blocked, unless this daemon knows better.
    void adoptBlock(const TriggerReport& report, Trigger& trigger, TimePoint lastCrashAt, TimePoint now);
    void block(uint64_t id, Trigger& trigger, TimePoint now);
    void unblock(uint64_t id, Trigger& trigger, TimePoint now);
    void blockCulprits(TimePoint now);
    /// Whether the crashes that are known of a blocked trigger are the reason for its block, so that it may
    /// be freed if another trigger explains all of them.
    bool mayBeCleared(uint64_t id, const Trigger& trigger) const;
    void rememberSound(uint64_t id);
    bool isKnownSound(uint64_t trigger) const;
    /// The number of daemons that come before this one in the order of rendezvous hashing.
    size_t rankOf(uint64_t trigger, const std::string& daemon) const;
    bool isOwner(uint64_t trigger, const std::string& daemon) const;

    std::string m_self;
    std::vector<std::string> m_daemons;
    /// The greatest hash of an owner, by trigger; computed when it is first asked for.
    mutable std::unordered_map<uint64_t, uint64_t> m_ownerHashes;
    Duration m_reportDelay = std::chrono::milliseconds(200);
    std::unordered_map<uint64_t, Trigger> m_triggers;
    std::vector<BrokenRequest> m_breaks;
    std::vector<TriggerChange> m_changes;
    /// Triggers of requests whose answers began, in two generations of bounded size.
    struct SoundTriggers {
        std::unordered_set<uint64_t> newer;
        std::unordered_set<uint64_t> older;
    };
    SoundTriggers m_soundParts;
    /// Kept apart, since most requests differ and would displace the parts.
    SoundTriggers m_soundRequests;
    /// The number of requests by part, in two generations.
    std::unordered_map<uint64_t, uint64_t> m_requests;
    std::unordered_map<uint64_t, uint64_t> m_requestsBefore;
    /// The blocked triggers, while update() decides.
    std::vector<std::pair<uint64_t, Trigger*>> m_culprits;
    size_t m_blocked = 0;
    uint64_t m_suspiciousCrashes = 0;
    /// The newest crash under any trigger.
    TimePoint m_lastCrashAt {};
    bool m_isDirty = false;
};

} // namespace lentilbay::edge
