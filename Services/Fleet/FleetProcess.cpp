#include "FleetProcess.h"

#include <Kernel/Fleet/FleetKeys.h>
#include <LibBase/Json.h>
#include <LibBase/Log.h>
#include <LibMembership/ConfigurationManifest.h>
#include <LibMembership/InstanceName.h>
#include <LibStore/AsioExecutor.h>
#include <asio/post.hpp>
#include <future>
#include <random>
#include <utility>

namespace Peridot {

namespace {

// Longest time a page waits for the thread of the planner.
constexpr auto pageLimit = std::chrono::seconds(5);

HttpChannelSettings channelSettings(const FleetSettings &settings, const std::string &instance)
{
    HttpChannelSettings channel;
    channel.address = settings.storeUrl;
    channel.instance = instance;
    return channel;
}

StorePacerSettings pacerSettings(const FleetSettings &settings)
{
    StorePacerSettings pacer;
    pacer.writesPerSecond = settings.writesPerSecond;
    pacer.readsPerSecond = settings.readsPerSecond;
    return controlPacing(pacer);
}

FleetPlannerSettings plannerSettings(const FleetSettings &settings, const std::string &instance)
{
    FleetPlannerSettings planner;
    planner.instance = instance;
    planner.placementPolicy = settings.placementPolicy;
    planner.planPeriod = settings.planPeriod;
    planner.seed = std::random_device{}();
    planner.clock = processNow;
    return planner;
}

} // namespace

FleetProcess::FleetProcess(FleetSettings settings)
    : m_settings(std::move(settings)), m_instance(makeInstanceName(m_settings.instancePrefix)),
      m_work(asio::make_work_guard(m_fleetContext)),
      m_fleetChannel(std::make_shared<HttpChannel>(channelSettings(m_settings, m_instance),
                                                   asioExecutor(m_fleetContext.get_executor()))),
      m_fleetHttpStore(m_fleetChannel),
      m_fleetStore(m_fleetContext, m_fleetHttpStore, pacerSettings(m_settings), 1, processNow),
      m_platform(m_fleetChannel),
      m_planner(m_fleetContext, m_fleetStore, m_platform, plannerSettings(m_settings, m_instance)),
      m_sweeper(m_fleetContext, m_fleetStore, processNow,
                [this] { return m_holdsConfiguration.load(); })
{
}

FleetProcess::~FleetProcess()
{
    if (m_started)
        stop();
}

MembershipAgentSettings FleetProcess::agentSettings() const
{
    MembershipAgentSettings settings;
    settings.node.self.instance = m_instance;
    settings.node.self.role = MemberRole::Fleet;
    settings.node.self.dataCentre = m_settings.dataCentre;
    settings.node.self.peerAddress = m_settings.advertisedPeerAddress;
    settings.node.peers = m_settings.peers;
    settings.node.timing = m_settings.timing;
    settings.peer.address = m_settings.peerAddress;
    settings.peer.sharedKey = m_settings.peerKey;
    return settings;
}

MembershipHooks FleetProcess::hooks()
{
    MembershipHooks hooks;
    hooks.onConfiguration = [this](std::uint64_t version, const std::string &manifest) {
        configurationChanged(version, manifest);
    };
    hooks.onTick = [this](MembershipNode &node, TimePoint now) {
        agentTicked(node, now);
    };
    return hooks;
}

Result<void> FleetProcess::start()
{
    RpcServerSettings rpc;
    rpc.address = m_settings.operatorAddress;
    rpc.port = m_settings.operatorPort;
    if (m_settings.operatorTls) {
        rpc.certificateFile = m_settings.operatorTls->certificateFile;
        rpc.keyFile = m_settings.operatorTls->keyFile;
    }
    m_rpc
        = std::make_unique<RpcServer>(rpc, [this](const std::string &path) { return page(path); });
    m_agent = std::make_unique<MembershipAgent>(
        agentSettings(),
        [this](asio::io_context &context) {
            auto http = std::make_unique<HttpStore>(channelSettings(m_settings, m_instance),
                                                    asioExecutor(context.get_executor()));
            auto paced = std::make_unique<PacedStore>(context, std::move(http),
                                                      pacerSettings(m_settings), 2, processNow);
            m_agentStore = paced.get();
            return paced;
        },
        hooks());
    m_operators = std::make_unique<OperatorService>(m_settings.operators, m_instance, *m_agent,
                                                    m_fleetContext, m_planner);
    m_operators->addMethods(*m_rpc);
    if (!m_rpc->start())
        return makeError(ErrorCode::ConnectionFailed,
                         m_settings.operatorAddress + ':' + std::to_string(m_settings.operatorPort),
                         "the port is in use, or operator_tls is unusable");
    m_agent->setServiceAddress(m_settings.operatorAddress + ':' + std::to_string(m_rpc->port()));
    BOOST_LEAF_CHECK(m_planner.start());
    m_sweeper.start();
    BOOST_LEAF_CHECK(m_agent->start());
    m_fleetThread = std::thread([this] { m_fleetContext.run(); });
    m_started = true;
    logEvent(LogLevel::Info, "fleet-started",
             {{"instance", m_instance}, {"operator_port", static_cast<int>(m_rpc->port())}});
    return {};
}

void FleetProcess::reloadCertificate()
{
    if (m_rpc->reloadCertificate())
        logEvent(LogLevel::Info, "certificate-reloaded", {{"port", int(m_rpc->port())}});
    else
        logEvent(LogLevel::Error, "certificate-unusable", {{"port", int(m_rpc->port())}});
}

bool FleetProcess::stop()
{
    m_started = false;
    // No call is accepted any more, then nothing is planned any more, then the leases go.
    m_rpc->stop();
    asio::post(m_fleetContext, [this] {
        m_planner.stop();
        m_sweeper.stop();
        m_fleetContext.stop();
    });
    m_fleetThread.join();
    const bool released = m_agent->stop();
    logEvent(LogLevel::Info, "fleet-stopped", {{"released", released}});
    return released;
}

void FleetProcess::configurationChanged(std::uint64_t version, const std::string &manifest)
{
    m_version = version;
    auto parsed = parseConfigurationManifest(version, manifest);
    if (!parsed)
        return;
    asio::post(m_fleetContext, [this, parsed = std::move(parsed), version] {
        m_planner.setManifest(parsed, version);
        updateSharedLeases();
    });
}

void FleetProcess::updateSharedLeases()
{
    std::vector<std::string> names;
    for (const auto &pool : m_planner.view().poolNames())
        names.push_back(poolLeaseName(pool));
    if (names == m_poolLeases)
        return;
    m_poolLeases = names;
    m_agent->post([names](MembershipNode &node, TimePoint) { node.setSharedLeases(names); });
}

void FleetProcess::agentTicked(MembershipNode &node, TimePoint now)
{
    m_operators->deliverProposals(node);
    const std::size_t processes = node.liveProcesses(now);
    if (processes != m_processes) {
        m_processes = processes;
        m_agentStore->setProcesses(processes * storeUsersPerProcess);
        asio::post(m_fleetContext, [this, processes] {
            m_fleetStore.setProcesses(processes * storeUsersPerProcess);
        });
    }
    auto leases = node.heldLeases(now);
    m_holdsConfiguration = leases.erase(configurationLeaseName) != 0;
    m_heldLeases = leases.size();
    asio::post(m_fleetContext, [this, leases = std::move(leases)] {
        m_planner.setLeases(leases);
        updateSharedLeases();
    });
}

RpcPage FleetProcess::page(const std::string &path)
{
    if (path == "/health") {
        const ServingState state = m_agent->servingState();
        return {mayServe(state) ? 200 : 503, "text/plain",
                std::string(servingStateNames.nameOf(state)) + '\n'};
    }
    if (path == "/metrics")
        return {200, "text/plain; version=0.0.4", metricsText()};
    if (path == "/state")
        return {200, "application/json", writeIndentedJson(m_operators->dump()) + '\n'};
    return {404, "text/plain", "unknown page\n"};
}

std::string FleetProcess::metricsText()
{
    auto text = std::make_shared<std::promise<std::string>>();
    auto future = text->get_future();
    asio::post(m_fleetContext, [this, text] {
        m_metrics.updatePools(poolStatuses(m_planner.view(), processNow()));
        m_metrics.updatePlanner(m_planner.counters());
        m_metrics.updateMembership(m_version, m_agent->servingState(), m_heldLeases);
        m_metrics.updateStore(m_fleetStore.reads(), m_fleetStore.writes());
        text->set_value(m_metrics.text());
    });
    if (future.wait_for(pageLimit) != std::future_status::ready)
        return "# the planner did not answer in time\n";
    return future.get();
}

} // namespace Peridot
