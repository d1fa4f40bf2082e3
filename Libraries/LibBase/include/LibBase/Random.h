#pragma once

#include <cstdint>
#include <random>

namespace Peridot {

/// Seeded pseudo-random source. It is passed to code that makes random decisions, so that a run can
/// be reproduced from its seed.
class RandomSource
{
public:
    explicit RandomSource(std::uint64_t seed) : m_engine(seed) { }

    /// Uniform integer in [0, bound). \a bound must be positive.
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
    }

    /// Uniform real number in [0, 1).
    double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }

    /// Exponentially distributed real number with the given mean.
    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1.0 / mean)(m_engine);
    }

    std::mt19937_64 &engine() { return m_engine; }

private:
    std::mt19937_64 m_engine;
};

} // namespace Peridot
