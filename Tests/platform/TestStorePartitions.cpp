#include <Kernel/Jobs/JobRows.h>
#include <Kernel/Jobs/OfferedReport.h>
#include <Kernel/Jobs/PeakHistory.h>
#include <Kernel/Jobs/SchedulerElection.h>
#include <MergedRead.h>
#include <StorePartitions.h>
#include <catch2/catch.hpp>
#include <set>

using namespace Peridot;
using namespace Peridot::Platform;

namespace {

std::string partition(std::string_view key)
{
    return partitionOf(splitKey(std::string(key)));
}

ReadResult page(const std::vector<std::string> &keys, Version revision, bool more = false)
{
    ReadResult result;
    result.status = ReadStatus::Ok;
    for (const std::string &key : keys)
        result.rows.push_back({key, 1, {}});
    result.revision = revision;
    result.more = more;
    return result;
}

} // namespace

TEST_CASE("Rows whose writes must not wait for each other are in different partitions")
{
    // Guards against one queue of transactions for everything: while the store was slow, the
    // renewals of the scheduler lease waited behind submissions, and the lease was lost.
    const std::string id = "a123456789abcdef";
    const std::set<std::string> partitions{partition(Jobs::schedulerLeaseKey),
                                           partition(Jobs::progressKey(id)),
                                           partition(Jobs::jobKey(id)),
                                           partition("host-order/m-1"),
                                           partition("op/config"),
                                           partition(Jobs::offeredKey("host"))};
    CHECK(partitions.size() == 6);

    SECTION("the rows of one transaction are in one partition")
    {
        CHECK(partition(Jobs::jobKey(id)) == partition(Jobs::finishedKey(id)));
        CHECK(partition(Jobs::jobKey(id)) == partition(Jobs::cancellationKey(id)));
        CHECK(partition(Jobs::jobKey(id)) == partition(Jobs::tombstoneKey(id)));
        CHECK(partition(Jobs::progressKey(id)) == partition(Jobs::progressEpochKey));
        CHECK(partition("host-order/m-1") == partition(Jobs::hostsEpochKey));
        CHECK(partition("wave/1") == partition(Jobs::hostsEpochKey));
        CHECK(partition(Jobs::pendingJobsKey) == partition(Jobs::hostsEpochKey));
        CHECK(partition(Jobs::peakHistoryKey) == partition(Jobs::hostsEpochKey));
    }
    SECTION("rows that administrators and workers write are in the unnamed partition")
    {
        CHECK(partition("op/config").empty());
        CHECK(partition("servers/i-1").empty());
        CHECK(partition("status/wave/1").empty());
    }
    SECTION("a scan of a table reads every partition that a row of it can have")
    {
        const auto all = partitionsOf("job");
        CHECK(all.size() == Jobs::jobPartitions);
        for (const char first : std::string("0123456789abcdefABCDEF")) {
            const std::string key = Jobs::jobKey(std::string(1, first) + "123456789abcdef");
            CHECK(std::find(all.begin(), all.end(), partition(key)) != all.end());
        }
        CHECK(partitionsOf("progress") == std::vector<std::string>{"progress"});
    }
}

TEST_CASE("The pages of several partitions are merged into one result")
{
    std::vector<ReadResult> results;
    MergedRead merged(3, [&](const ReadResult &result) { results.push_back(result); });
    merged.add(2, page({"c"}, 9));

    SECTION("in the order of the partitions, with the revision of the earliest read")
    {
        merged.add(0, page({"a"}, 7));
        REQUIRE(results.empty());
        merged.add(1, page({"b"}, 8));
        REQUIRE(results.size() == 1);
        CHECK(results.front().rows.size() == 3);
        CHECK(results.front().rows.front().key == "a");
        CHECK(results.front().revision == 7);
        CHECK_FALSE(results.front().more);
    }
    SECTION("up to the first page that is not complete, so that none is skipped by the next scan")
    {
        merged.add(0, page({"a"}, 7));
        merged.add(1, page({"b"}, 8, true));
        REQUIRE(results.size() == 1);
        CHECK(results.front().rows.size() == 2);
        CHECK(results.front().more);
    }
    SECTION("a failed call makes the whole result unavailable")
    {
        merged.add(0, page({"a"}, 7));
        merged.add(1, ReadResult{});
        REQUIRE(results.size() == 1);
        CHECK(results.front().status == ReadStatus::Unavailable);
    }
}
