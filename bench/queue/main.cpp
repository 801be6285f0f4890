// queue-bench: compares the queue of the edge plane with the former one in virtual time.
#include "QueueFleet.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>
#include <sstream>
#include <vector>

DEFINE_string(loads, "0.7,1,1.3,2", "comma-separated loads as multiples of the endpoints' capacity");
DEFINE_string(daemons, "85", "comma-separated numbers of daemons");
DEFINE_int32(endpoints, 90, "number of endpoints of 8 slots each");
DEFINE_int32(seeds, 1, "number of seeds, starting at 1; the counts are summed");
DEFINE_int32(seconds, 10, "length of the measured period in seconds of virtual time");
DEFINE_bool(uneven, true, "whether daemons differ in the rate of their arrivals by a factor of up to 10");
DEFINE_string(queues, "former,new", "which queues");

namespace lentilbay::bench {
namespace {

template <class T> std::vector<T> listOf(const std::string& text)
{
    std::vector<T> out;
    std::istringstream in(text);
    for (std::string each; std::getline(in, each, ',');) {
        T value {};
        std::istringstream(each) >> value;
        out.push_back(value);
    }
    return out;
}

void add(FleetResult& sum, const FleetResult& it)
{
    for (size_t i = 0; i < sum.ranks.size(); ++i) {
        auto& to = sum.ranks[i];
        const auto& from = it.ranks[i];
        to.arrived += from.arrived;
        to.inTime += from.inTime;
        to.late += from.late;
        to.refused += from.refused;
        to.longestHold = std::max(to.longestHold, from.longestHold);
        to.heldRefusals += from.heldRefusals;
        to.refusals += from.refusals;
        for (size_t size = 0; size < to.inTimeBySize.size(); ++size) {
            to.inTimeBySize[size] += from.inTimeBySize[size];
            to.arrivedBySize[size] += from.arrivedBySize[size];
        }
        to.retries += from.retries;
        to.retriesInTime += from.retriesInTime;
    }
    sum.utilisation += it.utilisation / FLAGS_seeds;
    sum.refusedWhileLowerServed += it.refusedWhileLowerServed;
    sum.rejectedSends += it.rejectedSends;
}

void print(size_t daemons, double load, const std::string& queue, const FleetResult& result)
{
    for (size_t rank = 0; rank < result.ranks.size(); ++rank) {
        const auto& it = result.ranks[rank];
        const auto part = [](double n, double of) { return n / std::max(1.0, of); };
        std::printf("%3zu daemons load %.1f %-6s rank %zu: in time %.3f (%.2f %.2f %.2f by size) late %.3f "
                    "refused %.3f, longest hold %5.0f "
                    "ms, %.3f of refusals after an eighth, %.3f of retries in time\n",
            daemons, load, queue.c_str(), rank, part(it.inTime, it.arrived),
            part(it.inTimeBySize[0], it.arrivedBySize[0]), part(it.inTimeBySize[1], it.arrivedBySize[1]),
            part(it.inTimeBySize[2], it.arrivedBySize[2]), part(it.late, it.arrived),
            part(it.refused, it.arrived), toMilliseconds(it.longestHold), part(it.heldRefusals, it.refusals),
            part(it.retriesInTime, it.retries));
    }
    std::printf("%3zu daemons load %.1f %-6s used %.3f, rejected sends %.0f, rank 0 refused while lower "
                "served %.0f\n",
        daemons, load, queue.c_str(), result.utilisation, result.rejectedSends,
        result.refusedWhileLowerServed);
}

void runAll()
{
    for (const auto daemons : listOf<size_t>(FLAGS_daemons)) {
        for (const auto load : listOf<double>(FLAGS_loads)) {
            for (const auto& queue : listOf<std::string>(FLAGS_queues)) {
                FleetResult sum;
                for (int seed = 1; seed <= FLAGS_seeds; ++seed)
                    add(sum,
                        runFleet({ .isFormer = queue == "former",
                            .daemons = daemons,
                            .endpoints = static_cast<size_t>(FLAGS_endpoints),
                            .load = load,
                            .isUneven = FLAGS_uneven,
                            .seed = static_cast<uint64_t>(seed),
                            .length = std::chrono::seconds(FLAGS_seconds) }));
                print(daemons, load, queue, sum);
                std::fflush(stdout);
            }
        }
    }
}

} // namespace
} // namespace lentilbay::bench

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    lentilbay::bench::runAll();
    return 0;
}
