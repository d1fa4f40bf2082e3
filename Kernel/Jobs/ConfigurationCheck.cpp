#include <Kernel/Jobs/ConfigurationCheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Peridot::Jobs {

namespace {

/// A step asks for tickets of about this many workers at once.
constexpr int workersPerAdvice = 30;

using Findings = std::vector<ConfigurationFinding>;

std::string nameOf(const QueueSettings &queue)
{
    return "queue " + queue.name;
}

std::string nameOf(const PoolSettings &pool)
{
    return "pool " + pool.name;
}

std::string nameOf(const OrganisationSettings &organisation)
{
    return "organisation " + organisation.name;
}

template <typename Entry>
void findDuplicates(const std::vector<Entry> &entries, Findings &findings)
{
    std::set<std::string> names;
    for (const Entry &entry : entries) {
        if (!names.insert(entry.name).second)
            findings.push_back({FindingSeverity::Error, FindingKind::DuplicateName, nameOf(entry),
                                "an earlier entry has this name"});
    }
}

void checkPoolOf(const JobConfiguration &configuration, const QueueSettings &queue,
                 Findings &findings)
{
    const PoolSettings *pool = configuration.pool(queue.pool);
    if (pool == nullptr)
        findings.push_back({FindingSeverity::Error, FindingKind::UnknownPool, nameOf(queue),
                            "there is no pool " + queue.pool + ", so that its jobs never start"});
    else if (pool->spare)
        findings.push_back({FindingSeverity::Error, FindingKind::SparePoolWithQueue, nameOf(queue),
                            "the hosts of " + queue.pool + " are powered off"});
}

void checkRouteOf(const JobConfiguration &configuration, const QueueSettings &queue,
                  Findings &findings)
{
    const QueueSettings *reached = configuration.route(queue.hostName, queue.pathPrefix);
    if (reached != nullptr && reached != &queue)
        findings.push_back(
            {FindingSeverity::Error, FindingKind::UnreachableQueue, nameOf(queue),
             "calls go to queue " + reached->name + ", which has the same host name and prefix"});
    else if (queue.hostName.empty())
        findings.push_back({FindingSeverity::Error, FindingKind::UnreachableQueue, nameOf(queue),
                            "it has no host name"});
}

void checkTimesOf(const QueueSettings &queue, Findings &findings)
{
    if (queue.stretch <= 0 && queue.latencyAllowance.count() == 0)
        findings.push_back({FindingSeverity::Error, FindingKind::NoObjective, nameOf(queue),
                            "stretch and latency allowance are 0, so that all jobs are late"});
    const Duration longest = queue.adviceDelay + queue.adviceDelayPerWorker * workersPerAdvice;
    if (queue.adviceValidity.count() > 0 && longest >= queue.adviceValidity)
        findings.push_back({FindingSeverity::Error, FindingKind::TicketExpiresEarly, nameOf(queue),
                            "advice on " + std::to_string(workersPerAdvice)
                                + " workers takes longer than its tickets are valid"});
}

void checkOrganisations(const JobConfiguration &configuration, Findings &findings)
{
    const auto &organisations = configuration.organisations;
    const bool hasWeights = configuration.hasWeights();
    for (const OrganisationSettings &organisation : organisations) {
        if (organisation.keys.empty())
            findings.push_back({FindingSeverity::Warning, FindingKind::OrganisationWithoutKey,
                                nameOf(organisation), "it can call public queues only"});
        if (hasWeights && organisation.weight <= 0)
            findings.push_back({FindingSeverity::Warning, FindingKind::OrganisationWithoutRate,
                                nameOf(organisation),
                                "others have a weight; its jobs are never beyond its rate"});
    }
    const bool anyKey = std::any_of(organisations.begin(), organisations.end(),
                                    [](const auto &entry) { return !entry.keys.empty(); });
    if (!configuration.requiresKeys || anyKey)
        return;
    for (const QueueSettings &queue : configuration.queues) {
        if (!queue.isPublic)
            findings.push_back({FindingSeverity::Error, FindingKind::NobodyAdmitted, nameOf(queue),
                                "calls need a key, and no organisation has one"});
    }
}

void findUnusedPools(const JobConfiguration &configuration, Findings &findings)
{
    for (const PoolSettings &pool : configuration.pools) {
        const bool isUsed
            = std::any_of(configuration.queues.begin(), configuration.queues.end(),
                          [&](const QueueSettings &queue) { return queue.pool == pool.name; });
        if (!isUsed && !pool.spare)
            findings.push_back({FindingSeverity::Warning, FindingKind::UnusedPool, nameOf(pool),
                                "no queue names it"});
    }
}

/// Collects the members of an entry that have changed.
class MemberChanges
{
public:
    template <typename Value>
    void add(const char *member, const Value &before, const Value &after)
    {
        if (before != after)
            m_changes.push_back(std::string(member) + ": " + text(before) + " to " + text(after));
    }

