#include "RequestSimulation.h"

#include <algorithm>
#include <fmt/format.h>
#include <tuple>

namespace Peridot {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(10);
constexpr Duration sampleInterval = std::chrono::milliseconds(5);
constexpr Duration failureTime = std::chrono::milliseconds(1);
/// Ticks with nothing open after which a stopped process exits.
constexpr unsigned exitTicks = 5;

std::string requestId(TimePoint time, RequestToken token)
{
    const std::string digits = fmt::format("{:012x}", toUnixMilliseconds(time));
    return fmt::format("{}-{}-7000-8000-{:012x}", digits.substr(0, 8), digits.substr(8), token);
}

std::shared_ptr<const RecordedAnswer> makeAnswer(int status)
{
    auto answer = std::make_shared<RecordedAnswer>();
    answer->status = status;
    return answer;
}

} // namespace

RequestSimulation::RequestSimulation(SimulationSettings settings)
    : results(settings.services.size()), m_settings(std::move(settings)), m_random(m_settings.seed)
{
    m_now = start();
    peerLink = [this] {
        return std::vector<Duration>{m_settings.peerDelay};
    };
    for (unsigned server = 0; server < m_settings.backendServers; ++server) {
        m_servers.emplace_back().name = fmt::format("backend-{}", server);
        m_serverIndex[m_servers.back().name] = server;
    }
    for (unsigned service = 0; service < m_settings.services.size(); ++service)
        m_arrivalRandom.emplace_back(m_settings.seed * 1000 + service);
    makeTable();
    for (unsigned entry = 0; entry < m_settings.entryProcesses; ++entry)
        createEntry();
    changeView();
    for (unsigned service = 0; service < m_settings.services.size(); ++service)
        scheduleArrival(service);
    at(start() + m_settings.warmUp, [this] { sample(); });
}

TimePoint RequestSimulation::start() const
{
    return fromUnixMilliseconds(1'700'000'000'000);
}

void RequestSimulation::makeTable()
{
    auto table = std::make_shared<RoutingTable>();
    table->version = 1;
    for (const SimulatedService &service : m_settings.services)
        table->services.push_back({service.name});
    for (const Server &server : m_servers) {
        BackendServerRoute route;
        route.name = server.name;
        route.slots = m_settings.slots;
        const auto index = m_serverIndex.at(server.name);
        for (const SimulatedService &service : m_settings.services) {
            const bool own
                = index >= service.firstServer && index < service.firstServer + service.servers;
            if (service.servers == 0 || own)
                route.services.push_back(service.name);
        }
        table->backendServers.push_back(route);
    }
    m_table = std::move(table);
}

unsigned RequestSimulation::createEntry()
{
    const auto entry = static_cast<unsigned>(m_entries.size());
    Entry &process = m_entries.emplace_back();
    process.instance = fmt::format("entry-{}", entry);
    m_entryIndex[process.instance] = entry;
    RequestKernelSettings kernel;
    kernel.instance = process.instance;
    kernel.admissionPolicy = m_settings.admissionPolicy;
    kernel.routingPolicy = m_settings.routingPolicy;
    kernel.retries = m_settings.retries;
    kernel.seed = m_settings.seed * 100 + entry;
    process.kernel = RequestKernel::create(kernel).value();
    process.kernel->routingTableChanged(m_now, m_table);
    renewLease(entry);
    at(m_now + tickInterval, [this, entry] { tick(entry); });
    return entry;
}

void RequestSimulation::renewLease(unsigned entry)
{
    m_entries[entry].leaseEnd = m_now + m_settings.leaseTime;
    m_entries[entry].kernel->leaseChanged(m_now, m_entries[entry].leaseEnd);
}

unsigned RequestSimulation::join()
{
    return createEntry();
}

void RequestSimulation::stop(unsigned entry)
{
    m_entries[entry].stopping = true;
    deliver(entry, [this, entry] { m_entries[entry].kernel->stopRequested(m_now); });
}

