#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Peridot::Jobs {

/// Milliseconds on the clock of one life of a worker.
using WorkerClock = std::int64_t;

/// What became of an order to a worker.
enum class OrderOutcome {
    Accepted,
    Fenced, ///< the worker has seen a higher fencing epoch
    Superseded, ///< this run or a later one ended or was stopped there
    Expired, ///< the lease in the order is over
    NoRoom,
    NoPermit, ///< the ticket of the placement advice is missing or over
    OtherWorker, ///< another worker, or another life of it, answers at the address
    Invalid,
    Unhealthy, ///< refused by the worker, which did nothing
    NotSent,
    Unknown, ///< may have been carried out, or may be later
};

constexpr auto orderOutcomeNames = makeEnumTable<OrderOutcome>({
    {OrderOutcome::Accepted, "accepted"},
    {OrderOutcome::Fenced, "fenced"},
    {OrderOutcome::Superseded, "superseded"},
    {OrderOutcome::Expired, "expired"},
    {OrderOutcome::NoRoom, "no-room"},
    {OrderOutcome::NoPermit, "no-permit"},
    {OrderOutcome::OtherWorker, "other-worker"},
    {OrderOutcome::Invalid, "invalid"},
    {OrderOutcome::Unhealthy, "unhealthy"},
    {OrderOutcome::NotSent, "not-sent"},
    {OrderOutcome::Unknown, "unknown"},
});

/// One run of a task. A worker accepts a run only when its number is above every run of the task
/// that ended or was stopped there.
struct RunName
{
    TaskName task;
    std::uint64_t run = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false report for a defaulted comparison
    auto operator<=>(const RunName &) const = default;
};

struct StartOrder
{
    std::string worker;
    RunName run;
    std::string payload;
    std::string saved; ///< checkpoint to resume from; empty: none
    std::string ticket; ///< permission of the placement advice; empty: none
    WorkerClock leaseEnd = 0; ///< for everything that runs on the worker
    std::uint64_t fencingEpoch = 0;
};

struct StopOrder
{
    std::string worker;
    RunName run;
    std::uint64_t fencingEpoch = 0;
};

/// Limits the share of its processor time that a run may use.
struct PaceOrder
{
    std::string worker;
    RunName run;
    unsigned percent = 100;
    std::uint64_t fencingEpoch = 0;
};

/// Extends the lease of a worker and asks for its runs.
struct LookOrder
{
    std::string worker;
    std::optional<WorkerClock> leaseEnd; ///< nothing: the lease stays as it is
    std::uint64_t fencingEpoch = 0;
    std::uint64_t acknowledgedEnds = 0; ///< ends up to this number may be forgotten
    std::chrono::milliseconds wait{0}; ///< longest time to wait for an end
    TimePoint sentAt;
};

struct OrderReply
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<WorkerClock> clock;
};

struct ActiveRun
{
    RunName run;
    std::string saved;
    unsigned percent = 0; ///< 100: at work
    std::optional<std::int64_t> usage; ///< of a serving task its latency in milliseconds
};

struct EndedRun
{
    std::uint64_t number = 0; ///< rises by one in each life of the worker
    RunName run;
    RunEnd how = RunEnd::Failed;
    std::string saved;
};

struct LookReply
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<WorkerClock> clock;
    std::int64_t startedAt = 0; ///< identifies the life of the worker
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
};

/// Asks the placement advice which of these workers may run a step.
struct AdviceRequest
{
    TaskName step; ///< any task of it
    std::vector<std::string> workers;
};

struct AdviceReply
{
    bool answered = false;
    std::map<std::string, std::string> tickets; ///< by worker; the others may not run the step
};

/// Sends orders to workers. Each call reports once, later, to the scheduler's event of its kind.
struct WorkerOrderHooks
{
    std::function<void(const StartOrder &)> start;
    std::function<void(const StopOrder &)> stop;
    std::function<void(const PaceOrder &)> pace;
    std::function<void(const LookOrder &)> look;
    std::function<void(const AdviceRequest &)> advise = {};
};

} // namespace Peridot::Jobs
