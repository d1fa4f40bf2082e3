#include "KernelDriver.h"

#include <Kernel/Request/ClaimRecord.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

const std::vector<std::string> bothEntries{"entry-a", "entry-b"};

struct Fixture
{
    MemoryTable table;
    std::shared_ptr<RoutingTable> routes = makeTable(4, 4, {"treasury"});
    KernelDriver first{table, "entry-a"};
    KernelDriver second{table, "entry-b"};

    Fixture()
    {
        first.configure(routes, {"entry-a"});
        second.configure(routes, {"entry-b"});
        // The second view contains both processes. The first one contains only the process itself,
        // so that its slots are free at once.
        first.kernel->membersChanged(first.now, {2, bothEntries});
        second.kernel->membersChanged(second.now, {2, bothEntries});
        exchange();
    }

    void exchange()
    {
        for (int round = 0; round < 4; ++round) {
            first.collect();
            second.collect();
            for (const auto &message : std::exchange(first.messages, {}))
                second.kernel->peerMessageReceived(second.now, "entry-a", message.message);
            for (const auto &message : std::exchange(second.messages, {}))
                first.kernel->peerMessageReceived(first.now, "entry-b", message.message);
        }
    }

    ClaimRecord rowOf(const RequestDescription &request) const
    {
        return decodeClaimRecord(table.read(claimKey(request.service, request.requestId)).value)
            .value();
    }

    RequestDescription repeatOf(RequestDescription request)
    {
        request.token += 1000;
        request.callerAttempt = 2;
        return request;
    }
};

/// Sends a request through \a entry until it runs.
RequestDescription startRequest(KernelDriver &entry)
{
    auto request = entry.describe("treasury", false);
    entry.arrive(request);
    entry.serveStore();
    REQUIRE(entry.attempts.size() == 1);
    return request;
}

} // namespace

TEST_CASE_METHOD(
    Fixture, "A request is dispatched only after its claim was written, also when the store fails")
{
    const auto request = first.describe("treasury", false);
    first.arrive(request);
    REQUIRE(first.commits.size() == 1);
    REQUIRE(first.attempts.empty());
    const auto answerOf = [&] {
        return first.answers.at(request.token);
    };

    SECTION("written")
    {
        first.serveCommit();
        CHECK(first.attempts.size() == 1);
    }
    SECTION("commit refused: not run, and no row is written")
    {
        first.serveCommit(StoreFault::Refused);
        CHECK(answerOf().outcome == Outcome::NotRun);
        CHECK(answerOf().reason == RefusalReason::StoreUnavailable);
        CHECK(first.kernel->openRequests() == 0);
    }
    SECTION("commit applied but its answer lost: the operation id in the row confirms the claim")
    {
        first.serveCommit(StoreFault::LostAfter);
        CHECK(first.attempts.empty());
        first.serveRead();
        CHECK(first.attempts.size() == 1);
        CHECK(first.commits.empty());
    }
    SECTION("commit lost before it is applied: committed again with the same operation id")
    {
        const auto operation = first.commits.front().operationId;
        first.serveCommit(StoreFault::LostBefore);
        first.serveRead();
        CHECK(first.attempts.empty());
        REQUIRE(first.commits.size() == 1);
        CHECK(first.commits.front().operationId == operation);
        first.serveCommit();
        CHECK(first.attempts.size() == 1);
    }
    SECTION("lost commit is applied after the row was read back: dispatched once")
    {
        const auto late = first.commits.front();
        first.serveCommit(StoreFault::LostBefore);
        first.serveRead();
        table.commit(late.check, late.write);
        first.serveStore();
        CHECK(first.attempts.size() == 1);
        CHECK(first.started == 1);
    }
    SECTION(
        "answer lost and the row not readable: not run, and released when the store is available")
    {
        first.serveCommit(StoreFault::LostAfter);
        first.serveRead(ReadStatus::Unavailable);
        CHECK(answerOf().outcome == Outcome::NotRun);
        CHECK(first.attempts.empty());
        first.serveStore();
        CHECK(rowOf(request).state == ClaimState::Released);
        second.arrive(repeatOf(request));
        second.serveStore();
        CHECK(second.attempts.size() == 1);
    }
    SECTION("commit takes longer than the time limit: not run, and released once it was applied")
    {
        first.advance(1s);
        CHECK(answerOf().reason == RefusalReason::StoreUnavailable);
        first.serveStore();
        CHECK(first.attempts.empty());
        CHECK(rowOf(request).state == ClaimState::Released);
        CHECK(first.kernel->openRequests() == 0);
    }
    SECTION("caller disconnects before the claim is written: released")
    {
        first.kernel->requestCancelled(first.now, request.token);
        first.collect();
        first.serveStore();
        CHECK(first.attempts.empty());
        CHECK(rowOf(request).state == ClaimState::Released);
    }
    SECTION("process is suspended until after its lease has expired, while the claim is written")
    {
        first.now += 2h;
        first.serveCommit();
        CHECK(first.attempts.empty());
        first.serveStore();
        CHECK(rowOf(request).state == ClaimState::Released);
        CHECK(answerOf().outcome == Outcome::NotRun);
    }
}

