// The vectors of work that can be completed within the requests' time windows form a polymatroid. The greedy
// algorithm is therefore optimal: it takes the requests in descending order of weight per second of work and
// serves as much of each as fits.
#include "Bound.h"

#include <algorithm>
#include <cmath>

namespace lentilbay::bench {
namespace {

/// The width of a time bin. Rounding requests' windows outwards to whole bins keeps the bound valid.
constexpr double binSeconds = 1;

/// The unused engine-seconds in each interval of bins [first, last].
class IntervalCapacity {
public:
    explicit IntervalCapacity(const std::vector<double>& capacity)
        : m_bins(capacity.size())
        , m_remaining(m_bins * m_bins, 0)
    {
        for (size_t first = 0; first < m_bins; ++first) {
            double sum = 0;
            for (size_t last = first; last < m_bins; ++last) {
                sum += capacity[last];
                m_remaining[first * m_bins + last] = sum;
            }
        }
    }

    /// Reserves as much of `work` as fits between the two bins, and returns the reserved engine-seconds.
    double take(size_t first, size_t last, double work)
    {
        for (size_t i = 0; i <= first; ++i) {
            for (size_t k = last; k < m_bins; ++k)
                work = std::min(work, m_remaining[i * m_bins + k]);
        }
        if (work <= 0)
            return 0;
        for (size_t i = 0; i <= first; ++i) {
            for (size_t k = last; k < m_bins; ++k)
                m_remaining[i * m_bins + k] -= work;
        }
        return work;
    }

private:
    size_t m_bins;
    std::vector<double> m_remaining;
};

/// Returns the capacity of the model engines in each bin, in engine-seconds of the reference engine.
std::vector<double> capacityOf(const Workload& workload, const Scenario& scenario, size_t bins)
{
    std::vector<double> out(bins, 0);
    for (size_t engine = 0; engine + 3 < workload.engines.size(); ++engine) {
        for (size_t bin = 0; bin < bins; ++bin) {
            double slowest = 1;
            const TimePoint from(fromSeconds(static_cast<double>(bin) * binSeconds));
            const auto until = from + fromSeconds(binSeconds);
            for (const auto& it : scenario.slowdowns) {
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
            out.weightedGoodput += it.weight;
            out.answers += 1;
            continue;
        }
        requests.push_back(&it);
        end = std::max(end, it.deadline);
    }
    const auto binOf
        = [](TimePoint at) { return static_cast<size_t>(toSeconds(at.time_since_epoch()) / binSeconds); };
    IntervalCapacity remaining(capacityOf(workload, scenario, binOf(end) + 1));
    std::stable_sort(requests.begin(), requests.end(), [](const BenchRequest* a, const BenchRequest* b) {
        return a->weight / a->work > b->weight / b->work;
    });
    for (const auto* it : requests) {
        const double fraction = remaining.take(binOf(it->at), binOf(it->deadline), it->work) / it->work;
        out.weightedGoodput += it->weight * fraction;
        out.answers += fraction;
        out.classes[it->arrival.tier.text() + "/" + it->arrival.service.text()] += fraction;
    }
    return out;
}

} // namespace lentilbay::bench
