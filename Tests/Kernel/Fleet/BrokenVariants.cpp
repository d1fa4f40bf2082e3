#include "BrokenVariants.h"

#include <LibBase/Json.h>
#include <algorithm>

namespace Peridot {

namespace {

void removeChecks(Transaction &transaction, const std::string &prefix)
{
    std::erase_if(transaction.checks,
                  [&](const RowCheck &check) { return check.key.starts_with(prefix); });
}

void removeWrites(Transaction &transaction, const std::string &prefix)
{
    std::erase_if(transaction.writes,
                  [&](const RowWrite &write) { return write.key.starts_with(prefix); });
}

std::function<void(FleetDriver &)> withoutChecks(const std::string &prefix)
{
    return [prefix](FleetDriver &driver) {
        driver.changeTransaction = [prefix](Transaction &transaction) {
            removeChecks(transaction, prefix);
        };
    };
}

/// Hides the permits in the pool ledgers, so that they do not count against the budget.
void hidePermits(FleetDriver &driver)
{
    driver.changeRows = [](std::vector<Row> &rows) {
        for (auto &row : rows) {
            if (!row.key.starts_with("pool/") || row.value.empty())
                continue;
            auto value = parseJson(row.value).value();
            value["permits"] = Json::Value(Json::objectValue);
            row.value = writeJson(value);
        }
    };
}

/// Reports all hosts as seen just now, so that unreachable hosts are taken for healthy ones.
void hideUnreachableHosts(FleetDriver &driver)
{
    driver.changeReports = [](std::vector<HostReport> &reports) {
        TimePoint latest;
        for (const auto &report : reports)
            latest = std::max(latest, report.lastSeen);
        for (auto &report : reports)
            report.lastSeen = latest;
    };
}

/// Drops the update of the ledger of pool a when a host is transferred out of it, so that the old
/// pool goes on counting the host.
void omitSourceLedgerUpdate(FleetDriver &driver)
{
    driver.changeTransaction = [](Transaction &transaction) {
        if (transaction.operationId.starts_with("move-a"))
            removeWrites(transaction, "pool/a");
    };
}

/// Extends the task leases in worker commands by an hour. The rows keep the shorter lease, so that
/// a task may be started on another host while the first worker still executes it.
void extendTaskLeases(FleetDriver &driver)
{
    driver.changeCommands = [](std::vector<WorkerCommand> &commands) {
        for (auto &command : commands)
            command.leaseEnd += std::chrono::hours(1);
    };
}

/// Raises the boot count that reboot commands ask for by one, so that a repeated command reboots
/// the host once more.
void raiseRebootTargets(FleetDriver &driver)
{
    driver.changeCommands = [](std::vector<WorkerCommand> &commands) {
        for (auto &command : commands)
            command.epoch += command.kind == WorkerCommandKind::Reboot ? 1 : 0;
    };
}

/// Reports running tasks as stopped, so that drains end while tasks still execute.
void hideRunningTasks(FleetDriver &driver)
{
    driver.changeReports = [](std::vector<HostReport> &reports) {
        for (auto &report : reports) {
            for (auto &task : report.tasks)
                task.state = task.state == TaskState::Running ? TaskState::Stopped : task.state;
        }
    };
}

} // namespace

std::vector<BrokenVariant> brokenVariants()
{
    return {
        {"former lease holders are not fenced", withoutChecks("lease/"), false},
        {"the ledger is not checked", withoutChecks("pool/"), true},
        {"the host row is not checked", withoutChecks("host/"), true},
        {"permits are not counted", hidePermits, true},
        {"unreachable hosts are not counted", hideUnreachableHosts, true},
        {"a transfer omits the update of the source ledger", omitSourceLedgerUpdate, true},
        {"task leases outlive their rows", extendTaskLeases, true},
        {"reboots are repeated", raiseRebootTargets, false},
        {"executing tasks are not reported", hideRunningTasks, true},
    };
}

} // namespace Peridot
