// What one daemon knows of the endpoints: who is listed, how busy, how fast and how trustworthy each is.
//
// Load is this daemon's own requests, exactly, and what the other daemons said last. Reports of the engines
// are older than both and are not read.
#pragma once

#include "lentilbay/Model/Places.h"
#include "lentilbay/Model/RoutedEndpoint.h"
#include "lentilbay/Policy/Estimate.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lentilbay::edge {

/// The work that a request asks of an endpoint.
struct Work {
    bool isStream = false;
    double promptTokens = 0;
    /// Expected, not the most.
    double answerTokens = 0;
};

/// How a send ended, as far as it tells something of the endpoint.
enum class SendEnd : uint8_t {
    Good,
    /// No connection, a broken answer, an error of its own, or silence.
    Bad,
    /// It said that it is full.
    Full,
    /// It tells nothing: the caller left, or another endpoint has the address.
    Neutral,
};

class EndpointState {
public:
    explicit EndpointState(RoutedEndpoint listed);

    const RoutedEndpoint& listed() const { return m_listed; }
    void relist(RoutedEndpoint listed) { m_listed = std::move(listed); }

    void sent(const Work& work, TimePoint now);
    /// The first event came, or the whole plain answer.
    void first(const Work& work, Duration elapsed, TimePoint now);
    /// So many tokens came within the time.
    void progressed(double tokens, Duration elapsed, TimePoint now);
    /// Ends what sent() began; `hadFirst` tells whether first() was called for it.
    void ended(const Work& work, SendEnd end, bool hadFirst, TimePoint now);
    /// Requests there, of all daemons.
    double load() const { return static_cast<double>(m_ownInFlight + m_peerInFlight); }
    uint32_t ownInFlight() const { return m_ownInFlight; }
    double promptTokensAhead() const { return m_promptTokensAhead; }
    /// The time to the first event (or the whole plain answer) if the work were sent now.
    Duration expectedFirst(const Work& work) const;
    /// The time to the first event with so many prompt tokens to be read before.
    Duration expectedFirst(const Work& work, double ahead) const;
    /// The longest pause that reading the prompt makes in the streams that run there.
    Duration expectedPause(const Work& work, double ahead, double tokensPerEvent) const;
    /// The time to the end of the answer.
    Duration expectedWhole(const Work& work) const;
    /// It failed lately and gets no work now.
    bool isSuspended(TimePoint now) const { return now < m_suspendedUntil; }
    /// It failed and was not good again since: gets one request at a time.
    bool isOnProbation() const { return m_failuresInRow >= failuresToSuspect; }
    /// Requests of this daemon are there and none of them has made progress for much longer than expected.
    bool isSilent(TimePoint now) const;

private:
    /// Prompt reading, the wait for the first step included.
    double secondsPerPromptToken() const;

    /// One failure may be the request's own; two in a row are the endpoint's.
    static constexpr int failuresToSuspect = 2;

    friend class EndpointBook;

    RoutedEndpoint m_listed;
    uint32_t m_ownInFlight = 0;
    /// Prompt tokens sent whose first event has not come.
    double m_promptTokensAhead = 0;
    /// The sum over the daemons whose statuses are young enough; the book keeps it.
    int64_t m_peerInFlight = 0;
    Estimate m_secondsPerToken;
    /// Observed against expected times to the first event.
    Estimate m_firstRatio;
    Estimate m_plainSeconds;
    /// The part of the last sends that failed.
    Estimate m_failures;
    int m_failuresInRow = 0;
    int m_suspensions = 0;
    TimePoint m_suspendedUntil {};
    /// When any of this daemon's requests made progress there, or the first one was sent.
    TimePoint m_lastProgress {};
};

/// Slots that must be free, beyond the one to be taken, at endpoints whose load is heard of late.
struct Headroom {
    double sameRegion = 0;
    double otherRegion = 0;
};

