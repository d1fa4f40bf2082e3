#include <Kernel/Jobs/OfferedLoad.h>

#include <chrono>
#include <optional>

namespace Peridot::Jobs {

namespace {

// Processes report once a second. An older part tells nothing about a burst that begins or ends.
constexpr std::chrono::seconds partValidity{3};

/// Nothing when a count has fallen.
std::optional<OfferedCounts> differencesOf(const OfferedCounts &before, const OfferedCounts &after)
{
    OfferedCounts differences = after;
    for (const auto &[queue, organisations] : before) {
        for (const auto &[organisation, count] : organisations) {
            OfferedCount &difference = differences[queue][organisation];
            if (difference.offered < count.offered || difference.refused < count.refused)
                return std::nullopt;
            difference.offered -= count.offered;
            difference.refused -= count.refused;
        }
    }
    return differences;
}

} // namespace

void OfferedLoad::report(TimePoint now, const std::string &host, const OfferedReport &report)
{
    Part &part = m_parts[host];
    const bool sameLife = part.latest.instance == report.instance;
    const std::chrono::milliseconds elapsed{report.milliseconds - part.latest.milliseconds};
    if (sameLife && elapsed <= std::chrono::milliseconds(0))
        return;
    std::optional<OfferedCounts> differences;
    if (sameLife && elapsed <= partValidity)
        differences = differencesOf(part.latest.counts, report.counts);
    part.seconds = differences ? toSeconds(elapsed) : 0;
    part.differences = differences.value_or(OfferedCounts{});
    part.latest = report;
    part.receivedAt = now;
}

void OfferedLoad::addTo(SchedulerDemand &demand, TimePoint now) const
{
    for (const auto &[host, part] : m_parts) {
        if (part.seconds <= 0 || now > part.receivedAt + partValidity)
            continue;
        for (const auto &[queue, organisations] : part.differences) {
            const auto found = demand.queues.find(queue);
            if (found == demand.queues.end())
                continue;
            for (const auto &[organisation, count] : organisations) {
                OrganisationBacklog &backlog = found->second.organisations[organisation];
                const auto accepted = static_cast<double>(count.offered - count.refused);
                backlog.reportedOffered += static_cast<double>(count.offered) / part.seconds;
                backlog.reportedAccepted += accepted / part.seconds;
            }
        }
    }
}

} // namespace Peridot::Jobs
