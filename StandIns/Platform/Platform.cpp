#include "Platform.h"

#include "PlatformControl.h"
#include <LibBase/Json.h>
#include <LibStore/StorePacer.h>
#include <LibStore/TableCodec.h>
#include <algorithm>

namespace Peridot {

namespace {

// Status codes of the protocol; docs/design.md section 5.
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnreachable = 502;
constexpr int statusUnavailable = 503;
constexpr Duration retryAfterRefusal = std::chrono::seconds(1);
// Tokens that the caps hold, as a part of the tokens of one second.
constexpr double capBurst = 0.25;

double costOf(std::size_t rows)
{
    return static_cast<double>(
        std::max<std::size_t>(1, (rows + rowsPerStoreCall - 1) / rowsPerStoreCall));
}

PlatformAnswer errorAnswer(int status, const Error &error)
{
    Json::Value body(Json::objectValue);
    body["error"] = std::string(errorCodeNames.nameOf(error.code));
    body["field"] = error.field;
    body["detail"] = error.detail;
    PlatformAnswer answer{status, writeJson(body)};
    if (status == statusUnavailable)
        answer.retryAfter = retryAfterRefusal;
    return answer;
}

PlatformAnswer refusal()
{
    CommitResult result;
    result.status = CommitStatus::Unavailable;
    PlatformAnswer answer{statusUnavailable, encodeCommitResult(result)};
    answer.retryAfter = retryAfterRefusal;
    return answer;
}

PlatformAnswer dropped()
{
    PlatformAnswer answer;
    answer.drop = true;
    return answer;
}

PlatformAnswer commitAnswer(const CommitResult &result)
{
    switch (result.status) {
    case CommitStatus::Committed:
        return {statusOk, encodeCommitResult(result)};
    case CommitStatus::Conflict:
        return {statusConflict, encodeCommitResult(result)};
    case CommitStatus::Unavailable:
        return refusal();
    case CommitStatus::Refused:
        return {statusBadRequest, encodeCommitResult(result)};
    case CommitStatus::Unknown:
        break;
    }
    return dropped();
}

bool isReadLoss(StoreFaultKind kind)
{
    return kind != StoreFaultKind::Refuse && kind != StoreFaultKind::None;
}

/// Calls \a use with the decoded body, or answers 400.
template <typename Decode, typename Use>
void withBody(const std::string &body, Decode decode, const Platform::AnswerCallback &callback,
              Use use)
{
    valueOrElse(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(value, decode(body));
            use(value);
            return {};
        },
        [&](const Error &error) { callback(errorAnswer(statusBadRequest, error)); });
}

} // namespace

Platform::Platform(const PlatformSettings &settings, TimePoint now)
    : m_now(now), m_faults(settings.seed), m_table(settings.seed),
      m_writeCap(settings.writesPerSecond, settings.writesPerSecond * capBurst),
      m_readCap(settings.readsPerSecond, settings.readsPerSecond * capBurst), m_fleet(settings, now)
{
    m_table.setFaultHook([this](StoreCallKind kind, std::uint64_t) { return faultOf(kind); });
}

StoreFault Platform::faultOf(StoreCallKind kind)
{
    Endpoint endpoint = Endpoint::Scan;
    if (kind == StoreCallKind::Commit)
        endpoint = Endpoint::Commit;
    else if (kind == StoreCallKind::Read)
        endpoint = Endpoint::Read;
    const StoreFault fault = m_faults.take(endpoint, m_now);
    m_latestTableFault = fault.kind;
    return fault;
}

void Platform::handle(TimePoint now, const PlatformRequest &request, const AnswerCallback &callback)
{
    tick(now);
    if (isControlRequest(request)) {
        callback(handleControl(*this, now, request));
        return;
    }
    const auto endpoint = endpointOf(request);
    if (!endpoint) {
        callback(errorAnswer(statusNotFound, {ErrorCode::NotFound, request.path, {}}));
        return;
    }
    switch (*endpoint) {
    case Endpoint::Commit:
        handleCommit(request, callback);
        break;
    case Endpoint::Read:
        handleRead(request, callback);
        break;
    case Endpoint::Scan:
        handleScan(request, callback);
        break;
    default:
        handleDirect(*endpoint, request, callback);
        break;
    }
    m_table.run();
}

