#pragma once

#include "Dispatcher.h"
#include "EntrySettings.h"
#include "RoutingSnapshot.h"
#include <LibHttp/HttpServer.h>
#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace Peridot {

/// Functions by which membership, configuration and peers notify the request path. They may be
/// called on any thread while the process exists.
struct EntryHooks
{
    std::function<void(EntryMembers)> onMembersChanged;
    std::function<void(std::shared_ptr<const RoutingTable>)> onRoutingTable;
    std::function<void(TimePoint leaseEnd)> onLease;
    std::function<void(std::string backendServer, bool leaving)> onBackendServerLeaving;
    std::function<void(std::string instance, std::string message)> onPeerMessage;
};

/// One entry process: its HTTP servers, the dispatcher, and the connections between them. Without
/// an EntryMembership it is the only member, always holds a lease, and uses the routing table of
/// its settings.
class EntryProcess
{
public:
    /// Dependencies that the owner of this object provides.
    struct Dependencies
    {
        ClaimStoreFactory makeClaims; ///< required
        PeerSender sendPeerMessage; ///< may be empty
        bool standalone = true; ///< false: membership and lease are set through hooks()
        Clock clock; ///< empty: a monotonic wall clock
        /// Whether requests may be accepted and sent now; called on any thread. Empty: true until
        /// the end of the lease.
        std::function<bool()> mayServe;
    };

    static Result<std::unique_ptr<EntryProcess>> start(const EntrySettings &settings,
                                                       Dependencies dependencies);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    const EntryHooks &hooks() const { return m_hooks; }
    const std::string &instance() const { return m_instance; }
    std::uint16_t callerPort() const { return m_callerServer->port(); }
    std::uint16_t administrationPort() const { return m_administrationServer->port(); }

    /// Why the process is not ready for callers; empty when it is ready.
    std::string unreadyReason() const;

    /// Stops gracefully: becomes unready immediately, refuses new requests as not run, and waits
    /// until those in flight are finished and their answers are written, at most for the stop limit
    /// of the settings. Returns whether every request has ended.
    bool stop();

    /// Reads the certificates of the two HTTP servers again and logs the result of each.
    void reloadCertificates();

private:
    EntryProcess(const EntrySettings &settings, Dependencies dependencies);

    Result<void> open();
    void makeHooks();
    void publishRoutingTable(std::shared_ptr<const RoutingTable> table);
    void handleRequest(RequestMessage message, const std::shared_ptr<HttpResponder> &responder);
    void refuse(Refusal refusal, const RequestMessage &message, HttpResponder &responder);
    void handleAdministration(const RequestMessage &message,
                              const std::shared_ptr<HttpResponder> &responder);
    void sendState(const RequestMessage &message, const std::shared_ptr<HttpResponder> &responder);

    EntrySettings m_settings;
    Dependencies m_dependencies;
    std::string m_instance;
    EntryHooks m_hooks;
    EntryMetrics m_metrics;
    RequestLog m_log;
    RoutingSnapshotPointer m_routing;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::int64_t> m_leaseEnd{0}; ///< nanoseconds since the epoch
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_administrationServer;
};

} // namespace Peridot
