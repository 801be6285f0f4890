// Implementation of EdgeMetrics. Boost.Histogram is included only here.
#include "lentilbay/Edge/EdgeMetrics.h"

#include <array>
#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

namespace lentilbay::edge {
namespace {

namespace histogram = boost::histogram;

/// In the order of Timing.
constexpr std::array<std::string_view, 6> timingNames { "lentilbay_request_seconds",
    "lentilbay_first_answer_seconds", "lentilbay_wait_seconds", "lentilbay_longest_pause_seconds",
    "lentilbay_promised_return_seconds", "lentilbay_first_event_error_seconds" };
static_assert(timingNames.size() == static_cast<size_t>(Timing::FirstEventError) + 1);

/// The bins range from the shortest non-streamed answers to the longest route timeouts; the bounds of
/// adjacent bins differ by about half.
constexpr unsigned timeBins = 24;
constexpr double minBinSeconds = 0.002;
constexpr double maxBinSeconds = 30;

using TimeAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

auto makeHistogram()
{
    return histogram::make_histogram_with(
        histogram::dense_storage<uint32_t>(), TimeAxis { timeBins, minBinSeconds, maxBinSeconds });
}

struct TimeHistogram {
    decltype(makeHistogram()) histogram = makeHistogram();
    double sum = 0;

    void observe(Duration time)
    {
        histogram(toSeconds(time));
        sum += toSeconds(time);
    }
};

void appendHistograms(std::string& out, std::string_view name, const std::map<int, TimeHistogram>& byRank)
{
    fmt::format_to(std::back_inserter(out), "# TYPE {} histogram\n", name);
    for (const auto& [rank, times] : byRank) {
        const auto& bins = times.histogram.axis(0);
        uint64_t count = times.histogram.at(-1);
        for (int bin = 0; bin < bins.size(); ++bin) {
            count += times.histogram.at(bin);
            fmt::format_to(std::back_inserter(out), "{}_bucket{{rank=\"{}\",le=\"{:.4g}\"}} {}\n", name, rank,
                bins.bin(bin).upper(), count);
        }
        count += times.histogram.at(bins.size());
        fmt::format_to(std::back_inserter(out),
            "{0}_bucket{{rank=\"{1}\",le=\"+Inf\"}} {2}\n{0}_count{{rank=\"{1}\"}} "
            "{2}\n{0}_sum{{rank=\"{1}\"}} {3}\n",
            name, rank, count, times.sum);
    }
}

} // namespace

struct EdgeMetrics::State {
    std::array<std::map<int, TimeHistogram>, timingNames.size()> timings;
    std::map<std::pair<int, ResultCode>, uint64_t> ended;
    std::map<std::string, uint64_t, std::less<>> counters;
};

EdgeMetrics::EdgeMetrics()
    : m_state(std::make_unique<State>())
{
}

EdgeMetrics::~EdgeMetrics() = default;

void EdgeMetrics::requestEnded(int rank, ResultCode code, Duration total)
{
    ++m_state->ended[{ rank, code }];
    observe(Timing::Total, rank, total);
}

void EdgeMetrics::observe(Timing timing, int rank, Duration time)
{
    m_state->timings.at(static_cast<size_t>(timing))[rank].observe(time);
}

void EdgeMetrics::count(std::string_view name, uint64_t n)
{
    auto it = m_state->counters.find(name);
    if (it == m_state->counters.end())
        it = m_state->counters.emplace(std::string(name), 0).first;
    it->second += n;
}

std::string EdgeMetrics::text(const std::vector<std::pair<std::string, double>>& gauges) const
{
    std::string out = "# TYPE lentilbay_requests_total counter\n";
    for (const auto& [key, count] : m_state->ended)
        fmt::format_to(std::back_inserter(out), "lentilbay_requests_total{{rank=\"{}\",code=\"{}\"}} {}\n",
            key.first, printed(key.second), count);
    for (const auto& [name, count] : m_state->counters)
        fmt::format_to(
            std::back_inserter(out), "# TYPE lentilbay_{0} counter\nlentilbay_{0} {1}\n", name, count);
    std::string_view typed;
    for (const auto& [name, value] : gauges) {
        // A second TYPE line for a name would make the output invalid.
        const auto bare = std::string_view(name).substr(0, name.find('{'));
        if (std::exchange(typed, bare) != bare)
            fmt::format_to(std::back_inserter(out), "# TYPE lentilbay_{} gauge\n", bare);
        fmt::format_to(std::back_inserter(out), "lentilbay_{} {}\n", name, value);
    }
    for (size_t i = 0; i < timingNames.size(); ++i)
        appendHistograms(out, timingNames.at(i), m_state->timings.at(i));
    return out;
}

} // namespace lentilbay::edge
