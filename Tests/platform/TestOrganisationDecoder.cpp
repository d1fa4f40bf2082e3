#include <JobCallCodec.h>
#include <PlatformConfiguration.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Platform;

namespace {

std::shared_ptr<const Jobs::JobConfiguration> configurationWith(const std::string &organisations)
{
    return decodeConfiguration({"op/config", 1,
                                R"({"version":1,"services":[],"routes":[
             {"name":"keyed","hostname":"a","prefix":"/k/","backend":"p","public":false},
             {"name":"open","hostname":"a","prefix":"/o/","backend":"p","public":true}])"
                                    + organisations + '}'});
}

Jobs::CallOutcome outcomeOf(const Jobs::JobConfiguration &configuration, const std::string &target,
                            const std::string &authorization)
{
    const RequestMessage message{
        0, "GET", target, {{"Host", "a"}, {"Authorization", authorization}}, {}};
    const auto decoded = decodeCall(message, configuration);
    const auto *refusal = std::get_if<Jobs::CallAnswer>(&decoded);
    return refusal == nullptr ? Jobs::CallOutcome::Accepted : refusal->outcome;
}

} // namespace

TEST_CASE("Organisations are decoded with their keys, weights and quotas")
{
    const auto configuration = configurationWith(
        R"(,"tenants":[{"name":"north","api_keys":["a","b"],"priority":1,"weight":2.5,
            "cap":{"cpu":8000,"mem_mb":0,"gpus":1}}])");
    REQUIRE(configuration);
    CHECK(configuration->requiresKeys);
    const auto *north = configuration->organisation("north");
    REQUIRE(north != nullptr);
    CHECK(north->keys == std::vector<std::string>{"a", "b"});
    CHECK(north->weight == 2.5);
    CHECK(north->quota == Jobs::TaskSize{8000, 0, 1});
    CHECK(configuration->organisationOfKey("b") == north);
    SECTION("and a request is refused unless its key is known or its queue is public")
    {
        using enum Jobs::CallOutcome;
        CHECK(outcomeOf(*configuration, "/k/", "Token a") == Accepted);
        for (const char *header : {"", "Token", "Token ", "Token c", "token a", "a", "Bearer a"})
            CHECK(outcomeOf(*configuration, "/k/", header) == Unauthorized);
        CHECK(outcomeOf(*configuration, "/o/", "") == Accepted);
        CHECK(outcomeOf(*configuration, "/o/", "Token c") == Accepted);
        CHECK(encodeAnswer({.outcome = Unauthorized}).status == 401);
        CHECK(encodeAnswer({.outcome = WrongOrganisation}).status == 403);
    }
}

TEST_CASE("Invalid organisations are left out, and the others are used")
{
    const auto valid = [](const std::string &entries) {
        auto configuration = configurationWith(",\"tenants\":" + entries);
        REQUIRE(configuration);
        CHECK(configuration->requiresKeys);
        return configuration;
    };
    SECTION("a key of two organisations belongs to neither")
    {
        const auto configuration
            = valid(R"([{"name":"n","api_keys":["k","l"]},{"name":"s","api_keys":["k"]}])");
        CHECK(configuration->organisationOfKey("k") == nullptr);
        CHECK(configuration->organisationOfKey("l") != nullptr);
        CHECK(configuration->refusedEntries == 1);
    }
    SECTION("also when the other entry is invalid")
    {
        const auto configuration = valid(R"([{"name":"n","api_keys":["k"]},
            {"name":"s","api_keys":["k"],"cap":{"cpu":-1}}])");
        CHECK(configuration->organisationOfKey("k") == nullptr);
    }
    SECTION("entries without a name, with a known name, or with an invalid quota")
    {
        const auto configuration = valid(R"([{"api_keys":["k"]},7,{"name":"n","api_keys":["l"]},
                {"name":"n","api_keys":["m"]},{"name":"s","cap":{"cpu":-1}},
                {"name":"t","cap":{"cpu":1.5}},{"name":"u","api_keys":[7,"o"]}])");
        CHECK(configuration->organisations.size() == 2);
        CHECK(configuration->organisationOfKey("l") != nullptr);
        CHECK(configuration->organisationOfKey("o") != nullptr);
        CHECK(configuration->refusedEntries == 6);
    }
    SECTION("an empty or malformed list admits nobody to queues that need keys")
    {
        for (const char *list : {"[]", "7", "{}", "null"})
            CHECK(outcomeOf(*valid(list), "/k/", "Token a") == Jobs::CallOutcome::Unauthorized);
    }
}

TEST_CASE("Without organisations, no call needs a key")
{
    // Guards against deployments that have none and would be refused.
    const auto configuration = configurationWith("");
    REQUIRE(configuration);
    CHECK_FALSE(configuration->requiresKeys);
    CHECK(outcomeOf(*configuration, "/k/", "") == Jobs::CallOutcome::Accepted);
}
