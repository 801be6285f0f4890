// Makes keyed requests run at most once across daemons, with one conditional write to the platform's table.
//
// A row names the one process that may dispatch the request, with a nonce. It is never leased: whoever finds
// a row of another asks that daemon for the outcome and never runs the request itself. A claimant that gives
// up before its dispatch marks the nonce as dead, and only it can say so.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/ClaimMessages.h"
#include "lentilbay/Control/Commands.h"
#include "lentilbay/Model/Request.h"
#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lentilbay {

struct ClaimOptions {
    uint64_t seed = 1;
    /// Where other daemons ask this one for outcomes; it stands in the rows.
    std::string address;
    /// Rows that this daemon writes a second, removals included.
    double writesPerSecond = 20;
    uint32_t maxBatch = 25;
    uint32_t maxWritesInFlight = 4;
    Duration storeTimeout = std::chrono::seconds(2);
    /// A row counts for this long; longer than any request's deadline.
    Duration retention = std::chrono::hours(24);
    /// What became of a claim is remembered here for this long.
    Duration recordLifetime = std::chrono::hours(1);
    uint32_t maxRecords = 100'000;
    /// A holder that says nothing for this long is taken for gone.
    Duration holderTimeout = std::chrono::seconds(3);
    Duration queryPeriod = std::chrono::milliseconds(250);
    /// Time between two pages of the search for rows to remove.
    Duration cleanupPeriod = std::chrono::minutes(1);
    uint32_t cleanupPage = 100;
};

struct ClaimRequest {
    RequestId id;
    OrganisationId organisation;
    std::string key;
    uint64_t bodyHash = 0;

    auto operator<=>(const ClaimRequest&) const = default;
};

/// The request may be dispatched here.
struct ClaimHeld {
    RequestId id;
    bool operator==(const ClaimHeld&) const = default;
};
/// An earlier request of this daemon holds the claim; the caller gets its answer.
struct ClaimFollows {
    RequestId id;
    RequestId earlier;
    bool operator==(const ClaimFollows&) const = default;
};
/// The claim is held elsewhere and the request never runs here; an answer or a refusal comes later.
struct ClaimHeldElsewhere {
    RequestId id;
    bool operator==(const ClaimHeldElsewhere&) const = default;
};
/// The answer of the daemon that holds the claim.
struct ClaimAnswered {
    RequestId id;
    ClaimReport report;
    bool operator==(const ClaimAnswered&) const = default;
};
struct ClaimRefused {
    RequestId id;
    ResultCode code = ResultCode::InternalError;
    Ran ran = Ran::Unknown;
    bool operator==(const ClaimRefused&) const = default;
};
using ClaimDecision = std::variant<ClaimHeld, ClaimFollows, ClaimHeldElsewhere, ClaimAnswered, ClaimRefused>;

/// Gives the answers of finished requests of this daemon.
class AnswerSource {
public:
    AnswerSource() = default;
    AnswerSource(const AnswerSource&) = delete;
    AnswerSource& operator=(const AnswerSource&) = delete;
    virtual ~AnswerSource() = default;
    /// A report with the state Finished, or Running where the answer is not whole yet; nothing where it is
    /// not held any more.
    virtual std::optional<ClaimReport> finishedReport(const RequestId& id) const = 0;
};

struct ClaimCounters {
    uint64_t held = 0;
    uint64_t heldElsewhere = 0;
    uint64_t rowsWritten = 0;
    uint64_t transactions = 0;
    uint64_t conflicts = 0;
    uint64_t ambiguous = 0;
    uint64_t rowsRemoved = 0;

    auto operator<=>(const ClaimCounters&) const = default;
};

class ClaimController {
public:
    /// The blackboard and the source must outlive the controller.
    ClaimController(Blackboard& blackboard, const AnswerSource& answers, ClaimOptions options);
    ~ClaimController();

    /// A request must be claimed before its dispatch.
    void begin(const ClaimRequest& request, TimePoint now);
    /// A request of this daemon reached its outcome. `Ran::No` means that it will never be dispatched.
    void finished(const RequestId& id, ResultCode code, Ran ran, TimePoint now);

    /// A reply to a command of the storeOutbox whose user is Claims.
    void receive(const StoreReply& reply, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const ClaimQuery& query, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const ClaimAnswer& answer, TimePoint now);

    /// The wall clock only dates rows; what it says now also counts until the next step.
    void step(TimePoint now, WallTimePoint wallNow);
    TimePoint nextWake() const;

    std::vector<ClaimDecision> takeDecisions();
    const ClaimCounters& counters() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
