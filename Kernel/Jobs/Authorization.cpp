#include <Kernel/Jobs/Authorization.h>

namespace Peridot::Jobs {

std::optional<Caller> authorize(const JobConfiguration &configuration, const QueueSettings &queue,
                                std::string_view key)
{
    if (!configuration.requiresKeys)
        return Caller{};
    const auto *organisation = key.empty() ? nullptr : configuration.organisationOfKey(key);
    if (organisation != nullptr)
        return Caller{organisation->name};
    return queue.isPublic ? std::optional<Caller>(Caller{}) : std::nullopt;
}

bool mayAccess(const Caller &caller, std::string_view organisation)
{
    return organisation.empty() || caller.organisation == organisation;
}

} // namespace Peridot::Jobs