void Platform::tick(TimePoint now)
{
    m_now = std::max(m_now, now);
    m_fleet.tick(m_now);
    m_table.advanceTo(m_now);
    while (!m_scheduled.empty() && m_scheduled.begin()->first.first <= m_now) {
        auto node = m_scheduled.extract(m_scheduled.begin());
        node.mapped()();
    }
}

std::optional<Endpoint> Platform::endpointOf(const PlatformRequest &request)
{
    const std::string &path = request.path;
    const bool post = request.method == "POST";
    if (path == "/table/commit" && post)
        return Endpoint::Commit;
    if (path == "/table/read" && post)
        return Endpoint::Read;
    if (path == "/table/scan" && post)
        return Endpoint::Scan;
    if (path.starts_with("/object/") && (request.method == "GET" || request.method == "PUT"))
        return Endpoint::Object;
    if (path == "/hosts" && request.method == "GET")
        return Endpoint::Hosts;
    if (path.starts_with("/workers/") && path.ends_with("/command") && post)
        return Endpoint::Command;
    if (path.starts_with("/workers/") && path.ends_with("/report") && request.method == "GET")
        return Endpoint::Report;
    return std::nullopt;
}

bool Platform::admitWrite(const std::string &client, double cost, const AnswerCallback &callback)
{
    if (!m_writeCap.tryTake(m_now, cost)) {
        m_statistics.countRefusal(client);
        callback(refusal());
        return false;
    }
    m_statistics.countWrite(m_now, client, cost);
    return true;
}

bool Platform::admitRead(const std::string &client, double cost, const AnswerCallback &callback)
{
    if (!m_readCap.tryTake(m_now, cost)) {
        m_statistics.countRefusal(client);
        callback(refusal());
        return false;
    }
    m_statistics.countRead(m_now, client, cost);
    return true;
}

void Platform::handleCommit(const PlatformRequest &request, const AnswerCallback &callback)
{
    withBody(request.body, decodeTransaction, callback, [&](const Transaction &transaction) {
        const double cost = costOf(std::max(transaction.checks.size(), transaction.writes.size()));
        if (!admitWrite(request.instance, cost, callback))
            return;
        m_table.commit(transaction,
                       [callback](const CommitResult &result) { callback(commitAnswer(result)); });
    });
}

void Platform::handleRead(const PlatformRequest &request, const AnswerCallback &callback)
{
    withBody(request.body, decodeReadRequest, callback, [&](const std::vector<std::string> &keys) {
        if (admitRead(request.instance, costOf(keys.size()), callback))
            m_table.read(keys, answerRead(callback));
    });
}

void Platform::handleScan(const PlatformRequest &request, const AnswerCallback &callback)
{
    withBody(request.body, decodeScanRequest, callback, [&](const ScanRequest &scan) {
        if (admitRead(request.instance, costOf(scan.limit), callback))
            m_table.scan(scan.prefix, scan.startAfter, scan.limit, answerRead(callback));
    });
}

Store::ReadCallback Platform::answerRead(const AnswerCallback &callback)
{
    return [this, callback](const ReadResult &result) {
        if (result.status == ReadStatus::Ok)
            callback({statusOk, encodeReadResult(result)});
        else
            callback(isReadLoss(m_latestTableFault) ? dropped() : refusal());
    };
}

void Platform::handleDirect(Endpoint endpoint, const PlatformRequest &request,
                            const AnswerCallback &callback)
{
    const bool objectRead = endpoint == Endpoint::Object && request.method == "GET";
    const bool objectWrite = endpoint == Endpoint::Object && request.method == "PUT";
    if (objectRead && !admitRead(request.instance, 1, callback))
        return;
    if (objectWrite && !admitWrite(request.instance, 1, callback))
        return;
    if (endpoint != Endpoint::Object)
        m_statistics.countOther(request.instance);
    runWithFault(
        m_faults.take(endpoint, m_now),
        [this, endpoint, request] { return perform(endpoint, request); }, callback);
}

