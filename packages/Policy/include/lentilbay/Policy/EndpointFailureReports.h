// Failures of endpoints that the daemons of a fleet report to each other, and what follows for sending.
//
// An endpoint that is gone fails at each daemon that sends to it. A daemon therefore reports the endpoints to
// which it cannot connect, and the two daemons of each data centre that come first in rendezvous hashing
// check the endpoint by connecting to it. What they find, and what any daemon receives from the endpoint
// meanwhile, is reported as well.
//
// - Two daemons of a data centre that cannot reach an endpoint, while no daemon of it receives anything from
//   the endpoint, exclude it for this data centre: the network between may be partitioned.
// - Daemons of two data centres exclude it for the fleet, if no daemon at all receives anything from it.
// - A single report, or one of failing answers, limits each daemon to one request at a time there.
//
// A failing daemon begins a streak with its first failure, and ends it when it receives something from the
// endpoint or has not failed for two seconds. Whatever any daemon receives after the start of the streak
// contradicts the whole of it.
//
// Reports concern one incarnation of an endpoint and hold for two seconds after the last failure, so an
// exclusion ends by itself if nobody checks the endpoint any more.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lentilbay {

/// What several daemons know of an endpoint. Ages are in milliseconds as of when the report was written;
/// negative: never.
struct EndpointWitness {
    /// The daemons whose failure to connect is recent and not contradicted.
    uint32_t daemons = 0;
    /// The data centres of those daemons.
    uint32_t dataCentres = 0;
    int64_t failureAge = -1;
    /// Since the latest of their streaks began.
    int64_t streakAge = -1;
    /// Since any of the daemons received something from the endpoint.
    int64_t heardAge = -1;
    /// Since the endpoint gave answers for which a daemon has suspended it.
    int64_t badAnswerAge = -1;

    auto operator<=>(const EndpointWitness&) const = default;
};

struct EndpointFailureReport {
    /// hashOf() of the endpoint's id.
    uint64_t endpoint = 0;
    /// See RoutedEndpoint.
    uint64_t startedAtMilliseconds = 0;
    /// The sender alone, or the daemons of its data centre; see ReportScope.
    EndpointWitness nearby;
    /// The daemons of the other data centres.
    EndpointWitness elsewhere;

    auto operator<=>(const EndpointFailureReport&) const = default;
};

/// Whom the reports of a heartbeat speak for.
enum class ReportScope : uint8_t {
    Daemon,
    DataCentre,
    Fleet,
};

enum class EndpointUse : uint8_t {
    Usable,
    /// One request of this daemon at a time.
    ProbeOnly,
    Excluded,
};

class EndpointFailureReports {
public:
    /// Upper bound of the endpoints that a heartbeat reports.
    static constexpr size_t maxReports = 64;

    struct Daemon {
        std::string name;
        std::string dataCentre;
    };
    /// Sets the daemons that are alive, this one included.
    void setDaemons(const Daemon& self, const std::vector<Daemon>& daemons);

    /// Records that this daemon could not connect to the endpoint.
    void recordFailure(uint64_t endpoint, uint64_t startedAtMilliseconds, TimePoint now);
    /// Records that this daemon has suspended the endpoint because of its answers.
    void recordBadAnswers(uint64_t endpoint, uint64_t startedAtMilliseconds, TimePoint now);
    /// Takes back all bad answers: a request may turn out to be the cause.
    void forgetBadAnswers();
    /// Records that this daemon has received something from the endpoint, or connected to it.
    void recordHeard(uint64_t endpoint, uint64_t startedAtMilliseconds, TimePoint now);
    /// Forgets this daemon's failures since then, which its own links have caused.
    void forgetFailuresSince(TimePoint since);
    /// Records which incarnation of a daemon has written a heartbeat. Returns whether its reports count: not
    /// if a later incarnation is known, whose reports they would replace.
    /// @param echoedAt when this daemon sent the newest message that the other had received; std::nullopt if
    /// it had received none
    bool recordSender(
        const std::string& daemon, uint64_t incarnation, std::optional<TimePoint> echoedAt, TimePoint now);
    /// Replaces what a daemon reported before. `at` is when it wrote the reports.
    void apply(const Daemon& source, ReportScope scope, const std::vector<EndpointFailureReport>& reports,
        TimePoint at);
    /// Drops what is too old to matter.
    void dropOld(TimePoint now);