void RequestSimulation::serverLeaving(unsigned server)
{
    for (unsigned entry = 0; entry < m_entries.size(); ++entry) {
        deliver(entry, [this, entry, server] {
            m_entries[entry].kernel->backendServerLeaving(m_now, m_servers[server].name, true);
        });
    }
}

void RequestSimulation::changeView()
{
    EntryMembers members;
    members.epoch = ++m_epoch;
    for (Entry &entry : m_entries) {
        entry.lapsed = entry.lapsed || (entry.kernel && m_now >= entry.leaseEnd);
        if (entry.kernel && !entry.lapsed)
            members.instances.push_back(entry.instance);
    }
    for (unsigned entry = 0; entry < m_entries.size(); ++entry) {
        deliver(entry, [this, entry, members] {
            m_entries[entry].kernel->membersChanged(m_now, members);
        });
    }
}

void RequestSimulation::crash(unsigned entry)
{
    m_entries[entry].kernel.reset();
    m_entries[entry].held.clear();
}

void RequestSimulation::freeze(unsigned entry, Duration time)
{
    m_entries[entry].frozenUntil = m_now + time;
    at(m_now + time, [this, entry] {
        for (auto &held : std::exchange(m_entries[entry].held, {}))
            deliver(entry, std::move(held));
    });
}

void RequestSimulation::at(TimePoint time, std::function<void()> run)
{
    m_queue.push({time, ++m_order, std::move(run)});
}

void RequestSimulation::deliver(unsigned entry, std::function<void()> run)
{
    Entry &process = m_entries[entry];
    if (!process.kernel)
        return;
    if (m_now < process.frozenUntil) {
        process.held.push_back(std::move(run));
        return;
    }
    run();
    take(entry);
}

void RequestSimulation::run()
{
    runUntil(start() + m_settings.warmUp + m_settings.measured);
    // Requests in flight at the end count as well.
    Duration longest{0};
    for (const SimulatedService &service : m_settings.services)
        longest = std::max(longest, service.deadline);
    const TimePoint end = m_now + longest;
    while (m_waiting + m_outstanding > 0 && m_now < end)
        runUntil(m_now + tickInterval);
}

void RequestSimulation::runUntil(TimePoint end)
{
    while (!m_queue.empty() && m_queue.top().time <= end) {
        // The queue gives no access to move its top element out.
        auto &top = const_cast<Event &>(m_queue.top());
        m_now = top.time;
        const std::function<void()> run = std::move(top.run);
        m_queue.pop();
        ++m_events;
        run();
        if (afterEvent)
            afterEvent();
    }
    m_now = end;
}

bool RequestSimulation::isMeasured(TimePoint time) const
{
    const TimePoint begin = start() + m_settings.warmUp;
    return time >= begin && time < begin + m_settings.measured;
}

void RequestSimulation::scheduleArrival(unsigned service)
{
    const SimulatedService &load = m_settings.services[service];
    const bool flood = load.floodRate > 0 && isMeasured(m_now);
    const double rate = flood ? load.floodRate : load.rate;
    if (rate <= 0 || m_now >= start() + m_settings.warmUp + m_settings.measured)
        return;
    const auto gap = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_arrivalRandom[service].exponential(1.0 / rate)));
    at(m_now + gap, [this, service] { arrive(service); });
}

void RequestSimulation::arrive(unsigned service)
{
    scheduleArrival(service);
    const SimulatedService &load = m_settings.services[service];
    RandomSource &random = m_arrivalRandom[service];
    unsigned entry = static_cast<unsigned>(random.below(m_entries.size()));
    if (random.unit() < m_settings.firstProcessPart)
        entry = 0;
    if (!m_entries[entry].kernel || m_entries[entry].stopping)
        return;
    RequestDescription request;
    request.token = ++m_lastToken;
    request.service = load.name;
    request.idempotent = random.unit() >= m_settings.nonIdempotentPart;
    request.callerAttempt = 1;
    if (!request.idempotent)
        request.requestId = requestId(m_now, request.token);
    const bool flood = load.floodRate > 0 && isMeasured(m_now);
    request.urgency = flood ? load.floodUrgency : load.urgency;
    request.arrival = m_now;
    request.deadline = m_now + load.deadline;
    request.fingerprint = load.name;
    Call call{service, entry, m_now, request.deadline};
    call.measured = isMeasured(m_now);
    call.idempotent = request.idempotent;
    results[service].arrived += call.measured ? 1 : 0;
    m_calls.emplace(request.token, call);
    ++m_waiting;
    deliver(entry,
            [this, entry, request] { m_entries[entry].kernel->requestArrived(m_now, request); });
}

