#pragma once

#include "ClaimStore.h"
#include "EntryMetrics.h"
#include "RequestLog.h"
#include "RequestValidator.h"
#include <Kernel/Request/RequestKernel.h>
#include <LibBase/OneShotTimer.h>
#include <LibHttp/BackendTransport.h>
#include <LibHttp/HttpServer.h>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace Peridot {

using PeerSender = std::function<void(const std::string &instance, const std::string &message)>;
using Clock = std::function<TimePoint()>;

struct DispatcherSettings
{
    RequestKernelSettings kernel;
    BackendTransportSettings transport;
    Clock clock;
    PeerSender sendPeerMessage; ///< called on the dispatcher thread
    std::function<bool()> mayServe; ///< called before each attempt; empty: always true
};

/// Owns the request kernel and runs it on one thread: passes events to the kernel and performs its
/// actions. The threads of the transport communicate with the backend servers. The public functions
/// may be called from any thread.
class Dispatcher
{
public:
    /// Errors: those of RequestKernel::create().
    static Result<std::unique_ptr<Dispatcher>> create(DispatcherSettings settings,
                                                      const ClaimStoreFactory &makeClaims,
                                                      EntryMetrics &metrics, RequestLog &log);
    ~Dispatcher();
    Dispatcher(const Dispatcher &) = delete;
    Dispatcher &operator=(const Dispatcher &) = delete;

    void start();
    /// Joins the threads. Requests that are still open get no answer.
    void stop();

    void requestArrived(ValidRequest request, RequestMessage message,
                        std::shared_ptr<HttpResponder> responder);
    void requestCancelled(RequestToken token);
    void routingTableChanged(std::shared_ptr<const RoutingTable> table);
    void membersChanged(EntryMembers members);
    void leaseChanged(TimePoint end);
    void backendServerLeaving(std::string backendServer, bool leaving);
    void peerMessageReceived(std::string instance, std::string message);
    /// Refuses new requests from now on. \a onIdle runs on the dispatcher thread when no request is
    /// open any more.
    void requestStop(std::function<void()> onIdle);
    /// Calls \a callback with the state of the kernel on the dispatcher thread.
    void dumpState(std::function<void(std::string)> callback);

    std::size_t openRequests() const { return m_openCount.load(std::memory_order_relaxed); }

private:
    struct Arrival
    {
        ValidRequest request;
        RequestMessage message;
        std::shared_ptr<HttpResponder> responder;
    };

    struct OpenRequest
    {
        RequestDescription description;
        std::shared_ptr<const RequestMessage> message;
        std::shared_ptr<HttpResponder> responder;
        std::shared_ptr<ServiceGate> gate;
        std::uint64_t answeredAttempt = 0;
        BackendAnswer answer; ///< answer of answeredAttempt
        std::string backendServer; ///< backend server of the latest attempt
        std::string failure; ///< why the latest failed attempt failed, for the caller and the log
        unsigned attempts = 0;
    };

    Dispatcher(DispatcherSettings settings, EntryMetrics &metrics, RequestLog &log);

    void post(std::function<void()> function);
    void takeArrivals();
    void performActions();
    void perform(StartAttempt &action);
    void perform(ReadClaim &action);
    void perform(CommitClaim &action);
    void perform(AnswerRequest &action);
    void perform(SendPeerMessage &action);
    /// Does not perform the resulting actions of the kernel. The caller must call performActions()
    /// at the end of a batch.
    void attemptFinished(RequestToken token, std::uint64_t attempt, const std::string &server,
                         BackendAnswer answer);
    ResponseMessage responseOf(OpenRequest &request, const AnswerRequest &action) const;
    const BackendServerRoute *findServer(const std::string &name) const;
    void updateConnectionLimits();
    void scheduleClaims();
    void scheduleTick();
    void tick();

    DispatcherSettings m_settings;
    EntryMetrics &m_metrics;
    RequestLog &m_log;
    asio::io_context m_context{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    OneShotTimer m_tickTimer;
    OneShotTimer m_claimTimer;
    std::optional<TimePoint> m_claimTimerEnd;
    std::unique_ptr<RequestKernel> m_kernel;
    std::unique_ptr<ClaimStore> m_claims;
    std::unique_ptr<BackendTransport> m_transport;
    std::shared_ptr<const RoutingTable> m_table;
    std::unordered_map<std::string, BackendServerRoute> m_servers;
    std::size_t m_members = 1;
    std::unordered_map<RequestToken, OpenRequest> m_requests;
    std::atomic<std::size_t> m_openCount{0};
    std::mutex m_arrivalMutex;
    std::vector<Arrival> m_arrivals; ///< guarded by m_arrivalMutex
    std::vector<Arrival> m_arrivalBatch;
    std::function<void()> m_onIdle;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Peridot