    std::vector<std::string> take() { return std::move(m_changes); }

private:
    static std::string text(const std::string &value) { return value; }
    static std::string text(bool value) { return value ? "true" : "false"; }
    static std::string text(unsigned value) { return std::to_string(value); }
    static std::string text(double value) { return std::to_string(value); }
    static std::string text(Duration value) { return std::to_string(toSeconds(value)) + " s"; }
    static std::string text(const TaskSize &value)
    {
        return std::to_string(value.milliProcessors) + " millicores, "
               + std::to_string(value.megabytes) + " MB, " + std::to_string(value.accelerators)
               + " accelerators";
    }

    std::vector<std::string> m_changes;
};

std::vector<std::string> changesOf(const QueueSettings &before, const QueueSettings &after)
{
    MemberChanges changes;
    changes.add("host name", before.hostName, after.hostName);
    changes.add("path prefix", before.pathPrefix, after.pathPrefix);
    changes.add("pool", before.pool, after.pool);
    changes.add("priority", before.priority, after.priority);
    changes.add("maximum attempts", before.maximumAttempts, after.maximumAttempts);
    changes.add("stretch", before.stretch, after.stretch);
    changes.add("latency allowance", before.latencyAllowance, after.latencyAllowance);
    changes.add("advice validity", before.adviceValidity, after.adviceValidity);
    changes.add("advice delay", before.adviceDelay, after.adviceDelay);
    changes.add("advice delay per worker", before.adviceDelayPerWorker, after.adviceDelayPerWorker);
    changes.add("public", before.isPublic, after.isPublic);
    return changes.take();
}

std::vector<std::string> changesOf(const PoolSettings &before, const PoolSettings &after)
{
    MemberChanges changes;
    changes.add("spare", before.spare, after.spare);
    return changes.take();
}

/// Number of the entries of \a keys that \a others lacks.
unsigned countMissing(const std::vector<std::string> &keys, const std::vector<std::string> &others)
{
    return static_cast<unsigned>(std::count_if(keys.begin(), keys.end(), [&](const auto &key) {
        return std::find(others.begin(), others.end(), key) == others.end();
    }));
}

std::vector<std::string> changesOf(const OrganisationSettings &before,
                                   const OrganisationSettings &after)
{
    MemberChanges changes;
    changes.add("priority", before.priority, after.priority);
    changes.add("weight", before.weight, after.weight);
    changes.add("quota", before.quota, after.quota);
    auto members = changes.take();
    const unsigned added = countMissing(after.keys, before.keys);
    const unsigned removed = countMissing(before.keys, after.keys);
    if (added + removed > 0)
        members.push_back("keys: " + std::to_string(added) + " added, " + std::to_string(removed)
                          + " removed");
    return members;
}

template <typename Entry>
void compare(const std::vector<Entry> &inForce, const std::vector<Entry> &next,
             std::vector<ConfigurationDifference> &differences)
{
    std::map<std::string, const Entry *> removed;
    for (const Entry &entry : inForce)
        removed.emplace(entry.name, &entry);
    for (const Entry &entry : next) {
        const auto before = removed.find(entry.name);
        if (before == removed.end()) {
            differences.push_back({DifferenceKind::Added, nameOf(entry)});
            continue;
        }
        auto members = changesOf(*before->second, entry);
        if (!members.empty())
            differences.push_back({DifferenceKind::Changed, nameOf(entry), std::move(members)});
        removed.erase(before);
    }
    for (const auto &[name, entry] : removed)
        differences.push_back({DifferenceKind::Removed, nameOf(*entry)});
}

} // namespace

std::vector<ConfigurationFinding> checkConfiguration(const JobConfiguration &configuration)
{
    Findings findings;
    findDuplicates(configuration.queues, findings);
    findDuplicates(configuration.pools, findings);
    for (const QueueSettings &queue : configuration.queues) {
        checkPoolOf(configuration, queue, findings);
        checkRouteOf(configuration, queue, findings);
        checkTimesOf(queue, findings);
    }
    findUnusedPools(configuration, findings);
    checkOrganisations(configuration, findings);
    return findings;
}

std::vector<ConfigurationDifference> compareConfigurations(const JobConfiguration &inForce,
                                                           const JobConfiguration &next)
{
    std::vector<ConfigurationDifference> differences;
    compare(inForce.queues, next.queues, differences);
    compare(inForce.pools, next.pools, differences);
    compare(inForce.organisations, next.organisations, differences);
    return differences;
}

} // namespace Peridot::Jobs
