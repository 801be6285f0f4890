// The requests that wait for room, and the decision who waits and who is turned away.
//
// Answers the load of a burst: more arrives than the endpoints finish. Whoever cannot start in time is told
// at arrival, with the time at which room is expected; what waits has a start that the present rate of work
// supports. Within a service the order is by rank, then by those that can still be in time, then by deadline.
#pragma once

#include "lentilbay/Edge/EndpointBook.h"

#include <list>

namespace lentilbay::edge {

struct WaitingRequest {
    uint64_t number = 0;
    /// 0 is the most urgent.
    int rank = 0;
    /// An endpoint has worked on it: it is never turned away while it can still be answered.
    bool hasBegun = false;
    ChoiceQuery query;
    TimePoint arrivedAt {};
    /// The caller's deadline or the route's timeout, whichever is sooner.
    TimePoint giveUpAt {};
    /// Its first event would miss the objective even if it started now; set by the line.
    bool isLate = false;
};

struct WaitingOptions {
    /// Work that may wait, in seconds that all slots of the service need for it: what waits longer is late
    /// for most objectives, and holds those behind it.
    double maxSeconds = 2.0;
    /// The part of the slots that this daemon's requests may expect to get.
    double ownPart = 1.0;
    /// The longest time after which callers come back.
    Duration longestReturn = std::chrono::seconds(10);
};

struct Started {
    uint64_t number = 0;
    std::shared_ptr<EndpointState> endpoint;
};

struct TurnedAway {
    uint64_t number = 0;
    /// When room is expected.
    Duration comeBackIn {};
};

class WaitingLine {
public:
    explicit WaitingLine(EndpointBook& book)
        : m_book(book)
    {
    }

    void setOptions(WaitingOptions options) { m_options = options; }

    void push(WaitingRequest request);
    /// The caller left.
    void remove(uint64_t number);

    struct Decisions {
        std::vector<Started> started;
        std::vector<TurnedAway> turnedAway;
    };
    /// Starts what has room, and turns away what has no chance. A started request must be counted with
    /// EndpointState::sent() by the book, which this does.
    Decisions step(TimePoint now);

    size_t size() const { return m_requests.size(); }
    size_t sizeOf(const ServiceId& service) const;

private:
    void shed(const ServiceId& service, const ServicePace& pace, TimePoint now, Decisions& out);

    double meanPrompt(const ServiceId& service) const;

    EndpointBook& m_book;
    WaitingOptions m_options;
    /// Mean prompt tokens of the requests, by service.
    std::map<ServiceId, Estimate> m_prompts;
    std::list<WaitingRequest> m_requests;
};

} // namespace lentilbay::edge
