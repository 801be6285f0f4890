// service-standin: an application endpoint for tests and the quickstart, which counts what it runs.
#include "ApplicationService.h"
#include "RunStandIn.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 takes a free one and prints it");
DEFINE_int32(call_time_us, 5'000, "microseconds that a call takes");
DEFINE_int32(max_running, 16, "calls that run at once");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("an application endpoint for tests: service-standin --port N");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    lentilbay::standins::ApplicationService service(
        { .callTime = std::chrono::microseconds(FLAGS_call_time_us),
            .maxRunning = static_cast<uint32_t>(FLAGS_max_running) });
    return lentilbay::standins::runStandIn("service-standin", FLAGS_port, service);
}
