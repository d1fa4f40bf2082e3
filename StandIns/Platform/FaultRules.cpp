#include "FaultRules.h"

namespace Peridot {

StoreFault FaultRules::take(Endpoint endpoint, TimePoint now)
{
    std::erase_if(m_rules,
                  [&](const FaultRule &rule) { return rule.remaining == 0 || now >= rule.until; });
    for (auto &rule : m_rules) {
        if (rule.endpoint && *rule.endpoint != endpoint)
            continue;
        if (rule.probability < 1 && m_random.unit() >= rule.probability)
            continue;
        --rule.remaining;
        return rule.fault;
    }
    return {};
}

} // namespace Peridot
