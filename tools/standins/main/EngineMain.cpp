// engine-standin: serves the HTTP interface of a model engine from a fake engine, for tests and the
// quickstart.
#include "EngineService.h"
#include "RunStandIn.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 selects a free port; the port is printed");
DEFINE_double(prefill_tokens_per_second, 20'000, "prompt tokens processed per second");
DEFINE_int32(decode_step_us, 10'000, "microseconds per decode step with at most --knee running requests");
DEFINE_int32(knee, 16, "running requests up to which the decode step stays constant");
DEFINE_double(slowdown_past_knee, 0.1, "fraction of a decode step added by each request above --knee");
DEFINE_int32(max_running, 64, "maximum number of running requests");
DEFINE_int64(kv_tokens, 400'000, "KV cache capacity in tokens, including the prefix cache");
DEFINE_bool(checks_fencing, false, "refuse orders with a stale fencing token");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("a model engine for tests: engine-standin --port N");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    lentilbay::standins::EngineService service({ .prefillTokensPerSecond = FLAGS_prefill_tokens_per_second,
        .decodeStep = std::chrono::microseconds(FLAGS_decode_step_us),
        .knee = static_cast<uint32_t>(FLAGS_knee),
        .slowdownPastKnee = FLAGS_slowdown_past_knee,
        .maxRunning = static_cast<uint32_t>(FLAGS_max_running),
        .kvTokens = static_cast<uint64_t>(FLAGS_kv_tokens),
        .checksFencing = FLAGS_checks_fencing });
    return lentilbay::standins::runStandIn("engine-standin", FLAGS_port, service);
}
