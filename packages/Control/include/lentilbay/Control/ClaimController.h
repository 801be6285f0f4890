// Ensures that requests with an idempotency key run at most once across daemons, using one conditional write
// to the platform's table.
//
// A row names the only process that may dispatch the request, with a nonce. Rows are not leases and are not
// taken over: a daemon that finds the row of another daemon queries that daemon for the outcome and never
// runs the request itself. A claimant that gives up before dispatch marks its nonce as abandoned; only the
// claimant can report this.
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
    /// Address for outcome queries from other daemons, stored in the rows.
    std::string address;
    /// Maximum number of rows written per second, including removals.
    double writesPerSecond = 20;
    uint32_t maxBatch = 25;
    uint32_t maxWritesInFlight = 4;
    Duration storeTimeout = std::chrono::seconds(2);
    /// Validity of a row. Must exceed the deadline of any request.
    Duration retention = std::chrono::hours(24);
    /// How long the outcome of a claim is kept in memory.
    Duration recordLifetime = std::chrono::hours(1);
    uint32_t maxRecords = 100'000;
    /// A holder that has not answered for this long is considered gone.
    Duration holderTimeout = std::chrono::seconds(3);
    Duration queryPeriod = std::chrono::milliseconds(250);
    /// Time between two scans for rows to remove.
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
/// An earlier request at this daemon holds the claim; the caller receives the answer to that request.
struct ClaimFollows {
    RequestId id;
    RequestId earlier;
    bool operator==(const ClaimFollows&) const = default;
};
/// The request never runs here, because another one holds the claim or it could not be claimed. A further
/// decision with the result follows.
struct ClaimHeldElsewhere {
    RequestId id;
    bool operator==(const ClaimHeldElsewhere&) const = default;
};
/// The answer from the daemon that holds the claim.
struct ClaimAnswered {
    RequestId id;
    ClaimReport report;
    bool operator==(const ClaimAnswered&) const = default;
};
struct ClaimRefused {
    RequestId id;
    ResultCode code = ResultCode::InternalError;
    Executed ran = Executed::Unknown;
    bool operator==(const ClaimRefused&) const = default;
};
using ClaimDecision = std::variant<ClaimHeld, ClaimFollows, ClaimHeldElsewhere, ClaimAnswered, ClaimRefused>;

/// Provides the answers of finished requests of this daemon.
class AnswerSource {
public:
    AnswerSource() = default;
    AnswerSource(const AnswerSource&) = delete;
    AnswerSource& operator=(const AnswerSource&) = delete;
    virtual ~AnswerSource() = default;
    /// Returns a report in state Finished, or Running if the answer is still incomplete; nullopt if the
    /// answer is no longer available.
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
    /// `blackboard` and `answers` must outlive the controller.
    ClaimController(Blackboard& blackboard, const AnswerSource& answers, ClaimOptions options);
    ~ClaimController();

    /// Starts to claim the key of a request, which must be done before its dispatch.
    void begin(const ClaimRequest& request, TimePoint now);
    /// Records the outcome of a request of this daemon. `Executed::No` means that it will never be
    /// dispatched.
    void finished(const RequestId& id, ResultCode code, Executed ran, TimePoint now);

    /// Handles the reply to a command in Blackboard::storeOutbox. Ignores replies to other users than Claims.
    void receive(const StoreReply& reply, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const ClaimQuery& query, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const ClaimAnswer& answer, TimePoint now);

    /// `wallNow` is used only to write and compare the time stamps of rows, until the next step.
    void step(TimePoint now, WallTimePoint wallNow);
    TimePoint nextWake() const;

    std::vector<ClaimDecision> takeDecisions();
    const ClaimCounters& counters() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
