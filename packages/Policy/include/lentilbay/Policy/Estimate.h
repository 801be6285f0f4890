// Running averages that forget: how learned quantities follow what is observed.
#pragma once

#include <cstdint>

namespace lentilbay {

/// A mean and its spread, weighted towards recent observations.
class Estimate {
public:
    /// The mean before any observation, and the weight of each new one once many have been seen (0 to 1).
    Estimate(double prior, double weight)
        : m_mean(prior)
        , m_weight(weight)
    {
    }

    void observe(double value);

    double mean() const { return m_mean; }
    /// The standard deviation; 0 before the second observation.
    double spread() const;
    uint64_t observations() const { return m_observations; }

private:
    double m_mean;
    double m_weight;
    double m_variance = 0;
    uint64_t m_observations = 0;
};

} // namespace lentilbay
