#include "KernelDriver.h"

#include <EventDigest.h>
#include <Kernel/Request/ClaimRecord.h>
#include <array>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

constexpr unsigned processCount = 2;
constexpr unsigned idCount = 6;
constexpr Duration deadline = 400ms;

enum class StepKind {
    Send, ///< sends the next copy of a request
    Occupy, ///< sends an idempotent request, so that others wait or are refused
    Freeze, ///< suspends a process
    Wake, ///< resumes a process, which then reads the copies in its socket
    Store, ///< executes the pending store calls
    Finish, ///< ends all attempts in flight
    Pass, ///< lets time pass
};

struct Step
{
    StepKind kind = StepKind::Pass;
    unsigned process = 0;
    unsigned value = 0;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << '{' << static_cast<int>(step.kind) << ", " << step.process << ", "
                  << step.value << '}';
}

/// Externally observable history of one request id.
struct SentRequest
{
    RequestDescription request; ///< the last copy
    std::uint64_t copies = 0;
    unsigned runs = 0; ///< attempts that have run the request
    unsigned inFlight = 0;
    bool waiting
        = false; ///< the last copy has no answer, and was sent to a process that is not frozen
    bool answeredNotRun = false; ///< the last copy was answered with not-run
};

struct Process
{
    std::unique_ptr<KernelDriver> driver;
    bool frozen = false;
    std::vector<RequestDescription> unread; ///< copies that wait in the socket
    std::map<RequestToken, std::size_t> ids;
    std::size_t checkedAttempts = 0;
};

/// Executes the steps of a schedule on two entry processes. Each may be frozen while copies of
/// requests wait unread in its socket. violation() describes the first violation of the invariants:
/// a request runs at most once, and a request that was answered with not-run has not run and does
/// not run until its next copy is sent.
class DelayedCopies
{
public:
    explicit DelayedCopies(bool numbered, RequestKernelSettings settings = {})
        : m_numbered(numbered)
    {
        settings.routingPolicy = "two-choices";
        settings.queueLimit = 4;
        const auto routes = makeTable(2, 2, {"treasury"});
        // Each process may run two attempts on each server.
        for (BackendServerRoute &server : routes->backendServers)
            server.connections = 2 * processCount;
        for (unsigned index = 0; index < processCount; ++index) {
            Process &process = m_processes.emplace_back();
            process.driver
                = std::make_unique<KernelDriver>(m_table, fmt::format("entry-{}", index), settings);
            process.driver->configure(routes, {"entry-0", "entry-1"});
        }
        for (std::size_t &id : m_current)
            id = newRequest();
    }

    void run(const std::vector<Step> &steps)
    {
        for (const Step &step : steps) {
            execute(step);
            observe();
            if (!m_violation.empty())
                return;
        }
    }

    const std::string &violation() const { return m_violation; }
    unsigned repeatsAnsweredNotRun() const { return m_repeatsAnsweredNotRun; }

private:
    std::size_t newRequest()
    {
        SentRequest &sent = m_sent.emplace_back();
        sent.request = m_processes.front().driver->describe("treasury", false);
        sent.request.requestId = makeRequestId(m_now, static_cast<unsigned>(m_sent.size()));
        return m_sent.size() - 1;
    }

    void execute(const Step &step)
    {
        Process &process = m_processes[step.process];
        KernelDriver &driver = *process.driver;
        if (step.kind == StepKind::Pass)
            return advanceTime(step.value % 4 == 0 ? 300ms : 5ms);
        if (step.kind == StepKind::Send)
            return send(process, m_current[step.value % idCount], step.value >= 16);
        if (step.kind == StepKind::Freeze)
            process.frozen = true;
        if (step.kind == StepKind::Wake)
            wake(process);
        if (process.frozen)
            return;
        if (step.kind == StepKind::Occupy) {
            auto request = driver.describe("treasury", true);
            request.token = ++m_lastToken;
            request.deadline = m_now + deadline;
            driver.arrive(request);
        }
        if (step.kind == StepKind::Store)
            serveStore(driver, step.value);
        if (step.kind == StepKind::Finish) {
            for (std::size_t count = driver.attempts.size(); count > 0; --count)
                finish(process, step.value == 0 && count == 1 ? AttemptStatus::Answered
                                                              : AttemptStatus::Refused);
        }
    }

    /// Executes the pending store calls. A fault is injected only into the last read and commit.
    static void serveStore(KernelDriver &driver, unsigned value)
    {
        for (std::size_t count = driver.reads.size(); count > 0; --count)
            driver.serveRead(value == 0 && count == 1 ? ReadStatus::Unavailable : ReadStatus::Ok);
        for (std::size_t count = driver.commits.size(); count > 0; --count)
            driver.serveCommit(value < 4 && count == 1 ? static_cast<StoreFault>(value)
                                                       : StoreFault::None);
    }

