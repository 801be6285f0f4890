// What endpoints state about themselves in their answers, as far as this daemon knows, and what follows for
// sending.
//
// A request rate that an endpoint states holds for all daemons together. It is divided without communication
// per request: a few daemons, selected by rendezvous hashing over those that are alive and preferably in the
// endpoint's data centre, send at equal intervals, and the others do not send. Their number grows with the
// rate, so that sends of all of them that happen to coincide exceed the rate by little. While no answer
// confirms the statement, because the selected daemons have no requests for the endpoint, more and more of
// the others may send.
//
// A statement applies from the answer that made it until a later one differs. Answers may overtake each
// other, so only an answer to a request that was sent after a statement can withdraw it. An endpoint that is
// leaving stays so until it is started again: its entry in the platform's store may be older than its answer.
#pragma once

#include "lentilbay/Model/EndpointSignals.h"
#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
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
struct SignalReport {
    /// hashOf() of the endpoint's id.
    uint64_t endpoint = 0;
    /// The incarnation that stated them; see RoutedEndpoint.
    uint64_t startedAtMilliseconds = 0;
    EndpointSignals signals;
    /// Time since the newest answer that stated them, as of when the report was written.
    int64_t ageMicroseconds = 0;

    auto operator<=>(const SignalReport&) const = default;
};

/// The head of an endpoint's answer, as far as the table needs it.
struct SignalAnswer {
    EndpointIncarnation endpoint;
    EndpointSignals signals;
    /// Whether the answer is known to belong to the request that was sent at `sentAt`.
    bool isAttributed = false;
    TimePoint sentAt {};
};

class EndpointSignalTable {
public:
    /// Sets the daemons that are alive; `self` is this one and must be among them.
    void setDaemons(const std::string& self, std::vector<SendingDaemon> daemons);
    /// Records an answer received now. Returns whether it changed what the endpoint is known to state.
    bool recordAnswer(const SignalAnswer& answer, TimePoint now);
    /// Applies what a peer knew at `at` or later. Returns whether it changed what the endpoint is known to
    /// state.
    bool applyReport(
        const SignalReport& report, const EndpointIncarnation& endpoint, TimePoint at, TimePoint now);
    /// Records that the endpoint wants no requests from this daemon until then.
    void recordPause(const EndpointIncarnation& endpoint, TimePoint until);
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

private:
    struct Entry {
        EndpointSignals signals;
        DataCentreId dataCentre;
        uint64_t startedAtMilliseconds = 0;
        /// When the newest answer arrived that stated `signals`; for one that a peer received, no later than
        /// that.
        TimePoint statedAt {};
        TimePoint pausedUntil {};
        /// The number of daemons that share the rate.
        size_t senders = 0;
        /// The number of daemons that come before this one in the order in which they are selected.
        size_t rank = 0;
        /// The least time between two sends of a selected daemon; zero without a limit.
        Duration interval {};
    };

    /// Applies newer statements to an entry and returns whether they differ.
    bool update(Entry& entry, EndpointSignals signals, TimePoint statedAt, uint64_t endpoint);
    Entry& entryOf(const EndpointIncarnation& endpoint);
    /// Determines this daemon's share of the rate.
    void divide(uint64_t endpoint, Entry& entry) const;

    std::string m_self;
    std::vector<SendingDaemon> m_daemons;
    std::unordered_map<uint64_t, Entry> m_entries;
};

} // namespace lentilbay::edge
