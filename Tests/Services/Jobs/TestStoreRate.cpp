#include "OverloadFixture.h"

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;

TEST_CASE("Submissions leave the store room for the lease of the scheduler")
{
    // Guards against a flood of submissions, each repeated many times, that uses up the rate of
    // calls of the store, so that a scheduler that lives loses its lease (LOST).
    OverloadFixture fixture;
    fixture.store.writesLeft = 0;
    constexpr unsigned submissions = 100;
    for (unsigned number = 0; number < submissions; ++number)
        CHECK(fixture.submit(number).outcome == CallOutcome::Overloaded);
    CHECK(fixture.store.writeAttempts < submissions);

    SECTION("they are accepted again soon after the store takes them")
    {
        fixture.store.writesLeft = 1'000'000;
        fixture.store.advanceTo(fixture.store.now() + 10s);
        CHECK(fixture.submit(submissions).outcome == CallOutcome::Accepted);
    }
    SECTION("without reads, no submission is said to have been refused that may have been accepted")
    {
        fixture.store.takesReads = false;
        CHECK(fixture.submit(submissions).outcome == CallOutcome::Unavailable);
    }
}
