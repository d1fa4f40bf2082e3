#include "KernelDriver.h"

#include <EventDigest.h>
#include <Kernel/Request/ClaimRecord.h>
#include <LibBase/Random.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

/// Externally observable history of one request id.
struct SentRequest
{
    RequestDescription request;
    unsigned inFlight = 0;
    unsigned runs = 0; ///< attempts that have ended and may have run the request
    unsigned copies = 0;
    bool pending = false; ///< the caller waits for the answer to the last copy
    bool answeredNotRun = false; ///< the last copy was answered with not-run
};

struct Process
{
    std::unique_ptr<KernelDriver> driver;
    std::string instance;
    TimePoint leaseEnd;
    TimePoint frozenUntil;
    TimePoint renewalBlockedUntil; ///< the store does not renew the lease before this time
    bool leaseExpired = false;
    std::map<RequestToken, std::size_t> copies; ///< index in m_sent by request token
    std::map<std::uint64_t, std::size_t> attempts; ///< index in m_sent by attempt in flight
    std::vector<Row> readsBeforeFreeze; ///< results of the reads that were pending at the freeze
    std::size_t checkedAttempts = 0; ///< number of attempts in flight already checked
};

/// Random schedule of requests, repeats, store faults, freezes and crashes over three processes.
class ClaimSchedule
{
public:
    explicit ClaimSchedule(std::uint64_t seed) : m_seed(seed), m_random(seed)
    {
        for (int index = 0; index < 3; ++index)
            start(m_processes.emplace_back());
        changeView();
    }

    void run()
    {
        for (m_step = 0; m_step < 600; ++m_step)
            step();
        m_faults = false;
        for (int round = 0; round < 400; ++round) {
            advanceTime(200ms);
            for (Process &process : m_processes) {
                while (!frozen(process) && (serveStore(process) || finishAttempt(process)))
                    observe();
            }
        }
        for (const Process &process : m_processes)
            require(process.driver->kernel->openRequests() == 0, "claims stay open");
    }

    /// Of the attempts and answers.
    std::uint64_t digest() const { return m_digest.value(); }

private:
    void require(bool condition, const char *what) const
    {
        if (!condition)
            RC_FAIL(fmt::format("{}: seed={} step={}", what, m_seed, m_step));
    }

    void recordEvent(const std::string &event)
    {
        m_digest.add(fmt::format("{} {} {}", m_step, toUnixMilliseconds(m_now), event));
    }

    void start(Process &process)
    {
        process = {};
        process.instance = fmt::format("entry-{}", ++m_instances);
        RequestKernelSettings settings;
        settings.routingPolicy = "two-choices";
        process.driver = std::make_unique<KernelDriver>(m_table, process.instance, settings);
        process.driver->now = m_now;
        const auto table = makeTable(3, 1, {"treasury"});
        // Each process may run one attempt on each server, so that requests have to wait.
        for (BackendServerRoute &server : table->backendServers)
            server.connections = 3;
        process.driver->configure(table, {process.instance});
        process.leaseEnd = m_now + 10s;
        process.driver->kernel->leaseChanged(m_now, process.leaseEnd);
    }

    bool frozen(const Process &process) const { return m_now < process.frozenUntil; }

    void changeView()
    {
        EntryMembers members{++m_epoch, {}};
        for (const Process &process : m_processes) {
            if (!process.leaseExpired)
                members.instances.push_back(process.instance);
        }
        for (Process &process : m_processes) {
            if (!frozen(process) && !process.leaseExpired)
                process.driver->kernel->membersChanged(m_now, members);
        }
    }

    void crash(Process &process)
    {
        for (const CommitClaim &commit : process.driver->commits) {
            if (m_random.below(2) == 0)
                m_table.commit(commit.check, commit.write);
        }
        for (const auto &[attempt, id] : process.attempts) {
            --m_sent[id].inFlight;
            ++m_sent[id].runs;
        }
        for (const auto &[token, id] : process.copies)
            m_sent[id].pending = m_sent[id].pending && m_sent[id].request.token != token;
        start(process);
        changeView();
    }

