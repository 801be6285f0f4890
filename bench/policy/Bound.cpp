// The amounts of work that can be done inside all requests' windows form a polymatroid, for which taking the
// requests by value for each second of work, each as far as it goes, is optimal.
#include "Bound.h"

#include <algorithm>
#include <cmath>

namespace lentilbay::bench {
namespace {

/// Windows are widened to whole bins.
constexpr double binSeconds = 1;

/// The engine-seconds that are left in each stretch of bins from `first` to `last`.
class Stretches {
public:
    explicit Stretches(const std::vector<double>& capacity)
        : m_bins(capacity.size())
        , m_left(m_bins * m_bins, 0)
    {
        for (size_t first = 0; first < m_bins; ++first) {
            double sum = 0;
            for (size_t last = first; last < m_bins; ++last) {
                sum += capacity[last];
                m_left[first * m_bins + last] = sum;
            }
        }
    }

    /// Takes as much of the work as fits between the two bins, and returns it.
    double take(size_t first, size_t last, double work)
    {
        for (size_t i = 0; i <= first; ++i) {
            for (size_t k = last; k < m_bins; ++k)
                work = std::min(work, m_left[i * m_bins + k]);
        }
        if (work <= 0)
            return 0;
        for (size_t i = 0; i <= first; ++i) {
            for (size_t k = last; k < m_bins; ++k)
                m_left[i * m_bins + k] -= work;
        }
        return work;
    }

private:
    size_t m_bins;
    std::vector<double> m_left;
};

std::vector<double> capacityOf(const Workload& workload, const Scenario& scenario, size_t bins)
{
    std::vector<double> out(bins, 0);
    for (size_t engine = 0; engine + 3 < workload.engines.size(); ++engine) {
        for (size_t bin = 0; bin < bins; ++bin) {
            double slowest = 1;
            const TimePoint from(fromSeconds(static_cast<double>(bin) * binSeconds));
            const auto until = from + fromSeconds(binSeconds);
            for (const auto& it : scenario.stragglings) {
                if (it.engine == engine && it.from <= from && until <= it.until)
                    slowest = std::max(slowest, it.factor);
            }
            out[bin] += speedOf(workload.engines[engine]) * binSeconds / slowest;
        }
    }
    return out;
}

} // namespace

Bound upperBound(const Workload& workload, const Scenario& scenario, std::optional<int> rank)
{
    Bound out;
    std::vector<const BenchRequest*> requests;
    TimePoint end {};
    for (const auto& it : scenario.requests) {
        if (rank && it.rank != *rank)
            continue;
        if (it.work <= 0) {
            out.weighted += it.weight;
            out.answers += 1;
            continue;
        }
        requests.push_back(&it);
        end = std::max(end, it.deadline);
    }
    const auto binOf
        = [](TimePoint at) { return static_cast<size_t>(toSeconds(at.time_since_epoch()) / binSeconds); };
    Stretches stretches(capacityOf(workload, scenario, binOf(end) + 1));
    std::stable_sort(requests.begin(), requests.end(), [](const BenchRequest* a, const BenchRequest* b) {
        return a->weight / a->work > b->weight / b->work;
    });
    for (const auto* it : requests) {
        const double part = stretches.take(binOf(it->at), binOf(it->deadline), it->work) / it->work;
        out.weighted += it->weight * part;
        out.answers += part;
        out.classes[it->arrival.tier.text() + "/" + it->arrival.service.text()] += part;
    }
    return out;
}

} // namespace lentilbay::bench