    void finish(Process &process, AttemptStatus status)
    {
        const auto found = process.ids.find(process.driver->attempts.front().token);
        if (found != process.ids.end()) {
            --m_sent[found->second].inFlight;
            m_sent[found->second].runs += status == AttemptStatus::Answered ? 1 : 0;
        }
        --process.checkedAttempts;
        process.driver->finish(status);
    }

    void send(Process &process, std::size_t &id, bool withoutWaiting)
    {
        if (m_sent[id].runs > 0)
            id = newRequest();
        SentRequest &sent = m_sent[id];
        if ((sent.waiting || sent.answeredNotRun) && !withoutWaiting)
            return;
        sent.waiting = !process.frozen;
        sent.request.token = ++m_lastToken;
        ++sent.copies;
        sent.request.callerAttempt = m_numbered ? sent.copies : 0;
        sent.answeredNotRun = false;
        process.ids[sent.request.token] = id;
        process.unread.push_back(sent.request);
        if (!process.frozen)
            readCopies(process);
    }

    void readCopies(Process &process)
    {
        for (RequestDescription &request : std::exchange(process.unread, {})) {
            request.arrival = m_now;
            request.deadline = m_now + deadline;
            process.driver->arrive(request);
        }
    }

    void wake(Process &process)
    {
        process.frozen = false;
        process.driver->now = m_now;
        process.driver->advance(0ms);
        readCopies(process);
    }

    void advanceTime(Duration time)
    {
        m_now += time;
        for (Process &process : m_processes) {
            if (!process.frozen)
                process.driver->advance(m_now - process.driver->now);
        }
    }

    void observe()
    {
        for (Process &process : m_processes) {
            KernelDriver &driver = *process.driver;
            for (; process.checkedAttempts < driver.attempts.size(); ++process.checkedAttempts) {
                const auto found = process.ids.find(driver.attempts[process.checkedAttempts].token);
                if (found == process.ids.end())
                    continue;
                SentRequest &sent = m_sent[found->second];
                if (++sent.inFlight + sent.runs > 1)
                    m_violation = "runs twice";
                if (sent.answeredNotRun)
                    m_violation = "runs after not-run was answered";
            }
            for (const auto &[token, answer] : std::exchange(driver.answers, {})) {
                const auto found = process.ids.find(token);
                if (found == process.ids.end() || m_sent[found->second].request.token != token)
                    continue;
                SentRequest &sent = m_sent[found->second];
                sent.waiting = false;
                sent.answeredNotRun = answer.outcome == Outcome::NotRun;
                m_repeatsAnsweredNotRun += sent.answeredNotRun && sent.copies > 1 ? 1 : 0;
                if (sent.answeredNotRun && sent.runs + sent.inFlight > 0)
                    m_violation = "not-run is false";
            }
        }
    }

    const bool m_numbered;
    MemoryTable m_table;
    TimePoint m_now = testStart();
    std::vector<Process> m_processes;
    std::vector<SentRequest> m_sent;
    std::array<std::size_t, idCount>
        m_current{}; ///< index in m_sent of the request that each id number stands for
    RequestToken m_lastToken = 0;
    std::string m_violation;
    unsigned m_repeatsAnsweredNotRun = 0;
};

rc::Gen<std::vector<Step>> schedules()
{
    const auto kind = rc::gen::weightedElement<StepKind>({{4, StepKind::Send},
                                                          {1, StepKind::Occupy},
                                                          {2, StepKind::Freeze},
                                                          {3, StepKind::Wake},
                                                          {10, StepKind::Store},
                                                          {10, StepKind::Finish},
                                                          {2, StepKind::Pass}});
    const auto step = rc::gen::build<Step>(
        rc::gen::set(&Step::kind, kind),
        rc::gen::set(&Step::process, rc::gen::inRange(0U, processCount)),
        rc::gen::set(&Step::value, rc::gen::resize(100, rc::gen::inRange(0U, 24U))));
    return rc::gen::resize(6000, rc::gen::container<std::vector<Step>>(step));
}

} // namespace

// Guards against a process that reads a delayed copy, for example after a freeze, and runs it after
// a later copy of the same request was answered with not-run.
TEST_CASE("A delayed copy does not run after a later copy was answered not-run")
{
    const bool numbered = GENERATE(true, false);
    CHECK(rc::check([numbered] {
        const auto steps = *schedules();
        DelayedCopies copies(numbered);
        copies.run(steps);
        if (!copies.violation().empty())
            RC_FAIL(copies.violation());
    }));
}

