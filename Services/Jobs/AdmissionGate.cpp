#include "AdmissionGate.h"

#include <LibBase/Log.h>

namespace Peridot::Jobs {

namespace {

// The scheduler repeats the limits once a second while there are any. Without a scheduler, nobody
// would lift them.
constexpr std::chrono::seconds limitsValidity{6};
constexpr unsigned wholePermille = 1000;

} // namespace

void AdmissionGate::limitsChanged(TimePoint now, const Row &row)
{
    if (row.key != admissionKey)
        return;
    m_receivedAt = now;
    m_limits = valueOrElse([&] { return parseAdmissionLimits(row.value); },
                           [&](const Error &error) {
                               logEvent(LogLevel::Error, "row-unreadable",
                                        {{"key", row.key}, {"error", describe(error)}});
                               return AdmissionLimits{};
                           });
}

AdmissionLimits AdmissionGate::limits(TimePoint now) const
{
    return now < m_receivedAt + limitsValidity ? m_limits : AdmissionLimits{};
}

bool AdmissionGate::isLimiting(TimePoint now) const
{
    return now < m_receivedAt + limitsValidity && !m_limits.empty();
}

std::optional<std::chrono::seconds> AdmissionGate::refuse(TimePoint now, const std::string &queue,
                                                          const std::string &organisation)
{
    const auto retryAfter = applyLimit(now, queue, organisation);
    OfferedCount &count = m_counts[queue][organisation];
    ++count.offered;
    count.refused += retryAfter ? 1 : 0;
    return retryAfter;
}

std::optional<std::chrono::seconds>
AdmissionGate::applyLimit(TimePoint now, const std::string &queue, const std::string &organisation)
{
    const auto limit = m_limits.find(queue);
    if (limit == m_limits.end() || now >= m_receivedAt + limitsValidity)
        return std::nullopt;
    const auto initial = static_cast<unsigned>(m_random.below(wholePermille));
    const bool hasOwnLimit = limit->second.organisations.contains(organisation);
    const auto key = std::pair(queue, hasOwnLimit ? organisation : std::string());
    unsigned &credit = m_credits.try_emplace(key, initial).first->second;
    const OrganisationLimit applied = limit->second.of(organisation);
    credit += applied.acceptedPermille;
    if (credit < wholePermille)
        return applied.retryAfter;
    credit -= wholePermille;
    return std::nullopt;
}

} // namespace Peridot::Jobs
