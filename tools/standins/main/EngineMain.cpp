// engine-standin: a model engine's HTTP interface over a fake engine, for tests and the quickstart.
#include "EngineService.h"
#include "RunStandIn.h"

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0 takes a free one and prints it");
DEFINE_double(prefill_tokens_per_second, 20'000, "prompt tokens read in a second");
DEFINE_int32(decode_step_us, 10'000, "microseconds between two tokens up to the knee");
DEFINE_int32(knee, 16, "requests that decode together without slowing each other");
DEFINE_double(slowdown_past_knee, 0.1, "part of the step that each request past the knee adds");
DEFINE_int32(max_running, 64, "requests that run at once");
DEFINE_int64(kv_tokens, 400'000, "tokens that running requests and the prefix cache share");
DEFINE_bool(checks_fencing, false, "whether orders with an old fencing number are refused");

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
