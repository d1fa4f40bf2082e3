#include <FleetFake/FleetFixture.h>
#include <Kernel/Fleet/BuildRoutingTable.h>
#include <Kernel/Fleet/ManifestDifference.h>
#include <LibBase/Json.h>
#include <catch2/catch.hpp>
#include <functional>

using namespace Peridot;

namespace {

Manifest validManifest()
{
    FixtureOptions options;
    options.backendServersPerHost = 1;
    auto manifest = makeManifest(options);
    manifest.jobs.push_back(makeJob("job", "a", 2, {1, 2, 0}));
    return manifest;
}

Json::Value validJson()
{
    return parseJson(encodeManifest(validManifest())).value();
}

Error errorOf(const std::string &text)
{
    return valueOrElse(
        [&]() -> Result<Error> {
            BOOST_LEAF_CHECK(parseManifest(text));
            FAIL("expected an error");
            return Error();
        },
        [](const Error &error) { return error; });
}

struct BadManifest
{
    const char *name;
    std::function<void(Json::Value &)> change;
    ErrorCode code;
    const char *field;
};

} // namespace

TEST_CASE("A manifest is refused with the path of the invalid value")
{
    const BadManifest table[] = {
        {"duplicate pool", [](Json::Value &v) { v["pools"][1]["name"] = "a"; },
         ErrorCode::DuplicateName, "pools/1/name"},
        {"duplicate host", [](Json::Value &v) { v["hosts"][1]["name"] = "h00000"; },
         ErrorCode::DuplicateName, "hosts/1/name"},
        {"duplicate job", [](Json::Value &v) { v["jobs"].append(v["jobs"][0]); },
         ErrorCode::DuplicateName, "jobs/1/name"},
        {"unknown pool of a host", [](Json::Value &v) { v["hosts"][2]["pool"] = "x"; },
         ErrorCode::UnknownReference, "hosts/2/pool"},
        {"unknown pool of a job", [](Json::Value &v) { v["jobs"][0]["pool"] = "x"; },
         ErrorCode::UnknownReference, "jobs/0/pool"},
        {"unknown team", [](Json::Value &v) { v["jobs"][0]["team"] = "x"; },
         ErrorCode::UnknownReference, "jobs/0/team"},
        {"unknown host", [](Json::Value &v) { v["backend_servers"][0]["host"] = "x"; },
         ErrorCode::UnknownReference, "backend_servers/0/host"},
        {"unknown pool of a service", [](Json::Value &v) { v["services"][0]["pools"][0] = "x"; },
         ErrorCode::UnknownReference, "services/0/pools/0"},
        {"pool named twice", [](Json::Value &v) { v["services"][0]["pools"].append("a"); },
         ErrorCode::DuplicateName, "services/0/pools/1"},
        {"two spare pools",
         [](Json::Value &v) { v["pools"][0]["spare"] = v["pools"][1]["spare"] = true; },
         ErrorCode::InvalidValue, "pools/1/spare"},
        {"empty capacity", [](Json::Value &v) { v["hosts"][0]["capacity"]["processors"] = 0; },
         ErrorCode::InvalidValue, "hosts/0/capacity"},
        {"rack in two data centres", [](Json::Value &v) { v["hosts"][1]["data_centre"] = "dc9"; },
         ErrorCode::InvalidValue, "hosts/1/data_centre"},
        {"not an address", [](Json::Value &v) { v["backend_servers"][0]["address"] = "1.2.3"; },
         ErrorCode::InvalidValue, "backend_servers/0/address"},
        {"port used twice", [](Json::Value &v) { v["backend_servers"][1]["port"] = 20000; },
         ErrorCode::InvalidValue, "backend_servers/1/port"},
        {"empty task", [](Json::Value &v) { v["jobs"][0]["task_size"]["memory_gb"] = 0; },
         ErrorCode::InvalidValue, "jobs/0/task_size"},
    };
    REQUIRE(encodeManifest(parseManifest(writeJson(validJson())).value())
            == encodeManifest(validManifest()));
    for (const auto &bad : table) {
        auto value = validJson();
        bad.change(value);
        const auto error = errorOf(writeJson(value));
        INFO(bad.name << ": " << describe(error));
        CHECK(error.code == bad.code);
        CHECK(error.field == bad.field);
    }
    SECTION("values outside the schema")
    {
        const std::pair<const char *, std::function<void(Json::Value &)>> violations[] = {
            {"pools",
             [](Json::Value &v) {
                 v["pools"][0]["availability_budget"] = -1;
             }},
            {"pools",
             [](Json::Value &v) {
                 v["pools"][0]["name"] = "a/b";
             }},
            {"hosts",
             [](Json::Value &v) {
                 v["hosts"][0].removeMember("rack");
             }},
            {"jobs",
             [](Json::Value &v) {
                 v["jobs"][0]["urgency"] = "soon";
             }},
            {"jobs",
             [](Json::Value &v) {
                 v["jobs"][0]["tasks"] = 0;
             }},
            {"services",
             [](Json::Value &v) {
                 v["services"][0]["share"] = 0;
             }},
            {"backend_servers",
             [](Json::Value &v) {
                 v["backend_servers"][0]["port"] = 70000;
             }},
            {"",
             [](Json::Value &v) {
                 v["pool"] = 1;
             }},
        };
        for (const auto &[field, change] : violations) {
            auto value = validJson();
            change(value);
            const auto error = errorOf(writeJson(value));
            INFO(describe(error));
            CHECK(error.code == ErrorCode::SchemaViolation);
            CHECK(error.field.find(field) != std::string::npos);
        }
    }
    SECTION("text that is not JSON")
    {
        CHECK(errorOf("{").code == ErrorCode::InvalidJson);
        CHECK(errorOf(R"({"pools":[],"pools":[]})").code == ErrorCode::InvalidJson);
    }
}

TEST_CASE("The difference of two manifests names what changed")
{
    const auto before = validManifest();
    auto after = before;
    CHECK(manifestDifference(before, after).empty());
    std::swap(after.hosts[0], after.hosts[1]);
    CHECK(manifestDifference(before, after).empty());
    after.pools[0].availabilityBudget = 3;
    after.jobs.clear();
    const auto changes = manifestDifference(before, after);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].path == "jobs/job");
    CHECK(changes[0].kind == ManifestChangeKind::Removed);
    CHECK(changes[1].path == "pools/a/availability_budget");
    CHECK(changes[1].before == "2");
    CHECK(changes[1].after == "3");
}

TEST_CASE("The routing table follows the host rows, not the pools that the manifest declares")
{
    const auto manifest = validManifest();
    const auto table = buildRoutingTable(
        manifest,
        [](const std::string &host) -> std::optional<HostRouting> {
            HostRecord record;
            // Assigning a string literal causes a false -Wrestrict warning in g++ 12.
            record.pool = std::string(host == "h00000" ? "b" : "a");
            record.state = host == "h00002" ? HostState::Draining : HostState::Active;
            return hostRouting(record);
        },
        7);
    REQUIRE(table.version == 7);
    REQUIRE(table.backendServers.size() == manifest.hosts.size());
    CHECK(table.backendServers[0].services == std::vector<std::string>{"service-b"});
    CHECK(table.backendServers[1].services == std::vector<std::string>{"service-a"});
    CHECK_FALSE(table.backendServers[1].leaving);
    CHECK(table.backendServers[2].leaving);
}
