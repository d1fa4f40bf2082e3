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

/// Calls into the request path from membership, configuration and peers. Any thread may use them
/// while the process exists.
struct EntryHooks
{
    std::function<void(EntryMembers)> onMembersChanged;
    std::function<void(std::shared_ptr<const RoutingTable>)> onRoutingTable;
    std::function<void(TimePoint leaseEnd)> onLease;
    std::function<void(std::string backendServer, bool leaving)> onBackendServerLeaving;
    std::function<void(std::string instance, std::string message)> onPeerMessage;
};

/// One entry process: servers, dispatcher and their wiring. Without a control part it is its own
/// only member, holds a lease of its own and uses the routing table of its settings.
class EntryProcess
{
public:
    /// Parts supplied by the process that embeds this one.
    struct Parts
    {
        ClaimStoreFactory makeClaims; ///< required
        PeerSender sendPeerMessage; ///< may be empty
        bool standalone = true; ///< false: membership and lease arrive through hooks()
        Clock clock; ///< empty: wall clock that never steps back
        /// Whether requests may be accepted and sent now; any thread. Empty: while the lease lasts.
        std::function<bool()> mayServe;
    };

    static Result<std::unique_ptr<EntryProcess>> start(const EntrySettings &settings, Parts parts);
    ~EntryProcess();
    EntryProcess(const EntryProcess &) = delete;
    EntryProcess &operator=(const EntryProcess &) = delete;

    const EntryHooks &hooks() const { return m_hooks; }
    const std::string &instance() const { return m_instance; }
    std::uint16_t callerPort() const { return m_callerServer->port(); }
    std::uint16_t administrationPort() const { return m_administration->port(); }

    /// Why the process is not ready for callers; empty when it is.
    std::string unreadyReason() const;

    /// Graceful stop: unready at once, refuses new requests as not run, lets those in flight finish
    /// and their answers be written. Blocks, at most for the stop limit of the settings. Returns
    /// whether every request ended.
    bool stop();

    /// Reads the certificates of the two HTTP servers again and logs the result of each.
    void reloadCertificates();

private:
    EntryProcess(const EntrySettings &settings, Parts parts);

    Result<void> open();
    void makeHooks();
    void publishRoutingTable(std::shared_ptr<const RoutingTable> table);
    void handleRequest(RequestMessage message, const std::shared_ptr<HttpResponder> &responder);
    void refuse(Refusal refusal, const RequestMessage &message, HttpResponder &responder);
    void handleAdministration(const RequestMessage &message,
                              const std::shared_ptr<HttpResponder> &responder);
    void sendState(const RequestMessage &message, const std::shared_ptr<HttpResponder> &responder);

    EntrySettings m_settings;
    Parts m_parts;
    std::string m_instance;
    EntryHooks m_hooks;
    EntryMetrics m_metrics;
    RequestLog m_log;
    RoutingSnapshotPointer m_routing;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::int64_t> m_leaseEnd{0}; ///< nanoseconds since the epoch
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<HttpServer> m_callerServer;
    std::unique_ptr<HttpServer> m_administration;
};

} // namespace Peridot
