#include <Kernel/Jobs/JobTypes.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace Peridot::Jobs {

TaskSize plus(const TaskSize &left, const TaskSize &right)
{
    return {left.milliProcessors + right.milliProcessors, left.megabytes + right.megabytes,
            left.accelerators + right.accelerators};
}

TaskSize minus(const TaskSize &left, const TaskSize &right)
{
    return {left.milliProcessors - right.milliProcessors, left.megabytes - right.megabytes,
            left.accelerators - right.accelerators};
}

TaskSize multiplied(const TaskSize &size, std::int64_t count)
{
    return {size.milliProcessors * count, size.megabytes * count, size.accelerators * count};
}

bool fitsInto(const TaskSize &size, const TaskSize &capacity)
{
    return size.milliProcessors <= capacity.milliProcessors && size.megabytes <= capacity.megabytes
           && size.accelerators <= capacity.accelerators;
}

std::string TaskName::text() const
{
    return job + '.' + std::to_string(occurrence) + '.' + std::to_string(step) + '.'
           + std::to_string(index);
}

std::optional<TaskName> TaskName::parse(std::string_view text)
{
    TaskName name;
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    name.job = std::string(text.substr(0, dot));
    text.remove_prefix(dot);
    for (unsigned *number : std::array{&name.occurrence, &name.step, &name.index}) {
        if (text.empty() || text.front() != '.')
            return std::nullopt;
        text.remove_prefix(1);
        const auto parsed = std::from_chars(text.data(), text.data() + text.size(), *number);
        if (parsed.ec != std::errc())
            return std::nullopt;
        text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
    }
    if (!text.empty())
        return std::nullopt;
    return name;
}

Duration QueueSettings::objective(Duration criticalPath) const
{
    return std::chrono::duration_cast<Duration>(criticalPath * stretch) + latencyAllowance;
}

const QueueSettings *JobConfiguration::route(std::string_view hostName, std::string_view path) const
{
    const QueueSettings *best = nullptr;
    for (const auto &queue : queues) {
        if (queue.hostName != hostName || !path.starts_with(queue.pathPrefix))
            continue;
        if (best == nullptr || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

const QueueSettings *JobConfiguration::queue(std::string_view name) const
{
    const auto found = std::find_if(queues.begin(), queues.end(),
                                    [&](const auto &queue) { return queue.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

const PoolSettings *JobConfiguration::pool(std::string_view name) const
{
    const auto found = std::find_if(pools.begin(), pools.end(),
                                    [&](const auto &pool) { return pool.name == name; });
    return found == pools.end() ? nullptr : &*found;
}

const OrganisationSettings *JobConfiguration::organisation(std::string_view name) const
{
    const auto found
        = std::find_if(organisations.begin(), organisations.end(),
                       [&](const auto &organisation) { return organisation.name == name; });
    return found == organisations.end() ? nullptr : &*found;
}

bool JobConfiguration::hasWeights() const
{
    return std::any_of(organisations.begin(), organisations.end(),
                       [](const auto &organisation) { return organisation.weight > 0; });
}

const OrganisationSettings *JobConfiguration::organisationOfKey(std::string_view key) const
{
    const auto found
        = std::find_if(organisations.begin(), organisations.end(), [&](const auto &organisation) {
              return std::find(organisation.keys.begin(), organisation.keys.end(), key)
                     != organisation.keys.end();
          });
    return found == organisations.end() ? nullptr : &*found;
}

} // namespace Peridot::Jobs
