#include <ConfigurationReview.h>
#include <LibBase/Json.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Platform;
using enum Jobs::FindingKind;

namespace {

/// A valid configuration of two queues and an organisation.
Json::Value validConfiguration()
{
    return parseJson(R"({"version":7,
        "routes":[{"name":"checks","hostname":"a","prefix":"/c/","backend":"fast","stretch":1.6,
                   "slo_ms":600,"max_attempts":3,"priority":0,"public":false},
                  {"name":"reports","hostname":"a","prefix":"/r/","backend":"slow","stretch":1.6,
                   "slo_ms":600,"max_attempts":3,"priority":1,"public":false}],
        "services":[{"name":"fast"},{"name":"slow"},{"name":"rest","standby":true}],
        "tenants":[{"name":"north","api_keys":["secret"],"weight":5,
                    "cap":{"cpu":8000,"mem_mb":0,"gpus":0}}]})")
        .value();
}

ConfigurationReview review(const Json::Value &next)
{
    return reviewConfiguration(writeJson(next), std::nullopt).value();
}

bool finds(const ConfigurationReview &review, Jobs::FindingKind kind, const std::string &entry)
{
    return std::any_of(review.findings.begin(), review.findings.end(), [&](const auto &finding) {
        return finding.kind == kind && finding.entry == entry;
    });
}

} // namespace

TEST_CASE("A configuration is reviewed before it is sent")
{
    Json::Value next = validConfiguration();
    REQUIRE(review(next).findings.empty());

    SECTION("invalid entries and members are named")
    {
        next["routes"][0].removeMember("backend");
        next["routes"][1]["priority"] = -1;
        next["routes"][1]["stretch"] = "fast";
        next["services"][1].removeMember("name");
        const auto found = review(next);
        CHECK(finds(found, InvalidEntry, "routes 1"));
        CHECK(finds(found, InvalidEntry, "routes 2"));
        CHECK(finds(found, InvalidEntry, "services 2"));
        CHECK(found.hasErrors());
    }
    SECTION("entries that can never match are found")
    {
        next["routes"][1]["prefix"] = "/c/";
        next["services"].append(parseJson(R"({"name":"forgotten"})").value());
        next["tenants"][0]["api_keys"].clear();
        const auto found = review(next);
        CHECK(finds(found, UnreachableQueue, "queue reports"));
        CHECK(finds(found, UnusedPool, "pool forgotten"));
        CHECK(finds(found, OrganisationWithoutKey, "organisation north"));
        CHECK(finds(found, NobodyAdmitted, "queue checks"));
    }
    SECTION("settings that contradict each other are found")
    {
        next["routes"][0]["stretch"] = 0;
        next["routes"][0]["slo_ms"] = 0;
        next["routes"][0]["backend"] = "absent";
        next["routes"][1]["backend"] = "rest";
        next["routes"][1]["advice"]
            = parseJson(R"({"decide_ms":100,"each_ms":50,"valid_ms":1000})").value();
        next["services"][1]["name"] = "fast";
        next["tenants"].append(parseJson(R"({"name":"south","api_keys":["other"]})").value());
        const auto found = review(next);
        CHECK(finds(found, NoObjective, "queue checks"));
        CHECK(finds(found, UnknownPool, "queue checks"));
        CHECK(finds(found, SparePoolWithQueue, "queue reports"));
        CHECK(finds(found, TicketExpiresEarly, "queue reports"));
        CHECK(finds(found, DuplicateName, "pool fast"));
        CHECK(finds(found, OrganisationWithoutRate, "organisation south"));
    }
    SECTION("what differs from the configuration in force is listed without keys")
    {
        const std::string inForce = writeJson(next);
        next["version"] = 8;
        next["routes"][0]["slo_ms"] = 700;
        next["routes"][1]["name"] = "summaries";
        next["tenants"][0]["api_keys"][0] = "another";
        const auto found = reviewConfiguration(writeJson(next), inForce).value();
        CHECK(found.findings.empty());
        using enum Jobs::DifferenceKind;
        REQUIRE(found.differences
                == std::vector<Jobs::ConfigurationDifference>{
                    {Changed, "queue checks", {"latency allowance: 0.600000 s to 0.700000 s"}},
                    {Added, "queue summaries"},
                    {Removed, "queue reports"},
                    {Changed, "organisation north", {"keys: 1 added, 1 removed"}}});
    }
    SECTION("a version that is not higher than the one in force would be ignored")
    {
        const auto found = reviewConfiguration(writeJson(next), writeJson(next)).value();
        CHECK(finds(found, OldVersion, "version 7"));
    }
    SECTION("a text that is no configuration is an error")
    {
        const auto isRefused = [](std::string_view text) {
            return valueOrElse(
                [&]() -> Result<bool> {
                    BOOST_LEAF_AUTO(ignored, reviewConfiguration(text, std::nullopt));
                    return ignored.hasErrors() && false;
                },
                [](const Error &) { return true; });
        };
        CHECK(isRefused("{"));
        CHECK(isRefused("[]"));
        CHECK(isRefused(R"({"version":1,"routes":{},"services":[]})"));
    }
}
