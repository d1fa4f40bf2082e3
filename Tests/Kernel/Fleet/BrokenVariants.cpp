#include "BrokenVariants.h"

#include <LibBase/Json.h>
#include <algorithm>

namespace Peridot {

namespace {

void dropChecks(Transaction &transaction, const std::string &prefix)
{
    std::erase_if(transaction.checks,
                  [&](const RowCheck &check) { return check.key.starts_with(prefix); });
}

void dropWrites(Transaction &transaction, const std::string &prefix)
{
    std::erase_if(transaction.writes,
                  [&](const RowWrite &write) { return write.key.starts_with(prefix); });
}

std::function<void(FleetDriver &)> withoutChecks(const std::string &prefix)
{
    return [prefix](FleetDriver &driver) {
        driver.changeTransaction = [prefix](Transaction &transaction) {
            dropChecks(transaction, prefix);
        };
    };
}

/// The ledger seems to hold no permits.
void forgetPermits(FleetDriver &driver)
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

/// Silent hosts look healthy.
void hideSilence(FleetDriver &driver)
{
    driver.changeReports = [](std::vector<HostReport> &reports) {
        TimePoint newest;
        for (const auto &report : reports)
            newest = std::max(newest, report.lastSeen);
        for (auto &report : reports)
            report.lastSeen = newest;
    };
}

/// The transfer changes the pool of the host and forgets the ledger that it leaves.
void forgetSourceLedger(FleetDriver &driver)
{
    driver.changeTransaction = [](Transaction &transaction) {
        if (transaction.operationId.starts_with("move-a"))
            dropWrites(transaction, "pool/a");
    };
}

/// Workers get leases that end an hour after the rows say so.
void extendTaskLeases(FleetDriver &driver)
{
    driver.changeCommands = [](std::vector<WorkerCommand> &commands) {
        for (auto &command : commands)
            command.leaseEnd += std::chrono::hours(1);
    };
}

/// Reboot commands name a boot count that is never reached.
void repeatReboots(FleetDriver &driver)
{
    driver.changeCommands = [](std::vector<WorkerCommand> &commands) {
        for (auto &command : commands)
            command.epoch += command.kind == WorkerCommandKind::Reboot ? 1 : 0;
    };
}

/// Workers seem to execute nothing, so that drains end while tasks execute.
void hideTasks(FleetDriver &driver)
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
        {"former holders are not fenced", withoutChecks("lease/"), false},
        {"the ledger is not checked", withoutChecks("pool/"), true},
        {"the host row is not checked", withoutChecks("host/"), true},
        {"permits are not counted", forgetPermits, true},
        {"silent hosts are not counted", hideSilence, true},
        {"a transfer forgets a ledger", forgetSourceLedger, true},
        {"task leases outlive their rows", extendTaskLeases, true},
        {"reboots are repeated", repeatReboots, false},
        {"executing tasks are overlooked", hideTasks, true},
    };
}

} // namespace Peridot