    void send(std::size_t id)
    {
        Process &process = m_processes[m_random.below(m_processes.size())];
        if (frozen(process))
            return;
        SentRequest &sent = m_sent[id];
        sent.request.token = ++m_lastToken;
        sent.request.callerAttempt = ++sent.copies;
        sent.request.deadline = m_now + 8s;
        sent.pending = true;
        sent.answeredNotRun = false;
        process.copies[sent.request.token] = id;
        process.driver->arrive(sent.request);
    }

    bool serveStore(Process &process)
    {
        KernelDriver &driver = *process.driver;
        const bool faulty = m_faults && m_random.below(3) == 0;
        if (!driver.commits.empty()) {
            const auto fault = static_cast<StoreFault>(faulty ? 1 + m_random.below(3) : 0);
            if (fault == StoreFault::LostBefore && m_random.below(2) == 0)
                m_delayedCommits.push_back(driver.commits.front());
            driver.serveCommit(fault);
        } else if (!driver.reads.empty()) {
            if (!process.readsBeforeFreeze.empty()) {
                const ReadClaim read = driver.reads.front();
                driver.reads.erase(driver.reads.begin());
                const Row row = process.readsBeforeFreeze.front();
                process.readsBeforeFreeze.erase(process.readsBeforeFreeze.begin());
                driver.kernel->claimRead(m_now, read.token, ReadStatus::Ok, row);
                driver.collect();
            } else {
                driver.serveRead(faulty ? ReadStatus::Unavailable : ReadStatus::Ok);
            }
        } else {
            return false;
        }
        return true;
    }

    bool finishAttempt(Process &process)
    {
        KernelDriver &driver = *process.driver;
        if (driver.attempts.empty())
            return false;
        observe();
        const auto found = process.attempts.find(driver.attempts.front().attempt);
        const auto status = static_cast<AttemptStatus>(m_random.below(6));
        --m_sent[found->second].inFlight;
        if (status != AttemptStatus::Refused && status != AttemptStatus::NotSent)
            ++m_sent[found->second].runs;
        process.attempts.erase(found);
        --process.checkedAttempts;
        driver.finish(status);
        return true;
    }

    void advanceTime(Duration time)
    {
        m_now += time;
        bool anyExpired = false;
        for (Process &process : m_processes) {
            if (!process.leaseExpired && m_now >= process.leaseEnd)
                anyExpired = process.leaseExpired = true;
            if (frozen(process))
                continue;
            process.driver->now = m_now;
            process.driver->kernel->tick(m_now);
            if (!process.leaseExpired && process.leaseEnd - m_now < 7s
                && m_now >= process.renewalBlockedUntil) {
                process.leaseEnd = m_now + 10s;
                process.driver->kernel->leaseChanged(m_now, process.leaseEnd);
            }
            process.driver->collect();
        }
        if (anyExpired)
            changeView();
    }

    void cancel()
    {
        SentRequest &sent = m_sent[m_random.below(m_sent.size())];
        for (Process &process : m_processes) {
            if (!sent.pending || !process.copies.contains(sent.request.token))
                continue;
            sent.pending = false;
            // A frozen process receives the cancellation too late to act on it.
            if (!frozen(process))
                process.driver->kernel->requestCancelled(m_now, sent.request.token);
        }
    }

    void freeze(Process &process)
    {
        process.frozenUntil = m_now + (m_random.below(2) == 0 ? 3s : 14s);
        process.readsBeforeFreeze.clear();
        for (const ReadClaim &read : process.driver->reads)
            process.readsBeforeFreeze.push_back(m_table.read(read.key));
    }

