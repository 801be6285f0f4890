// lentilbay-load: sends the requests of the example deployments and writes one JSON record per request.
#include "LoadRun.h"
#include "Workload.h"
#include "lentilbay/Invariants/RecordsJson.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <stdexcept>

DEFINE_string(daemons, "", "comma-separated list of daemons, each as name=address:port");
DEFINE_string(user, "both", "example deployment whose requests are sent: daejeon, cooperative or both");
DEFINE_string(mix, "", "shares that replace the default ones: price-answers=5,line-edits=0");
DEFINE_double(rate, 20, "mean arrivals per second");
DEFINE_int32(count, 100, "total number of requests");
DEFINE_int32(burst_every_ms, 0, "milliseconds between bursts");
DEFINE_int32(burst_size, 0, "requests per burst; 0 for no bursts");
DEFINE_uint64(seed, 1, "seed of the workload; equal seeds and options give equal requests");
DEFINE_double(token_scale, 1, "factor on the token counts of prompts and answers");
DEFINE_double(deadline_scale, 1, "factor on the deadlines");
DEFINE_double(resend, 0, "fraction of requests with an idempotency key that are sent twice");
DEFINE_double(streams, 0.5, "fraction of the model requests that ask for a streamed answer");
DEFINE_int32(threads, 64, "maximum number of requests in flight");
DEFINE_int32(timeout_ms, 30'000, "milliseconds after which a client closes its connection");
DEFINE_string(key_prefix, "quickstart-", "an API key is this prefix and the organisation's name");
DEFINE_string(out, "", "file to which the records are appended; standard output if empty");

namespace {

using namespace lentilbay;
using namespace lentilbay::load;

std::vector<DaemonAddress> parseDaemons(const std::string& list)
{
    std::vector<DaemonAddress> daemons;
    std::stringstream parts(list);
    for (std::string part; std::getline(parts, part, ',');) {
        const auto equals = part.find('=');
        if (equals == std::string::npos)
            throw std::invalid_argument("not name=address:port: " + part);
        daemons.push_back({ .name = part.substr(0, equals), .address = part.substr(equals + 1) });
    }
    if (daemons.empty())
        throw std::invalid_argument("--daemons is required");
    return daemons;
}

std::vector<RequestKind> selectedKinds()
{
    std::vector<RequestKind> all;
    for (const auto* user : { "daejeon", "cooperative" }) {
        if (FLAGS_user != "both" && FLAGS_user != user)
            continue;
        const auto userKinds = requestKindsOf(user);
        all.insert(all.end(), userKinds.begin(), userKinds.end());
    }
    if (all.empty())
        requestKindsOf(FLAGS_user);
    applyMix(all, FLAGS_mix);
    return all;
}

void writeRecords(const std::vector<CallerRecord>& records)
{
    std::ofstream file;
    if (!FLAGS_out.empty())
        file.open(FLAGS_out, std::ios::app);
    auto& out = FLAGS_out.empty() ? std::cout : file;
    for (const auto& it : records)
        out << printJson(it) << '\n';
    out.flush();
    if (!out)
        throw std::runtime_error(FLAGS_out + " cannot be written");
}

void run()
{
    if (FLAGS_rate <= 0 || FLAGS_count <= 0 || FLAGS_threads <= 0)
        throw std::invalid_argument("--rate, --count and --threads must be positive");
    const auto requests = planWorkload({ .kinds = selectedKinds(),
        .seed = FLAGS_seed,
        .rate = FLAGS_rate,
        .count = static_cast<size_t>(FLAGS_count),
        .burstEvery = std::chrono::milliseconds(FLAGS_burst_every_ms),
        .burstSize = static_cast<size_t>(FLAGS_burst_size),
        .tokenScale = FLAGS_token_scale,
        .deadlineScale = FLAGS_deadline_scale,
        .resend = FLAGS_resend,
        .streams = FLAGS_streams });
    writeRecords(runLoad(requests,
        { .daemons = parseDaemons(FLAGS_daemons),
            .keyPrefix = FLAGS_key_prefix,
            .threads = static_cast<size_t>(FLAGS_threads),
            .timeout = std::chrono::milliseconds(FLAGS_timeout_ms) }));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "sends requests of the example deployments: lentilbay-load --daemons d1=127.0.0.1:7000");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        run();
    } catch (const std::exception& error) {
        std::cerr << "lentilbay-load: " << error.what() << '\n';
        return 2;
    }
    return 0;
}
