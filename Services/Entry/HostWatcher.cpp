#include "HostWatcher.h"

#include <Kernel/Fleet/BuildRoutingTable.h>
#include <Kernel/Fleet/FleetKeys.h>
#include <LibBase/Log.h>
#include <utility>

namespace Peridot {

namespace {

// A leaving backend server must get no new work after 3 s. A pass a second leaves room for one lost
// answer and for the time that the fleet process needs to write the host row.
constexpr std::chrono::seconds watchPeriod{1};
constexpr std::size_t scanPage = 1000;

} // namespace

HostWatcher::HostWatcher(asio::io_context &context, Store &store, PlatformClient &platform,
                         std::function<TimePoint()> clock, Publish publish)
    : m_timer(context), m_store(store), m_platform(platform), m_clock(std::move(clock)),
      m_publish(std::move(publish))
{
}

void HostWatcher::start()
{
    beginPass();
}

void HostWatcher::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void HostWatcher::setManifest(std::shared_ptr<const Manifest> manifest, std::uint64_t version)
{
    m_view.setManifest(std::move(manifest), version);
    publish();
}

void HostWatcher::schedule()
{
    if (m_stopped)
        return;
    m_timer.runAfter(watchPeriod, [this] { beginPass(); });
}

void HostWatcher::beginPass()
{
    if (m_stopped)
        return;
    if (!m_view.manifest())
        return schedule();
    m_scanned.clear();
    scan({});
}

void HostWatcher::scan(const std::string &startAfter)
{
    m_store.scan(std::string(hostPrefix), startAfter, scanPage, [this](const ReadResult &result) {
        if (result.status != ReadStatus::Ok)
            return listHosts();
        m_scanned.insert(m_scanned.end(), result.rows.begin(), result.rows.end());
        if (result.more && !result.rows.empty())
            return scan(result.rows.back().key);
        scanFinished();
        listHosts();
    });
}

void HostWatcher::scanFinished()
{
    const auto absent = m_view.absentRows(m_scanned, {std::string(hostPrefix)});
    m_scanned.insert(m_scanned.end(), absent.begin(), absent.end());
    valueOrElse(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(m_view.applyRows(m_scanned, m_clock()));
            return 0;
        },
        [](const Error &error) {
            logEvent(LogLevel::Error, "host-row-malformed", {{"error", describe(error)}});
            return 0;
        });
}

void HostWatcher::listHosts()
{
    m_platform.listHosts([this](const PlatformReply<HostList> &reply) {
        if (!reply.error)
            m_view.applyReports(reply.value.hosts, m_clock());
        publish();
        schedule();
    });
}

void HostWatcher::publish()
{
    if (!m_view.manifest())
        return;
    auto table = std::make_shared<RoutingTable>(
        buildRoutingTable(*m_view.manifest(), m_view, m_view.manifestVersion()));
    if (m_table && *m_table == *table)
        return;
    m_table = std::move(table);
    logEvent(LogLevel::Info, "routing-table-changed",
             {{"version", m_table->version},
              {"backend_servers", static_cast<std::uint64_t>(m_table->backendServers.size())}});
    m_publish(m_table);
}

} // namespace Peridot
