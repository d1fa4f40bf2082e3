#include "ServiceFixture.h"

#include <Kernel/Jobs/JobRows.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;

namespace {

/// Age of the stored counts of waiting jobs on the clock of the store; nothing before they are
/// stored.
std::optional<std::chrono::milliseconds> ageOfCounts(const ServiceFixture &fixture)
{
    const Row row = fixture.store.row(std::string(pendingJobsKey));
    return valueOrElse(
        [&]() -> Result<std::optional<std::chrono::milliseconds>> {
            BOOST_LEAF_AUTO(counts, parsePendingCounts(row.value));
            return std::optional(fixture.store.time()
                                 - std::chrono::milliseconds(counts.storeMilliseconds));
        },
        [](const Error &) { return std::optional<std::chrono::milliseconds>(); });
}

} // namespace

TEST_CASE("A count of waiting jobs carries the time up to which the rows of jobs were read")
{
    // Guards against a count with the time of its writing: while the rows of jobs were read late,
    // it was given to callers as current (MIXED).
    ServiceFixture fixture;
    const auto ageIsAtMost = [&](std::chrono::milliseconds limit) {
        const auto age = ageOfCounts(fixture);
        return age && *age <= limit;
    };
    REQUIRE(fixture.runUntil(15s, [&] { return ageIsAtMost(2000ms); }));

    fixture.feed.silentPrefix = jobPrefix;
    const auto isOld = [&] {
        return !ageIsAtMost(2500ms);
    };
    REQUIRE(fixture.runUntil(5s, isOld));

    // Counts are still written, so that the age of the row does not grow by itself.
    const auto before = fixture.store.row(std::string(pendingJobsKey)).version;
    REQUIRE(fixture.runUntil(
        3s, [&] { return fixture.store.row(std::string(pendingJobsKey)).version > before; }));
    REQUIRE(isOld());
}
