// Exponentially weighted moving averages.
#pragma once

#include <cstdint>

namespace lentilbay {

/// A mean and standard deviation that weight recent observations more.
class Estimate {
public:
    /// @param prior the mean before the first observation
    /// @param weight the weight of a new observation, 0 to 1, once 1 / weight of them have been seen; earlier
    ///   ones count as in a plain average
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