void RequestSimulation::tick(unsigned entry)
{
    if (!m_entries[entry].kernel)
        return;
    Entry &process = m_entries[entry];
    if (m_now >= process.frozenUntil) {
        process.kernel->tick(m_now);
        take(entry);
        if (!process.lapsed && process.leaseEnd - m_now < m_settings.leaseTime * 2 / 3)
            renewLease(entry);
        const bool idle = process.stopping && process.kernel->openRequests() == 0;
        process.idleTicks = idle ? process.idleTicks + 1 : 0;
        if (process.idleTicks > exitTicks) {
            crash(entry);
            changeView();
            return;
        }
    }
    at(m_now + tickInterval, [this, entry] { tick(entry); });
}

void RequestSimulation::sample()
{
    const double slots = m_settings.backendServers * m_settings.slots;
    std::uint64_t waiting = m_waiting;
    std::uint64_t executing = 0;
    for (const Server &server : m_servers) {
        executing += server.executing;
        waiting += server.waiting.size();
    }
    const double busy = std::min(slots, static_cast<double>(m_outstanding));
    m_busySum += busy / slots;
    const double idle = slots - static_cast<double>(executing);
    m_idleSum += std::min(static_cast<double>(waiting), std::min(idle, slots - busy)) / slots;
    ++m_samples;
    if (isMeasured(m_now + sampleInterval))
        at(m_now + sampleInterval, [this] { sample(); });
}

double RequestSimulation::busySlots() const
{
    return m_busySum / static_cast<double>(std::max<std::uint64_t>(1, m_samples));
}

double RequestSimulation::idleWhileWaiting() const
{
    return m_idleSum / static_cast<double>(std::max<std::uint64_t>(1, m_samples));
}

void RequestSimulation::take(unsigned entry)
{
    for (const RequestAction &action : m_entries[entry].kernel->takeActions())
        std::visit([this, entry](const auto &value) { act(entry, value); }, action);
}

void RequestSimulation::act(unsigned entry, const StartAttempt &action)
{
    Call &call = m_calls.at(action.token);
    m_waiting -= call.waiting ? 1 : 0;
    call.waiting = false;
    ++m_outstanding;
    ++m_attemptCount;
    const Attempt attempt{entry, action.attempt, action.token,
                          m_serverIndex.at(action.backendServer), action.deadline};
    ++m_servers[attempt.server].attempts;
    // A slot counts as used from the dispatch on.
    at(m_now + m_settings.peerDelay, [this, attempt] { attemptArrived(attempt); });
}

void RequestSimulation::attemptArrived(Attempt attempt)
{
    if (attemptFault) {
        const auto call = m_calls.find(attempt.token);
        const auto fault = call == m_calls.end()
                               ? std::nullopt
                               : attemptFault(call->second.service, attempt.server);
        if (fault) {
            at(m_now + failureTime + m_settings.peerDelay, [this, attempt, status = *fault] {
                --m_outstanding;
                deliver(attempt.entry, [this, attempt, status] {
                    m_entries[attempt.entry].kernel->attemptFinished(m_now, attempt.number, status,
                                                                     nullptr);
                });
            });
            return;
        }
    }
    Server &server = m_servers[attempt.server];
    const unsigned present = server.executing + static_cast<unsigned>(server.waiting.size()) + 1;
    if (present > m_settings.slots)
        m_largestOverbooking = std::max(m_largestOverbooking, present - m_settings.slots);
    if (server.executing < m_settings.slots)
        execute(attempt);
    else
        server.waiting.push(attempt);
}

