// Keeps this daemon's configuration up to date, proposes changes, and tracks their acceptance.
//
// The newest version is stored in one row of the table, the head, which is updated by compare-and-swap; the
// row of each version holds its difference from the one before. One daemon of each data centre, the
// coordinator, polls the head and distributes new versions. Each daemon acknowledges a floor, a version below
// which it starts no more work; a change is accepted when the floors of all daemons in the roster have
// reached it. docs/design/Acceptance.md explains why no accepted version is ever reverted.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/ConfigurationMessages.h"
#include "lentilbay/Control/ConfigurationRoster.h"
#include "lentilbay/Support/Ini.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay {

struct ConfigurationOptions {
    uint64_t seed = 1;
    /// Where other daemons reach this one.
    std::string address;
    /// Greater than that of every earlier process with the same name.
    uint64_t incarnation = 1;
    /// How often the coordinator of a data centre reads the head and how often reports are sent.
    Duration pollPeriod = std::chrono::seconds(1);
    /// How long a confirmation that the version is the newest is valid; without one, a quorum of reachable
    /// daemons is needed.
    Duration freshnessPeriod = std::chrono::seconds(3);
    /// How long a newer version may be known but not in force before the daemon stops taking new work.
    Duration applyGracePeriod = std::chrono::seconds(2);
    /// How long acknowledgements must have been in the table before they can exclude a silent daemon. Greater
    /// than twice the sum of freshnessPeriod and applyGracePeriod, with a margin for clock drift.
    Duration exclusionDelay = std::chrono::seconds(9);
    Duration storeTimeout = std::chrono::seconds(2);
    /// The maximum delay between retries while the platform is unavailable.
    Duration maxBackoff = std::chrono::seconds(8);
    /// A snapshot of the document is put into the object store every this many versions.
    uint64_t snapshotInterval = 32;
};

struct ConfigurationChange {
    /// Unique, chosen by the operator's command; the same change may be submitted any number of times.
    std::string id;
    std::string document;
    uint64_t expectedVersion = 0;
    std::string operatorName;
    /// UTC, in human-readable form.
    std::string time;
};

enum class ChangeOutcome : uint8_t {
    /// Not known yet: a write may have taken effect, or the platform has not answered.
    Unresolved,
    Committed,
    /// The document equals the current one.
    Unchanged,
    Conflict,
    /// The document is invalid; see ChangeState::faults.
    Refused,
    /// Nothing was written before the change timed out.
    Unavailable,
};

struct ChangeState {
    ChangeOutcome outcome = ChangeOutcome::Unresolved;
    /// The version of the change if it is committed, otherwise the current version.
    uint64_t version = 0;
    Diagnostics faults;
};

/// How many daemons have acknowledged the newest version.
struct AcceptanceProgress {
    /// All daemons of the roster start work only under this version or a later one.
    uint64_t accepted = 0;
    uint64_t newest = 0;
    uint64_t daemons = 0;
    uint64_t acknowledged = 0;
    /// The daemons that may still start work under an older version than the newest.
    std::vector<RosterMember> waiting;
};

/// One version in the history.
struct VersionEntry {
    ConfigurationHead head;
    std::string operatorName;
    std::string time;
};

/// Receives std::nullopt if the platform does not answer.
using HistoryCallback = std::function<void(std::optional<std::vector<VersionEntry>>)>;
using DocumentCallback = std::function<void(std::optional<std::string>)>;

class ConfigurationController {
public:
    /// The blackboard must outlive the controller. This daemon takes no new work until a version is in force.
    ConfigurationController(Blackboard& blackboard, ConfigurationOptions options, TimePoint now);
    ~ConfigurationController();

    void receive(
        const DaemonId& from, const std::string& address, const ConfigurationReport& report, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const HeadNotice& notice, TimePoint now);
    void receive(
        const DaemonId& from, const std::string& address, const DocumentRequest& request, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const DocumentReply& reply, TimePoint now);
    void receive(const StoreReply& reply, TimePoint now);

    void step(TimePoint now);
    TimePoint nextWake() const;

    /// Starts a change, or continues the one with the same id.
    void propose(const ConfigurationChange& change, TimePoint now);
    /// Returns std::nullopt if this daemon knows no change with this id.
    std::optional<ChangeState> changeState(const std::string& id) const;

    /// Keeps the progress up to date until the given time.
    void watchAcceptance(TimePoint until, TimePoint now);
    const AcceptanceProgress& progress() const;

    /// Reads up to `limit` versions in descending order from the newest.
    void readHistory(uint64_t limit, HistoryCallback callback);
    /// Reads the document of one version.
    void readVersion(uint64_t version, DocumentCallback callback);

    /// The document in force, in canonical form.
    const std::string& document() const;
    /// The newest version known to this daemon.
    const ConfigurationHead& head() const;
    const ConfigurationHead& inForce() const;

    /// Fences this daemon permanently and removes it from the roster.
    void announceStopped(TimePoint now);
    bool isOffRoster() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
