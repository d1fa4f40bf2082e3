#include "AdmissionGate.h"

#include <Kernel/Jobs/SizeShares.h>
#include <LibBase/Log.h>

namespace Peridot::Jobs {

namespace {

// The scheduler repeats the limits once a second while there are any. Without a scheduler, nobody
// would lift them.
constexpr std::chrono::seconds limitsValidity{6};
constexpr double wholePermille = 1000;
// The sizes of jobs change slowly.
constexpr std::size_t rememberedWorks = 200;

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
                                                          const std::string &organisation,
                                                          double work)
{
    addWork(queue, work);
    const auto retryAfter = applyLimit(now, queue, organisation, work);
    OfferedCount &count = m_counts[queue][organisation];
    ++count.offered;
    count.refused += retryAfter ? 1 : 0;
    return retryAfter;
}

void AdmissionGate::addWork(const std::string &queue, double work)
{
    auto &works = m_works[queue];
    works.push_back(work);
    if (works.size() > rememberedWorks)
        works.pop_front();
}

std::optional<std::chrono::seconds> AdmissionGate::applyLimit(TimePoint now,
                                                              const std::string &queue,
                                                              const std::string &organisation,
                                                              double work)
{
    const auto limit = m_limits.find(queue);
    if (limit == m_limits.end() || now >= m_receivedAt + limitsValidity)
        return std::nullopt;
    const OrganisationLimit applied = limit->second.of(organisation);
    const auto &works = m_works.at(queue);
    const SizeShares shares
        = shareBySize(applied.acceptedPermille / wholePermille, {works.begin(), works.end()});
    const bool hasOwnLimit = limit->second.organisations.contains(organisation);
    const CreditKey key{queue, hasOwnLimit ? organisation : std::string(),
                        work >= shares.largeFrom};
    double &credit = m_credits.try_emplace(key, m_random.unit()).first->second;
    credit += shares.of(work);
    if (credit < 1)
        return applied.retryAfter;
    credit -= 1;
    return std::nullopt;
}

} // namespace Peridot::Jobs
