#include "OverloadFixture.h"

#include <Kernel/Jobs/SizeShares.h>
#include <Services/Jobs/AdmissionGate.h>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;

TEST_CASE("A job of an overloaded queue is refused at once")
{
    // Guards against callers that wait in vain for a job that cannot be started in time.
    OverloadFixture fixture;
    fixture.refusal = 7s;

    SECTION("with the time after which it can be started")
    {
        const CallAnswer answer = fixture.submit(1);
        CHECK(answer.outcome == CallOutcome::Overloaded);
        CHECK(answer.retryAfter == 7s);
        CHECK(fixture.store.writeAttempts == 0);
    }
    SECTION("but not when an earlier copy of the submission was accepted")
    {
        fixture.refusal.reset();
        fixture.submit(1);
        fixture.refusal = 7s;
        CHECK(fixture.submit(1).outcome == CallOutcome::Accepted);
    }
    SECTION("but not when it is to last")
    {
        CHECK(fixture.submit(1, true).outcome == CallOutcome::Accepted);
    }
}

TEST_CASE("Each process applies the limits of the scheduler to its own submissions")
{
    const TimePoint now{std::chrono::hours(1)};
    AdmissionGate gate(1);
    gate.limitsChanged(
        now, {std::string(admissionKey), 1, encodeAdmissionLimits({{"checks", {250, 3s}}})});
    const auto accepted = [&](const std::string &queue, TimePoint at) {
        unsigned count = 0;
        for (unsigned number = 0; number < 100; ++number)
            count += gate.refuse(at, queue, {}, 1) ? 0 : 1;
        return count;
    };

    SECTION("the limited queue gets its share, the others everything")
    {
        CHECK(accepted("checks", now) == 25);
        CHECK(accepted("reports", now) == 100);
    }
    SECTION("an organisation beyond its rate gets a share of its own")
    {
        AdmissionLimit limit{500, 1s};
        limit.othersPermille = 1000;
        limit.organisations["large"] = {100, 6s};
        gate.limitsChanged(
            now, {std::string(admissionKey), 2, encodeAdmissionLimits({{"checks", limit}})});
        unsigned refused = 0;
        for (unsigned number = 0; number < 100; ++number) {
            const auto retryAfter = gate.refuse(now, "checks", "large", 1);
            refused += retryAfter ? 1 : 0;
            CHECK(retryAfter.value_or(6s) == 6s);
        }
        CHECK(refused == 90);
        CHECK(accepted("checks", now) == 100);
    }
    SECTION("a small share holds over many processes with few submissions each")
    {
        // Guards against queues that accept nothing at all while a small share is allowed
        // (RECOVER).
        unsigned sum = 0;
        for (std::uint64_t seed = 0; seed < 100; ++seed) {
            gate = AdmissionGate(seed);
            gate.limitsChanged(
                now, {std::string(admissionKey), 1, encodeAdmissionLimits({{"checks", {2, 3s}}})});
            sum += accepted("checks", now);
        }
        CHECK(sum >= 10);
        CHECK(sum <= 30);
    }
    SECTION("large jobs are refused first, but accepted more than half as often as all")
    {
        // Three of ten jobs have twenty times the work of the others.
        std::vector<double> works;
        for (unsigned number = 0; number < 200; ++number)
            works.push_back(number % 10 >= 7 ? 20 : 1);
        for (const double work : works)
            gate.refuse(now, "checks", {}, work);
        double small = 0;
        double large = 0;
        for (unsigned number = 0; number < 1000; ++number) {
            const double work = works[number % works.size()];
            const bool isAccepted = !gate.refuse(now, "checks", {}, work);
            (work > 1 ? large : small) += isAccepted ? 1 : 0;
        }
        const SizeShares shares = shareBySize(0.25, works);
        CHECK(small == Approx(700 * shares.usual).margin(1));
        CHECK(large == Approx(300 * shares.large).margin(1));
        CHECK(small / 700 > 1.5 * 0.25);
    }
    SECTION("limits that nobody repeats end")
    {
        CHECK(accepted("checks", now + 10s) == 100);
    }
    SECTION("a malformed row is no limit")
    {
        gate.limitsChanged(now, {std::string(admissionKey), 2, "{\"checks\": 1}"});
        CHECK(accepted("checks", now) == 100);
    }
}
