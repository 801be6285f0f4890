// Carries out the rollouts that the operator has ordered: which software version each request may go to, what
// its response shows, and what daemons tell the coordinator and the store about it.
//
// Each daemon has a gate for each order. The first of the daemons that are alive, by rendezvous hashing of
// the service, coordinates the order: the others send it their totals in datagrams, and its answers are the
// permits without which nothing is sent to the target version while the order runs. An order that has ended
// goes on to exclude the versions that lost, until another one replaces it. Nothing happens for services
// without an order, except that the times of their responses are learned.
#pragma once

#include "lentilbay/Edge/EndpointRegistry.h"
#include "lentilbay/Edge/ResponseTimes.h"
#include "lentilbay/Edge/RolloutCoordinator.h"
#include "lentilbay/Edge/RolloutMessages.h"
#include "lentilbay/Support/SteadyClock.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lentilbay::edge {

/// What a request keeps of the decision on its version, which is made once.
struct RolloutTicket {
    /// The order that the decision is for; not set while there is none.
    std::optional<RolloutOrderId> order;
    VersionGroup group = VersionGroup::Former;
    /// The endpoints that may serve the request, as of when it was last queued.
    VersionRule rule;
};

/// One send to an endpoint, as far as its response is evidence on the software version there.
struct RolloutSend {
    ServiceId service;
    /// Hash of the route; 0: the response is not evidence.
    uint64_t route = 0;
    uint64_t endpoint = 0;
    uint64_t version = 0;
    Work work;
    TimePoint sentAt {};
    std::optional<Duration> timeToFirstEvent;
    /// The response has been counted.
    bool isCounted = false;
};

class RolloutController {
public:
    struct Options {
        std::string daemon;
        uint64_t incarnation = 0;
        /// Of the store, for the header field of calls.
        std::string storeHost;
        RolloutLimits limits;
        /// The time at which an answer of the store arrives.
        std::function<TimePoint()> clock = bootNow;
    };
    using Sender = std::function<void(const std::string& daemon, const std::string& datagram)>;
    using Caller = std::function<void(std::string request, std::function<void(const StoreReply&)> done)>;

    RolloutController(Options options, EndpointRegistry& registry);

    void setSender(Sender sender) { m_send = std::move(sender); }
    /// Sets what calls the store; one call at a time is made.
    void setCaller(Caller caller) { m_call = std::move(caller); }
    /// Sets what is called when another daemon knows an order that this one does not.
    void setOrderReader(std::function<void()> reader) { m_readOrders = std::move(reader); }
    /// Sets what says whether the store does not answer this daemon.
    void setStoreStatus(std::function<bool()> isUnreachable)
    {
        m_isStoreUnreachable = std::move(isUnreachable);
    }
    /// Sets whether the configuration has a service.
    void setServiceCheck(std::function<bool(const ServiceId&)> isKnown)
    {
        m_isKnownService = std::move(isKnown);
    }

    /// Applies a row of the table with the operator's orders; rows of other kinds are ignored.
    void applyOrderRow(const platform::StoreRow& row, TimePoint now);
    void orderRowDeleted(const std::string& key, TimePoint now);
    /// Records that all orders are known that had been written by then.
    void confirmOrders(TimePoint at) { m_ordersConfirmedAt = std::max(m_ordersConfirmedAt, at); }
    /// The store came back from an older copy: what this daemon knows of the orders is written again.
    void storeEraChanged();
    /// Sets the other daemons that are alive and take part in rollouts, and whether this one does.
    void setDaemons(std::vector<std::string> others, bool takesPart, size_t fleetSize);
    /// Whether poll() must be called at short intervals.
    bool isActive() const;
    /// Does what is due. Returns whether requests that wait may have to go to another version than before.
    bool poll(TimePoint now);
    /// Applies a datagram of another daemon. Returns the answer to it, or an empty string.
    std::string receive(std::string_view datagram, TimePoint now);