    /// Whether an endpoint has begun to fail, or has been reached again, since the last call: for the other
    /// daemons, the sooner they know the fewer sends fail. `isRelay` is whether this daemon passes reports
    /// on.
    bool takeNews(bool isRelay);

    bool empty() const { return m_own.empty() && m_sources.empty(); }
    EndpointUse use(uint64_t endpoint, uint64_t startedAtMilliseconds, TimePoint now) const;
    /// Whether another daemon of this data centre, after a failure of this one which others confirmed, has
    /// reached the endpoint.
    bool hasRecovered(uint64_t endpoint, uint64_t startedAtMilliseconds, TimePoint failedAt) const;
    /// The endpoints to which this daemon has to try a connection now.
    std::vector<uint64_t> nextProbes(TimePoint now);
    /// What this daemon states in its heartbeats. Empty for most of the time.
    std::vector<EndpointFailureReport> reports(ReportScope scope, TimePoint now) const;

private:
    struct Evidence {
        uint32_t daemons = 0;
        uint32_t dataCentres = 0;
        TimePoint failedAt {};
        TimePoint streakFrom {};
        TimePoint heardAt {};
        TimePoint badAnswerAt {};
    };
    struct Own {
        uint64_t startedAtMilliseconds = 0;
        Evidence evidence;
        /// Whether other daemons failed, too, during the streak.
        bool isConfirmed = false;
        TimePoint nextProbeAt {};
    };
    struct Reported {
        uint64_t startedAtMilliseconds = 0;
        Evidence nearby;
        Evidence elsewhere;
    };
    struct Source {
        ReportScope scope = ReportScope::Daemon;
        std::string dataCentre;
        TimePoint at {};
        std::unordered_map<uint64_t, Reported> reports;
    };
    /// The newest incarnation of another daemon. Incarnations are random numbers; a later one has received
    /// later messages of this daemon.
    struct Sender {
        uint64_t incarnation = 0;
        std::optional<TimePoint> echoedAt;
        TimePoint heardAt {};
    };
    /// All that is known of an incarnation.
    struct View {
        Evidence nearby;
        Evidence elsewhere;

        TimePoint heardAt() const { return std::max(nearby.heardAt, elsewhere.heardAt); }
    };

    /// Whether this daemon has recorded anything of the endpoint, or another one reports it. Most endpoints
    /// are not known, and a request considers all of those of its service.
    bool isKnown(uint64_t endpoint) const;
    void forgetSource(const std::string& daemon);
    /// Removes the reports of a source from m_sourcesOf.
    void uncount(const std::unordered_map<uint64_t, Reported>& reports);
    /// Notes whether other daemons fail, too.
    void confirm(uint64_t endpoint, Own& own, TimePoint now) const;
    /// What this daemon has recorded of an incarnation; nullptr if a later one is known. A request to the
    /// former one may fail long after the endpoint was started again.
    Own* ownOf(uint64_t endpoint, uint64_t startedAtMilliseconds);
    View viewOf(uint64_t endpoint, uint64_t startedAtMilliseconds, TimePoint now) const;
    /// The endpoints of which anything is known, with their newest incarnation.
    std::unordered_map<uint64_t, uint64_t> known() const;
    /// Combines what daemons know of which none is counted twice, except in sums.
    static Evidence combined(
        const std::vector<Evidence>& single, const std::vector<Evidence>& sums, TimePoint now);
    static bool isRecent(TimePoint at, TimePoint now);
    /// Whether the failures are recent, and nothing was received since they began.
    static bool isFailing(const Evidence& evidence, TimePoint heardAt, TimePoint now);
    size_t rankFor(uint64_t endpoint) const;

    Daemon m_self;
    /// The daemons of this data centre.
    std::vector<std::string> m_nearby;
    std::unordered_map<uint64_t, Own> m_own;
    std::unordered_map<std::string, Source> m_sources;
    std::unordered_map<std::string, Sender> m_senders;
    /// The number of sources that report an endpoint.
    std::unordered_map<uint64_t, size_t> m_sourcesOf;
    bool m_hasOwnNews = false;
    bool m_hasReportedNews = false;
    struct Use {
        uint64_t startedAtMilliseconds = 0;
        TimePoint at {};
        EndpointUse use = EndpointUse::Usable;
    };
    /// Decisions that are the same until something is recorded, or a moment has passed.
    mutable std::unordered_map<uint64_t, Use> m_uses;
};

} // namespace lentilbay