/// What a choice must respect.
struct ChoiceQuery {
    ServiceId service;
    Work work;
    /// The first event should come until then.
    TimePoint objectiveAt {};
    /// The whole answer must be there until then.
    TimePoint giveUpAt = TimePoint::max();
    /// The longest pause between events of this and of similar streams that is in time; zero: any.
    Duration gapObjective {};
    double tokensPerEvent = 1;
    /// Whether it may still wait for an endpoint that serves it in time, instead of taking any.
    bool isPatient = false;
    /// It should leave the fast endpoints to others, if a slower one serves it in time.
    bool yieldsFast = false;
    /// Endpoints that this request was sent to already.
    std::vector<EndpointId> tried;
};

/// What another daemon has in flight at an endpoint.
struct PeerLoad {
    /// hashOf() of the endpoint's id.
    uint64_t endpoint = 0;
    uint16_t inFlight = 0;

    auto operator<=>(const PeerLoad&) const = default;
};

/// What work takes on average at the endpoints of one service.
struct ServicePace {
    double plainSeconds = 0;
    double firstSeconds = 0;
    double secondsPerPromptToken = 0;
    double secondsPerAnswerToken = 0;
    /// Most slots are taken.
    bool isContended = false;

    /// The time to the first event, once sent.
    Duration first(const Work& work) const;
    /// The time that the work holds a slot.
    Duration whole(const Work& work) const;
};

class EndpointBook {
public:
    EndpointBook(Places places, uint64_t seed);

    /// Lists an endpoint or changes its entry. Returns whether anything changed.
    bool list(const RoutedEndpoint& endpoint);
    /// Returns whether it was listed. Sends under way may still end.
    bool unlist(const EndpointId& id);
    /// The state, also of one that was unlisted while sends to it are under way; nullptr for others.
    std::shared_ptr<EndpointState> find(const EndpointId& id) const;
    const std::map<EndpointId, std::shared_ptr<EndpointState>>& all() const { return m_endpoints; }

    /// What a daemon has in flight at each endpoint; replaces what it told before.
    void heardLoads(const std::string& daemon, const std::vector<PeerLoad>& loads, TimePoint now);
    /// Drops what daemons told too long ago.
    void forgetStaleLoads(TimePoint now);

    void setHeadroom(Headroom headroom) { m_headroom = headroom; }
    /// The endpoint to send the work to now, or nothing where none has room.
    std::shared_ptr<EndpointState> choose(const ChoiceQuery& query, TimePoint now);
    /// Whether any endpoint of the service is listed, not leaving and not among the tried ones.
    bool hasAny(const ServiceId& service, const std::vector<EndpointId>& tried = {}) const;
    /// The slots of the service's endpoints that take work, and the requests there.
    struct Occupancy {
        double slots = 0;
        double load = 0;
    };
    Occupancy occupancy(const ServiceId& service, TimePoint now) const;
    ServicePace paceOf(const ServiceId& service, TimePoint now) const;

private:
    /// Whether an endpoint would finish the work in time if it had room.
    static bool finishes(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now);
    /// Whether it would begin in time, and not hold up the streams that run there. `ahead` are the prompt
    /// tokens that it reads first.
    static bool beginsWell(
        const EndpointState& endpoint, const ChoiceQuery& query, double ahead, TimePoint now);
    double costOf(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now);
    Place placeOf(const EndpointState& endpoint) const
    {
        return m_places.placeOf(endpoint.listed().dataCentre);
    }
    bool hasRoom(const EndpointState& endpoint) const;
    using Endpoints = std::vector<std::shared_ptr<EndpointState>>;
    const Endpoints& of(const ServiceId& service) const;
    void index();

    struct PeerLoads {
        TimePoint at {};
        /// The states themselves: an endpoint that is listed anew begins without these.
        std::vector<std::pair<std::shared_ptr<EndpointState>, uint32_t>> loads;
    };
    static void takeBack(PeerLoads& peer);

    Places m_places;
    Headroom m_headroom;
    Random m_random;
    std::map<EndpointId, std::shared_ptr<EndpointState>> m_endpoints;
    /// The same endpoints by service and by hashOf() of their ids, made anew at each change of an entry.
    std::map<ServiceId, Endpoints> m_byService;
    std::unordered_map<uint64_t, std::shared_ptr<EndpointState>> m_byHash;
    std::map<std::string, PeerLoads> m_peers;
};

} // namespace lentilbay::edge
