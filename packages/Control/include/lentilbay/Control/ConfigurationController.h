// Keeps this daemon's configuration the newest one, proposes changes, and learns when they are accepted.
//
// The newest version stands in one row of the table, which changes move by compare-and-swap; each version's
// row holds its difference from the one before. One daemon of each data centre polls the head and passes new
// versions on. Every daemon says which versions it starts no work under any more; a change is accepted when
// this holds for all daemons of the roster. docs/design/Acceptance.md explains why nothing ever reverts.
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
    /// Greater than that of each earlier process under the same name.
    uint64_t incarnation = 1;
    /// How often the head is read by the daemon that does so for its data centre, and reports are sent.
    Duration pollPeriod = std::chrono::seconds(1);
    /// A version that was not confirmed as the newest for so long needs a quorum of daemons in sight.
    Duration freshness = std::chrono::seconds(3);
    /// How long a newer version may be known and not in force before the daemon takes no new work.
    Duration applyGrace = std::chrono::seconds(2);
    /// How long acknowledgements must have stood before they count a silent daemon out. Greater than twice
    /// the freshness and the grace together, with a margin for clocks that run unequally.
    Duration countOutDelay = std::chrono::seconds(9);
    Duration storeTimeout = std::chrono::seconds(2);
    /// The longest pause between attempts while the platform is away.
    Duration longestPause = std::chrono::seconds(8);
    /// A document is put into the object store each so many versions.
    uint64_t snapshotInterval = 32;
};

struct ConfigurationChange {
    /// Chosen by the operator's command and unique; the same change may be submitted any number of times.
    std::string id;
    std::string document;
    uint64_t expectedVersion = 0;
    std::string operatorName;
    /// UTC, as text for people.
    std::string time;
};

enum class ChangeOutcome : uint8_t {
    /// Not known yet; a write may have taken effect, or the platform has not answered.
    Unresolved,
    Committed,
    /// The document is the present one already.
    Unchanged,
    Conflict,
    /// The document has faults.
    Refused,
    /// Nothing was written.
    Unavailable,
};

struct ChangeState {
    ChangeOutcome outcome = ChangeOutcome::Unresolved;
    /// The version that the change became, or the present one.
    uint64_t version = 0;
    Diagnostics faults;
};

/// How far the newest version has got.
struct AcceptanceProgress {
    /// Every daemon of the roster starts work under this version or a later one alone.
    uint64_t accepted = 0;
    uint64_t newest = 0;
    uint64_t daemons = 0;
    uint64_t acknowledged = 0;
    /// Those that may still start work under an older version.
    std::vector<RosterMember> waiting;
};

/// A version in the history.
struct VersionEntry {
    ConfigurationHead head;
    std::string operatorName;
    std::string time;
};

/// Nothing where the platform does not answer.
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

    /// Begins a change, or goes on with the one of the same id.
    void propose(const ConfigurationChange& change, TimePoint now);
    /// Nothing where no change with this id is known here.
    std::optional<ChangeState> changeState(const std::string& id) const;

    /// Keeps the progress up to date until then.
    void watchAcceptance(TimePoint until, TimePoint now);
    const AcceptanceProgress& progress() const;

    /// The versions from the newest downwards.
    void readHistory(uint64_t limit, HistoryCallback callback);
    /// The document of a version.
    void readVersion(uint64_t version, DocumentCallback callback);

    /// The document in force, in canonical form.
    const std::string& document() const;
    /// The newest version that this daemon knows of.
    const ConfigurationHead& head() const;
    const ConfigurationHead& inForce() const;

    /// Fences this daemon for good and takes it off the roster.
    void announceStopped(TimePoint now);
    bool isOffRoster() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay
