// bench-path: compares requests through one daemon thread with direct requests to the endpoint in one run.
//
// The baseline is a bare RESTinio responder on one thread. Exits with 1 if a bound is missed.
#include "Daemon.h"
#include "EndpointLoadPoller.h"
#include "LoadClient.h"
#include "Responder.h"
#include "lentilbay/Support/Secret.h"

#include <algorithm>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <pthread.h>
#include <thread>

DEFINE_uint64(answers, 60'000, "responses in each throughput run");
DEFINE_uint64(rounds, 3, "repetitions of each measurement; the median is compared with the bound");
DEFINE_uint32(stream_tokens, 2'000, "tokens in each streamed response");

namespace lentilbay {
namespace {

constexpr auto apiKey = "sk-bench";
constexpr size_t throughputConnectionCount = 64;
constexpr double latencyRequestsPerSecond = 1'000;
constexpr size_t latencyAnswers = 5'000;
constexpr size_t streamCount = 96;
constexpr double minThroughputRatio = 0.3;
constexpr Duration maxAddedMedian = std::chrono::microseconds { 400 };
constexpr double minTokensPerCoreSecond = 200'000;

/// A daemon on its own thread that forwards to the responders.
class BenchDaemon {
public:
    explicit BenchDaemon(const std::vector<const Responder*>& responders)
    {
        Settings settings;
        settings.daemon = { .name = "d1", .region = "r", .dataCentre = "c", .leavingNotice = Duration {} };
        m_daemon = std::make_unique<Daemon>(settings);
        applyConfiguration(m_daemon->blackboard(), makeConfiguration(responders));
        m_daemon->add(std::make_unique<EndpointLoadPoller>(*m_daemon));
        m_thread = std::thread([this] {
            pthread_setname_np(pthread_self(), "daemon");
            m_daemon->run();
        });
        while (m_daemon->callersPort() == 0)
            std::this_thread::sleep_for(std::chrono::milliseconds { 10 });
        std::this_thread::sleep_for(std::chrono::seconds { 2 }); // The daemon needs slot grants first.
    }
    BenchDaemon(const BenchDaemon&) = delete;
    BenchDaemon& operator=(const BenchDaemon&) = delete;

    ~BenchDaemon()
    {
        m_daemon->callAfter(Duration {}, [this] { m_daemon->drain(); });
        m_thread.join();
    }

    uint16_t port() const { return m_daemon->callersPort(); }

    /// The processor time used by the daemon's thread.
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
    static std::shared_ptr<const Configuration> makeConfiguration(
        const std::vector<const Responder*>& responders)
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->version = 1;
        configuration->tiers = { { .name = TierId("t"), .rank = 0 } };
        configuration->organisations = { { .name = OrganisationId("o"),
            .keys = { { .label = "a", .hash = hashKey(apiKey) } },
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

std::string makeRequest(bool stream)
{
    const std::string body
        = fmt::format(R"({{"model":"m1","stream":{},"max_tokens":{},"prompt":"what is the price of a lot"}})",
            stream, stream ? FLAGS_stream_tokens : 16);
    return fmt::format("POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {}\r\n"
                       "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
        apiKey, body.size(), body);
}

LoadOptions nonStreamingLoad(uint16_t port)
{
    return { .port = port,
        .request = makeRequest(false),
        .endMarker = "}}",
        .connections = throughputConnectionCount,
        .answers = FLAGS_answers };
}

double median(std::vector<double> values)
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
        const auto direct = runLoad(nonStreamingLoad(responder.port()));
        const auto directTime = responder.processorTime() - responderBefore;
        const auto daemonBefore = daemon.processorTime();
        const auto through = runLoad(nonStreamingLoad(daemon.port()));
        const auto throughTime = daemon.processorTime() - daemonBefore;
        ratios.push_back(through.perSecond() / direct.perSecond());
        processorRatios.push_back(toSeconds(directTime) / toSeconds(throughTime));
        fmt::print("throughput: bare {:.0f}/s ({:.1f} us of processor each), through the daemon {:.0f}/s "
                   "({:.1f} us)\n",
            direct.perSecond(), 1e6 * toSeconds(directTime) / static_cast<double>(FLAGS_answers),
            through.perSecond(), 1e6 * toSeconds(throughTime) / static_cast<double>(FLAGS_answers));
    }
    const auto ratio = median(ratios);
    fmt::print(
        "throughput ratio: {:.3f} (bound: at least {}); by processor time of the two threads: {:.3f}\n",
        ratio, minThroughputRatio, median(processorRatios));
    return ratio >= minThroughputRatio;
}

bool benchLatency(const Responder& responder, const BenchDaemon& daemon)
{
    std::vector<double> added;
    for (uint64_t i = 0; i < FLAGS_rounds; ++i) {
        auto load = nonStreamingLoad(responder.port());
        load.rate = latencyRequestsPerSecond;
        load.answers = latencyAnswers;
        const auto direct = runLoad(load);
        load.port = daemon.port();
        const auto through = runLoad(load);
        added.push_back(toMilliseconds(through.quantile(0.5) - direct.quantile(0.5)));
        fmt::print("latency at {:.0f}/s: direct median {:.3f} ms, 99 in 100 {:.3f} ms; through the daemon "
                   "{:.3f} ms, "
                   "{:.3f} ms\n",
            latencyRequestsPerSecond, toMilliseconds(direct.quantile(0.5)),
            toMilliseconds(direct.quantile(0.99)), toMilliseconds(through.quantile(0.5)),
            toMilliseconds(through.quantile(0.99)));
    }
    fmt::print(
        "added median: {:.3f} ms (bound: less than {} ms)\n", median(added), toMilliseconds(maxAddedMedian));
    return median(added) < toMilliseconds(maxAddedMedian);
}

bool benchStreams(BenchDaemon& daemon)
{
    std::vector<double> rates;
    for (uint64_t i = 0; i < FLAGS_rounds; ++i) {
        const auto before = daemon.processorTime();
        const auto result = runLoad({ .port = daemon.port(),
            .request = makeRequest(true),
            .endMarker = "data: [DONE]\n\n",
            .connections = streamCount,
            .answers = 2 * streamCount });
        const auto used = toSeconds(daemon.processorTime() - before);
        const auto tokens = static_cast<double>(result.latencies.size()) * FLAGS_stream_tokens;
        rates.push_back(tokens / used);
        fmt::print("streams: {:.0f} tokens/s, {:.2f} of a core\n", tokens / toSeconds(result.elapsed),
            used / toSeconds(result.elapsed));
    }
    fmt::print("relayed tokens per second of a core: {:.0f} (bound: at least {:.0f})\n", median(rates),
        minTokensPerCoreSecond);
    return median(rates) >= minTokensPerCoreSecond;
}

int run()
{
    const Responder responder(FLAGS_stream_tokens);
    const Responder second(FLAGS_stream_tokens);
    const Responder third(FLAGS_stream_tokens);
    configureLog({ .level = "warn" });
    bool passed = true;
    {
        BenchDaemon daemon({ &responder });
        passed = benchThroughput(responder, daemon) && passed;
        passed = benchLatency(responder, daemon) && passed;
    }
    BenchDaemon daemon({ &responder, &second, &third });
    passed = benchStreams(daemon) && passed;
    return passed ? 0 : 1;
}

} // namespace
} // namespace lentilbay

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("measures the cost of the request path through one daemon thread: bench-path");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return lentilbay::run();
}
