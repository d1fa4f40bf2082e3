#include <LibBase/Json.h>
#include <LibRpc/RpcClient.h>
#include <LibStore/Http/RunningPlatform.h>
#include <Services/Fleet/FleetProcess.h>
#include <catch2/catch.hpp>
#include <fstream>
#include <thread>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

constexpr const char *manifestText = R"({
  "pools": [{"name": "intake", "availability_budget": 1}],
  "hosts": [
    {"name": "w1", "pool": "intake", "rack": "r1", "data_centre": "d",
     "capacity": {"processors": 8, "memory_gb": 16}},
    {"name": "w2", "pool": "intake", "rack": "r2", "data_centre": "d",
     "capacity": {"processors": 8, "memory_gb": 16}}],
  "teams": [{"name": "t", "quota": {"processors": 100, "memory_gb": 100}}],
  "jobs": [{"name": "fits", "pool": "intake", "team": "t", "tasks": 1,
            "task_size": {"processors": 1, "memory_gb": 1}},
           {"name": "huge", "pool": "intake", "team": "t", "tasks": 1,
            "task_size": {"processors": 99, "memory_gb": 1}}]
})";

PlatformSettings twoWorkers()
{
    PlatformSettings settings;
    settings.workers = {{"w1", "r1", "d", {8, 16, 0}}, {"w2", "r2", "d", {8, 16, 0}}};
    return settings;
}

FleetSettings fleetSettings(const std::string &prefix, const std::string &storeUrl)
{
    FleetSettings settings;
    settings.instancePrefix = prefix;
    settings.dataCentre = "d";
    settings.storeUrl = storeUrl;
    settings.peerAddress = "127.0.0.1:0";
    settings.peerKey = "key of the test";
    settings.operatorAddress = "127.0.0.1";
    settings.operators = {{"anna", "token-of-anna"}, {"ben", "token-of-ben"}};
    settings.planPeriod = 200ms;
    return settings;
}

/// Operator who repeats a call until the process accepts it, as after a start.
struct Operator
{
    Operator(const FleetProcess &process, const std::string &secret)
        : client({"http://127.0.0.1:" + std::to_string(process.operatorPort()) + "/", 40000, {}}),
          token(secret)
    {
    }

    Json::Value call(const std::string &method, Json::Value parameters = Json::objectValue)
    {
        parameters["token"] = token;
        return client.call(method, parameters);
    }
    std::string failure(const std::string &method, Json::Value parameters = Json::objectValue)
    {
        try {
            call(method, std::move(parameters));
            return {};
        } catch (const RpcError &error) {
            last = error;
            return error.code;
        }
    }
    template <typename Condition>
    bool eventually(Condition condition)
    {
        for (int attempt = 0; attempt < 300; ++attempt) {
            if (condition())
                return true;
            std::this_thread::sleep_for(100ms);
        }
        return false;
    }

    RpcClient client;
    std::string token;
    RpcError last;
};

Json::Value named(std::initializer_list<std::pair<const char *, Json::Value>> members)
{
    Json::Value value(Json::objectValue);
    for (const auto &[name, member] : members)
        value[name] = member;
    return value;
}

} // namespace

