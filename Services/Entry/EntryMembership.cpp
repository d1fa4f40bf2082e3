#include "EntryMembership.h"

#include <LibBase/Log.h>
#include <LibMembership/ConfigurationManifest.h>
#include <LibMembership/ProcessClock.h>
#include <LibStore/AsioExecutor.h>
#include <LibStore/HttpStore.h>
#include <utility>

namespace Peridot {

namespace {

HttpChannelSettings channelSettings(const EntrySettings &settings, const std::string &instance)
{
    HttpChannelSettings channel;
    channel.address = settings.storeUrl;
    channel.instance = instance;
    return channel;
}

std::string endpointText(const ListenAddress &endpoint, std::uint16_t port)
{
    return endpoint.address + ':' + std::to_string(port);
}

} // namespace

StorePacerSettings storeLimits(const EntrySettings &settings)
{
    StorePacerSettings limits;
    if (settings.membership) {
        limits.writesPerSecond = settings.membership->writesPerSecond;
        limits.readsPerSecond = settings.membership->readsPerSecond;
    }
    return limits;
}

EntryMembership::EntryMembership(const EntrySettings &settings) : m_settings(settings) { }

EntryMembership::~EntryMembership()
{
    if (m_published)
        stop();
}

void EntryMembership::provide(EntryProcess::Dependencies &dependencies)
{
    dependencies.standalone = false;
    dependencies.clock = processNow;
    dependencies.mayServe = [this] {
        const MembershipAgent *agent = m_published;
        return agent && agent->mayServe();
    };
    dependencies.sendPeerMessage = [this](const std::string &instance, const std::string &message) {
        if (MembershipAgent *agent = m_published)
            agent->sendPeerMessage(instance, message);
    };
}

MembershipAgentSettings EntryMembership::agentSettings(const EntryProcess &process) const
{
    MembershipAgentSettings settings;
    settings.node.self.instance = process.instance();
    settings.node.self.role = MemberRole::Entry;
    settings.node.self.dataCentre = m_settings.dataCentre;
    settings.node.self.peerAddress = m_settings.membership->advertisedAddress;
    settings.node.peers = m_settings.membership->peers;
    settings.node.timing = membershipTimingFor(m_settings.membership->lease);
    settings.peer.address = endpointText(m_settings.peers, m_settings.peers.port);
    settings.peer.sharedKey = m_settings.membership->peerKey;
    return settings;
}

MembershipHooks EntryMembership::hooks(EntryProcess &process)
{
    MembershipHooks hooks;
    hooks.onMembersChanged = process.hooks().onMembersChanged;
    hooks.onLease = process.hooks().onLease;
    hooks.onPeerMessage = process.hooks().onPeerMessage;
    hooks.onConfiguration = [this](std::uint64_t version, const std::string &manifest) {
        configurationChanged(version, manifest);
    };
    hooks.onTick = [this](MembershipNode &node, TimePoint now) {
        agentTicked(node, now);
    };
    return hooks;
}

void EntryMembership::makeAgent(EntryProcess &process)
{
    m_agent = std::make_unique<MembershipAgent>(
        agentSettings(process),
        [this, &process](asio::io_context &context) {
            auto http = std::make_unique<HttpStore>(channelSettings(m_settings, process.instance()),
                                                    asioExecutor(context.get_executor()));
            auto paced = std::make_unique<PacedStore>(
                context, std::move(http), controlPacing(storeLimits(m_settings)),
                std::hash<std::string>{}(process.instance()), processNow);
            m_store = paced.get();
            return paced;
        },
        hooks(process));
}

Result<void> EntryMembership::start(EntryProcess &process)
{
    makeAgent(process);
    m_agent->setServiceAddress(endpointText(m_settings.callers, process.callerPort()));
    m_channel = std::make_shared<HttpChannel>(channelSettings(m_settings, process.instance()),
                                              asioExecutor(m_agent->context().get_executor()));
    m_platform = std::make_unique<PlatformClient>(m_channel);
    m_watcher = std::make_unique<HostWatcher>(m_agent->context(), *m_store, *m_platform, processNow,
                                              process.hooks().onRoutingTable);
    BOOST_LEAF_CHECK(m_agent->start());
    m_published = m_agent.get();
    m_agent->post([this](MembershipNode &, TimePoint) { m_watcher->start(); });
    return {};
}

void EntryMembership::stop()
{
    m_agent->post([this](MembershipNode &, TimePoint) { m_watcher->stop(); });
    if (!m_agent->stop())
        logEvent(LogLevel::Warning, "membership-not-released");
    m_published = nullptr;
}

void EntryMembership::configurationChanged(std::uint64_t version, const std::string &manifest)
{
    auto parsed = parseConfigurationManifest(version, manifest);
    if (!parsed)
        return;
    m_watcher->setManifest(std::move(parsed), version);
    logEvent(LogLevel::Info, "configuration-in-force", {{"version", version}});
}

void EntryMembership::agentTicked(MembershipNode &node, TimePoint now)
{
    const std::size_t processes = node.liveProcesses(now);
    if (processes == m_processes || processes == 0)
        return;
    m_processes = processes;
    m_store->setProcesses(processes * storeUsersPerProcess);
}

} // namespace Peridot
