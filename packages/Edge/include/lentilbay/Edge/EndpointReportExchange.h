// Exchanges reports of failing endpoints with the other daemons, and checks the endpoints for which this
// daemon is responsible; see Policy/EndpointFailureReports.
#pragma once

#include "lentilbay/Edge/PeerHeartbeat.h"
#include "lentilbay/Edge/PeerSummaries.h"

#include <set>
#include <string>
#include <vector>

namespace lentilbay::edge {

class EdgeState;

class EndpointReportExchange {
public:
    explicit EndpointReportExchange(EdgeState& state)
        : m_state(state)
    {
    }

    /// Applies what a peer reports. `incarnation` is this daemon's own.
    void apply(const PeerHeartbeat& heartbeat, uint64_t incarnation, TimePoint now);
    /// Whether something is new that other daemons should know before the next round of heartbeats is due.
    /// @param isRelay whether this daemon passes reports on
    bool hasNews(bool isRelay);
    /// Whether a round of heartbeats is to be sent now because of it.
    bool isRoundDue(bool isRelay, TimePoint now);
    /// Checks endpoints and logs which ones are excluded. To be called before each round of heartbeats.
    void update(TimePoint now);
    /// What a heartbeat with that content reports.
    std::vector<EndpointFailureReport> reports(PeerSummaries::Content content, TimePoint now) const;
    /// The number of endpoints that are excluded.
    size_t excluded() const { return m_excluded.size(); }

private:
    /// Determines which daemons check endpoints.
    void updateDaemons();
    void check(TimePoint now);
    /// Logs which endpoints are excluded, and ends suspensions of those that are back.
    void review(TimePoint now);
    /// Whether a failure to connect may be due to this daemon's own links.
    bool areLinksDoubtful(TimePoint now) const;

    EdgeState& m_state;
    std::set<std::string> m_excluded;
    bool m_hasNews = false;
    TimePoint m_sentAt {};
};

} // namespace lentilbay::edge
