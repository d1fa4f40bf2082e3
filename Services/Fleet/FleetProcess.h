#pragma once

#include "ClaimSweeper.h"
#include "FleetMetrics.h"
#include "FleetPlanner.h"
#include "FleetSettings.h"
#include "OperatorService.h"
#include <LibMembership/MembershipAgent.h>
#include <LibMembership/PacedStore.h>
#include <LibRpc/RpcServer.h>
#include <LibStore/HttpStore.h>
#include <LibStore/PlatformClient.h>
#include <asio/executor_work_guard.hpp>
#include <memory>
#include <string>
#include <thread>

namespace Peridot {

/// One fleet process. Membership, planning and calls of operators run on different threads, so that
/// a slow planning pass delays neither heartbeats nor lease renewals.
class FleetProcess
{
public:
    explicit FleetProcess(FleetSettings settings);
    ~FleetProcess();
    FleetProcess(const FleetProcess &) = delete;
    FleetProcess &operator=(const FleetProcess &) = delete;

    /// Errors: ConnectionFailed when an address cannot be bound, UnknownPlugin.
    Result<void> start();
    /// Releases leases and the member row. Returns whether everything was released in time.
    bool stop();
    /// Reads the certificate for operators again and logs the result.
    void reloadCertificate();

    const std::string &instance() const { return m_instance; }
    std::uint16_t operatorPort() const { return m_rpc->port(); }

private:
    MembershipAgentSettings agentSettings() const;
    MembershipHooks hooks();
    void configurationChanged(std::uint64_t version, const std::string &manifest);
    void agentTicked(MembershipNode &node, TimePoint now);
    void updateSharedLeases();
    RpcPage page(const std::string &path);
    std::string metricsText();

    FleetSettings m_settings;
    std::string m_instance;
    asio::io_context m_fleetContext{1};
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::shared_ptr<HttpChannel> m_fleetChannel;
    HttpStore m_fleetHttpStore;
    PacedStore m_fleetStore;
    PlatformClient m_platform;
    FleetPlanner m_planner;
    ClaimSweeper m_sweeper;
    std::unique_ptr<RpcServer> m_rpc;
    PacedStore *m_agentStore = nullptr; ///< owned by the agent
    std::unique_ptr<MembershipAgent> m_agent;
    std::unique_ptr<OperatorService> m_operators;
    FleetMetrics m_metrics;
    std::thread m_fleetThread;
    std::size_t m_processes = 0; ///< used on the thread of the agent only
    std::vector<std::string> m_poolLeases; ///< used on the thread of the planner only
    std::atomic<std::size_t> m_heldLeases{0};
    std::atomic<std::uint64_t> m_version{0};
    std::atomic<bool> m_holdsConfiguration{false}; ///< holder of the lease that sweeps claim rows
    bool m_started = false;
};

} // namespace Peridot
