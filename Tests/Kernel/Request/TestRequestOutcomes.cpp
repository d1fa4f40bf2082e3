#include "KernelDriver.h"

#include <Kernel/Request/ClaimLedger.h>
#include <catch2/catch.hpp>

using namespace Peridot;

namespace {

struct OutcomeCase
{
    const char *name;
    bool idempotent;
    std::vector<AttemptStatus> attempts; ///< results of the successive attempts
    Outcome outcome;
    RefusalReason reason;
};

const std::vector<OutcomeCase> outcomeCases{
    {"answered", true, {AttemptStatus::Answered}, Outcome::Answer, RefusalReason::None},
    {"answered, non-idempotent",
     false,
     {AttemptStatus::Answered},
     Outcome::Answer,
     RefusalReason::None},
    {"a request that was not sent is sent again",
     false,
     {AttemptStatus::NotSent, AttemptStatus::Answered},
     Outcome::Answer,
     RefusalReason::None},
    {"a refused request is sent again",
     false,
     {AttemptStatus::Refused, AttemptStatus::Answered},
     Outcome::Answer,
     RefusalReason::None},
    {"attempts are limited",
     false,
     {AttemptStatus::Refused, AttemptStatus::Refused, AttemptStatus::Refused,
      AttemptStatus::Refused},
     Outcome::NotRun,
     RefusalReason::BackendRefused},
    {"a non-idempotent request whose connection was lost is not sent again",
     false,
     {AttemptStatus::ConnectionLost},
     Outcome::Unknown,
     RefusalReason::BackendConnectionLost},
    {"a truncated answer of a non-idempotent request has an unknown outcome",
     false,
     {AttemptStatus::Truncated},
     Outcome::Unknown,
     RefusalReason::TruncatedAnswer},
    {"a non-idempotent request that timed out is not sent again",
     false,
     {AttemptStatus::TimedOut},
     Outcome::Unknown,
     RefusalReason::BackendTimeout},
    {"not sent, then connection lost",
     false,
     {AttemptStatus::NotSent, AttemptStatus::ConnectionLost},
     Outcome::Unknown,
     RefusalReason::BackendConnectionLost},
    {"an idempotent request whose connection was lost is sent again",
     true,
     {AttemptStatus::ConnectionLost, AttemptStatus::Truncated, AttemptStatus::Answered},
     Outcome::Answer,
     RefusalReason::None},
    {"connection lost, then refused: the first attempt may have run",
     true,
     {AttemptStatus::ConnectionLost, AttemptStatus::Refused, AttemptStatus::Refused,
      AttemptStatus::Refused},
     Outcome::Unknown,
     RefusalReason::BackendConnectionLost},
    {"idempotent and never sent",
     true,
     {AttemptStatus::NotSent, AttemptStatus::NotSent, AttemptStatus::NotSent,
      AttemptStatus::NotSent},
     Outcome::NotRun,
     RefusalReason::BackendConnectionFailed},
};

} // namespace

TEST_CASE("Each sequence of attempt results ends with the correct outcome")
{
    for (const OutcomeCase &outcomeCase : outcomeCases) {
        DYNAMIC_SECTION(outcomeCase.name)
        {
            MemoryTable table;
            KernelDriver entry(table, "entry-a");
            entry.configure(makeTable(8, 4, {"treasury"}), {"entry-a"});
            const auto token = entry.arrive(entry.describe("treasury", outcomeCase.idempotent));
            std::string previous;
            for (const AttemptStatus status : outcomeCase.attempts) {
                entry.serveStore();
                REQUIRE(entry.attempts.size() == 1);
                CHECK(entry.attempts.front().backendServer != previous);
                previous = entry.attempts.front().backendServer;
                entry.advance(std::chrono::milliseconds(5));
                entry.finish(status);
            }
            entry.serveStore();
            REQUIRE(entry.attempts.empty());
            REQUIRE(entry.answerCount == 1);
            CHECK(entry.answers[token].outcome == outcomeCase.outcome);
            CHECK(entry.answers[token].reason == outcomeCase.reason);
            CHECK(entry.kernel->openRequests() == 0);
        }
    }
}