    /// Decides which endpoints may serve a request that is to be queued.
    /// @param version hashOf() the only version that may go on with the request's stream
    void assign(
        const ServiceId& service, std::optional<uint64_t> version, RolloutTicket& ticket, TimePoint now);
    /// Whether anything may be sent to endpoints of the version now. To be asked right before a send.
    bool mayUse(const ServiceId& service, uint64_t version, TimePoint now) const;
    /// Records that a request is sent to an endpoint. One that was to go to the target version and went to a
    /// former one, as no endpoint of the target version had room, does not count as sent there.
    RolloutSend recordSend(const EndpointState& endpoint, const std::string& route, const Work& work,
        RolloutTicket& ticket, TimePoint now);
    /// Records the first event, or the complete response that is not a stream.
    void recordFirstEvent(RolloutSend& send, TimePoint now);
    struct End {
        SendOutcome outcome = SendOutcome::Neutral;
        /// Of a failure against the endpoint; see FailureSources.
        double evidence = 1;
        /// What a stream has given; 0 if it is none.
        double answerTokens = 0;
    };
    /// Records the end of a send that an endpoint may have executed. After a failure at the target version,
    /// the request goes to a former one.
    void recordEnd(const RolloutSend& send, RolloutTicket& ticket, const End& end, TimePoint now);

    /// The values for the metrics.
    std::vector<std::pair<std::string, double>> gauges(TimePoint now) const;

private:
    struct Entry {
        Entry(const RolloutOrder& order, RolloutGate gate, TimePoint now);

        RolloutGate gate;
        /// hashOf() the target version.
        uint64_t target;
        /// When this daemon first saw the order.
        TimePoint seenAt;
        /// The latest time at which a daemon knew that there was no such order yet.
        std::optional<TimePoint> absentAt;
        /// The versions other than the target version that have been listed while the order ran.
        std::vector<uint64_t> formers;
        /// Versions that earlier orders have rejected or replaced.
        std::vector<uint64_t> retired;
        /// Earlier orders that have ended, as an older copy of the store may contain them.
        std::deque<std::pair<RolloutOrder, RolloutPhase>> past;
        bool isWithdrawn = false;
        bool isInvalidLogged = false;
        /// Where this daemon coordinates the order.
        std::shared_ptr<RolloutCoordinator> coordinator;
        /// What other daemons have reported to this one, which coordinates the order or may do so next.
        std::shared_ptr<RolloutReportLog> reports = std::make_shared<RolloutReportLog>();
        TimePoint nextForwardAt {};
        /// This daemon, as the coordinator, has found the end of the order in the store.
        bool isSettled = false;
        /// When the newest report that was answered had been sent.
        std::optional<TimePoint> permittedAt;
        TimePoint nextReportAt {};
        TimePoint nextReadAt {};
        Duration readDelay {};
        RolloutPhase loggedPhase = RolloutPhase::Canary;

        const RolloutOrder& order() const { return *gate.order(); }
        bool hasEnded(TimePoint now) const;
    };

