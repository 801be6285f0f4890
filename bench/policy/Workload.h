// The two users' workloads, scaled to a part of the capacity of their 18 engines and 3 application endpoints.
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

/// Requests of one kind: sizes are log-normal, a part of them comes in bursts.
struct RequestClass {
    ServiceId service;
    TierId tier;
    /// Its part of all work.
    double share = 0;
    double promptMedian = 0;
    double answerMedian = 0;
    /// The spread of the logarithms of both.
    double sigma = 0;
    /// The part of the prompt that all requests of an organisation share.
    double sharedPrefix = 0;
    /// Each request has so long and twice the time that it takes alone on an engine of the usual speed.
    double deadlineSeconds = 0;
    /// The part of its requests that comes in bursts, and the mean size of these.
    double burstPart = 0;
    double burstSize = 1;
};

struct Workload {
    std::string name;
    Configuration configuration;
    /// As many as the configuration has endpoints, in their order.
    std::vector<EngineOptions> engines;
    std::vector<RequestClass> classes;
};

/// One request of a run, with what only the bench knows.
struct BenchRequest {
    Arrival arrival;
    TimePoint at {};
    TimePoint deadline {};
    int rank = 0;
    double weight = 1;
    uint32_t answerTokens = 1;
    uint32_t sharedTokens = 0;
    bool isPlain = false;
    /// The least seconds of an engine of the usual speed that it takes; 0 for a plain service.
    double work = 0;
};

/// An engine that is slow for a while.
struct Straggling {
    size_t engine = 0;
    TimePoint from {};
    TimePoint until {};
    double factor = 1;
};

struct Scenario {
    std::vector<BenchRequest> requests;
    std::vector<Straggling> stragglings;
    Duration length {};
};

/// Tiers belong to organisations' promises, so the two higher ones hold requests of all lengths.
Workload daejeon();
Workload cooperative();
/// The same requests where each service has a tier of its own, the shortest the highest.
Workload withTiersByService(Workload workload);

/// Requests that arrive within `length` and together are `load` times what the engines could do in it.
Scenario makeScenario(const Workload& workload, double load, Duration length, uint64_t seed);

/// The speed of an engine against the usual one.
double speedOf(const EngineOptions& options);

} // namespace lentilbay::bench
