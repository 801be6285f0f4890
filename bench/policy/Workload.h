// Two workloads for 18 engines and 3 application endpoints; loads are multiples of the engines' capacity.
#pragma once

#include "lentilbay/Fakes/EngineModel.h"
#include "lentilbay/Model/Configuration.h"
#include "lentilbay/Model/Request.h"

#include <string>
#include <vector>

namespace lentilbay::bench {

using fakes::EngineEnd;
using fakes::EngineLoad;
using fakes::EngineModel;
using fakes::EngineOptions;
using fakes::EngineOutput;

/// Requests to one service in one tier. Their lengths are log-normal, and a fraction arrives in bursts.
struct RequestClass {
    ServiceId service;
    TierId tier;
    /// The fraction of all engine work that this class requests.
    double share = 0;
    /// The median lengths in tokens; a prompt median of 0 marks a class of a plain service.
    double promptMedian = 0;
    double answerMedian = 0;
    /// The standard deviation of the logarithm of both lengths.
    double sigma = 0;
    /// The fraction of the median prompt that all requests of an organisation have as a common prefix.
    double sharedPrefix = 0;
    /// A request's deadline is this plus twice its service time on an otherwise idle reference engine.
    double deadlineSeconds = 0;
    /// The fraction of requests that arrive in bursts, and the mean number of requests in a burst.
    double burstFraction = 0;
    double burstSize = 1;
};

struct Workload {
    std::string name;
    Configuration configuration;
    /// One for each endpoint of the configuration, in the same order; the last 3 are application endpoints.
    std::vector<EngineOptions> engines;
    std::vector<RequestClass> classes;
};

/// One request of a run, with properties that the scheduler does not see.
struct BenchRequest {
    Arrival arrival;
    TimePoint at {};
    TimePoint deadline {};
    int rank = 0;
    double weight = 1;
    uint32_t answerTokens = 1;
    uint32_t sharedTokens = 0;
    /// Whether the service is plain, that is an application endpoint serves it.
    bool isPlain = false;
    /// The minimum work in engine-seconds of the reference engine; 0 for a plain service.
    double work = 0;
};

/// A temporary slowdown of one engine by `factor`.
struct Slowdown {
    size_t engine = 0;
    TimePoint from {};
    TimePoint until {};
    double factor = 1;
};

struct Scenario {
    std::vector<BenchRequest> requests;
    std::vector<Slowdown> slowdowns;
    Duration length {};
};

/// Tiers follow what organisations are promised, not the length of requests: the two higher tiers hold
/// requests of different lengths.
Workload daejeon();
Workload cooperative();
/// Returns the workload with one tier for each model service; the one with the shortest requests has the
/// highest tier.
Workload withTiersByService(Workload workload);

/// Generates requests that arrive within `length` and whose total work is `load` times the engines' capacity
/// in that time.
Scenario makeScenario(const Workload& workload, double load, Duration length, uint64_t seed);

/// The speed of an engine relative to the reference engine.
double speedOf(const EngineOptions& options);

} // namespace lentilbay::bench