TEST_CASE_METHOD(Fixture,
                 "A repeat is answered from the claim row and does not run the request again")
{
    const auto request = startRequest(first);
    const auto repeat = repeatOf(request);

    SECTION("another process runs the request")
    {
        second.arrive(repeat);
        second.serveStore();
        CHECK(second.answers[repeat.token].outcome == Outcome::InProgress);
    }
    SECTION("this process runs the request")
    {
        first.arrive(repeat);
        CHECK(first.answers[repeat.token].outcome == Outcome::InProgress);
    }
    SECTION("a repeat with attempt number 1 conflicts with the check that the row is absent")
    {
        auto declared = repeat;
        declared.callerAttempt = 1;
        second.arrive(declared);
        second.serveStore();
        CHECK(second.answers[repeat.token].outcome == Outcome::InProgress);
        CHECK(second.started == 0);
    }
    SECTION("the answer is recorded")
    {
        first.finish();
        first.serveStore();
        second.arrive(repeat);
        second.serveStore();
        REQUIRE(second.answers[repeat.token].outcome == Outcome::Answer);
        CHECK(second.answers[repeat.token].recorded->body == "fee recorded");
    }
    SECTION("the answer is known to this process but not recorded yet")
    {
        first.finish();
        first.arrive(repeat);
        REQUIRE(first.answers[repeat.token].outcome == Outcome::Answer);
        CHECK(first.answers[repeat.token].recorded->status == 200);
    }
    SECTION("the outcome is unknown")
    {
        first.finish(AttemptStatus::ConnectionLost);
        first.serveStore();
        second.arrive(repeat);
        second.serveStore();
        CHECK(second.answers[repeat.token].outcome == Outcome::Unknown);
        CHECK(second.answers[repeat.token].reason == RefusalReason::BackendConnectionLost);
    }
    SECTION("the holder crashed, and its lease has expired")
    {
        second.kernel->membersChanged(second.now, {3, {"entry-b"}});
        second.arrive(repeat);
        second.serveStore();
        CHECK(second.answers[repeat.token].outcome == Outcome::Unknown);
        CHECK(second.answers[repeat.token].reason == RefusalReason::HolderLost);
        CHECK(second.started == 0);
    }
    SECTION("the request was not run: the repeat runs, but a delayed first copy does not")
    {
        first.kernel->stopRequested(first.now);
        first.finish(AttemptStatus::Refused);
        while (!first.attempts.empty())
            first.finish(AttemptStatus::Refused);
        CHECK_FALSE(first.answered(request.token));
        first.serveStore();
        CHECK(first.answers[request.token].outcome == Outcome::NotRun);
        auto delayed = request;
        delayed.token = 5000;
        second.arrive(delayed);
        second.serveStore();
        CHECK(second.answers[5000].outcome == Outcome::Unknown);
        CHECK(second.answers[5000].reason == RefusalReason::Superseded);
        second.arrive(repeat);
        second.serveStore();
        CHECK(second.attempts.size() == 1);
    }
    SECTION("a request with the same id but another content is refused as a mismatch")
    {
        auto other = repeat;
        other.fingerprint = "f1";
        second.arrive(other);
        second.serveStore();
        CHECK(second.answers[repeat.token].reason == RefusalReason::FingerprintMismatch);
    }
}

