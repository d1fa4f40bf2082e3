#pragma once

#include "MemoryTable.h"

#include <Kernel/Request/RequestKernel.h>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <vector>

namespace Peridot {

/// Fault injected into one commit.
enum class StoreFault {
    None,
    Refused, ///< not applied, and reported so
    LostBefore, ///< not applied; the outcome is reported as unknown
    LostAfter, ///< applied; the outcome is reported as unknown
};

inline TimePoint testStart()
{
    return fromUnixMilliseconds(1'700'000'000'000);
}

/// UUIDv7 created at \a time.
inline std::string makeRequestId(TimePoint time, unsigned number)
{
    const std::string digits = fmt::format("{:012x}", toUnixMilliseconds(time));
    return fmt::format("{}-{}-7000-8000-{:012x}", digits.substr(0, 8), digits.substr(8), number);
}

inline std::shared_ptr<RoutingTable> makeTable(unsigned servers, unsigned slots,
                                               const std::vector<std::string> &services)
{
    auto table = std::make_shared<RoutingTable>();
    table->version = 1;
    for (const auto &name : services)
        table->services.push_back({name});
    for (unsigned number = 0; number < servers; ++number) {
        BackendServerRoute server;
        server.name = fmt::format("backend-{}", number);
        server.slots = slots;
        server.services = services;
        table->backendServers.push_back(server);
    }
    return table;
}

inline std::shared_ptr<const RecordedAnswer> makeAnswer(int status = 200)
{
    auto answer = std::make_shared<RecordedAnswer>();
    answer->status = status;
    answer->contentType = "text/plain";
    answer->body = "fee recorded";
    answer->bodyRecorded = true;
    return answer;
}

/// Drives the request kernel of one entry process without sockets. Stores the actions of the kernel
/// until the test executes them.
class KernelDriver
{
public:
    KernelDriver(MemoryTable &rows, std::string instance, RequestKernelSettings settings = {})
        : table(rows)
    {
        settings.instance = std::move(instance);
        kernel = RequestKernel::create(settings).value();
    }

    /// Gives the kernel a lease of one hour, a membership view and a routing table.
    KernelDriver &configure(std::shared_ptr<RoutingTable> routes,
                            const std::vector<std::string> &members)
    {
        kernel->leaseChanged(now, now + std::chrono::hours(1));
        kernel->membersChanged(now, {1, members});
        kernel->routingTableChanged(now, std::move(routes));
        collect();
        return *this;
    }

    RequestDescription describe(const std::string &service, bool idempotent)
    {
        RequestDescription request;
        request.token = ++m_lastToken;
        request.service = service;
        request.idempotent = idempotent;
        request.callerAttempt = 1;
        request.arrival = now;
        request.deadline = now + std::chrono::seconds(10);
        request.fingerprint = "f0";
        if (!idempotent)
            request.requestId = makeRequestId(now, static_cast<unsigned>(m_lastToken));
        return request;
    }

    RequestToken arrive(const RequestDescription &request)
    {
        kernel->requestArrived(now, request);
        collect();
        return request.token;
    }

    void collect()
    {
        for (RequestAction &action : kernel->takeActions())
            std::visit([this](auto &value) { take(std::move(value)); }, action);
    }

    void advance(Duration time)
    {
        now += time;
        kernel->tick(now);
        collect();
    }

    /// Executes the oldest pending commit and reports its result.
    void serveCommit(StoreFault fault = StoreFault::None)
    {
        const CommitClaim commit = commits.front();
        commits.erase(commits.begin());
        CommitResult result;
        if (fault == StoreFault::None || fault == StoreFault::LostAfter)
            result = table.commit(commit.check, commit.write);
        if (fault == StoreFault::LostBefore || fault == StoreFault::LostAfter)
            result = CommitResult{CommitStatus::Unknown, {}, absentVersion};
        kernel->claimCommitted(now, commit.token, result);
        collect();
    }

    /// Executes the oldest pending read and reports its result.
    void serveRead(ReadStatus status = ReadStatus::Ok)
    {
        const ReadClaim read = reads.front();
        reads.erase(reads.begin());
        kernel->claimRead(now, read.token, status,
                          status == ReadStatus::Ok ? table.read(read.key) : Row{});
        collect();
    }

    /// Executes all pending store calls without faults.
    void serveStore()
    {
        while (!commits.empty() || !reads.empty())
            commits.empty() ? serveRead() : serveCommit();
    }

    /// Ends the oldest attempt in flight.
    void finish(AttemptStatus status = AttemptStatus::Answered, int code = 200)
    {
        const StartAttempt attempt = attempts.front();
        attempts.erase(attempts.begin());
        kernel->attemptFinished(now, attempt.attempt, status,
                                status == AttemptStatus::Answered ? makeAnswer(code) : nullptr);
        collect();
    }

    bool answered(RequestToken token) const { return answers.contains(token); }

    MemoryTable &table;
    TimePoint now = testStart();
    std::unique_ptr<RequestKernel> kernel;
    std::vector<StartAttempt> attempts; ///< in flight
    std::vector<CommitClaim> commits;
    std::vector<ReadClaim> reads;
    std::vector<SendPeerMessage> messages;
    std::map<RequestToken, AnswerRequest> answers;
    std::size_t started = 0;
    std::size_t answerCount = 0;

private:
    void take(StartAttempt action)
    {
        ++started;
        attempts.push_back(std::move(action));
    }
    void take(ReadClaim action) { reads.push_back(std::move(action)); }
    void take(CommitClaim action) { commits.push_back(std::move(action)); }
    void take(AnswerRequest action)
    {
        ++answerCount;
        answers[action.token] = std::move(action);
    }
    void take(SendPeerMessage action) { messages.push_back(std::move(action)); }

    RequestToken m_lastToken = 0;
};

} // namespace Peridot
