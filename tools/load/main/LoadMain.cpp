// lentilbay-load: sends the requests of the first users and writes one JSON record for each.
#include "LoadRun.h"
#include "Workload.h"
#include "lentilbay/Invariants/RecordsJson.h"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <stdexcept>

DEFINE_string(daemons, "", "name=address:port of each daemon, separated by commas");
DEFINE_string(user, "both", "whose requests: daejeon, cooperative or both");
DEFINE_string(mix, "", "other shares of the kinds: price-answers=5,line-edits=0");
DEFINE_double(rate, 20, "requests a second");
DEFINE_int32(count, 100, "requests in all");
DEFINE_int32(burst_every_ms, 0, "milliseconds between bursts; 0 for none");
DEFINE_int32(burst_size, 0, "requests of a burst");
DEFINE_uint64(seed, 1, "the same seed sends the same requests");
DEFINE_double(token_scale, 1, "multiplies the tokens of prompts and answers");
DEFINE_double(deadline_scale, 1, "multiplies the deadlines");
DEFINE_double(resend, 0, "part of the keyed requests that is sent twice with the same key");
DEFINE_double(streams, 0.5, "part of the model requests that asks for a stream");
DEFINE_int32(threads, 64, "requests in flight at most");
DEFINE_int32(timeout_ms, 30'000, "a caller leaves after this time");
DEFINE_string(key_prefix, "quickstart-", "the bearer key of an organisation is this and its name");
DEFINE_string(out, "", "file that the records are appended to; standard output where empty");

namespace {

using namespace lentilbay;
using namespace lentilbay::load;

std::vector<DaemonAddress> daemonsOf(const std::string& list)
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

std::vector<RequestKind> kinds()
{
    std::vector<RequestKind> all;
    for (const auto* user : { "daejeon", "cooperative" }) {
        if (FLAGS_user != "both" && FLAGS_user != user)
            continue;
        const auto own = kindsOf(user);
        all.insert(all.end(), own.begin(), own.end());
    }
    if (all.empty())
        kindsOf(FLAGS_user);
    applyMix(all, FLAGS_mix);
    return all;
}

void write(const std::vector<CallerRecord>& records)
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
    const auto requests = planWorkload({ .kinds = kinds(),
        .seed = FLAGS_seed,
        .rate = FLAGS_rate,
        .count = static_cast<size_t>(FLAGS_count),
        .burstEvery = std::chrono::milliseconds(FLAGS_burst_every_ms),
        .burstSize = static_cast<size_t>(FLAGS_burst_size),
        .tokenScale = FLAGS_token_scale,
        .deadlineScale = FLAGS_deadline_scale,
        .resend = FLAGS_resend,
        .streams = FLAGS_streams });
    write(runLoad(requests,
        { .daemons = daemonsOf(FLAGS_daemons),
            .keyPrefix = FLAGS_key_prefix,
            .threads = static_cast<size_t>(FLAGS_threads),
            .timeout = std::chrono::milliseconds(FLAGS_timeout_ms) }));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("sends requests of the first users: lentilbay-load --daemons d1=127.0.0.1:7000");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        run();
    } catch (const std::exception& error) {
        std::cerr << "lentilbay-load: " << error.what() << '\n';
        return 2;
    }
    return 0;
}
