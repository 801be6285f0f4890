// A scenario as values: what to start, what to send, what goes wrong when, and what must come of it.
#pragma once

#include "Workload.h"
#include "lentilbay/Invariants/Checker.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay::scenario {

struct DaemonSpec {
    std::string name;
    std::string region = "chungcheong";
    std::string dataCentre = "chungcheong-1";
};

struct EndpointSpec {
    std::string name;
    bool engine = true;
    std::vector<std::string> services;
    std::string region = "chungcheong";
    std::string dataCentre = "chungcheong-1";
    uint32_t slots = 8;
    /// Only of engines.
    double prefillTokensPerSecond = 20'000;
    Duration decodeStep = std::chrono::milliseconds(2);
    uint64_t kvTokens = 200'000;
    /// Only of application endpoints.
    Duration callTime = std::chrono::milliseconds(5);
};

/// The platform's services in one process. Daemons of a scenario without them take their configuration from a
/// file and claim no keys.
struct PlatformSpec {
    double writesPerSecond = 500;
    double readsPerSecond = 2'000;

    bool operator==(const PlatformSpec&) const = default;
};

struct LoadSpec {
    /// From the start of the run.
    Duration from {};
    load::WorkloadOptions workload;
    /// The daemons that it goes to; all where empty.
    std::vector<std::string> daemons;
    Duration timeout = std::chrono::seconds(30);
};

/// Something that is done to a process or a stand-in at a time of the run.
struct Action {
    enum class Kind : uint8_t {
        Kill,
        Pause,
        Resume,
        Stop,
        Restart,
        /// Sets faults at an endpoint's stand-in.
        Control,
        /// Sets faults at the platform's stand-in.
        Platform,
        /// An operator submits the next version.
        Apply,
    };

    Kind kind = Kind::Kill;
    Duration at {};
    /// A daemon; for Control an endpoint; for Apply the daemon that the operator calls.
    std::string subject;
    /// Of Control and Platform: the JSON for /control.
    std::string faults;
    /// Whether the action is a fault that the checker may take as an excuse, and how long it lasts.
    bool isFault = false;
    /// Nothing where it lasts to the end.
    std::optional<Duration> lasts;

    bool operator==(const Action&) const = default;
};

/// Bounds on one count or share of the run.
struct Expectation {
    enum class Kind : uint8_t {
        /// The part of a tier's requests that got a whole answer in time, 0 to 1.
        Goodput,
        /// Requests that ended so: "answered", "refused", "lost", "left" or a result code.
        Outcome,
        /// The part of all prefill that was wasted, 0 to 1.
        WastedPrefill,
        /// Dispatches that reached an endpoint.
        Dispatches,
        /// The median time of one service is below that of another.
        Sooner,
        /// Changes of the configuration that were reported as accepted, the first one included.
        Accepted,
    };

    Kind kind = Kind::Outcome;
    /// The tier, the outcome, the endpoint or the sooner service.
    std::string subject;
    /// Of Outcome the service that it is limited to, or empty; of Sooner the later service.
    std::string other;
    std::optional<double> least;
    std::optional<double> most;
    /// Of the script.
    int line = 0;

    bool operator==(const Expectation&) const = default;
};

struct Scenario {
    std::string name;
    std::vector<DaemonSpec> daemons;
    std::optional<PlatformSpec> platform;
    std::vector<EndpointSpec> endpoints;
    std::vector<LoadSpec> loads;
    std::vector<Action> actions;
    std::vector<Expectation> expectations;
    CheckOptions options { .idleOverhead = std::chrono::milliseconds(50),
        .answerDelay = std::chrono::milliseconds(50) };
};

} // namespace lentilbay::scenario
