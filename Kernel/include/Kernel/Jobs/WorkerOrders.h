#pragma once

#include <Kernel/Jobs/CallLimiter.h>
#include <Kernel/Jobs/JobTypes.h>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Peridot::Jobs {

/// Milliseconds on the clock of one incarnation of a worker.
using WorkerClock = std::int64_t;

/// Result of an order to a worker.
enum class OrderOutcome {
    Accepted,
    Fenced, ///< the worker has seen a higher fencing epoch
    Superseded, ///< this run or a later run of the task already ended or was stopped there
    Expired, ///< the lease end in the order has passed
    InsufficientCapacity,
    TicketRejected, ///< the ticket of the placement advice is missing or expired
    OtherWorker, ///< another worker, or another incarnation, answers at the address
    Invalid,
    Unhealthy, ///< refused by an unhealthy worker; not carried out
    NotSent,
    Unknown, ///< no answer: the order may have been carried out or may still be
};

constexpr auto orderOutcomeNames = makeEnumTable<OrderOutcome>({
    {OrderOutcome::Accepted, "accepted"},
    {OrderOutcome::Fenced, "fenced"},
    {OrderOutcome::Superseded, "superseded"},
    {OrderOutcome::Expired, "expired"},
    {OrderOutcome::InsufficientCapacity, "no-room"},
    {OrderOutcome::TicketRejected, "no-permit"},
    {OrderOutcome::OtherWorker, "other-worker"},
    {OrderOutcome::Invalid, "invalid"},
    {OrderOutcome::Unhealthy, "unhealthy"},
    {OrderOutcome::NotSent, "not-sent"},
    {OrderOutcome::Unknown, "unknown"},
});

/// One run of a task. A worker accepts a run only when its number is higher than those of all runs
/// of the task that ended or were stopped there.
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
    std::int64_t incarnation = 0; ///< of the worker, as known when the order was sent
    RunName run;
    std::string payload;
    std::string checkpoint; ///< checkpoint to resume from; empty: none
    std::string ticket; ///< permission from the placement advice; empty: none
    WorkerClock leaseEnd = 0; ///< extends the lease for all runs on the worker
    std::uint64_t fencingEpoch = 0;
};

struct StopOrder
{
    std::string worker;
    std::int64_t incarnation = 0; ///< of the worker, as known when the order was sent
    RunName run;
    std::uint64_t fencingEpoch = 0;
};

/// Limits the share of its processor time that a run may use.
struct ThrottleOrder
{
    std::string worker;
    std::int64_t incarnation = 0; ///< of the worker, as known when the order was sent
    RunName run;
    unsigned percent = 100;
    std::uint64_t fencingEpoch = 0;
};

/// Extends the lease of a worker and requests its active and ended runs.
struct PollOrder
{
    std::string worker;
    std::int64_t incarnation = 0; ///< of the worker, as known when the order was sent
    std::optional<WorkerClock> leaseEnd; ///< nothing: the lease is not extended
    std::uint64_t fencingEpoch = 0;
    std::uint64_t acknowledgedEnds = 0; ///< the worker may drop ended runs up to this number
    std::chrono::milliseconds wait{0}; ///< maximum time to wait for a run to end
    TimePoint sentAt;
    bool urgent = false; ///< the reply must not wait behind the rows of a takeover
};

struct OrderReply
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<WorkerClock> clock;
    Duration waited{0}; ///< between the arrival of the reply and its handling
    /// Age of the connection on which an order was not answered; 0: not known.
    Duration connectionAge{0};
};

struct ActiveRun
{
    RunName run;
    std::string checkpoint;
    unsigned progressPercent = 0; ///< of a long-running task, 100: in service
    std::optional<std::int64_t> latencyMilliseconds; ///< only for serving tasks
};

struct EndedRun
{
    std::uint64_t number = 0; ///< counts the ended runs of the worker's incarnation
    RunName run;
    RunOutcome outcome = RunOutcome::Failed;
    std::string checkpoint;
};

struct PollReply
{
    OrderOutcome outcome = OrderOutcome::Unknown;
    std::optional<WorkerClock> clock;
    std::int64_t startedAt = 0; ///< identifies the incarnation of the worker
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended;
    Duration waited{0}; ///< between the arrival of the reply and its handling
    Duration connectionAge{0}; ///< as in OrderReply
    /// Entries that could not be read. A run that is not listed may be one of them.
    std::size_t unreadableEntries = 0;
    /// Number of ended runs before the first of them; nothing: all ended runs could be read.
    std::optional<std::size_t> endsBeforeUnreadable = {};
};

/// Asks the placement advice which of these workers may run a step.
struct AdviceRequest
{
    TaskName step; ///< any task of the step
    std::vector<std::string> workers;
    IssuedCall call = {};
};

struct AdviceReply
{
    CallEnd end = CallEnd::NoAnswer;
    std::map<std::string, std::string> tickets = {}; ///< by worker; other workers are denied
    /// Entries that could not be read. With any of them, the answer denies no worker.
    std::size_t unreadableEntries = 0;
    Duration waited{0}; ///< between the arrival of the reply and its handling
};

/// Sends orders to workers. Each order is answered exactly once, after the call, through the
/// corresponding function of the scheduler, such as startFinished().
struct WorkerOrderHooks
{
    std::function<void(const StartOrder &)> start;
    std::function<void(const StopOrder &)> stop;
    std::function<void(const ThrottleOrder &)> throttle;
    std::function<void(const PollOrder &)> poll;
    std::function<void(const AdviceRequest &)> advise = {};
};

} // namespace Peridot::Jobs
