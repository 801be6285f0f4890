// Failure counts by what requests have in common.
#include "lentilbay/Policy/FailureSources.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace lentilbay {
namespace {

/// The fraction of requests that may fail anywhere without a failure saying less about its endpoint.
constexpr double ordinaryFailureRate = 0.05;
/// Successes that are assumed of each key, so that a single failure does not decide.
constexpr double priorSuccesses = 2;
/// Counts are halved after this time, so that what has changed is noticed.
constexpr Duration halfLife = std::chrono::seconds(5);
/// A failed endpoint is back after some seconds; what it serves later says nothing about the failure.
constexpr Duration explanationDelay = std::chrono::seconds(1);
/// Bounds of the tables, which hold whatever callers put into their requests.
constexpr size_t maxSources = 4096;
constexpr size_t maxEndpointsPerSource = 32;
constexpr size_t maxUnexplained = 64;
/// Counts below this are dropped.
constexpr double minCount = 0.1;

} // namespace

double FailureSources::failureRateElsewhere(uint64_t endpoint, uint64_t key, TimePoint now) const
{
    const auto it = m_sources.find(key);
    if (it == m_sources.end())
        return 0;
    const auto& source = it->second;
    const auto own = source.endpoints.find(endpoint);
    const auto excluded = own == source.endpoints.end() ? Counts {} : own->second;
    const double age = toSeconds(now - source.halvedAt) / toSeconds(halfLife);
    const double kept = std::exp2(-std::floor(age));
    const double failed = std::max(0.0, source.total.failed - excluded.failed) * kept;
    const double succeeded = std::max(0.0, source.total.succeeded - excluded.succeeded) * kept;
    return failed / (failed + succeeded + priorSuccesses);
}

double FailureSources::weightAgainst(uint64_t endpoint, std::span<const uint64_t> keys, TimePoint now) const
{
    double rate = ordinaryFailureRate;
    for (const auto key : keys)
        rate = std::max(rate, failureRateElsewhere(endpoint, key, now));
    return std::log(rate) / std::log(ordinaryFailureRate);
}

void FailureSources::halve(Source& source, TimePoint now)
{
    while (now - source.halvedAt >= halfLife) {
        source.halvedAt += halfLife;
        const auto halveCounts = [](Counts& it) {
            it.failed /= 2;
            it.succeeded /= 2;
        };
        halveCounts(source.total);
        for (auto& [id, it] : source.endpoints)
            halveCounts(it);
        if (source.total.failed < minCount) {
            source.total = {};
            source.endpoints.clear();
            source.halvedAt = now;
        }
    }
}

FailureSources::Source* FailureSources::find(uint64_t key, TimePoint now)
{
    const auto it = m_sources.find(key);
    if (it == m_sources.end())
        return nullptr;
    halve(it->second, now);
    if (it->second.total.failed >= minCount)
        return &it->second;
    m_sources.erase(it);
    return nullptr;
}

FailureSources::Counts& FailureSources::countsOf(Source& source, uint64_t endpoint)
{
    if (source.endpoints.size() >= maxEndpointsPerSource && !source.endpoints.contains(endpoint)) {
        const auto sum = [](const auto& it) { return it.second.failed + it.second.succeeded; };
        source.endpoints.erase(std::ranges::min_element(source.endpoints, {}, sum));
    }
    return source.endpoints[endpoint];
}

void FailureSources::makeRoom(TimePoint now)
{
    if (m_sources.size() < maxSources)
        return;
    for (auto& [key, it] : m_sources)
        halve(it, now);
    std::erase_if(m_sources, [](const auto& it) { return it.second.total.failed < minCount; });
    if (m_sources.size() < maxSources)
        return;
    std::vector<double> failed;
    failed.reserve(m_sources.size());
    std::ranges::transform(
        m_sources, std::back_inserter(failed), [](const auto& it) { return it.second.total.failed; });
    const auto median = failed.begin() + static_cast<std::ptrdiff_t>(failed.size() / 2);
    std::ranges::nth_element(failed, median);
    std::erase_if(m_sources, [&](const auto& it) { return it.second.total.failed <= *median; });
}

void FailureSources::count(uint64_t endpoint, std::span<const uint64_t> keys, TimePoint now)
{
    for (const auto key : keys) {
        auto* source = find(key, now);
        if (!source) {
            makeRoom(now);
            source = &m_sources[key];
            source->halvedAt = now;
        }
        ++source->total.failed;
        ++countsOf(*source, endpoint).failed;
    }
}

void FailureSources::recordFailure(uint64_t endpoint, std::span<const uint64_t> keys, TimePoint now)
{
    auto& unexplained = m_unexplained[endpoint];
    std::erase_if(unexplained, [&](const auto& it) { return now - it.at > explanationDelay; });
    if (unexplained.size() < maxUnexplained)
        unexplained.push_back({ .at = now, .keys = { keys.begin(), keys.end() } });
}

void FailureSources::recordFailureAtBoth(
    uint64_t first, uint64_t second, std::span<const uint64_t> keys, TimePoint now)
{
    if (const auto it = m_unexplained.find(first); it != m_unexplained.end()) {
        const auto same = std::ranges::find_if(
            it->second, [&](const auto& failure) { return std::ranges::equal(failure.keys, keys); });
        if (same != it->second.end())
            it->second.erase(same);
    }
    count(first, keys, now);
    count(second, keys, now);
}

void FailureSources::recordSuccess(uint64_t endpoint, std::span<const uint64_t> keys, TimePoint now)
{
    if (const auto it = m_unexplained.find(endpoint); it != m_unexplained.end()) {
        const auto failures = std::move(it->second);
        m_unexplained.erase(it);
        for (const auto& failure : failures) {
            if (now - failure.at <= explanationDelay)
                count(endpoint, failure.keys, now);
        }
    }
    if (m_sources.empty())
        return;
    for (const auto key : keys) {
        auto* source = find(key, now);
        if (!source)
            continue;
        ++source->total.succeeded;
        ++countsOf(*source, endpoint).succeeded;
    }
}

} // namespace lentilbay