TEST_CASE("A request that cannot be accepted is refused with its reason")
{
    MemoryTable table;
    KernelDriver entry(table, "entry-a");
    const auto routes = makeTable(1, 1, {"treasury"});

    SECTION("before the process has received a routing table and a membership view")
    {
        const auto token = entry.arrive(entry.describe("treasury", true));
        CHECK(entry.answers[token].reason == RefusalReason::NotReady);
        CHECK(entry.answers[token].outcome == Outcome::NotRun);
    }
    SECTION("after the process was removed from the membership view")
    {
        entry.configure(routes, {"entry-a"});
        entry.kernel->membersChanged(entry.now, {2, {"entry-b"}});
        const auto token = entry.arrive(entry.describe("treasury", true));
        CHECK(entry.answers[token].reason == RefusalReason::NotReady);
    }
    SECTION("the expected queueing time exceeds the deadline")
    {
        entry.configure(routes, {"entry-a"});
        entry.arrive(entry.describe("treasury", true));
        const auto waiting = entry.arrive(entry.describe("treasury", true));
        entry.advance(std::chrono::seconds(3));
        auto request = entry.describe("treasury", true);
        request.deadline = entry.now + std::chrono::seconds(2);
        const auto refused = entry.arrive(request);
        CHECK(entry.answers[refused].reason == RefusalReason::OverShare);
        CHECK(entry.answers[refused].retryAfter >= std::chrono::seconds(3));
        CHECK_FALSE(entry.answered(waiting));
    }
    SECTION("the limit on open claims is reached: refused, and no claim is discarded")
    {
        RequestKernelSettings settings;
        settings.queueLimit = 2 * ClaimLedger::openLimit;
        KernelDriver full(table, "entry-a", settings);
        full.configure(routes, {"entry-a"});
        for (std::size_t count = 0; count < ClaimLedger::openLimit; ++count)
            full.arrive(full.describe("treasury", false));
        CHECK(full.answerCount == 0);
        const auto token = full.arrive(full.describe("treasury", false));
        CHECK(full.answers[token].reason == RefusalReason::RecordLimit);
        CHECK(full.answers[token].outcome == Outcome::NotRun);
    }
    SECTION("unknown service")
    {
        entry.configure(routes, {"entry-a"});
        const auto token = entry.arrive(entry.describe("absent", true));
        CHECK(entry.answers[token].reason == RefusalReason::UnknownService);
    }
    SECTION("the id of a non-idempotent request is missing, invalid, in the future or expired")
    {
        entry.configure(routes, {"entry-a"});
        auto request = entry.describe("treasury", false);
        request.requestId.clear();
        CHECK(entry.answers[entry.arrive(request)].reason == RefusalReason::MissingRequestId);
        request = entry.describe("treasury", false);
        request.requestId = "0190b5a0-1111-4000-8000-000000000000";
        CHECK(entry.answers[entry.arrive(request)].reason == RefusalReason::InvalidRequestId);
        request = entry.describe("treasury", false);
        request.requestId = makeRequestId(entry.now + std::chrono::minutes(6), 1);
        CHECK(entry.answers[entry.arrive(request)].outcome == Outcome::NotRun);
        // The record may have been deleted, so it is unknown whether the request ran before.
        request = entry.describe("treasury", false);
        request.requestId = makeRequestId(entry.now - std::chrono::hours(25), 1);
        const auto token = entry.arrive(request);
        CHECK(entry.answers[token].reason == RefusalReason::RecordExpired);
        CHECK(entry.answers[token].outcome == Outcome::Unknown);
    }
    SECTION("the deadline passes while the request is waiting: not run")
    {
        entry.configure(routes, {"entry-a"});
        entry.arrive(entry.describe("treasury", true));
        const auto waiting = entry.arrive(entry.describe("treasury", true));
        entry.advance(std::chrono::seconds(10));
        CHECK(entry.answers[waiting].reason == RefusalReason::DeadlineExceeded);
        CHECK(entry.answers[waiting].outcome == Outcome::NotRun);
        CHECK(entry.answers[waiting].retryAfter > Duration::zero());
    }
    SECTION("a full queue refuses its least urgent request in favour of a more urgent one")
    {
        RequestKernelSettings settings;
        settings.queueLimit = 2;
        KernelDriver small(table, "entry-a", settings);
        small.configure(routes, {"entry-a"});
        small.arrive(small.describe("treasury", true));
        small.arrive(small.describe("treasury", true));
        auto request = small.describe("treasury", true);
        request.urgency = Urgency::Deferrable;
        const auto deferrable = small.arrive(request);
        const auto refused = small.arrive(small.describe("treasury", true));
        CHECK(small.answers[deferrable].reason == RefusalReason::OverShare);
        CHECK_FALSE(small.answered(refused));
        const auto second = small.arrive(small.describe("treasury", true));
        CHECK(small.answers[second].reason == RefusalReason::OverShare);
    }
}
