#include "HostSession.h"

#include <LibBase/Json.h>
#include <LibBase/Log.h>
#include <charconv>
#include <utility>

namespace Peridot::Jobs {

namespace {

constexpr std::string_view wavePrefix = "wave/";
constexpr std::chrono::milliseconds listPeriod{1000};
constexpr std::chrono::milliseconds busyListPeriod{300}; ///< while hosts are on their way
constexpr std::chrono::milliseconds planPeriod{100};
constexpr std::chrono::milliseconds retryPause{200};
constexpr std::size_t scanPage = 500; ///< rows

std::string waveKey(std::uint64_t wave)
{
    return std::string(wavePrefix) + std::to_string(wave);
}

std::string encodeDone(const std::set<std::string> &done)
{
    Json::Value hosts(Json::arrayValue);
    for (const auto &host : done)
        hosts.append(host);
    Json::Value value(Json::objectValue);
    value["done"] = std::move(hosts);
    return writeJson(value);
}

std::set<std::string> decodeDone(const Row &row)
{
    std::set<std::string> done;
    const Json::Value value
        = valueOrElse([&] { return parseJson(row.value); },
                      [&](const Error &error) {
                          // Maintenance that is ordered again is answered as done by the provider.
                          logEvent(LogLevel::Warning, "row-unreadable",
                                   {{"key", row.key}, {"error", describe(error)}});
                          return Json::Value(Json::objectValue);
                      });
    for (const auto &host : value["done"]) {
        if (host.isString())
            done.insert(host.asString());
    }
    return done;
}

} // namespace

HostSession::HostSession(asio::io_context &context, const PlatformPorts &ports, std::uint64_t epoch,
                         RowCheck epochCheck, HostPlannerTiming timing, Hooks hooks)
    : m_ports(ports), m_epochCheck(std::move(epochCheck)), m_hooks(std::move(hooks)),
      m_planner(epoch, timing, plannerHooks(), m_hooks.clock()), m_listTimer(context),
      m_loadTimer(context)
{
}

HostPlannerHooks HostSession::plannerHooks()
{
    HostPlannerHooks hooks;
    hooks.order = [this](const HostOrder &order) {
        sendOrder(order);
    };
    hooks.waveCompleted = [this](std::uint64_t wave) {
        writeWave(wave, true);
    };
    hooks.deposed = [this] {
        m_hooks.deposed();
    };
    hooks.observe = [](std::string_view kind, const std::string &host, const std::string &detail) {
        logEvent(LogLevel::Info, kind, {{"host", host}, {"detail", detail}});
    };
    return hooks;
}

void HostSession::start()
{
    if (!m_ports.listHosts)
        return;
    loadWaves();
    listHosts();
}

void HostSession::loadWaves()
{
    m_ports.store->scan(std::string(wavePrefix), {}, scanPage,
                        [this, alive = std::weak_ptr(m_alive)](const ReadResult &result) {
                            if (alive.expired())
                                return;
                            if (result.status != ReadStatus::Ok) {
                                m_loadTimer.expires_after(retryPause);
                                m_loadTimer.async_wait([this](const asio::error_code &error) {
                                    if (!error)
                                        loadWaves();
                                });
                                return;
                            }
                            for (const Row &row : result.rows) {
                                const auto number = std::strtoull(
                                    row.key.c_str() + wavePrefix.size(), nullptr, 10);
                                m_loadedDone[number] = decodeDone(row);
                            }
                            m_wavesLoaded = true;
                            for (const auto &[number, wave] : m_waves)
                                m_planner.setWave(m_hooks.clock(), wave, m_loadedDone[number]);
                        });
}

void HostSession::setWave(const MaintenanceWave &wave)
{
    if (!m_waves.emplace(wave.number, wave).second)
        return;
    if (m_wavesLoaded)
        m_planner.setWave(m_hooks.clock(), wave, m_loadedDone[wave.number]);
    writeWave(wave.number, false);
}

void HostSession::listHosts()
{
    const TimePoint asked = m_hooks.clock();
    m_ports.listHosts([this, asked, alive = std::weak_ptr(m_alive)](const auto &hosts) {
        if (alive.expired())
            return;
        if (hosts)
            m_planner.setHosts(asked, *hosts);
        const bool busy = m_planner.changesUnderWay();
        if (busy)
            m_hooks.listChanged();
        m_listTimer.expires_after(busy ? busyListPeriod : listPeriod);
        m_listTimer.async_wait([this](const asio::error_code &error) {
            if (!error)
                listHosts();
        });
    });
}

void HostSession::plan(JobScheduler &scheduler, const JobConfiguration &configuration)
{
    const TimePoint now = m_hooks.clock();
    if (m_listApplied != m_planner.listAskedAt()) {
        m_listApplied = m_planner.listAskedAt();
        scheduler.setExistingWorkers(now, m_listApplied, m_planner.existingWorkers());
    }
    if (!m_wavesLoaded || now < m_lastPlan + planPeriod || !m_hooks.mayOrder())
        return;
    m_lastPlan = now;
    m_planner.plan(now, scheduler, configuration);
}

void HostSession::sendOrder(const HostOrder &order)
{
    m_ports.orderHost(order, [this, alive = std::weak_ptr(m_alive)](const HostOrder &sent,
                                                                    HostOrderOutcome outcome) {
        if (alive.expired())
            return;
        m_planner.orderFinished(m_hooks.clock(), sent, outcome);
        if (sent.kind == HostOrderKind::Maintain && outcome == HostOrderOutcome::Accepted)
            writeWave(sent.wave, false);
    });
}

void HostSession::writeWave(std::uint64_t wave, bool completed)
{
    Transaction transaction;
    transaction.operationId = waveKey(wave);
    transaction.checks = {m_epochCheck};
    transaction.writes = {m_ports.waveStatus(wave, completed)};
    if (m_wavesLoaded)
        transaction.writes.push_back({waveKey(wave), encodeDone(m_planner.doneHosts(wave))});
    m_ports.store->commit(transaction, [this, wave, completed, alive = std::weak_ptr(m_alive)](
                                           const CommitResult &result) {
        const bool done = result.status == CommitStatus::Committed
                          || result.status == CommitStatus::Conflict; // another process goes on
        if (alive.expired() || done || !completed)
            return;
        writeWave(wave, true);
    });
}

} // namespace Peridot::Jobs