void RequestSimulation::execute(Attempt attempt)
{
    ++m_servers[attempt.server].executing;
    const auto call = m_calls.find(attempt.token);
    const Duration mean
        = m_settings.services[call == m_calls.end() ? 0 : call->second.service].meanTime;
    if (call != m_calls.end() && call->second.measured)
        waits.push_back(toSeconds(m_now - call->second.arrival));
    // Half of the time is constant and half is exponentially distributed.
    const double drawn = (0.5 + m_random.exponential(0.5)) * toSeconds(mean);
    const bool failing = static_cast<int>(attempt.server) == m_settings.failingServer;
    const auto needed
        = failing ? failureTime
                  : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(drawn));
    // The entry process closes the connection at the deadline, which ends the execution.
    const Duration left = std::max(Duration::zero(), attempt.deadline - m_now);
    const bool cut = left < needed;
    at(m_now + std::min<Duration>(left, needed), [this, attempt, failing, cut] {
        Server &server = m_servers[attempt.server];
        --server.executing;
        if (!server.waiting.empty()) {
            const Attempt next = server.waiting.front();
            server.waiting.pop();
            execute(next);
        }
        at(m_now + m_settings.peerDelay, [this, attempt, failing, cut] {
            --m_outstanding;
            const auto ended = m_calls.find(attempt.token);
            if (ended != m_calls.end())
                ended->second.failed = failing;
            deliver(attempt.entry, [this, attempt, failing, cut] {
                const auto status = cut ? AttemptStatus::TimedOut : AttemptStatus::Answered;
                m_entries[attempt.entry].kernel->attemptFinished(
                    m_now, attempt.number, status, cut ? nullptr : makeAnswer(failing ? 500 : 200));
            });
        });
    });
}

void RequestSimulation::act(unsigned, const AnswerRequest &action)
{
    const auto found = m_calls.find(action.token);
    const Call &call = found->second;
    m_waiting -= call.waiting ? 1 : 0;
    const bool good = action.outcome == Outcome::Answer && !call.failed && m_now <= call.deadline;
    if (requestEnded)
        requestEnded({call.service, call.idempotent, good, call.arrival, m_now});
    if (call.measured && good) {
        ++results[call.service].answered;
        results[call.service].seconds.push_back(toSeconds(m_now - call.arrival));
    }
    m_calls.erase(found);
}

void RequestSimulation::act(unsigned entry, const ReadClaim &action)
{
    at(m_now + m_settings.storeDelay, [this, entry, action] {
        const auto found = m_rows.find(action.key);
        const Row row = found == m_rows.end() ? Row{action.key, absentVersion, {}} : found->second;
        deliver(entry, [this, entry, action, row] {
            m_entries[entry].kernel->claimRead(m_now, action.token, ReadStatus::Ok, row);
        });
    });
}

void RequestSimulation::act(unsigned entry, const CommitClaim &action)
{
    at(m_now + m_settings.storeDelay, [this, entry, action] {
        Row &row = m_rows[action.write.key];
        CommitResult result;
        result.status = CommitStatus::Conflict;
        if (row.version == action.check.expected) {
            row = {action.write.key, ++m_revision, *action.write.value};
            result.status = CommitStatus::Committed;
            result.revision = m_revision;
        }
        deliver(entry, [this, entry, action, result] {
            m_entries[entry].kernel->claimCommitted(m_now, action.token, result);
        });
    });
}

void RequestSimulation::act(unsigned entry, const SendPeerMessage &action)
{
    ++m_peerMessages;
    const unsigned receiver = m_entryIndex.at(action.instance);
    const std::string &sender = m_entries[entry].instance;
    for (const Duration delay : peerLink()) {
        at(m_now + delay, [this, receiver, sender, message = action.message] {
            deliver(receiver, [this, receiver, sender, message] {
                m_entries[receiver].kernel->peerMessageReceived(m_now, sender, message);
            });
        });
    }
}

} // namespace Peridot
