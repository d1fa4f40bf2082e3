#include <Kernel/Fleet/FleetView.h>
#include <catch2/catch.hpp>

using namespace Peridot;

namespace {

std::string hostRow(const std::string &name, const std::string &pool)
{
    HostRecord record;
    record.name = name;
    record.pool = pool;
    record.rack = "rack";
    record.dataCentre = "centre";
    return encodeHostRecord(record);
}

std::string jobRow(const std::string &name, const std::string &pool, const std::string &host)
{
    JobRecord record;
    record.name = name;
    record.pool = pool;
    record.tasks.resize(1);
    record.tasks[0].phase = TaskPhase::Placed;
    record.tasks[0].host = host;
    record.tasks[0].epoch = 1;
    return encodeJobRecord(record);
}

} // namespace

TEST_CASE("The holder of a pool observes every host that executes its tasks")
{
    FleetView view;
    REQUIRE(view.applyRows({{"host/own", 1, hostRow("own", "home")},
                            {"host/lent", 2, hostRow("lent", "spare")},
                            {"host/other", 3, hostRow("other", "spare")},
                            {"job/batch", 4, jobRow("batch", "home", "lent")}},
                           TimePoint{}));

    SECTION("including a borrowed host, because without its report a stopped task is never "
            "released and "
            "the drain of the lender never ends")
    {
        REQUIRE(view.observedHosts("home") == std::set<std::string>{"lent", "own"});
    }
    SECTION("a pool without jobs observes its own hosts")
    {
        REQUIRE(view.observedHosts("spare") == std::set<std::string>{"lent", "other"});
    }
    SECTION("an unknown pool observes no hosts")
    {
        REQUIRE(view.observedHosts("absent").empty());
    }
}
