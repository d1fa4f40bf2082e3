#include <EntrySettings.h>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace Peridot;

namespace {

struct SettingsCase
{
    std::string name;
    std::string text;
    ErrorCode code;
    std::string field;
};

const std::string common = R"("instance_prefix": "e1", "data_centre": "kochi",
    "callers": {"address": "127.0.0.1", "port": 8080},
    "administration": {"address": "127.0.0.1", "port": 8081}, "operator_token": "secret-token")";

const std::vector<SettingsCase> settingsCases = {
    {"no JSON", "{", ErrorCode::InvalidJson, ""},
    {"missing token", R"({"instance_prefix": "e1"})", ErrorCode::SchemaViolation, ""},
    {"unknown key", "{" + common + R"(, "thread": 2})", ErrorCode::SchemaViolation, ""},
    {"port out of range", "{" + common + R"(, "peers": {"address": "127.0.0.1", "port": 70000}})",
     ErrorCode::SchemaViolation, "port"},
    {"certificate without a key",
     R"({"instance_prefix": "e1", "data_centre": "kochi", "operator_token": "secret-token",
        "callers": {"address": "127.0.0.1", "port": 8080, "tls": {"certificate": "c.pem"}},
        "administration": {"address": "127.0.0.1", "port": 8081}})",
     ErrorCode::SchemaViolation, "callers"},
    {"certificate for datagrams", "{" + common + R"(, "peers": {"address": "127.0.0.1", "port": 1,
                          "tls": {"certificate": "c.pem", "key": "k.pem"}}})",
     ErrorCode::SchemaViolation, "peers"},
    {"zero transport threads", "{" + common + R"(, "transport_threads": 0})",
     ErrorCode::SchemaViolation, "transport_threads"},
    {"zero threads", "{" + common + R"(, "threads": 0})", ErrorCode::SchemaViolation, "threads"},
    {"advertised address without a port", "{" + common + R"(, "store_url": "http://127.0.0.1:1",
        "peers": {"address": "127.0.0.1", "port": 1},
        "membership": {"peer_key": "12345678", "advertised_address": "nowhere"}})",
     ErrorCode::InvalidValue, "nowhere"},
    {"unknown service of a backend server",
     "{" + common + R"(, "bootstrap": {"services": [{"name": "a"}], "backend_servers":
        [{"name": "b", "address": "127.0.0.1", "port": 1, "services": ["c"]}]}})",
     ErrorCode::UnknownReference, "bootstrap.backend_servers[0].services"},
    {"two services of one name",
     "{" + common
         + R"(, "bootstrap": {"services": [{"name": "a"}, {"name": "a"}], "backend_servers": []}})",
     ErrorCode::DuplicateName, "bootstrap.services[1]"},
};

struct SettingsFile
{
    explicit SettingsFile(const std::string &text)
    {
        path = "entry-settings-" + std::to_string(getpid()) + ".json";
        std::ofstream(path) << text;
    }
    ~SettingsFile() { std::remove(path.c_str()); }

    std::string path;
};

} // namespace

TEST_CASE("Bad settings are refused with the path of the setting")
{
    for (const auto &entry : settingsCases) {
        DYNAMIC_SECTION(entry.name)
        {
            const SettingsFile file(entry.text);
            const Error error = valueOrElse(
                [&]() -> Result<Error> {
                    BOOST_LEAF_CHECK(loadEntrySettings(file.path));
                    return Error{ErrorCode::NotFound, "no error", {}};
                },
                [](const Error &failure) { return failure; });
            REQUIRE(errorCodeNames.nameOf(error.code) == errorCodeNames.nameOf(entry.code));
            REQUIRE(error.field.find(entry.field) != std::string::npos);
        }
    }
}

TEST_CASE("Settings may have comments, and limits have defaults")
{
    const SettingsFile file("{ // demo\n" + common + R"(, "limits": {"queue": 7}})");
    const auto settings = loadEntrySettings(file.path).value();
    REQUIRE(settings.queueLimit == 7);
    REQUIRE(settings.readTimeout == std::chrono::seconds(10));
    REQUIRE(settings.callers.port == 8080);
    REQUIRE(settings.bootstrap == nullptr);
}
