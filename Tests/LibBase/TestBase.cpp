#include <LibBase/Error.h>
#include <LibBase/Json.h>
#include <LibBase/Log.h>
#include <LibBase/PluginRegistry.h>
#include <LibBase/Token.h>
#include <catch2/catch.hpp>

using namespace Peridot;

namespace {

template <typename Function>
Error errorOf(Function &&function)
{
    Error result;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(function());
            FAIL("expected an error");
            return {};
        },
        [&](const Error &error) { result = error; }, [] { FAIL("untyped error"); });
    return result;
}

} // namespace

TEST_CASE("JSON input is checked before it is used")
{
    SECTION("duplicate keys are refused, so that no value silently wins")
    {
        REQUIRE(errorOf([] { return parseJson(R"({"a":1,"a":2})"); }).code
                == ErrorCode::InvalidJson);
    }
    SECTION("deep nesting is refused before it can exhaust the stack")
    {
        const std::string text(100000, '[');
        REQUIRE(errorOf([&] { return parseJson(text); }).code == ErrorCode::InvalidJson);
    }
    SECTION("a schema violation names the path of the value")
    {
        const auto value = parseJson(R"({"port":"x"})").value();
        const auto error = errorOf([&] {
            return validateSchema(value,
                                  R"({"type":"object","properties":{"port":{"type":"integer"}}})");
        });
        REQUIRE(error.code == ErrorCode::SchemaViolation);
        REQUIRE(error.field.find("port") != std::string::npos);
    }
}

TEST_CASE("A log value cannot add a line or a field")
{
    REQUIRE(formatLogLine("x", {{"id", "a b=c\n\"d"}}) == R"(event=x id="a b=c\x0a\"d")");
}

TEST_CASE("The minimum level drops only less severe events")
{
    // Guards against the level order of the log library, which dropped warnings and errors at Info.
    configureLog(LogLevel::Info);
    REQUIRE_FALSE(isLogged(LogLevel::Debug));
    REQUIRE(isLogged(LogLevel::Info));
    REQUIRE(isLogged(LogLevel::Warning));
    REQUIRE(isLogged(LogLevel::Error));
}

TEST_CASE("A token is accepted only as a whole")
{
    // Guards against a comparison that stops at the shorter text.
    REQUIRE(equalTokens("secret-token", "secret-token"));
    REQUIRE_FALSE(equalTokens("secret-token", "secret"));
    REQUIRE_FALSE(equalTokens("secret-token", "secret-tokem"));
    REQUIRE_FALSE(equalTokens("secret-token", ""));
}

TEST_CASE("An unknown plug-in is a typed error")
{
    struct Interface
    {
    };
    using Registry = PluginRegistry<Interface>;
    const auto error = errorOf([] { return Registry::create("absent"); });
    REQUIRE(error.code == ErrorCode::UnknownPlugin);
    REQUIRE(error.field == "absent");
}