namespace {

/// Two entry processes with a common table, and the copies of one request.
struct TwoEntryProcesses
{
    TwoEntryProcesses()
    {
        first.configure(routes, {"entry-a", "entry-b"});
        second.configure(routes, {"entry-a", "entry-b"});
        request = first.describe("treasury", false);
    }

    RequestDescription copy(std::uint64_t attempt)
    {
        RequestDescription copy = request;
        copy.token = 100 + ++copies;
        copy.callerAttempt = attempt;
        return copy;
    }

    std::shared_ptr<RoutingTable> routes = makeTable(2, 4, {"treasury"});
    MemoryTable table;
    KernelDriver first{table, "entry-a", settings()};
    KernelDriver second{table, "entry-b", settings()};
    RequestDescription request;
    unsigned copies = 0;

    static RequestKernelSettings settings()
    {
        RequestKernelSettings settings;
        settings.routingPolicy = "two-choices";
        return settings;
    }

    ClaimRecord row() const
    {
        return decodeClaimRecord(table.read(claimKey(request.service, request.requestId)).value)
            .value();
    }

    /// Sends a copy that is refused because its deadline has passed.
    RequestDescription sendLate(KernelDriver &entry, std::uint64_t attempt)
    {
        RequestDescription late = copy(attempt);
        late.deadline = entry.now;
        entry.arrive(late);
        return late;
    }

    /// Sends \a copy and lets the backend servers refuse all of its attempts until it is answered.
    static void refuseAll(KernelDriver &entry, const RequestDescription &copy)
    {
        entry.arrive(copy);
        entry.serveStore();
        while (!entry.answered(copy.token)) {
            REQUIRE_FALSE(entry.attempts.empty());
            entry.finish(AttemptStatus::Refused);
            entry.serveStore();
        }
    }
};

} // namespace

TEST_CASE_METHOD(TwoEntryProcesses,
                 "A copy with a lower attempt number than a release does not run")
{
    const auto unread = copy(2);
    const auto refused = copy(3);
    refuseAll(second, refused);
    REQUIRE(second.answers[refused.token].outcome == Outcome::NotRun);
    first.arrive(unread);
    first.serveStore();
    CHECK(first.started == 0);
    CHECK(first.answers[unread.token].outcome == Outcome::Unknown);
    const auto next = copy(4);
    first.arrive(next);
    first.serveStore();
    CHECK(first.started == 1);
}

TEST_CASE_METHOD(
    TwoEntryProcesses,
    "A repeat is refused as not run only after its refusal is recorded in the claim row")
{
    const auto late = sendLate(first, 2);
    REQUIRE_FALSE(first.answered(late.token));
    REQUIRE(first.commits.size() == 1);
    const auto outcome = [&] {
        return first.answers.at(late.token).outcome;
    };

    SECTION("the row is written: this and earlier copies do not run, the next one does")
    {
        first.serveCommit();
        CHECK(outcome() == Outcome::NotRun);
        CHECK(first.answers.at(late.token).reason == RefusalReason::DeadlineExceeded);
        CHECK(row().state == ClaimState::Released);
        CHECK(row().callerAttempt == 2);
        const auto unread = GENERATE(0U, 1U, 2U);
        const auto copyRead = copy(unread);
        second.arrive(copyRead);
        second.serveStore();
        CHECK(second.started == 0);
        CHECK(second.answers[copyRead.token].reason == RefusalReason::Superseded);
        second.arrive(copy(3));
        second.serveStore();
        CHECK(second.started == 1);
    }
    SECTION("the write fails or its result is lost: the outcome is unknown")
    {
        first.serveCommit(
            GENERATE(StoreFault::Refused, StoreFault::LostBefore, StoreFault::LostAfter));
        CHECK(outcome() == Outcome::Unknown);
        CHECK(first.kernel->openRequests() == 0);
        second.arrive(copy(3));
        second.serveStore();
        CHECK(second.started == 1);
    }
    SECTION("the write takes too long: the outcome is unknown, and the late write conflicts")
    {
        first.advance(250ms);
        CHECK(outcome() == Outcome::Unknown);
        second.arrive(copy(3));
        second.serveStore();
        first.serveStore();
        CHECK(row().state == ClaimState::Claimed);
        CHECK(second.started == 1);
    }
    SECTION("another process claims the first copy in the meantime")
    {
        second.arrive(copy(1));
        second.serveStore();
        REQUIRE(second.started == 1);
        first.serveStore();
        CHECK(outcome() == Outcome::InProgress);
    }
    SECTION("another process answers the first copy in the meantime")
    {
        second.arrive(copy(1));
        second.serveStore();
        second.finish();
        second.serveStore();
        first.serveStore();
        CHECK(outcome() == Outcome::Answer);
    }
    SECTION("another process refuses a later copy at the same time")
    {
        const auto higher = sendLate(second, 3);
        SECTION("the later copy is written first: the outcome of the earlier one is unknown")
        {
            second.serveStore();
            first.serveStore();
            CHECK(outcome() == Outcome::Unknown);
        }
        SECTION("the later copy is written last: both are not run")
        {
            first.serveStore();
            second.serveStore();
            CHECK(outcome() == Outcome::NotRun);
        }
        CHECK(second.answers[higher.token].outcome == Outcome::NotRun);
        CHECK(row().callerAttempt == 3);
    }
    SECTION("the id expires while the process is frozen: unknown, as the row may have been deleted")
    {
        first.now += 25h;
        first.kernel->leaseChanged(first.now, first.now + 1h);
        first.serveCommit();
        CHECK(outcome() == Outcome::Unknown);
    }
}

