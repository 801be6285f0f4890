// bench-path: what the way through one daemon thread costs against calling the endpoint directly, in one run.
//
// The yardstick is a bare RESTinio responder on one thread. Exits 1 where a bound is missed.
#include "Daemon.h"
#include "EndpointLoads.h"
#include "LoadClient.h"
#include "Responder.h"
#include "lentilbay/Support/Secret.h"

#include <algorithm>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <pthread.h>
#include <thread>

DEFINE_uint64(answers, 60'000, "answers in each throughput run");
DEFINE_uint64(rounds, 3, "how often each pair of runs is repeated; the middle ratio counts");
DEFINE_uint32(stream_tokens, 2'000, "tokens of one stream");

namespace lentilbay {
namespace {

constexpr auto key = "sk-bench";
constexpr size_t throughputConnections = 64;
constexpr double latencyRate = 1'000;
constexpr size_t latencyAnswers = 5'000;
constexpr size_t streams = 96;
constexpr double leastThroughputRatio = 0.3;
constexpr Duration mostAddedMedian = std::chrono::microseconds { 400 };
constexpr double leastTokensPerCoreSecond = 200'000;

/// A daemon on a thread of its own before the responders.
class BenchDaemon {
public:
    explicit BenchDaemon(const std::vector<const Responder*>& responders)
    {
        Settings settings;
        settings.daemon = { .name = "d1", .region = "r", .dataCentre = "c", .leavingNotice = Duration {} };
        m_daemon = std::make_unique<Daemon>(settings);
        applyConfiguration(m_daemon->blackboard(), configurationFor(responders));
        m_daemon->add(std::make_unique<EndpointLoads>(*m_daemon));
        m_thread = std::thread([this] {
            pthread_setname_np(pthread_self(), "daemon");
            m_daemon->run();
        });
        while (m_daemon->callersPort() == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
        std::this_thread::sleep_for(std::chrono::seconds { 2 }); // until the slots are granted
    }
    BenchDaemon(const BenchDaemon&) = delete;
    BenchDaemon& operator=(const BenchDaemon&) = delete;

    ~BenchDaemon()
    {
        m_daemon->callAfter(Duration {}, [this] { m_daemon->drain(); });
        m_thread.join();
    }

    uint16_t port() const { return m_daemon->callersPort(); }

    Duration processorTime()
    {
        clockid_t clock = 0;
        pthread_getcpuclockid(m_thread.native_handle(), &clock);
        timespec time {};
        clock_gettime(clock, &time);
        return std::chrono::duration_cast<Duration>(
            std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec });
    }

private:
    static std::shared_ptr<const Configuration> configurationFor(
        const std::vector<const Responder*>& responders)
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->version = 1;
        configuration->tiers = { { .name = TierId("t"), .rank = 0 } };
        configuration->organisations = { { .name = OrganisationId("o"),
            .keys = { { .label = "a", .hash = hashKey(key) } },
            .tiers = { TierId("t") } } };
        configuration->services = { { .name = ServiceId("m1") } };
        for (const auto* it : responders)
            configuration->endpoints.push_back({ .name = EndpointId("e" + std::to_string(it->port())),
                .host = "127.0.0.1",
                .port = it->port(),
                .region = RegionId("r"),
                .dataCentre = DataCentreId("c"),
                .services = { ServiceId("m1") },
                .slots = 1000,
                .kvTokens = 1'000'000'000 });
        return configuration;
    }

    std::unique_ptr<Daemon> m_daemon;
    std::thread m_thread;
};

std::string request(bool stream)
{
    const std::string body
        = fmt::format(R"({{"model":"m1","stream":{},"max_tokens":{},"prompt":"what is the price of a lot"}})",
            stream, stream ? FLAGS_stream_tokens : 16);
    return fmt::format("POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {}\r\n"
                       "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
        key, body.size(), body);
}

LoadOptions plainLoad(uint16_t port)
{
    return { .port = port,
        .request = request(false),
        .end = "}}",
        .connections = throughputConnections,
        .answers = FLAGS_answers };
}

double middle(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

bool benchThroughput(const Responder& responder, BenchDaemon& daemon)
{
    std::vector<double> ratios;
    std::vector<double> processorRatios;
    for (uint64_t i = 0; i < FLAGS_rounds; ++i) {
        const auto responderBefore = responder.processorTime();
        const auto direct = runLoad(plainLoad(responder.port()));
        const auto directTime = responder.processorTime() - responderBefore;
        const auto daemonBefore = daemon.processorTime();
        const auto through = runLoad(plainLoad(daemon.port()));
        const auto throughTime = daemon.processorTime() - daemonBefore;
        ratios.push_back(through.perSecond() / direct.perSecond());
        processorRatios.push_back(toSeconds(directTime) / toSeconds(throughTime));
        fmt::print("throughput: bare {:.0f}/s ({:.1f} us of processor each), through the daemon {:.0f}/s "
                   "({:.1f} us)\n",
            direct.perSecond(), 1e6 * toSeconds(directTime) / static_cast<double>(FLAGS_answers),
            through.perSecond(), 1e6 * toSeconds(throughTime) / static_cast<double>(FLAGS_answers));
    }
    const auto ratio = middle(ratios);
    fmt::print(
        "throughput ratio: {:.3f} (bound: at least {}); by processor time of the two threads: {:.3f}\n",
        ratio, leastThroughputRatio, middle(processorRatios));
    return ratio >= leastThroughputRatio;
}

bool benchLatency(const Responder& responder, const BenchDaemon& daemon)
{
    std::vector<double> added;
    for (uint64_t i = 0; i < FLAGS_rounds; ++i) {
        auto load = plainLoad(responder.port());
        load.rate = latencyRate;
        load.answers = latencyAnswers;
        const auto direct = runLoad(load);
        load.port = daemon.port();
        const auto through = runLoad(load);
        added.push_back(toMilliseconds(through.quantile(0.5) - direct.quantile(0.5)));
        fmt::print("latency at {:.0f}/s: direct median {:.3f} ms, 99 in 100 {:.3f} ms; through the daemon "
                   "{:.3f} ms, "
                   "{:.3f} ms\n",
            latencyRate, toMilliseconds(direct.quantile(0.5)), toMilliseconds(direct.quantile(0.99)),
            toMilliseconds(through.quantile(0.5)), toMilliseconds(through.quantile(0.99)));
    }
    fmt::print(
        "added median: {:.3f} ms (bound: less than {} ms)\n", middle(added), toMilliseconds(mostAddedMedian));
    return middle(added) < toMilliseconds(mostAddedMedian);
}

bool benchStreams(BenchDaemon& daemon)
{
    std::vector<double> rates;
    for (uint64_t i = 0; i < FLAGS_rounds; ++i) {
        const auto before = daemon.processorTime();
        const auto result = runLoad({ .port = daemon.port(),
            .request = request(true),
            .end = "data: [DONE]\n\n",
            .connections = streams,
            .answers = 2 * streams });
        const auto used = toSeconds(daemon.processorTime() - before);
        const auto tokens = static_cast<double>(result.latencies.size()) * FLAGS_stream_tokens;
        rates.push_back(tokens / used);
        fmt::print("streams: {:.0f} tokens/s, {:.2f} of a core\n", tokens / toSeconds(result.elapsed),
            used / toSeconds(result.elapsed));
    }
    fmt::print("relayed tokens per second of a core: {:.0f} (bound: at least {:.0f})\n", middle(rates),
        leastTokensPerCoreSecond);
    return middle(rates) >= leastTokensPerCoreSecond;
}

int run()
{
    const Responder responder(FLAGS_stream_tokens);
    const Responder second(FLAGS_stream_tokens);
    const Responder third(FLAGS_stream_tokens);
    configureLog({ .level = "warn" });
    bool good = true;
    {
        BenchDaemon daemon({ &responder });
        good = benchThroughput(responder, daemon) && good;
        good = benchLatency(responder, daemon) && good;
    }
    BenchDaemon daemon({ &responder, &second, &third });
    good = benchStreams(daemon) && good;
    return good ? 0 : 1;
}

} // namespace
} // namespace lentilbay

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the way through one daemon thread: bench-path");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return lentilbay::run();
}
