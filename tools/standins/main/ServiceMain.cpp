// service-standin: serves a fake application endpoint that counts executions, for tests and the quickstart.
#include "ApplicationService.h"
#include "RunStandIn.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 selects a free port; the port is printed");
DEFINE_int32(call_time_us, 5'000, "execution time of a call in microseconds");
DEFINE_int32(max_running, 16, "maximum number of running calls");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("an application endpoint for tests: service-standin --port N");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    lentilbay::standins::ApplicationService service(
        { .callTime = std::chrono::microseconds(FLAGS_call_time_us),
            .maxRunning = static_cast<uint32_t>(FLAGS_max_running) });
    return lentilbay::standins::runStandIn("service-standin", FLAGS_port, service);
}