TEST_CASE_METHOD(Fixture, "An outcome is recorded in spite of repeated store faults")
{
    const auto request = startRequest(first);
    first.finish();
    REQUIRE(first.answers[request.token].outcome == Outcome::Answer);
    const auto fault = GENERATE(StoreFault::Refused, StoreFault::LostBefore, StoreFault::LostAfter);
    for (int round = 0; round < 3; ++round) {
        REQUIRE(first.commits.size() == 1);
        CHECK(first.kernel->openRequests() == 1);
        first.serveCommit(fault);
        while (first.commits.empty() && first.kernel->openRequests() > 0)
            first.advance(1s);
    }
    first.serveStore();
    CHECK(rowOf(request).state == ClaimState::Done);
    CHECK(first.kernel->openRequests() == 0);
    CHECK(first.started == 1);
}

TEST_CASE_METHOD(Fixture, "During a store outage only idempotent requests are served")
{
    for (int count = 0; count < 3; ++count) {
        first.arrive(first.describe("treasury", false));
        first.serveCommit(StoreFault::Refused);
    }
    const auto refused = first.arrive(first.describe("treasury", false));
    CHECK(first.commits.empty());
    CHECK(first.answers[refused].outcome == Outcome::NotRun);
    CHECK(first.answers[refused].reason == RefusalReason::StoreUnavailable);
    CHECK(first.answers[refused].retryAfter >= 1s);

    SECTION(
        "without an attempt number the outcome is unknown, because an earlier copy may have run")
    {
        auto request = first.describe("treasury", false);
        request.callerAttempt = 0;
        first.arrive(request);
        CHECK(first.reads.empty());
        CHECK(first.answers[request.token].outcome == Outcome::Unknown);
        CHECK(first.answers[request.token].reason == RefusalReason::StoreUnavailable);
    }
    SECTION("idempotent requests need neither the store nor a lease")
    {
        first.kernel->leaseChanged(first.now, first.now);
        for (int count = 0; count < 100; ++count) {
            first.arrive(first.describe("treasury", true));
            first.advance(1ms);
            first.finish();
        }
        CHECK(first.started == 100);
    }
    SECTION("one successful probe closes the circuit breaker")
    {
        first.advance(1s);
        first.arrive(first.describe("treasury", false));
        const auto other = first.arrive(first.describe("treasury", false));
        CHECK(first.commits.size() == 1);
        CHECK(first.answers[other].reason == RefusalReason::StoreUnavailable);
        first.serveCommit();
        first.arrive(first.describe("treasury", false));
        CHECK(first.commits.size() == 1);
    }
    SECTION("without a lease nothing is claimed, even when the store is available")
    {
        first.advance(1s);
        first.kernel->leaseChanged(first.now, first.now);
        const auto late = first.arrive(first.describe("treasury", false));
        CHECK(first.commits.empty());
        CHECK(first.answers[late].outcome == Outcome::NotRun);
    }
}

TEST_CASE_METHOD(Fixture, "Claims that wait for a slow store leave slots for idempotent requests")
{
    RequestToken last = 0;
    for (int count = 0; count < 30; ++count)
        last = first.arrive(first.describe("treasury", false));
    const auto claimsInProgress = [&] {
        return std::count_if(first.commits.begin(), first.commits.end(), [](const auto &commit) {
            return commit.check.expected == absentVersion;
        });
    };
    // Half of the eight slots that this process owns.
    CHECK(claimsInProgress() == 4);
    first.arrive(first.describe("treasury", true));
    CHECK(first.attempts.size() == 1);
    first.finish();

    SECTION("postponed requests claim as soon as other claims have ended")
    {
        while (first.answerCount < 31) {
            REQUIRE(claimsInProgress() <= 4);
            first.serveCommit();
            while (!first.attempts.empty())
                first.finish();
        }
        first.serveStore();
        CHECK(first.kernel->openRequests() == 0);
    }
    SECTION("a postponed request can be cancelled, and ends at its deadline")
    {
        first.kernel->requestCancelled(first.now, last);
        first.collect();
        CHECK(first.answered(last));
        first.kernel->leaseChanged(first.now, first.now);
        first.advance(10s);
        CHECK(first.answerCount == 31);
    }
}

TEST_CASE_METHOD(Fixture,
                 "The outcome of a running request is recorded after its caller has disconnected")
{
    const auto request = startRequest(first);
    first.kernel->requestCancelled(first.now, request.token);
    first.finish();
    first.serveStore();
    CHECK(rowOf(request).state == ClaimState::Done);
    CHECK(first.answerCount == 1);
}
