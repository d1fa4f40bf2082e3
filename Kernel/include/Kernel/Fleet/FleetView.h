#pragma once

#include <Kernel/Fleet/DrainRequest.h>
#include <Kernel/Fleet/HostRecord.h>
#include <Kernel/Fleet/HostReport.h>
#include <Kernel/Fleet/JobRecord.h>
#include <Kernel/Fleet/Manifest.h>
#include <Kernel/Fleet/PlacementRecord.h>
#include <Kernel/Fleet/PoolRecord.h>
#include <Kernel/Fleet/TeamRecord.h>
#include <LibStore/Transaction.h>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace Peridot {

/// Cache of parsed rows, reports and the manifest, indexed by pool, team, host and failure domain.
/// Changes are applied one row at a time, so that the cost of a change does not grow with the
/// fleet. Rows may arrive in any order; a row older than the cached one is ignored.
///
/// A process reads every row again after it acquired a lease and before it plans under that lease.
class FleetView
{
public:
    struct Host
    {
        const HostSpecification *specification = nullptr; ///< null: not in the manifest
        std::optional<HostRecord> record;
        Version version = absentVersion;
        TimePoint observed; ///< when this process first read \c version
        std::optional<DrainRequest> drainRequest;
        Version drainRequestVersion = absentVersion;
        std::optional<HostReport> report;
        TimePoint reportReceived;
        bool hasBackendServer = false;
        std::set<std::pair<std::string, unsigned>> tasks; ///< job and index, from the job rows
        std::map<std::string, TimePoint> failures; ///< by job: last failure of a task on this host
        Resources reserved; ///< sum of the sizes of \c tasks
    };

    struct Pool
    {
        const PoolSpecification *specification = nullptr; ///< null: not in the manifest
        std::optional<PoolRecord> record;
        Version version = absentVersion;
        PlacementRecord placement;
        Version placementVersion = absentVersion;
        std::set<std::string> hosts; ///< from the host rows
        std::set<std::string> unadmittedHosts; ///< in the manifest for this pool, without a row
        std::set<std::string> jobs; ///< from the job rows and the manifest
        Duration longestDeadline{}; ///< longest deadline of the services that use the pool
    };

    struct Job
    {
        const JobSpecification *specification = nullptr; ///< null: not in the manifest
        std::optional<JobRecord> record;
        Version version = absentVersion;
    };

    struct Team
    {
        const TeamSpecification *specification = nullptr;
        TeamRecord record;
        Version version = absentVersion;
    };

    /// One task of a job row.
    struct TaskReference
    {
        const JobRecord *job = nullptr;
        unsigned index = 0;

        const TaskRecord &task() const { return job->tasks[index]; }
    };

    /// Sets the manifest of the configuration version in force in this process. The version was
    /// adopted and may not be accepted yet, because a process never returns to a lower one. Lower
    /// versions are ignored.
    void setManifest(std::shared_ptr<const Manifest> manifest, std::uint64_t version);

    /// Applies rows that were read or committed. A row without a value is a deletion; its \c
    /// version is the revision at which the row was absent, or 0 when unknown, in which case it is
    /// applied unconditionally. Rows with other prefixes are ignored. \a observed is the time of
    /// the store's answer. Waiting times that protect requests in flight start at it and not at
    /// times inside rows, because a transaction may take effect long after it was planned. Errors:
    /// those of the parse functions, with the row key before the field. The other rows are applied,
    /// and the cached content of the malformed row is kept.
    Result<void> applyRows(const std::vector<Row> &rows, TimePoint observed);

    /// Returns absent rows for the hosts, pools, jobs and drain requests of this view that a
    /// complete scan of \a prefixes did not return, because a scan does not report deletions.
    std::vector<Row> absentRows(const std::vector<Row> &scanned,
                                const std::vector<std::string> &prefixes) const;

    /// Applies the result of a committed transaction without reading the rows back.
    Result<void> applyCommitted(const Transaction &transaction, Version revision,
                                TimePoint observed);

    /// Applies host reports, which the platform sent at \a received.
    void applyReports(const std::vector<HostReport> &reports, TimePoint received);

    const Manifest *manifest() const { return m_manifest.get(); }
    std::uint64_t manifestVersion() const { return m_manifestVersion; }

    /// Highest version of any row applied so far.
    Version latestRevision() const { return m_latestRevision; }

    const Host *host(const std::string &name) const;
    const Pool *pool(const std::string &name) const;
    const Job *job(const std::string &name) const;
    const Team *team(const std::string &name) const;
    /// Task of a job row by its taskName(), or nothing.
    std::optional<TaskReference> task(const std::string &name) const;
    const std::unordered_map<std::string, Host> &hosts() const { return m_hosts; }
    const std::map<std::string, Pool> &pools() const { return m_pools; }
    const std::unordered_map<std::string, Job> &jobs() const { return m_jobs; }

    /// Pools for which leases are needed: those of the manifest, and removed ones that still have
    /// hosts or jobs.
    std::vector<std::string> poolNames() const;

    /// Hosts of a rack (\a dataCentre and \a rack) or, with an empty \a rack, of a data centre.
    const std::set<std::string> &domainHosts(const std::string &dataCentre,
                                             const std::string &rack) const;

    /// Hosts whose tasks the holder of the lease of \a pool must observe: its hosts, and hosts of
    /// other pools that execute tasks of its jobs.
    std::set<std::string> observedHosts(const std::string &pool) const;

    /// Pools whose hosts, jobs, rows or reports changed since the last call. A process plans these
    /// immediately. It plans all its pools periodically, because some decisions depend on time
    /// only.
    std::set<std::string> takeChangedPools();

    /// Whether the host may have failed: there is no recent report of it, or the platform has not
    /// heard from it recently.
    bool isSuspected(const Host &host, TimePoint now) const;

private:
    Result<void> applyRow(const Row &row, TimePoint observed);
    Version cachedVersion(std::string_view prefix, const std::string &name) const;
    void applyHost(const Row &row, const std::string &name, TimePoint observed,
                   std::optional<HostRecord> record);
    void applyPool(const std::string &name, Version version, std::optional<PoolRecord> record);
    void applyJob(const std::string &name, Version version, std::optional<JobRecord> record);
    void indexJob(const JobRecord &record, bool add);
    void indexTask(const JobRecord &record, unsigned index, bool add);
    void markHostChanged(const Host &host);
    void indexManifestHosts();
    void indexManifestPools();
    void clearManifestIndexes();

    std::shared_ptr<const Manifest> m_manifest;
    std::uint64_t m_manifestVersion = 0;
    std::unordered_map<std::string, Host> m_hosts;
    std::map<std::string, Pool> m_pools;
    std::unordered_map<std::string, Job> m_jobs;
    std::unordered_map<std::string, Team> m_teams;
    std::unordered_map<std::string, std::set<std::string>> m_domains;
    std::unordered_map<std::string, Version>
        m_deleted; ///< by key: highest revision without the row
    std::set<std::string> m_changedPools;
    Version m_latestRevision = absentVersion;
};

} // namespace Peridot
