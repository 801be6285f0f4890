// The seeded random number generator that all decisions use, so that a run can be reproduced from its seed.
#pragma once

#include <cstdint>
#include <random>

namespace lentilbay {

class Random {
public:
    explicit Random(uint64_t seed)
        : m_engine(seed)
    {
    }

    /// A uniformly distributed integer in [0, bound); bound must not be 0.
    uint64_t below(uint64_t bound) { return std::uniform_int_distribution<uint64_t>(0, bound - 1)(m_engine); }

    /// A uniformly distributed number in [0, 1).
    double fraction() { return std::uniform_real_distribution<double>(0, 1)(m_engine); }

    /// True with the given probability.
    bool chance(double probability) { return fraction() < probability; }

    std::mt19937_64& engine() { return m_engine; }

private:
    std::mt19937_64 m_engine;
};

} // namespace lentilbay
