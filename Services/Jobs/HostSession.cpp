#include "HostSession.h"

#include "RowScan.h"
#include <Kernel/Jobs/TransactionBuilder.h>
#include <LibBase/Json.h>
#include <LibBase/Log.h>
#include <algorithm>
#include <utility>

namespace Peridot::Jobs {

namespace {

constexpr std::string_view wavePrefix = "wave/";
constexpr std::string_view orderPrefix = "host-order/"; ///< latest order by host
constexpr std::chrono::milliseconds listPeriod{1000};
constexpr std::chrono::milliseconds pendingListPeriod{300}; ///< while changes are pending
constexpr std::chrono::milliseconds planPeriod{100}; ///< minimum time between planning passes
constexpr std::chrono::milliseconds retryDelay{200};
constexpr std::chrono::milliseconds peakWritePeriod{1000}; ///< minimum time between two writes
// An order arrives later than at the time that is stored for it: it waits for the transaction, and
// takes a while to the provider. A successor adds the whole delay to its pause.
constexpr std::chrono::milliseconds maximumRecordDelay{500};
constexpr std::chrono::milliseconds maximumOrderDelay{700};
// The provider may carry out an order that it did not answer up to this much later.
constexpr std::chrono::seconds longestLateness{12};

std::string waveKey(std::uint64_t wave)
{
    return std::string(wavePrefix) + std::to_string(wave);
}

std::string encodeProgress(const std::set<std::string> &maintained, std::int64_t requestedStoreTime)
{
    Json::Value hosts(Json::arrayValue);
    for (const auto &host : maintained)
        hosts.append(host);
    Json::Value value(Json::objectValue);
    value["done"] = std::move(hosts);
    value["requested_store_ms"] = static_cast<Json::Int64>(requestedStoreTime);
    return writeJson(value);
}

HostSession::WaveProgress decodeProgress(const Row &row)
{
    HostSession::WaveProgress progress;
    const Json::Value value
        = valueOrElse([&] { return parseJson(row.value); },
                      [&](const Error &error) {
                          // Without the progress, maintenance is ordered again. The provider then
                          // answers that it is already done.
                          logEvent(LogLevel::Warning, "row-unreadable",
                                   {{"key", row.key}, {"error", describe(error)}});
                          return Json::Value(Json::objectValue);
                      });
    if (!value.isObject())
        return progress;
    for (const auto &host : value["done"]) {
        if (host.isString())
            progress.maintained.insert(host.asString());
    }
    if (value["requested_store_ms"].isInt64())
        progress.requestedStoreTime = value["requested_store_ms"].asInt64();
    return progress;
}

/// Row of the latest order for a host: when it was recorded on the clock of the store, in
/// milliseconds, and its kind.
std::string encodeOrder(std::int64_t storeTime, HostOrderKind kind)
{
    return std::to_string(storeTime) + ' ' + std::string(hostOrderKindNames.nameOf(kind));
}

/// Rows of earlier versions name no kind.
bool isMaintenance(const Row &orderRow)
{
    return orderRow.value.ends_with(hostOrderKindNames.nameOf(HostOrderKind::Maintain));
}

} // namespace

HostSession::HostSession(asio::io_context &context, const PlatformPorts &ports, std::uint64_t epoch,
                         RowCheck epochCheck, HostSessionTiming timing, Hooks hooks)
    : m_ports(ports), m_epoch(epoch), m_epochCheck(std::move(epochCheck)),
      m_hooks(std::move(hooks)), m_holderPause(timing.holderPause),
      m_planner(epoch, timing.planner, plannerHooks()), m_listTimer(context)
{
}

HostPlannerHooks HostSession::plannerHooks()
{
    HostPlannerHooks hooks;
    hooks.sendOrder = [this](const HostOrder &order) {
        m_plannedOrders.push_back(order);
    };
    hooks.waveCompleted = [this](std::uint64_t wave) {
        writeWave(wave, WaveStatusWrite{m_ports.waveStatus(wave, true), true});
    };
    hooks.fenced = [this] {
        m_hooks.fenced();
    };
    hooks.observe
        = [this](std::string_view kind, const std::string &host, const std::string &detail) {
              m_hooks.observe(kind);
              logEvent(LogLevel::Info, kind, {{"host", host}, {"detail", detail}});
          };
    return hooks;
}

void HostSession::start()
{
    if (!m_ports.listHosts)
        return;
    loadRows(std::string(wavePrefix));
    loadRows(std::string(orderPrefix));
    loadRows(std::string(peakHistoryKey));
    listHosts();
}

void HostSession::loadRows(const std::string &prefix)
{
    scanAllRows(*m_ports.store, prefix,
                [this, prefix, alive = std::weak_ptr(m_alive)](const ReadResult &result) {
                    if (alive.expired())
                        return;
                    if (result.status != ReadStatus::Ok)
                        return repeatLater([this, prefix] { loadRows(prefix); });
                    if (prefix == wavePrefix)
                        return wavesLoaded(result);
                    prefix == orderPrefix ? ordersLoaded(result) : peaksLoaded(result);
                });
}

void HostSession::repeatLater(std::function<void()> step)
{
    // The timer keeps itself until it has run, because several steps can wait at the same time.
    const auto timer = std::make_shared<OneShotTimer>(m_listTimer.executor());
    timer->runAfter(retryDelay, [timer, step = std::move(step), alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            step();
    });
}

void HostSession::wavesLoaded(const ReadResult &result)
{
    for (const Row &row : result.rows) {
        const auto number = std::strtoull(row.key.c_str() + wavePrefix.size(), nullptr, 10);
        m_initialProgress[number] = decodeProgress(row);
    }
    m_wavesLoaded = true;
    m_loadedStoreTime = result.storeMilliseconds;
    m_loadedAt = m_hooks.clock();
}

void HostSession::ordersLoaded(const ReadResult &result)
{
    m_ordersLoaded = true;
    for (const Row &row : result.rows) {
        const auto orderedAt = std::strtoll(row.value.c_str(), nullptr, 10);
        const Duration age = std::chrono::milliseconds(result.storeMilliseconds - orderedAt);
        const std::string host = row.key.substr(orderPrefix.size());
        const Duration pause = m_holderPause + maximumOrderDelay;
        if (age < pause)
            m_planner.deferOrders(host, m_hooks.clock() + pause - age);
        const Duration lateness = longestLateness + maximumOrderDelay;
        if (isMaintenance(row) && age < lateness)
            m_planner.expectEarlierMaintenance(host, m_hooks.clock() + lateness - age);
    }
}

void HostSession::peaksLoaded(const ReadResult &result)
{
    m_peaksLoaded = true;
    if (result.rows.empty())
        return;
    const TimePoint now = m_hooks.clock();
    const auto fromStoreTime = [&](std::int64_t storeTime) {
        return now + std::chrono::milliseconds(storeTime - result.storeMilliseconds);
    };
    const Row &row = result.rows.front();
    m_planner.restorePeakHistory(
        now, valueOrElse([&] { return parsePeakHistory(row.value, fromStoreTime); },
                         [&](const Error &error) {
                             // Without the row, the peaks are learned again.
                             logEvent(LogLevel::Warning, "row-unreadable",
                                      {{"key", row.key}, {"error", describe(error)}});
                             return PeakHistory{};
                         }));
}

void HostSession::writePeaks(TimePoint now)
{
    const std::uint64_t changes = m_planner.peakChanges();
    if (!m_peaksLoaded || m_peakWriteInFlight || changes == m_writtenPeakChanges
        || now < m_lastPeakWrite + peakWritePeriod)
        return;
    m_lastPeakWrite = now;
    m_peakWriteInFlight = true;
    const auto toStoreTime = [&](TimePoint time) {
        using std::chrono::milliseconds;
        return m_hooks.storeTime() + std::chrono::duration_cast<milliseconds>(time - now).count();
    };
    Transaction transaction;
    transaction.operationId = std::string(peakHistoryKey) + '/' + std::to_string(m_epoch) + '/'
                              + std::to_string(++m_transactionCount);
    transaction.checks = {m_epochCheck};
    transaction.writes
        = {{std::string(peakHistoryKey), encodePeakHistory(m_planner.peakHistory(), toStoreTime)}};
    m_ports.store->commit(
        transaction, [this, changes, alive = std::weak_ptr(m_alive)](const CommitResult &result) {
            if (alive.expired())
                return;
            m_peakWriteInFlight = false;
            // What was not written goes with the next write; after a conflict, another process
            // writes.
            if (result.status == CommitStatus::Committed || result.status == CommitStatus::Conflict)
                m_writtenPeakChanges = changes;
        });
}

void HostSession::addNewWaves()
{
    if (!m_wavesLoaded)
        return;
    for (const auto &[number, wave] : m_hooks.waves()) {
        if (!m_planner.hasWave(number))
            addWave(wave);
    }
}

void HostSession::addWave(const MaintenanceWave &wave)
{
    const auto [entry, isNew] = m_initialProgress.try_emplace(wave.number);
    WaveProgress &progress = entry->second;
    MaintenanceWave request = wave;
    // A process that started after the request reads it late. The row that the first scheduler
    // wrote contains the time at which the request was first read.
    if (progress.requestedStoreTime != 0)
        request.requestedAt
            = std::min(request.requestedAt, fromStoreTime(progress.requestedStoreTime));
    else
        progress.requestedStoreTime = toStoreTime(request.requestedAt);
    m_planner.addWave(request, progress.maintained);
    if (isNew)
        writeWave(wave.number, WaveStatusWrite{m_ports.waveStatus(wave.number, false), false});
}

TimePoint HostSession::fromStoreTime(std::int64_t storeTime) const
{
    return m_loadedAt + std::chrono::milliseconds(storeTime - m_loadedStoreTime);
}

std::int64_t HostSession::toStoreTime(TimePoint time) const
{
    using std::chrono::milliseconds;
    return m_loadedStoreTime + std::chrono::duration_cast<milliseconds>(time - m_loadedAt).count();
}

void HostSession::listHosts()
{
    const TimePoint requestedAt = m_hooks.clock();
    m_ports.listHosts([this, requestedAt, alive = std::weak_ptr(m_alive)](const auto &list) {
        if (alive.expired())
            return;
        if (list)
            m_planner.setHosts(requestedAt, *list);
        const bool pending = m_planner.hasPendingChanges();
        if (pending)
            m_hooks.refreshWorkers();
        m_listTimer.runAfter(pending ? pendingListPeriod : listPeriod, [this] { listHosts(); });
    });
}

void HostSession::plan(JobScheduler &scheduler, const JobConfiguration &configuration)
{
    const TimePoint now = m_hooks.clock();
    addNewWaves();
    if (m_appliedListRequestedAt != m_planner.listRequestedAt()) {
        m_appliedListRequestedAt = m_planner.listRequestedAt();
        if (m_planner.isListComplete())
            scheduler.setExistingWorkers(now, m_appliedListRequestedAt,
                                         m_planner.existingWorkers());
    }
    const bool ready = m_wavesLoaded && m_ordersLoaded && m_hooks.storeTime() != 0;
    if (!ready || now < m_lastPlan + planPeriod || !m_hooks.leaseHeld())
        return;
    m_lastPlan = now;
    m_planner.plan(now, scheduler, configuration);
    recordOrders(std::exchange(m_plannedOrders, {}));
    writePeaks(now);
}

void HostSession::recordOrders(std::vector<HostOrder> orders)
{
    // The next lease holder sends no order for a host before holderPause has passed since the
    // latest one, so the times of orders are stored before the orders are sent.
    while (!orders.empty()) {
        TransactionBuilder builder("host-orders/" + std::to_string(m_epoch) + '/'
                                   + std::to_string(++m_transactionCount));
        builder.add({m_epochCheck}, {});
        const std::int64_t time = m_hooks.storeTime();
        const auto last = std::find_if_not(orders.begin(), orders.end(), [&](const auto &order) {
            return builder.add(
                {}, {{std::string(orderPrefix) + order.host, encodeOrder(time, order.kind)}});
        });
        if (last == orders.begin()) { // the store takes no such key
            m_planner.orderFinished(m_hooks.clock(), *last, HostOrderOutcome::Invalid);
            orders.erase(last);
            continue;
        }
        const std::vector<HostOrder> batch(orders.begin(), last);
        orders.erase(orders.begin(), last);
        m_ports.store->commit(builder.take(),
                              [this, batch, recordedAt = m_hooks.clock(),
                               alive = std::weak_ptr(m_alive)](const CommitResult &result) {
                                  if (!alive.expired())
                                      ordersRecorded(batch, recordedAt, result);
                              });
    }
}

void HostSession::ordersRecorded(const std::vector<HostOrder> &orders, TimePoint recordedAt,
                                 const CommitResult &result)
{
    const bool inTime = m_hooks.clock() <= recordedAt + maximumRecordDelay;
    const bool recorded = result.status == CommitStatus::Committed && inTime && m_hooks.leaseHeld();
    for (const HostOrder &order : orders) {
        if (recorded)
            sendOrder(order);
        else
            m_planner.orderFinished(m_hooks.clock(), order, HostOrderOutcome::Refused);
    }
}

void HostSession::sendOrder(const HostOrder &order)
{
    m_ports.orderHost(order, [this, alive = std::weak_ptr(m_alive)](const HostOrder &sent,
                                                                    HostOrderOutcome outcome) {
        if (alive.expired())
            return;
        m_planner.orderFinished(m_hooks.clock(), sent, outcome);
        if (sent.kind == HostOrderKind::Maintain && outcome == HostOrderOutcome::Accepted)
            writeWave(sent.wave, std::nullopt);
    });
}

void HostSession::writeWave(std::uint64_t wave, const std::optional<WaveStatusWrite> &status)
{
    Transaction transaction;
    transaction.operationId = waveKey(wave) + '/' + std::to_string(m_epoch) + '/'
                              + std::to_string(++m_transactionCount);
    transaction.checks = {m_epochCheck};
    const std::int64_t requestedStoreTime = m_initialProgress[wave].requestedStoreTime;
    transaction.writes.push_back(
        {waveKey(wave), encodeProgress(m_planner.maintainedHosts(wave), requestedStoreTime)});
    m_ports.store->commit(transaction, [this, wave, status, alive = std::weak_ptr(m_alive)](
                                           const CommitResult &result) {
        if (alive.expired() || !status)
            return;
        if (result.status == CommitStatus::Committed)
            return writeStatus(*status);
        // After a conflict, another process is the scheduler and writes the row.
        if (result.status != CommitStatus::Conflict)
            repeatLater([this, wave, status] { writeWave(wave, status); });
    });
}

void HostSession::writeStatus(const WaveStatusWrite &status)
{
    Transaction transaction;
    transaction.operationId = status.row.key + '/' + std::to_string(m_epoch) + '/'
                              + std::to_string(++m_transactionCount);
    // The begin must not overwrite the completion that a later scheduler has written.
    if (!status.completed)
        transaction.checks = {{status.row.key, absentVersion}};
    transaction.writes = {status.row};
    m_ports.store->commit(
        transaction, [this, status, alive = std::weak_ptr(m_alive)](const CommitResult &result) {
            const bool finished = result.status == CommitStatus::Committed
                                  || result.status == CommitStatus::Conflict;
            if (!alive.expired() && !finished)
                repeatLater([this, status] { writeStatus(status); });
        });
}

} // namespace Peridot::Jobs