    void step()
    {
        Process &process = m_processes[m_random.below(m_processes.size())];
        const auto choice = m_random.below(40);
        if (choice < 8) {
            m_sent.emplace_back().request = process.driver->describe("treasury", false);
            m_sent.back().request.requestId
                = makeRequestId(m_now, static_cast<unsigned>(m_sent.size()));
            send(m_sent.size() - 1);
        } else if (choice < 12 && !m_sent.empty()) {
            const auto id = m_random.below(m_sent.size());
            if (!m_sent[id].pending)
                send(id);
        } else if (choice < 14 && !m_sent.empty()) {
            cancel();
        } else if (choice < 15 && !m_delayedCommits.empty()) {
            m_table.commit(m_delayedCommits.front().check, m_delayedCommits.front().write);
            m_delayedCommits.erase(m_delayedCommits.begin());
        } else if (choice < 18) {
            advanceTime(Duration(static_cast<Duration::rep>(m_random.below(700'000'000))));
        } else if (choice == 18 && m_random.below(4) == 0) {
            freeze(process);
        } else if (choice == 19 && m_random.below(process.leaseExpired ? 1 : 8) == 0) {
            crash(process);
        } else if (choice == 20 && m_random.below(4) == 0) {
            process.renewalBlockedUntil = m_now + 12s;
        } else if (!frozen(process)) {
            process.driver->now = m_now;
            if (m_random.below(2) == 0)
                serveStore(process);
            else
                finishAttempt(process);
        }
        observe();
    }

    /// Checks the invariants on the attempts and answers since the last call: a request is
    /// dispatched only under a live lease, runs at most once, and does not run if the answer was
    /// not-run.
    void observe()
    {
        for (Process &process : m_processes) {
            KernelDriver &driver = *process.driver;
            driver.collect();
            for (; process.checkedAttempts < driver.attempts.size(); ++process.checkedAttempts) {
                const StartAttempt &attempt = driver.attempts[process.checkedAttempts];
                const std::size_t id = process.copies.at(attempt.token);
                process.attempts[attempt.attempt] = id;
                recordEvent(fmt::format("attempt {}", id));
                require(m_now < process.leaseEnd, "dispatched without a lease");
                require(++m_sent[id].inFlight + m_sent[id].runs <= 1, "runs twice");
                require(!m_sent[id].answeredNotRun, "runs after not-run was answered");
            }
            for (const auto &[token, answer] : driver.answers) {
                recordEvent(fmt::format("answer {} {}", token, static_cast<int>(answer.outcome)));
                SentRequest &sent = m_sent[process.copies.at(token)];
                if (!sent.pending || sent.request.token != token)
                    continue;
                sent.pending = false;
                sent.answeredNotRun = answer.outcome == Outcome::NotRun;
                require(!sent.answeredNotRun || sent.runs + sent.inFlight == 0, "not-run is false");
                require(answer.outcome != Outcome::Answer || sent.runs == 1,
                        "answer without a run");
            }
            driver.answers.clear();
        }
    }

    const std::uint64_t m_seed;
    RandomSource m_random;
    EventDigest m_digest;
    MemoryTable m_table;
    TimePoint m_now = testStart();
    std::vector<Process> m_processes;
    std::vector<SentRequest> m_sent;
    std::vector<CommitClaim> m_delayedCommits; ///< commits that are applied after they were
                                               ///< reported with an unknown outcome
    RequestToken m_lastToken = 0;
    std::uint64_t m_epoch = 1;
    unsigned m_instances = 0;
    unsigned m_step = 0;
    bool m_faults = true;
};

} // namespace

TEST_CASE("A seed gives the same schedule of claims on every machine")
{
    // Guards against a seed that gives one schedule on x86-64 and another on arm64, so that a
    // recorded seed cannot be replayed, for example because random numbers are drawn in an
    // unspecified order of evaluation. An intended change of the schedules or of the decisions
    // of the kernel changes the recorded digest.
    ClaimSchedule schedule(1);
    schedule.run();
    CHECK(schedule.digest() == 0x3ba74a5adf6ffefa);
}

TEST_CASE("No schedule runs a request twice or reports a request that runs as not run")
{
    CHECK(rc::check([] { ClaimSchedule(*rc::gen::inRange<std::uint64_t>(1, 1U << 30)).run(); }));
}