void Platform::runWithFault(const StoreFault &fault, const Handler &perform,
                            const AnswerCallback &callback)
{
    switch (fault.kind) {
    case StoreFaultKind::Refuse:
        callback(refusal());
        break;
    case StoreFaultKind::LoseAnswerBeforeEffect:
        callback(dropped());
        break;
    case StoreFaultKind::LoseAnswerAfterEffect:
        perform();
        callback(dropped());
        break;
    case StoreFaultKind::LateEffect:
        callback(dropped());
        schedule(fault.delay, perform);
        break;
    case StoreFaultKind::DelayEffect:
        schedule(fault.delay, [perform, callback] { callback(perform()); });
        break;
    case StoreFaultKind::DelayAnswer:
        schedule(fault.delay, [callback, answer = perform()] { callback(answer); });
        break;
    case StoreFaultKind::Duplicate:
        perform();
        callback(perform());
        break;
    default:
        callback(perform());
        break;
    }
}

PlatformAnswer Platform::perform(Endpoint endpoint, const PlatformRequest &request)
{
    if (endpoint == Endpoint::Object)
        return performObject(request);
    if (endpoint == Endpoint::Hosts)
        return {statusOk, encodeHostList(m_fleet.hostList(m_now))};
    return performWorker(endpoint, request);
}

PlatformAnswer Platform::performObject(const PlatformRequest &request)
{
    const std::string key = request.path.substr(std::string("/object/").size());
    if (request.method == "PUT") {
        m_objects[key] = request.body;
        return {statusOk, "{}"};
    }
    const auto found = m_objects.find(key);
    if (found == m_objects.end())
        return errorAnswer(statusNotFound, {ErrorCode::NotFound, key, {}});
    return {statusOk, found->second};
}

PlatformAnswer Platform::performWorker(Endpoint endpoint, const PlatformRequest &request)
{
    const std::size_t start = std::string("/workers/").size();
    const std::string host = request.path.substr(start, request.path.rfind('/') - start);
    SimulatedWorker *worker = m_fleet.find(host);
    if (!worker)
        return errorAnswer(statusNotFound, {ErrorCode::NotFound, host, {}});
    worker->tick(m_now);
    if (!worker->reachable())
        return errorAnswer(statusUnreachable, {ErrorCode::ConnectionFailed, host, {}});
    if (endpoint == Endpoint::Report)
        return {statusOk, encodeHostReport(worker->report(m_now))};
    PlatformAnswer answer;
    withBody(
        request.body, [&](const std::string &body) { return decodeWorkerCommand(host, body); },
        [&](const PlatformAnswer &error) { answer = error; },
        [&](const WorkerCommand &command) {
            answer = {statusOk, encodeCommandReply(worker->apply(m_now, command))};
        });
    return answer;
}

void Platform::schedule(Duration delay, std::function<void()> work)
{
    m_scheduled.emplace(std::pair(m_now + delay, m_sequence++), std::move(work));
}

void Platform::setRateCaps(TimePoint now, double writesPerSecond, double readsPerSecond)
{
    m_writeCap.setRate(now, writesPerSecond, std::max(1.0, writesPerSecond * capBurst));
    m_readCap.setRate(now, readsPerSecond, std::max(1.0, readsPerSecond * capBurst));
}

Json::Value Platform::dumpState(TimePoint now) const
{
    Json::Value state(Json::objectValue);
    state["rows"] = Json::Value(Json::arrayValue);
    for (const auto &row : m_table.snapshot()) {
        Json::Value entry(Json::objectValue);
        entry["key"] = row.key;
        entry["version"] = static_cast<Json::UInt64>(row.version);
        entry["value"] = row.value;
        state["rows"].append(std::move(entry));
    }
    state["objects"] = static_cast<Json::UInt64>(m_objects.size());
    state["fault_rules"] = static_cast<Json::UInt64>(m_faults.size());
    state["hosts_listed"] = static_cast<Json::UInt64>(m_fleet.hostList(now).hosts.size());
    state["statistics"] = m_statistics.toJson();
    return state;
}

} // namespace Peridot
