// What a queue accepts that is asked for more than its pool does, by jobs of different sizes.

#include <Kernel/Jobs/SizeShares.h>
#include <LibBase/Random.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>

using namespace Peridot;
using namespace Peridot::Jobs;

namespace {

struct Accepted
{
    double jobs = 0; ///< expected part of the submissions
    double work = 0; ///< expected part of their work
    double largestTenth = 0;
    double nextFifth = 0;
};

Accepted acceptedOf(double share, std::vector<double> works)
{
    const SizeShares shares = shareBySize(share, works);
    std::sort(works.begin(), works.end());
    Accepted accepted;
    double total = 0;
    for (std::size_t index = 0; index < works.size(); ++index) {
        const double part = shares.of(works[index]);
        total += works[index];
        accepted.jobs += part / static_cast<double>(works.size());
        accepted.work += part * works[index];
        if (index >= works.size() * 9 / 10)
            accepted.largestTenth += part / static_cast<double>(works.size()) * 10;
        else if (index >= works.size() * 7 / 10)
            accepted.nextFifth += part / static_cast<double>(works.size()) * 5;
    }
    accepted.work /= total;
    return accepted;
}

} // namespace

TEST_CASE("Large jobs are refused first where a queue can't accept all")
{
    // Guards against refusals by chance: with half of the work refused, half of the callers were,
    // although a third of them asked for most of the work.
    RandomSource random(11);
    std::vector<double> works;
    for (unsigned number = 0; number < 200; ++number)
        works.push_back(std::pow(20.0, random.unit())); // 1 to 20
    const double share = GENERATE(0.002, 0.2, 0.5, 0.77, 0.95);
    const Accepted accepted = acceptedOf(share, works);
    INFO("share " << share << " jobs " << accepted.jobs);
    CHECK(accepted.work == Approx(share));
    CHECK(accepted.jobs > share);

    SECTION("and are still accepted more than half as often as all")
    {
        CHECK(accepted.largestTenth >= 0.5 * accepted.jobs);
        CHECK(accepted.nextFifth >= 0.5 * accepted.jobs);
    }
    SECTION("which is all that keeps usual ones from being accepted")
    {
        const SizeShares shares = shareBySize(share, works);
        CHECK((shares.usual == 1 || shares.large == Approx(0.6 * accepted.jobs)));
    }
}

TEST_CASE("The share is the same for all jobs")
{
    const auto isSame = [](const SizeShares &shares, double share) {
        return shares.usual == share && shares.of(1e9) == share;
    };
    SECTION("while too few are known")
    {
        CHECK(isSame(shareBySize(0.5, {1, 2, 3}), 0.5));
    }
    SECTION("where they are equal")
    {
        CHECK(isSame(shareBySize(0.5, std::vector<double>(100, 7)), 0.5));
    }
    SECTION("where their work is not declared")
    {
        CHECK(isSame(shareBySize(0.5, std::vector<double>(100, 0)), 0.5));
    }
    SECTION("where all are accepted")
    {
        CHECK(isSame(shareBySize(1, {1, 2, 3}), 1));
    }
}
