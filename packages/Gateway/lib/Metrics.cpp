// Boost.Histogram keeps the times; it is included here only.
#include "lentilbay/Gateway/Metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <iterator>
#include <map>
#include <tuple>

namespace lentilbay {
namespace {

namespace histogram = boost::histogram;

constexpr unsigned timeBins = 36;
constexpr double shortestSeconds = 0.001;
constexpr double longestSeconds = 600;

using TierAxis
    = histogram::axis::category<std::string, histogram::use_default, histogram::axis::option::growth_t>;
using TimeAxis = histogram::axis::regular<double, histogram::axis::transform::log>;

auto makeTimes()
{
    return histogram::make_histogram_with(histogram::dense_storage<uint64_t>(), TierAxis {},
        TimeAxis(timeBins, shortestSeconds, longestSeconds));
}

struct CodeKey {
    std::string tier;
    ResultCode code = ResultCode::Ok;
    bool inTime = false;

    auto operator<=>(const CodeKey&) const = default;
};

/// Label values hold names of the configuration only, which need no escapes.
std::string labelOf(const RequestOutcome& outcome) { return outcome.tier.text(); }

template <class Times>
void appendTimes(std::string& out, std::string_view name, std::string_view help, const Times& times,
    const std::map<std::string, double>& sums)
{
    appendHead(out, name, "histogram", help);
    const auto& tiers = times.template axis<0>();
    const auto& bins = times.template axis<1>();
    for (int tier = 0; tier < tiers.size(); ++tier) {
        const auto& label = tiers.value(tier);
        auto count = times.at(tier, -1);
        for (int bin = 0; bin < bins.size(); ++bin) {
            count += times.at(tier, bin);
            fmt::format_to(std::back_inserter(out), "{}_bucket{{tier=\"{}\",le=\"{:.6g}\"}} {}\n", name,
                label, bins.bin(bin).upper(), count);
        }
        count += times.at(tier, bins.size());
        fmt::format_to(std::back_inserter(out),
            "{0}_bucket{{tier=\"{1}\",le=\"+Inf\"}} {2}\n{0}_count{{tier=\"{1}\"}} "
            "{2}\n{0}_sum{{tier=\"{1}\"}} {3}\n",
            name, label, count, sums.at(label));
    }
}

} // namespace

struct Metrics::State {
    decltype(makeTimes()) total = makeTimes();
    decltype(makeTimes()) waited = makeTimes();
    std::map<std::string, double> totalSums;
    std::map<std::string, double> waitedSums;
    std::map<CodeKey, uint64_t> outcomes;
    std::map<std::string, uint64_t> answerTokens;
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::observe(const RequestOutcome& outcome)
{
    const auto tier = labelOf(outcome);
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
    appendHead(out, "lentilbay_requests_total", "counter", "Requests that reached their outcome.");
    for (const auto& [key, count] : m_state->outcomes)
        appendSample(out, "lentilbay_requests_total",
            fmt::format("tier=\"{}\",code=\"{}\",in_time=\"{}\"", key.tier, printed(key.code),
                key.inTime ? "yes" : "no"),
            static_cast<double>(count));
    appendHead(out, "lentilbay_answer_tokens_total", "counter", "Tokens relayed to callers.");
    for (const auto& [tier, count] : m_state->answerTokens)
        appendSample(out, "lentilbay_answer_tokens_total", fmt::format("tier=\"{}\"", tier),
            static_cast<double>(count));
    appendTimes(
        out, "lentilbay_request_seconds", "From arrival to the outcome.", m_state->total, m_state->totalSums);
    appendTimes(
        out, "lentilbay_wait_seconds", "From arrival to the dispatch.", m_state->waited, m_state->waitedSums);
    return out;
}

void appendHead(std::string& out, std::string_view name, std::string_view type, std::string_view help)
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
    appendHead(out, name, "gauge", help);
    appendSample(out, name, "", value);
}

} // namespace lentilbay
