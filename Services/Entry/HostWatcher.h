#pragma once

#include <Kernel/Fleet/FleetView.h>
#include <Kernel/Request/RoutingTable.h>
#include <LibBase/OneShotTimer.h>
#include <LibStore/PlatformClient.h>
#include <LibStore/Store.h>
#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Peridot {

/// Builds the routing table from the manifest in force, the host rows and the platform's list of
/// hosts, and publishes it whenever it has changed. While the store or the list cannot be read, the
/// last known rows stay in use. Runs on the thread of the context.
class HostWatcher
{
public:
    using Publish = std::function<void(std::shared_ptr<const RoutingTable>)>;

    HostWatcher(asio::io_context &context, Store &store, PlatformClient &platform,
                std::function<TimePoint()> clock, Publish publish);

    void start();
    void stop();
    void setManifest(std::shared_ptr<const Manifest> manifest, std::uint64_t version);

private:
    void beginPass();
    void scan(const std::string &startAfter);
    void scanFinished();
    void listHosts();
    void schedule();
    void publish();

    OneShotTimer m_timer;
    Store &m_store;
    PlatformClient &m_platform;
    std::function<TimePoint()> m_clock;
    Publish m_publish;
    FleetView m_view;
    std::vector<Row> m_scanned;
    std::shared_ptr<const RoutingTable> m_table;
    bool m_stopped = false;
};

} // namespace Peridot