// Guards against many refused repeats that fill the transactions in which claims are written.
TEST_CASE_METHOD(TwoEntryProcesses,
                 "The number of refusals being recorded is limited, so that claims can be written")
{
    std::vector<RequestToken> tokens;
    for (unsigned number = 0; number < 100; ++number) {
        request.requestId = makeRequestId(first.now, 1000 + number);
        tokens.push_back(sendLate(first, 2).token);
    }
    CHECK(first.commits.size() == 25);
    CHECK(first.answers.size() == 75);
    for (const auto &[token, answer] : first.answers)
        CHECK(answer.outcome == Outcome::Unknown);
    first.serveStore();
    CHECK(first.answers[tokens.front()].outcome == Outcome::NotRun);
    sendLate(first, 3);
    CHECK(first.commits.size() == 1);
}

TEST_CASE_METHOD(TwoEntryProcesses,
                 "A repeat without an attempt number is never answered not-run, and can still run")
{
    const auto late = sendLate(first, 0);
    CHECK(first.answers[late.token].outcome == Outcome::Unknown);
    CHECK(first.commits.empty());
    const auto refused = copy(0);
    refuseAll(first, refused);
    CHECK(first.answers[refused.token].outcome == Outcome::Unknown);
    const auto next = copy(0);
    second.arrive(next);
    second.serveStore();
    REQUIRE(second.started == 1);
    second.finish();
    CHECK(second.answers[next.token].outcome == Outcome::Answer);
}

TEST_CASE_METHOD(
    TwoEntryProcesses,
    "Another content under the id of an unclaimed request is refused with outcome unknown")
{
    first.arrive(copy(1));
    auto other = copy(2);
    other.fingerprint = "f1";
    first.arrive(other);
    CHECK(first.answers[other.token].reason == RefusalReason::FingerprintMismatch);
    CHECK(first.answers[other.token].outcome == Outcome::Unknown);
}

TEST_CASE("A seed gives the same schedule of delayed copies on every machine")
{
    // Guards against a seed that gives one schedule on x86-64 and another on arm64, so that a
    // recorded seed cannot be replayed, for example because random numbers are drawn in an
    // unspecified order of evaluation. An intended change of the schedules changes the
    // recorded digest.
    EventDigest digest;
    for (const Step &step : schedules()(rc::Random(1), 100).value())
        digest.add(fmt::format("{} {} {}", static_cast<int>(step.kind), step.process, step.value));
    CHECK(digest.value() == 0x87b412548229b9cf);
}

TEST_CASE("The schedules of delayed copies detect each injected defect")
{
    ClaimDefects defects;
    SECTION("the attempt number is ignored")
    {
        defects.ignoreCallerAttempt = true;
    }
    SECTION("a refusal is not recorded")
    {
        defects.refuseUnrecorded = true;
    }
    SECTION("a refusal counts as recorded when its commit failed")
    {
        defects.ignoreLostRefusal = true;
    }
    RequestKernelSettings settings;
    settings.defects = defects;
    std::string violation;
    for (std::uint64_t seed = 1; seed <= 300 && violation.empty(); ++seed) {
        DelayedCopies copies(true, settings);
        copies.run(schedules()(rc::Random(seed), 100).value());
        violation = copies.violation();
    }
    // The violation is "runs after not-run was answered" or "not-run is false", depending on
    // whether the answer or the run comes first.
    CHECK(violation.find("not-run") != std::string::npos);
}
