// One caller's request from its arrival to its one final answer.
//
// admit -> wait -> start -> [retry or resume elsewhere] -> final answer. The daemon that read the request is
// the only one that sends it to endpoints. A request that may run at most once is sent again only where the
// endpoint stated that it did not run it, or no connection came about.
#pragma once

#include "lentilbay/Edge/EdgeState.h"
#include "lentilbay/Edge/EventSplitter.h"
#include "lentilbay/Http/Server.h"
#include "lentilbay/platform/CallerHeaders.h"

#include <asio/steady_timer.hpp>

namespace lentilbay::edge {

/// What is known of one send to an endpoint.
struct EndpointSend {
    std::shared_ptr<EndpointState> endpoint;
    std::shared_ptr<http::ClientConnection> connection;
    /// Bytes of the request may have reached the endpoint.
    bool isSent = false;
    TimePoint sentAt {};
    TimePoint lastEventAt {};
    /// From the send on, as estimated then.
    Duration expectedFirst {};
    bool hadFirst = false;
    bool wasNotRun = false;
    bool isOtherEndpoint = false;
    bool isEventStream = false;
    http::HttpResponseHead head;
    bool isGenuine = false;
    std::string body;
};

class EdgeRequest : public std::enable_shared_from_this<EdgeRequest> {
public:
    EdgeRequest(EdgeState& state, std::shared_ptr<http::Exchange> exchange);

    /// Judges the request; it is then waiting, or has its final answer.
    void admit(TimePoint now);
    /// An endpoint has room, and EndpointState::sent() was called for it.
    void start(std::shared_ptr<EndpointState> endpoint, TimePoint now);
    /// No endpoint will have room in time.
    void turnAway(Duration comeBackIn, TimePoint now);
    /// Notices endpoints that have fallen silent.
    void checkProgress(TimePoint now);

private:
    bool judge(TimePoint now);
    bool judgeKey(TimePoint now);
    bool judgeQuota(TimePoint now);
    void enqueue(TimePoint now);
    WaitingRequest waitingRequest() const;
    bool mayStillSend(TimePoint now);
    void sendNow(std::shared_ptr<http::ClientConnection> connection, TimePoint now);
    bool responseHead(const http::HttpResponseHead& head);
    void responseBody(std::string_view piece);
    void responseWhole();
    void streamWhole(TimePoint now);
    void plainWhole(TimePoint now);
    void responseBroken(http::BrokenAt at);
    void relay(std::string_view piece, TimePoint now);
    void noteFirstAnswer(TimePoint now);
    void beginAnswer();
    /// Ends the current send and tells the endpoint's state.
    void endSend(SendEnd end, TimePoint now);
    void logFailedSend(bool mayHaveRun, ResultCode reason) const;
    /// After a send without a usable answer: sends again where that is allowed, else gives up.
    void sendFailed(bool mayHaveRun, ResultCode reason, TimePoint now);
    /// Gives up what may have run; an endpoint's own failure is passed on where there is one.
    void endAfterRun(ResultCode reason, TimePoint now);
    void waitAgain(TimePoint now);
    void timedOut();
    void callerLeft();
    void refuse(ResultCode code, std::optional<Duration> comeBackIn, TimePoint now);
    void finish(ResultCode code, TimePoint now);
    bool isOver() const { return m_isOver; }

    EdgeState& m_state;
    std::shared_ptr<http::Exchange> m_exchange;
    platform::CallerFacts m_facts;
    std::shared_ptr<const RouteTable> m_routes;
    const Route* m_route = nullptr;
    const RoutedOrganisation* m_organisation = nullptr;
    uint64_t m_number = 0;
    TimePoint m_arrivedAt;
    TimePoint m_giveUpAt {};
    ServiceId m_service;
    Work m_work;
    double m_quotaTokens = 0;
    std::vector<EndpointId> m_tried;
    /// Endpoints that may have run it.
    int m_runs = 0;
    /// Sends that reached an endpoint, run or not.
    int m_sends = 0;
    int m_staleConnections = 0;
    std::optional<EndpointSend> m_send;
    EventSplitter m_events;
    size_t m_eventsRelayed = 0;
    /// From the arrival to the first event, or the whole plain answer.
    std::optional<Duration> m_firstAfter;
    TimePoint m_lastRelayedAt {};
    Duration m_longestPause {};
    /// An endpoint's own failure, which the caller gets if no other send does better.
    std::optional<http::HttpResponseHead> m_fallback;
    std::string m_fallbackBody;
    asio::steady_timer m_timer;
    bool m_isOver = false;
};

} // namespace lentilbay::edge
