// platform-standin: serves fake table, object, weight and host services for tests and the quickstart.
#include "PlatformService.h"
#include "RunStandIn.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 selects a free port; the port is printed");
DEFINE_double(writes_per_second, 500, "rate limit of the table in rows written per second");
DEFINE_double(reads_per_second, 2'000, "rate limit of the table in rows read per second");
DEFINE_double(object_calls_per_second, 2'000, "rate limit of the object store in calls per second");
DEFINE_double(weight_bytes_per_second, 64.0 * 1'048'576, "rate limit of the weight store");
DEFINE_int64(weight_bytes, 1'048'576, "size of each model's weights in bytes");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("the platform's services for tests: platform-standin --port N");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    lentilbay::standins::PlatformService service(
        { .table = { .writesPerSecond = FLAGS_writes_per_second, .readsPerSecond = FLAGS_reads_per_second },
            .objects = { .callsPerSecond = FLAGS_object_calls_per_second },
            .weights = { .bytesPerSecond = FLAGS_weight_bytes_per_second,
                .weightBytes = static_cast<uint64_t>(FLAGS_weight_bytes) } });
    return lentilbay::standins::runStandIn("platform-standin", FLAGS_port, service);
}
