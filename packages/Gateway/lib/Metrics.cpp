// Implements Metrics with Boost.Histogram, which no other file of the package includes.
#include "lentilbay/Gateway/Metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <iterator>
#include <map>
#include <tuple>

namespace lentilbay {
namespace {

namespace histogram = boost::histogram;

constexpr unsigned latencyBins = 36;
constexpr double minLatencySeconds = 0.001;
constexpr double maxLatencySeconds = 600;

using TierAxis
    = histogram::axis::category<std::string, histogram::use_default, histogram::axis::option::growth_t>;
using LatencyAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

auto makeLatencyHistogram()
{
    return histogram::make_histogram_with(histogram::dense_storage<uint64_t>(), TierAxis {},
        LatencyAxis(latencyBins, minLatencySeconds, maxLatencySeconds));
}

struct OutcomeKey {
    std::string tier;
    ResultCode code = ResultCode::Ok;
    bool inTime = false;

    auto operator<=>(const OutcomeKey&) const = default;
};

/// Label values are names from the configuration, which never need escaping.
std::string tierLabel(const RequestOutcome& outcome) { return outcome.tier.text(); }

template <class Histogram>
void appendHistogram(std::string& out, std::string_view name, std::string_view help,
    const Histogram& latencies, const std::map<std::string, double>& sums)
{
    appendMetricHeader(out, name, "histogram", help);
    const auto& tiers = latencies.template axis<0>();
    const auto& bins = latencies.template axis<1>();
    for (int tier = 0; tier < tiers.size(); ++tier) {
        const auto& label = tiers.value(tier);
        auto count = latencies.at(tier, -1);
        for (int bin = 0; bin < bins.size(); ++bin) {
            count += latencies.at(tier, bin);
            fmt::format_to(std::back_inserter(out), "{}_bucket{{tier=\"{}\",le=\"{:.6g}\"}} {}\n", name,
                label, bins.bin(bin).upper(), count);
        }
        count += latencies.at(tier, bins.size());
        fmt::format_to(std::back_inserter(out),
            "{0}_bucket{{tier=\"{1}\",le=\"+Inf\"}} {2}\n{0}_count{{tier=\"{1}\"}} "
            "{2}\n{0}_sum{{tier=\"{1}\"}} {3}\n",
            name, label, count, sums.at(label));
    }
}

} // namespace

struct Metrics::State {
    decltype(makeLatencyHistogram()) total = makeLatencyHistogram();
    decltype(makeLatencyHistogram()) waited = makeLatencyHistogram();
    std::map<std::string, double> totalSums;
    std::map<std::string, double> waitedSums;
    std::map<OutcomeKey, uint64_t> outcomes;
    std::map<std::string, uint64_t> answerTokens;
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::observe(const RequestOutcome& outcome)
{
    const auto tier = tierLabel(outcome);
    m_state->total(tier, toSeconds(outcome.total));
    m_state->waited(tier, toSeconds(outcome.waited));
    m_state->totalSums[tier] += toSeconds(outcome.total);
    m_state->waitedSums[tier] += toSeconds(outcome.waited);
    ++m_state->outcomes[{ .tier = tier, .code = outcome.code, .inTime = outcome.inTime }];
    m_state->answerTokens[tier] += outcome.answerTokens;
}

std::string Metrics::text() const
{
    std::string out;
    appendMetricHeader(out, "lentilbay_requests_total", "counter", "Requests that reached their outcome.");
    for (const auto& [key, count] : m_state->outcomes)
        appendSample(out, "lentilbay_requests_total",
            fmt::format("tier=\"{}\",code=\"{}\",in_time=\"{}\"", key.tier, printed(key.code),
                key.inTime ? "yes" : "no"),
            static_cast<double>(count));
    appendMetricHeader(out, "lentilbay_answer_tokens_total", "counter", "Tokens relayed to callers.");
    for (const auto& [tier, count] : m_state->answerTokens)
        appendSample(out, "lentilbay_answer_tokens_total", fmt::format("tier=\"{}\"", tier),
            static_cast<double>(count));
    appendHistogram(
        out, "lentilbay_request_seconds", "From arrival to the outcome.", m_state->total, m_state->totalSums);
    appendHistogram(
        out, "lentilbay_wait_seconds", "From arrival to the dispatch.", m_state->waited, m_state->waitedSums);
    return out;
}

void appendMetricHeader(std::string& out, std::string_view name, std::string_view type, std::string_view help)
{
    fmt::format_to(std::back_inserter(out), "# HELP {0} {1}\n# TYPE {0} {2}\n", name, help, type);
}

void appendSample(std::string& out, std::string_view name, std::string_view labels, double value)
{
    if (labels.empty())
        fmt::format_to(std::back_inserter(out), "{} {}\n", name, value);
    else
        fmt::format_to(std::back_inserter(out), "{}{{{}}} {}\n", name, labels, value);
}

void appendGauge(std::string& out, std::string_view name, std::string_view help, double value)
{
    appendMetricHeader(out, name, "gauge", help);
    appendSample(out, name, "", value);
}

} // namespace lentilbay
