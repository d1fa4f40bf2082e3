#pragma once

#include "Endpoint.h"
#include <LibBase/Random.h>
#include <LibBase/Time.h>
#include <LibStore/StoreFault.h>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace Peridot {

/// Faults of coming calls.
struct FaultRule
{
    std::optional<Endpoint> endpoint; ///< nothing: all calls but control calls
    StoreFault fault;
    std::uint64_t remaining = std::numeric_limits<std::uint64_t>::max(); ///< calls still to fail
    TimePoint until = TimePoint::max();
    double probability = 1;
};

/// Chooses the fault of each call from rules that control calls add. The first rule that applies
/// counts.
class FaultRules
{
public:
    explicit FaultRules(std::uint64_t seed) : m_random(seed) { }

    void add(const FaultRule &rule) { m_rules.push_back(rule); }
    void clear() { m_rules.clear(); }
    StoreFault take(Endpoint endpoint, TimePoint now);
    std::size_t size() const { return m_rules.size(); }

private:
    std::vector<FaultRule> m_rules;
    RandomSource m_random;
};

} // namespace Peridot