    /// The versions of the service that may be the subject of an order which is not known yet.
    const std::vector<uint64_t>& unconfirmedVersions(const ServiceId& service, TimePoint now);
    /// Notices versions that are listed beside others for the first time.
    void noticeVersions(TimePoint now);
    Entry* find(const ServiceId& service);
    const Entry* find(const ServiceId& service) const;
    Entry* findByHash(uint64_t service);
    static VersionGroup groupOf(const Entry& entry, uint64_t version);
    void replaceOrder(Entry& entry, const RolloutOrder& order, TimePoint now);
    /// Updates what is known of the endpoints of the order's service.
    void updateVersions(Entry& entry, TimePoint now);
    VersionRule usualVersions(const Entry& entry, TimePoint now) const;
    VersionRule formerRule(const Entry& entry) const;
    /// hashOf() the endpoints of the target version that are not leaving.
    std::vector<uint64_t> targetEndpoints(const Entry& entry) const;
    /// hashOf() those that fail, by this daemon's sends or by the reports of the others.
    std::vector<uint64_t> excludedTargets(const Entry& entry, TimePoint now) const;
    uint32_t formerInFlight(const Entry& entry) const;
    /// The daemon that coordinates the service's order: the first by rendezvous hashing, or one of the next
    /// if the store does not answer it.
    std::string coordinatorOf(const ServiceId& service, TimePoint now) const;
    /// Whether this daemon is the first one for the service.
    bool isFirst(const ServiceId& service) const;
    /// Whether the store does not answer this daemon.
    bool isStoreAway(TimePoint now) const;
    /// Whether the order can be begun; logs once if not.
    bool isValid(Entry& entry, TimePoint now);
    void logInvalid(const std::string& key, const std::string& detail);
    void coordinate(Entry& entry, TimePoint now);
    void report(Entry& entry, const std::string& coordinator, TimePoint now);
    /// The daemon that would coordinate the order next, and is told the same; empty in a large fleet, in
    /// which no daemon has a large part of the counts.
    std::string standbyOf(const ServiceId& service, const std::string& coordinator) const;
    /// Sends a report, also that of a daemon which has ended.
    void sendReport(const Entry& entry, const std::string& to, RolloutReport report, TimePoint now);
    void applyPermit(Entry& entry, const RolloutPermit& permit, const std::vector<uint64_t>& formers,
        TimePoint sentAt, TimePoint now);
    /// Reads the state of an order for which no coordinator has answered.
    void readState(Entry& entry, TimePoint now);
    void logPhase(Entry& entry, TimePoint now);
    /// Makes a call if none is in progress.
    void call(std::string request, std::function<void(const StoreReply&)> done);
    std::string receiveReport(RolloutReportMessage message, TimePoint now);
    void receivePermit(const RolloutPermitMessage& message, TimePoint now);
    /// Whether the event loop has stood still since then, so that times show nothing.
    bool wasStalledSince(TimePoint since, TimePoint now) const;
    bool isSlow(const RolloutSend& send, Duration elapsed, TimePoint now) const;
    void count(const RolloutSend& send, bool isBad, bool isSlow, TimePoint now);

    Options m_options;
    EndpointRegistry& m_registry;
    Sender m_send;
    Caller m_call;
    std::function<void()> m_readOrders;
    std::function<bool(const ServiceId&)> m_isKnownService;
    std::map<ServiceId, Entry> m_entries;
    std::vector<std::string> m_others;
    std::function<bool()> m_isStoreUnreachable;
    /// When the last call failed, if it did.
    std::optional<TimePoint> m_callFailedAt;
    /// When other daemons last stated that the store does not answer them.
    std::map<std::string, TimePoint> m_storeAwayAt;
    struct ListedVersions {
        std::vector<uint64_t> all;
        std::vector<uint64_t> unconfirmed;
        /// When the last of those was first seen.
        TimePoint seenAt {};
    };
    std::map<ServiceId, ListedVersions> m_listed;
    /// The state of the registry that `m_listed` describes.
    uint64_t m_listedRevision = 0;
    TimePoint m_ordersConfirmedAt {};
    /// When the orders were last read because another daemon knows one that this daemon does not.
    std::optional<TimePoint> m_ordersReadAt;
    bool m_takesPart = true;
    bool m_isCalling = false;
    /// As of the last poll().
    std::map<ServiceId, RolloutPhase> m_phases;
    Duration m_reportPeriod {};
    bool m_isLargeFleet = false;
    TimePoint m_startedAt {};
    TimePoint m_polledAt {};
    /// When the event loop last went on after it had stood still.
    TimePoint m_stalledUntil {};
    ResponseTimes m_times;
    uint64_t m_transactions = 0;
    uint64_t m_sentToTarget = 0;
    uint64_t m_badResponses = 0;
    uint64_t m_slowResponses = 0;
    uint64_t m_reports = 0;
    uint64_t m_invalidOrders = 0;
};

} // namespace lentilbay::edge
