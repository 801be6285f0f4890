// What endpoints state about themselves in their answers, as far as this daemon knows, and what follows for
// sending.
//
// A request rate that an endpoint states holds for all daemons together. It is divided without communication
// per request: a few daemons, selected by rendezvous hashing over those that are alive and preferably in the
// endpoint's data centre, send at equal intervals, and the others do not send. Their number grows with the
// rate, so that sends of all of them that happen to coincide exceed the rate by little. A daemon that becomes
// selected waits for an interval first, so that changes of the selection add no sends. While no answer
// confirms the statement, because the selected daemons have no requests for the endpoint, each of the others
// may send once in turn.
//
// An endpoint may also state that rejections make it fail. It then must not get more requests than it has
// slots for, whatever the daemons know of each other's, so its slots are divided as well: each daemon gets an
// equal share, and the rest goes to those that come first in rendezvous hashing. What holds for one endpoint
// of a service is taken to hold for all: one that has failed is back before it has answered.
//
// The endpoint wrote a statement at some time between the sending of the request and the receipt of the
// answer. Of two statements whose times overlap, either may be the newer one, and the lower rate applies. A
// statement ends with answers to later requests that do not repeat it; answers that reject a request, or are
// not known to be the endpoint's own, end nothing. An endpoint that is leaving stays so until it is started
// again: its entry in the platform's store may be older than its answer.
#pragma once

#include "lentilbay/Model/EndpointSignals.h"
#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilbay::edge {

/// A daemon that may send to endpoints.
struct SendingDaemon {
    std::string name;
    DataCentreId dataCentre;

    auto operator<=>(const SendingDaemon&) const = default;
};

/// An endpoint as the table identifies it.
struct EndpointIncarnation {
    /// hashOf() of the endpoint's id.
    uint64_t endpoint = 0;
    /// See RoutedEndpoint; 0 if unknown.
    uint64_t startedAtMilliseconds = 0;
    DataCentreId dataCentre;
};

/// What a daemon knows of an endpoint's statements, for its heartbeats.
/// Ages are as of when the report was written; negative: never.
struct SignalReport {
    /// hashOf() of the endpoint's id.
    uint64_t endpoint = 0;
    /// The incarnation that stated them; see RoutedEndpoint.
    uint64_t startedAtMilliseconds = 0;
    EndpointSignals signals;
    /// Time since the receipt of the newest answer that stated the rate, or that the endpoint leaves.
    int64_t ageMicroseconds = 0;
    /// Time since the request was sent to which that was the answer.
    int64_t sentAgeMicroseconds = 0;
    /// The same for the answer that stated the limit of rejections.
    int64_t rejectionLimitAgeMicroseconds = -1;
    int64_t rejectionLimitSentAgeMicroseconds = -1;
    /// Time since the endpoint, having stated such a limit, rejected a request.
    int64_t rejectedAgeMicroseconds = -1;

    auto operator<=>(const SignalReport&) const = default;
};

/// The head of an endpoint's answer, as far as the table needs it.
struct SignalAnswer {
    EndpointIncarnation endpoint;
    EndpointSignals signals;
    /// Whether the endpoint itself answered the request that was sent at `sentAt`, and ran it, so that what
    /// the answer does not state no longer applies.
    bool isConclusive = false;
    /// Whether the endpoint rejected the request for lack of room.
    bool isRejection = false;
    TimePoint sentAt {};
};

class EndpointSignalTable {
public:
    /// Sets the daemons that are alive; `self` is this one and must be among them.
    void setDaemons(const std::string& self, std::vector<SendingDaemon> daemons, TimePoint now);
    /// Records an answer received now. Returns whether it changed what the endpoint is known to state.
    bool recordAnswer(const SignalAnswer& answer, TimePoint now);
    /// Applies what a peer knew at `at` or later. Returns whether it changed what the endpoint is known to
    /// state.
    bool applyReport(
        const SignalReport& report, const EndpointIncarnation& endpoint, TimePoint at, TimePoint now);
    /// Records that the endpoint wants no requests from this daemon until then.
    void recordPause(const EndpointIncarnation& endpoint, TimePoint until);
    /// Keeps the time of the last send over the removal of the endpoint's entry.
    void keepLastSend(uint64_t endpoint, TimePoint lastSendAt);
    /// Forgets what an earlier incarnation stated.
    void endpointListed(const EndpointIncarnation& endpoint);
    std::vector<SignalReport> reports(TimePoint now) const;
    /// Drops what was withdrawn, or has not been confirmed, for long.
    void dropOld(TimePoint now);

    bool empty() const { return m_entries.empty(); }
    /// The statements that apply to the endpoint.
    EndpointSignals signalsOf(uint64_t endpoint) const;
    /// Whether the endpoint's statements allow this daemon to send it a request, if it sent the previous one
    /// at `lastSendAt`.
    bool maySend(uint64_t endpoint, TimePoint lastSendAt, TimePoint now) const;
    bool isLeaving(uint64_t endpoint) const { return signalsOf(endpoint).isLeaving; }
    bool isPaused(uint64_t endpoint, TimePoint now) const;
    /// Whether rejections make the endpoint fail.
    bool isBrittle(uint64_t endpoint) const { return signalsOf(endpoint).maxRejectionsPerSecond.has_value(); }
    /// Whether such an endpoint has recently rejected requests, at this daemon or at a peer.
    bool isOverloaded(uint64_t endpoint, TimePoint now) const;
    /// This daemon's share of the slots of an endpoint that rejections make fail; all of them if no other
    /// daemon is known.
    uint32_t slotShare(uint64_t endpoint, uint32_t slots) const;

private:
    /// A limit that the endpoint stated between two times: when the request was sent and when its answer
    /// arrived, in the newest such answer; for one that a peer received, no later than that.
    struct StatedLimit {
        std::optional<double> value;
        TimePoint sentAt {};
        TimePoint statedAt {};
        /// The number of conclusive answers since then that did not state it.
        int unstatedAnswers = 0;

        /// Applies a statement unless it is older, and returns whether the value differs.
        bool apply(std::optional<double> stated, TimePoint requestSentAt, TimePoint receivedAt);
        /// The same for an answer, whose lack of a value is no statement by itself.
        bool applyAnswer(std::optional<double> stated, const SignalAnswer& answer, TimePoint now);
    };

    struct Entry {
        StatedLimit rate;
        StatedLimit rejections;
        bool isLeaving = false;
        DataCentreId dataCentre;
        uint64_t startedAtMilliseconds = 0;
        /// When anything was stated last.
        TimePoint statedAt {};
        /// When the endpoint rejected a request while rejections make it fail.
        TimePoint rejectedAt {};
        TimePoint pausedUntil {};

        EndpointSignals signals() const
        {
            return { .maxRequestsPerSecond = rate.value,
                .maxRejectionsPerSecond = rejections.value,
                .isLeaving = isLeaving };
        }
        /// The number of daemons that share the rate.
        size_t senders = 0;
        /// The number of daemons that come before this one in the order in which they are selected.
        size_t rank = 0;
        /// The least time between two sends of a selected daemon; zero without a limit.
        Duration interval {};
        /// When this daemon became selected.
        TimePoint selectedAt {};
        TimePoint lastSendAt {};
    };
    Entry& entryOf(const EndpointIncarnation& endpoint);
    /// Determines this daemon's share of the rate.
    void divide(uint64_t endpoint, Entry& entry, TimePoint now) const;

    std::string m_self;
    std::vector<SendingDaemon> m_daemons;
    std::unordered_map<uint64_t, Entry> m_entries;
};

} // namespace lentilbay::edge
