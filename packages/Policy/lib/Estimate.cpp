// Exponentially weighted mean and variance.
#include "lentilbay/Policy/Estimate.h"

#include <algorithm>
#include <cmath>

namespace lentilbay {

void Estimate::observe(double value)
{
    ++m_observations;
    const double weight = std::max(m_weight, 1.0 / static_cast<double>(m_observations));
    const double difference = value - m_mean;
    m_mean += weight * difference;
    if (m_observations > 1)
        m_variance = (1 - weight) * (m_variance + weight * difference * difference);
}

double Estimate::spread() const { return std::sqrt(m_variance); }

} // namespace lentilbay
