#pragma once

#include "RequestState.h"

#include <Kernel/Request/AdmissionPolicy.h>
#include <Kernel/Request/BackendServerPool.h>
#include <Kernel/Request/ClaimLedger.h>
#include <Kernel/Request/RequestKernel.h>
#include <Kernel/Request/RetryBudget.h>
#include <Kernel/Request/ServiceCounters.h>
#include <deque>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace Peridot {

/// Implementation of the request kernel. Takes each request through claim lookup, queue, slot
/// reservation, claim, attempt and answer, and connects the admission policy, the pool of backend
/// servers and the claim ledger.
class RequestDispatcher : public RequestKernel
{
public:
    RequestDispatcher(const RequestKernelSettings &settings,
                      std::unique_ptr<AdmissionPolicy> admission,
                      std::unique_ptr<RoutingPolicy> routing);

    void routingTableChanged(TimePoint now, std::shared_ptr<const RoutingTable> table) override;
    void membersChanged(TimePoint now, const EntryMembers &members) override;
    void backendServerLeaving(TimePoint now, const std::string &backendServer,
                              bool leaving) override;
    void requestArrived(TimePoint now, const RequestDescription &request) override;
    void requestCancelled(TimePoint now, RequestToken token) override;
    void attemptFinished(TimePoint now, std::uint64_t attempt, AttemptStatus status,
                         std::shared_ptr<const RecordedAnswer> answer) override;
    void claimRead(TimePoint now, RequestToken token, ReadStatus status, const Row &row) override;
    void claimCommitted(TimePoint now, RequestToken token, const CommitResult &result) override;
    void peerMessageReceived(TimePoint now, const std::string &instance,
                             const std::string &message) override;
    void leaseChanged(TimePoint now, TimePoint leaseEnd) override;
    void tick(TimePoint now) override;
    void stopRequested(TimePoint now) override;
    std::vector<RequestAction> takeActions() override;
    std::size_t openRequests() const override;
    std::string dumpState(TimePoint now) const override;

private:
    using Phase = RequestState::Phase;

    struct Service
    {
        std::string name;
        bool inRoutingTable = false;
        RetryBudget budget;
        ServiceCounters counters;
        Duration lastWait{0}; ///< queueing time of the last request that left the queue
        TimePoint lastWaitAt;
    };

    // Arrival
    std::optional<RefusalReason> checkArrival(TimePoint now, const RequestDescription &request,
                                              ServiceIndex &service) const;
    std::optional<RefusalReason> checkClaimable(TimePoint now);
    std::optional<RefusalReason> checkQueue(TimePoint now, const RequestDescription &request,
                                            ServiceIndex service);
    Duration expectedWait(TimePoint now, ServiceIndex service, Urgency urgency) const;
    /// Refuses the least urgent waiting request of the service if it is less urgent than \a
    /// urgency.
    bool evictLessUrgent(TimePoint now, ServiceIndex service, Urgency urgency);
    /// OverShare if the service uses at least its share of the slots, else \a otherwise.
    RefusalReason overloadReason(ServiceIndex service, RefusalReason otherwise) const;
    RequestState &addRequest(const RequestDescription &description, ServiceIndex service);
    void admit(TimePoint now, RequestState &request);

    // Request life cycle
    void enqueue(TimePoint now, RequestState &request, bool front);
    void dispatchWaiting(TimePoint now);
    bool startNext(TimePoint now);
    /// Keeps a request out of the queue until fewer claims are in progress.
    void postponeClaim(TimePoint now, RequestState &request);
    void requeuePostponedClaims();
    std::size_t claimLimit() const;
    void endClaiming(RequestState &request);
    void removeFromQueue(RequestState &request);
    void start(TimePoint now, RequestState &request);
    void dispatch(TimePoint now, RequestState &request);
    void freeSlot(TimePoint now, RequestState &request, AttemptResult result);
    AttemptResult attemptResult(TimePoint now, const RequestState &request, AttemptStatus status,
                                const RecordedAnswer *answer) const;
    bool retry(TimePoint now, RequestState &request);
    void attemptNotRun(TimePoint now, RequestState &request, RefusalReason reason);
    void attemptUnknown(TimePoint now, RequestState &request, RefusalReason reason);
    /// Releases the claim of a request that was not run, and refuses the request afterwards.
    void releaseClaim(TimePoint now, RequestState &request, RefusalReason reason);
    void refuse(TimePoint now, RequestState &request, RefusalReason reason);
    bool isNotRun(TimePoint now, const RequestState &request) const;
    bool mayRecordRefusal(TimePoint now, const RequestState &request, RefusalReason reason);
    void recordRefusal(TimePoint now, RequestState &request, RefusalReason reason);
    void answer(TimePoint now, RequestState &request, AnswerRequest action);
    void refuseArrival(TimePoint now, const RequestDescription &request,
                       std::optional<ServiceIndex> service, RefusalReason reason);
    void refuseWithoutServers(TimePoint now);
    Duration retryAfter(TimePoint now, std::optional<ServiceIndex> service,
                        RefusalReason reason) const;

    // Claims
    ClaimLedger::Hooks claimHooks();
    void claimRepeated(TimePoint now, RequestToken token, const RepeatAnswer &repeat);
    void claimStoreFailed(TimePoint now, RequestToken token);

    // Time
    void advance(TimePoint now);
    void setTimer(RequestState &request, TimePoint time);
    void clearTimer(RequestState &request);
    void timerExpired(TimePoint now, RequestState &request);
    /// Dispatches waiting requests and sends the slot messages that are due.
    void finishEvent(TimePoint now);
    bool leaseIsLive(TimePoint now) const { return now < m_leaseEnd; }
    RequestState *find(RequestToken token);

    const RequestKernelSettings m_settings;
    std::unique_ptr<AdmissionPolicy> m_admission;
    BackendServerPool m_pool;
    ClaimLedger m_claims;
    std::shared_ptr<const RoutingTable> m_table;
    std::unordered_map<std::string, ServiceIndex> m_serviceIndex;
    std::vector<Service> m_services;
    std::unordered_map<RequestToken, RequestState> m_requests;
    std::unordered_map<std::uint64_t, RequestToken> m_attempts;
    std::set<std::pair<TimePoint, RequestToken>> m_timers;
    std::unordered_set<std::string> m_members;
    std::vector<RequestAction> m_actions;
    std::vector<ServiceIndex>
        m_servicesWithoutSlot; ///< services skipped for the rest of the current dispatch pass
    std::deque<RequestToken>
        m_postponedClaims; ///< wait until fewer claims are in progress; some may have ended
    std::size_t m_claiming = 0; ///< number of claims in progress that hold a slot
    Duration m_attemptLimit;
    TimePoint m_leaseEnd;
    TimePoint m_lastEvent;
    std::optional<TimePoint> m_suspendedUntil;
    std::uint64_t m_lastAttempt = 0;
    std::uint64_t m_lastSequence = 0;
    std::uint64_t m_invalidMessages = 0;
    unsigned m_goneMessages = 0;
    bool m_isMember = false;
    bool m_stopping = false;
};

} // namespace Peridot
