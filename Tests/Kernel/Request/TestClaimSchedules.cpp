#include "KernelDriver.h"

#include <EventDigest.h>
#include <Kernel/Request/ClaimRecord.h>
#include <LibBase/Random.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

/// What is known from outside about one request id.
struct Sent
{
    RequestDescription request;
    unsigned inFlight = 0;
    unsigned runs = 0;
    unsigned copies = 0;
    bool pending = false; ///< its caller waits for the answer to the last copy
    bool toldNotRun = false; ///< since the last copy
};

struct Process
{
    std::unique_ptr<KernelDriver> driver;
    std::string instance;
    TimePoint leaseEnd;
    TimePoint frozenUntil;
    TimePoint renewsAgain; ///< the store doesn't renew its lease before
    bool lapsed = false;
    std::map<RequestToken, std::size_t> copies; ///< token to id
    std::map<std::uint64_t, std::size_t> attempts;
    std::vector<Row> earlyReads; ///< rows of the reads that were pending when it froze
    std::size_t seenAttempts = 0;
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
            pass(200ms);
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

    void note(const std::string &event)
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
        // One attempt of each process at each server, so that requests wait.
        for (BackendServerRoute &server : table->backendServers)
            server.connections = 3;
        process.driver->ready(table, {process.instance});
        process.leaseEnd = m_now + 10s;
        process.driver->kernel->leaseChanged(m_now, process.leaseEnd);
    }

    bool frozen(const Process &process) const { return m_now < process.frozenUntil; }

    void changeView()
    {
        EntryMembers members{++m_epoch, {}};
        for (const Process &process : m_processes) {
            if (!process.lapsed)
                members.instances.push_back(process.instance);
        }
        for (Process &process : m_processes) {
            if (!frozen(process) && !process.lapsed)
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
        Sent &sent = m_sent[id];
        sent.request.token = ++m_lastToken;
        sent.request.callerAttempt = ++sent.copies;
        sent.request.deadline = m_now + 8s;
        sent.pending = true;
        sent.toldNotRun = false;
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
                m_late.push_back(driver.commits.front());
            driver.serveCommit(fault);
        } else if (!driver.reads.empty()) {
            if (!process.earlyReads.empty()) {
                const ReadClaim read = driver.reads.front();
                driver.reads.erase(driver.reads.begin());
                const Row row = process.earlyReads.front();
                process.earlyReads.erase(process.earlyReads.begin());
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
        --process.seenAttempts;
        driver.finish(status);
        return true;
    }

    void pass(Duration time)
    {
        m_now += time;
        bool lapsed = false;
        for (Process &process : m_processes) {
            if (!process.lapsed && m_now >= process.leaseEnd)
                lapsed = process.lapsed = true;
            if (frozen(process))
                continue;
            process.driver->now = m_now;
            process.driver->kernel->tick(m_now);
            if (!process.lapsed && process.leaseEnd - m_now < 7s && m_now >= process.renewsAgain) {
                process.leaseEnd = m_now + 10s;
                process.driver->kernel->leaseChanged(m_now, process.leaseEnd);
            }
            process.driver->collect();
        }
        if (lapsed)
            changeView();
    }

    void cancel()
    {
        Sent &sent = m_sent[m_random.below(m_sent.size())];
        for (Process &process : m_processes) {
            if (!sent.pending || !process.copies.contains(sent.request.token))
                continue;
            sent.pending = false;
            // A frozen process learns of it when it is too late.
            if (!frozen(process))
                process.driver->kernel->requestCancelled(m_now, sent.request.token);
        }
    }

    void freeze(Process &process)
    {
        process.frozenUntil = m_now + (m_random.below(2) == 0 ? 3s : 14s);
        process.earlyReads.clear();
        for (const ReadClaim &read : process.driver->reads)
            process.earlyReads.push_back(m_table.read(read.key));
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
        } else if (choice < 15 && !m_late.empty()) {
            m_table.commit(m_late.front().check, m_late.front().write);
            m_late.erase(m_late.begin());
        } else if (choice < 18) {
            pass(Duration(static_cast<Duration::rep>(m_random.below(700'000'000))));
        } else if (choice == 18 && m_random.below(4) == 0) {
            freeze(process);
        } else if (choice == 19 && m_random.below(process.lapsed ? 1 : 8) == 0) {
            crash(process);
        } else if (choice == 20 && m_random.below(4) == 0) {
            process.renewsAgain = m_now + 12s;
        } else if (!frozen(process)) {
            process.driver->now = m_now;
            if (m_random.below(2) == 0)
                serveStore(process);
            else
                finishAttempt(process);
        }
        observe();
    }

    /// Checks the invariants against the actions since the last call.
    void observe()
    {
        for (Process &process : m_processes) {
            KernelDriver &driver = *process.driver;
            driver.collect();
            for (; process.seenAttempts < driver.attempts.size(); ++process.seenAttempts) {
                const StartAttempt &attempt = driver.attempts[process.seenAttempts];
                const std::size_t id = process.copies.at(attempt.token);
                process.attempts[attempt.attempt] = id;
                note(fmt::format("attempt {}", id));
                require(m_now < process.leaseEnd, "dispatched without a lease");
                require(++m_sent[id].inFlight + m_sent[id].runs <= 1, "runs twice");
                require(!m_sent[id].toldNotRun, "runs after not-run was answered");
            }
            for (const auto &[token, answer] : driver.answers) {
                note(fmt::format("answer {} {}", token, static_cast<int>(answer.outcome)));
                Sent &sent = m_sent[process.copies.at(token)];
                if (!sent.pending || sent.request.token != token)
                    continue;
                sent.pending = false;
                sent.toldNotRun = answer.outcome == Outcome::NotRun;
                require(!sent.toldNotRun || sent.runs + sent.inFlight == 0, "not-run is false");
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
    std::vector<Sent> m_sent;
    std::vector<CommitClaim> m_late; ///< commits that take effect after they were reported lost
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
