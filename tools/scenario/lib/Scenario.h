// The data model of a scenario: processes to start, loads to send, timed actions and expectations.
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
    /// Engines only.
    double prefillTokensPerSecond = 20'000;
    Duration decodeStep = std::chrono::milliseconds(2);
    uint64_t kvTokens = 200'000;
    /// Application endpoints only.
    Duration callTime = std::chrono::milliseconds(5);
};

/// The platform's stores in one stand-in process. Without them daemons read their configuration from a file
/// and cannot claim idempotency keys.
struct PlatformSpec {
    double writesPerSecond = 500;
    double readsPerSecond = 2'000;

    bool operator==(const PlatformSpec&) const = default;
};

struct LoadSpec {
    /// Offset from the start of the run.
    Duration from {};
    load::WorkloadOptions workload;
    /// The daemons that receive the load; empty means all.
    std::vector<std::string> daemons;
    Duration timeout = std::chrono::seconds(30);
};

/// An operation on a daemon process or a stand-in at a given time of the run.
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
        /// Submits a new version of the configuration.
        Apply,
    };

    Kind kind = Kind::Kill;
    /// Offset from the start of the run.
    Duration at {};
    /// A daemon; for Control an endpoint; for Platform a store; for Apply the daemon that receives the
    /// submission.
    std::string subject;
    /// For Control and Platform: the JSON body of the request to /control.
    std::string faults;
    /// Whether the action is recorded as a fault, which the invariant checker takes into account.
    bool isFault = false;
    /// How long the fault lasts; empty means until the end of the run.
    std::optional<Duration> duration;

    bool operator==(const Action&) const = default;
};

/// Bounds on one measured quantity of the run.
struct Expectation {
    enum class Kind : uint8_t {
        /// The share of a tier's requests that got a complete answer in time, 0 to 1.
        Goodput,
        /// The number of requests with an outcome: "answered", "refused", "lost", "left" or a result code.
        Outcome,
        /// The share of all prefill that was wasted, 0 to 1.
        WastedPrefill,
        /// The number of dispatches that reached an endpoint.
        Dispatches,
        /// The median response time of one service is below that of another.
        Sooner,
        /// The number of configurations that were reported as accepted, including the first one.
        Accepted,
    };

    Kind kind = Kind::Outcome;
    /// The tier, the outcome, the endpoint or the faster service.
    std::string subject;
    /// For Outcome the service to count, or empty for all; for Sooner the slower service.
    std::string service;
    std::optional<double> least;
    std::optional<double> most;
    /// Line number in the script.
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