TEST_CASE("A fleet process serves operators and acts for its pools")
{
    RunningPlatform platform(twoWorkers());
    FleetProcess process(fleetSettings("fleet-1", platform.address()));
    process.start().value();
    Operator anna(process, "token-of-anna");

    REQUIRE(anna.eventually([&] {
        return anna.failure("apply", named({{"manifest", manifestText}, {"parent", 0}})).empty();
    }));
    const auto head = anna.call("status");
    REQUIRE(head["version_in_force"].asUInt64() == 1);
    REQUIRE(head["head_state"].asString() == "accepted");

    SECTION("a wrong token is refused for every method")
    {
        Operator stranger(process, "wrong");
        for (const auto *method : {"validate", "diff", "apply", "status", "explain", "drain",
                                   "undrain", "wave", "dump", "watch"}) {
            INFO(method);
            REQUIRE(stranger.failure(method) == "unauthorized");
        }
    }
    SECTION("an operator who changed an older version gets a conflict that names what changed")
    {
        Json::Value changed = parseJson(manifestText).value();
        changed["pools"][0]["availability_budget"] = 2;
        REQUIRE(anna.failure("apply", named({{"manifest", writeJson(changed)}, {"parent", 1}}))
                    .empty());
        Operator ben(process, "token-of-ben");
        REQUIRE(ben.failure("apply", named({{"manifest", manifestText}, {"parent", 1}}))
                == "store-conflict");
        REQUIRE(ben.last.data["author"].asString() == "anna");
        REQUIRE(ben.last.data["changed"][0].asString() == "pools/intake/availability_budget");
    }
    SECTION("a manifest that is not valid is refused before anything is written")
    {
        REQUIRE(anna.failure("apply", named({{"manifest", "{"}})) == "invalid-json");
        REQUIRE(anna.failure("validate", named({{"manifest", R"({"pools":[]})"}}))
                == "schema-violation");
        REQUIRE(anna.call("status")["head_version"].asUInt64() == 1);
    }
    SECTION("jobs are placed, or the reason why not is stated")
    {
        REQUIRE(anna.eventually([&] {
            return anna.failure("explain", named({{"kind", "job"}, {"name", "fits"}})).empty()
                   && anna.call("explain", named({{"kind", "job"}, {"name", "fits"}}))["state"]
                              .asString()
                          == "running";
        }));
        const auto huge = anna.call("explain", named({{"kind", "job"}, {"name", "huge"}}));
        REQUIRE(huge["reason"].asString() == "too-large-for-any-host");
        REQUIRE(anna.failure("explain", named({{"kind", "job"}, {"name", "none"}})) == "not-found");
    }
    SECTION("a drain is recorded with its author, is carried out and can be taken back")
    {
        const auto drain = named({{"host", "w1"}, {"reason", "disk"}});
        REQUIRE(anna.eventually([&] { return anna.failure("drain", drain).empty(); }));
        // The same wish again changes nothing.
        REQUIRE(anna.failure("drain", drain).empty());
        const auto explain = named({{"kind", "host"}, {"name", "w1"}});
        REQUIRE(anna.eventually([&] {
            return anna.failure("explain", explain).empty()
                   && anna.call("explain", explain)["state"].asString() == "drained";
        }));
        REQUIRE(anna.failure("undrain", drain).empty());
        REQUIRE(anna.eventually(
            [&] { return anna.call("explain", explain)["state"].asString() == "active"; }));
        REQUIRE(anna.failure("drain", named({{"host", "none"}})) == "not-found");
        REQUIRE(anna.failure("wave", named({{"pool", "intake"}, {"command", "jump"}}))
                == "invalid-value");
    }
    SECTION("a command for a pool that was just declared waits for its row")
    {
        Json::Value changed = parseJson(manifestText).value();
        Json::Value pool(Json::objectValue);
        pool["name"] = "late";
        pool["availability_budget"] = 1;
        changed["pools"].append(pool);
        REQUIRE(
            anna.failure("apply",
                         named({{"manifest", writeJson(changed)}, {"parent", 1}, {"wait", false}}))
                .empty());
        REQUIRE(anna.eventually([&] { return anna.call("status")["pools"].size() == 2; }));
        REQUIRE(anna.failure("wave", named({{"pool", "late"}, {"command", "start"}})).empty());
        REQUIRE(anna.failure("wave", named({{"pool", "none"}, {"command", "start"}}))
                == "not-found");
    }
    SECTION("a stop releases the leases, so that another process acts at once")
    {
        REQUIRE(process.stop());
        FleetProcess next(fleetSettings("fleet-2", platform.address()));
        next.start().value();
        Operator ben(next, "token-of-ben");
        REQUIRE(ben.eventually([&] {
            const auto status = ben.call("status");
            return status["version_in_force"].asUInt64() == 1
                   && status["leases"].isMember("pool-intake");
        }));
        // The epoch tells the new holder from the former one.
        REQUIRE(ben.call("status")["leases"]["pool-intake"].asUInt64() >= 2);
    }
}

TEST_CASE("Settings of the fleet process are checked before it starts")
{
    const auto path = "fleet-settings-of-the-test.json";
    const auto errorOf = [&](const std::string &text) {
        std::ofstream(path) << text;
        return valueOrElse(
            [&]() -> Result<ErrorCode> {
                BOOST_LEAF_CHECK(loadFleetSettings(path));
                return ErrorCode::Stopping;
            },
            [](const Error &error) { return error.code; });
    };
    const std::string valid = R"({"instance_prefix": "f", "data_centre": "d",
        "store_url": "http://127.0.0.1:1", "peer_address": "127.0.0.1:2",
        "peer_key": "12345678", "operator_address": "127.0.0.1", "operator_port": 3,
        "operators": [{"name": "a", "token": "12345678"}])";
    REQUIRE(errorOf(valid + "} // comment") == ErrorCode::Stopping);
    REQUIRE(errorOf(valid) == ErrorCode::InvalidJson);
    REQUIRE(errorOf(valid + R"(, "unknown": 1})") == ErrorCode::SchemaViolation);
    REQUIRE(errorOf(valid + R"(, "plan_period_ms": 5000})") == ErrorCode::SchemaViolation);
    REQUIRE(errorOf(valid + R"(, "operator_tls": {"certificate": "c.pem"}})")
            == ErrorCode::SchemaViolation);
    REQUIRE(errorOf(valid + R"(, "peers": ["nowhere"]})") == ErrorCode::InvalidValue);
    REQUIRE(errorOf(valid + R"(, "advertised_peer_address": "nowhere"})")
            == ErrorCode::InvalidValue);
    REQUIRE(errorOf(valid + R"(, "advertised_peer_address": "127.0.0.1:9"})")
            == ErrorCode::Stopping);
    std::remove(path);
}
