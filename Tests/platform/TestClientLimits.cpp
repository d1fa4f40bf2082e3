#include <ClientLimits.h>
#include <PlatformSettings.h>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace Peridot;
using namespace Peridot::Platform;

TEST_CASE("Limits of clients follow from the memory and the descriptors of the host")
{
    const auto total = [](const ClientLimits &limits) {
        return limits.callerConnections + limits.readinessConnections
               + limits.administrationConnections + limits.budget.lingering;
    };
    const auto smallest = ClientLimits::derive(160, 4100);
    SECTION("leave room for the connections to 350 workers and the store")
    {
        CHECK(total(smallest) + 350 + 200 < 4100);
        CHECK(smallest.callerConnections > 1500);
    }
    SECTION("leave room in memory for the jobs")
    {
        CHECK(smallest.budget.bytes == 40UL * 1024 * 1024);
    }
    SECTION("hold on very small hosts, too")
    {
        CHECK(total(ClientLimits::derive(64, 400)) == 200);
        CHECK(ClientLimits::derive(64, 1).callerConnections > 0);
        CHECK(ClientLimits::derive(64, 1).readinessConnections > 0);
    }
}

TEST_CASE("The settings of memory and descriptors are optional")
{
    const auto load = [](const std::string &members) {
        const auto path
            = std::filesystem::temp_directory_path() / ("limits-" + std::to_string(::getpid()));
        std::ofstream(path) << R"({"host":"h","data_centre":"a","callers":"127.0.0.1:1",)"
                            << R"("readiness":"127.0.0.1:2","store":{"address":"127.0.0.1:3"},)"
                            << R"("free_ports":[4,5],"grace_s":1,"worker_lease_ms":1000,)"
                            << R"("stop_ms":1,"status_s":1)" << members << "}";
        auto settings = loadPlatformSettings(path.string());
        std::filesystem::remove(path);
        return settings;
    };
    CHECK(load("").value().memoryMegabytes == 160);
    CHECK(load("").value().descriptorLimit == 4100);
    const auto settings = load(R"(,"memory_mb":512,"descriptor_limit":8192)").value();
    CHECK(settings.memoryMegabytes == 512);
    CHECK(settings.descriptorLimit == 8192);
    CHECK_FALSE(load(R"(,"memory_mb":0)"));
}
