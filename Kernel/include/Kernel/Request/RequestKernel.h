#pragma once

#include <Kernel/Request/RequestTypes.h>
#include <Kernel/Request/RetryBudget.h>
#include <Kernel/Request/RoutingTable.h>
#include <LibBase/Error.h>
#include <LibBase/Time.h>
#include <LibStore/Transaction.h>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Peridot {

/// Sends the request to a backend server. The process reports the result with attemptFinished().
struct StartAttempt
{
    RequestToken token = 0;
    std::uint64_t attempt = 0; ///< id of the attempt, unique in the process
    std::string backendServer;
    TimePoint deadline;
};

/// Reads the claim row of a request. The process reports the result with claimRead().
struct ReadClaim
{
    RequestToken token = 0;
    std::string key;
};

/// Commits one row of the claim ledger. The process groups these writes and reports each with
/// claimCommitted().
struct CommitClaim
{
    RequestToken token = 0;
    std::string operationId;
    RowCheck check;
    RowWrite write;
};

/// Answers the caller of a request. With Outcome::Answer and no recorded answer, the process
/// forwards the answer to \c attempt.
struct AnswerRequest
{
    RequestToken token = 0;
    Outcome outcome = Outcome::Unknown;
    RefusalReason reason = RefusalReason::None;
    Duration retryAfter{0};
    std::uint64_t attempt = 0;
    std::shared_ptr<const RecordedAnswer> recorded;
};

/// Sends a slot message (JSON text) to the entry process \c instance. Messages may be lost.
struct SendPeerMessage
{
    std::string instance;
    std::string message;
};

using RequestAction
    = std::variant<StartAttempt, ReadClaim, CommitClaim, AnswerRequest, SendPeerMessage>;

/// Defects that tests inject to prove that their checks detect them.
struct ClaimDefects
{
    bool ignoreCallerAttempt = false; ///< any copy may claim a released row
    bool refuseUnrecorded = false; ///< a repeat is refused as not run without a row that proves it
    bool ignoreLostRefusal = false; ///< a refusal counts as recorded although its commit failed
};

struct RequestKernelSettings
{
    std::string instance; ///< name of this entry process, unique for each start
    std::string admissionPolicy = "fair-share";
    std::string routingPolicy = "lent-slots";
    std::size_t queueLimit = 2000; ///< limit on the waiting requests of one service
    std::uint64_t seed = 1;
    RetryBudgetSettings retries;
    ClaimDefects defects;
};

/// Entry processes with a live lease, in name order, including this one.
struct EntryMembers
{
    std::uint64_t epoch = 0;
    std::vector<std::string> instances;
};

/// Makes the decisions of the request path: admission, slots, routing, claims, retries, outcomes.
/// It is single-threaded, receives events and returns actions. It performs no input or output, and
/// each event carries the current time.
class RequestKernel
{
public:
    /// Errors: UnknownPlugin when a policy of the settings is not registered.
    static Result<std::unique_ptr<RequestKernel>> create(const RequestKernelSettings &settings);

    virtual ~RequestKernel() = default;

    virtual void routingTableChanged(TimePoint now, std::shared_ptr<const RoutingTable> table) = 0;
    virtual void membersChanged(TimePoint now, const EntryMembers &members) = 0;
    /// A source other than the routing table reported that the backend server is leaving, or is
    /// back.
    virtual void backendServerLeaving(TimePoint now, const std::string &backendServer, bool leaving)
        = 0;

    virtual void requestArrived(TimePoint now, const RequestDescription &request) = 0;
    /// The caller has disconnected. A request that may have been sent continues, and its outcome is
    /// recorded. Each request ends with exactly one AnswerRequest, including cancelled ones.
    virtual void requestCancelled(TimePoint now, RequestToken token) = 0;
    virtual void attemptFinished(TimePoint now, std::uint64_t attempt, AttemptStatus status,
                                 std::shared_ptr<const RecordedAnswer> answer)
        = 0;
    virtual void claimRead(TimePoint now, RequestToken token, ReadStatus status, const Row &row)
        = 0;
    virtual void claimCommitted(TimePoint now, RequestToken token, const CommitResult &result) = 0;
    virtual void peerMessageReceived(TimePoint now, const std::string &instance,
                                     const std::string &message)
        = 0;
    /// Sets the end of the membership lease. Without a valid lease, no claims are written.
    virtual void leaseChanged(TimePoint now, TimePoint leaseEnd) = 0;
    virtual void tick(TimePoint now) = 0;
    /// Starts a stop: new requests are refused as not run, and those in flight are finished.
    virtual void stopRequested(TimePoint now) = 0;

    /// Actions since the last call, in order.
    virtual std::vector<RequestAction> takeActions() = 0;
    /// Number of requests that are not answered or not recorded yet. A stop is complete at 0.
    virtual std::size_t openRequests() const = 0;
    /// State of queues, slots, backend servers, claims and budgets as JSON, for diagnosis and
    /// metrics.
    virtual std::string dumpState(TimePoint now) const = 0;
};

} // namespace Peridot
