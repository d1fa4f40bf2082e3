#include <LibBase/Json.h>
#include <LibRpc/RpcServer.h>
#include <TestCertificate.h>
#include <catch2/catch.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

using namespace Peridot;

namespace {

constexpr const char *manifestText = R"({
  "pools": [{"name": "a", "availability_budget": 1}],
  "hosts": [{"name": "w", "pool": "a", "rack": "r", "data_centre": "d",
             "capacity": {"processors": 8, "memory_gb": 16}}]
})";

RpcServerSettings loopback()
{
    RpcServerSettings settings;
    settings.address = "127.0.0.1";
    return settings;
}

/// Answers like a fleet process.
class StubFleet
{
public:
    explicit StubFleet(const RpcServerSettings &settings = loopback())
        : m_server(settings, [](const std::string &) {
              return RpcPage{404, "", ""};
          })
    {
        const auto status = [](const Json::Value &) {
            Json::Value status(Json::objectValue);
            status["instance"] = "fleet-1";
            status["view"] = Json::Value(Json::arrayValue);
            status["pools"] = Json::Value(Json::arrayValue);
            return status;
        };
        add("status", status);
        add("watch", status);
        add("apply", [](const Json::Value &parameters) -> Json::Value {
            if (parameters["parent"].asUInt64() == 1) {
                Json::Value data(Json::objectValue);
                data["changed"].append("pools/a/availability_budget");
                throw RpcError{"store-conflict", "configuration/head", "version 2", data};
            }
            if (parameters["manifest"].asString().find("absent") != std::string::npos)
                throw RpcError{"invalid-value", "jobs/0/task_size", "", {}};
            Json::Value answer(Json::objectValue);
            answer["state"] = parameters["wait"].asBool() ? "accepted" : "proposed";
            return answer;
        });
        add("drain", [](const Json::Value &parameters) -> Json::Value {
            if (parameters["host"] != "w")
                throw RpcError{"not-found", "host/absent", "", {}};
            return parameters;
        });
        add("wave", [](const Json::Value &) -> Json::Value {
            throw RpcError{"timeout", "", "not in force everywhere", {}};
        });
        add("explain", [](const Json::Value &parameters) { return parameters; });
        REQUIRE(m_server.start());
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }

private:
    void add(const std::string &name, const RpcServer::Method &method)
    {
        m_server.addMethod(name, [method](const Json::Value &parameters) -> Json::Value {
            if (parameters["token"] != "right")
                throw RpcError{"unauthorized", "token", "", {}};
            return method(parameters);
        });
    }

    RpcServer m_server;
};

struct Outcome
{
    int status = -1;
    std::string output; ///< and errors
};

Outcome runControl(const std::string &arguments)
{
    Outcome outcome;
    FILE *pipe = popen((std::string(PERIDOTCTL) + " " + arguments + " 2>&1").c_str(), "r");
    REQUIRE(pipe);
    char buffer[256];
    while (const auto count = std::fread(buffer, 1, sizeof buffer, pipe))
        outcome.output.append(buffer, count);
    const int result = pclose(pipe);
    outcome.status = WIFEXITED(result) ? WEXITSTATUS(result) : -1;
    return outcome;
}

/// Files that are removed with it.
class Files
{
public:
    Files()
        : m_directory(std::filesystem::temp_directory_path()
                      / ("peridot-control-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_directory);
    }
    ~Files() { std::filesystem::remove_all(m_directory); }
    std::string write(const std::string &name, const std::string &text) const
    {
        auto path = (m_directory / name).string();
        std::ofstream(path) << text;
        return path;
    }

private:
    std::filesystem::path m_directory;
};

} // namespace

TEST_CASE("peridotctl ends with the documented status and says why")
{
    const StubFleet fleet;
    const Files files;
    const auto good = files.write("good.json", manifestText);
    auto value = parseJson(manifestText).value();
    value["hosts"][0]["pool"] = "absent";
    const auto bad = files.write("bad.json", writeJson(value));
    const auto broken = files.write("broken.json", "{");
    const auto jobs = files.write("jobs.json", R"({"version":7,"routes":[],"services":[]})");
    const auto unusable = files.write("unusable.json", R"({"version":7,"services":[],"routes":
        [{"name":"q","hostname":"h","prefix":"/q/","backend":"absent","slo_ms":600}]})");
    const auto settings = files.write("settings.json", R"({"addresses": [")" + fleet.address()
                                                           + R"("], "token": "right"})");
    const auto wrongSettings = files.write("wrong.json", R"({"adresses": []})");
    const std::string known = "--settings=" + settings + " ";

    struct Case
    {
        std::string arguments;
        int status;
        std::string output; ///< part of it
    };
    const Case cases[] = {
        {"--help", 0, "EXIT STATUS"},
        {"validate " + good, 0, "hosts: 1"},
        {"validate " + bad, 5, "unknown-reference at hosts/0/pool"},
        {"validate " + broken, 5, "invalid-json"},
        {"validate /absent", 2, "file-unreadable"},
        {"check " + jobs, 0, "0 findings, 0 differences"},
        {"check " + jobs + " --in-force=" + jobs, 5, "error old-version: version 7"},
        {"check " + unusable + " --json", 5, R"("kind":"unknown-pool")"},
        {"check " + broken, 5, "invalid-json"},
        {"check /absent", 2, "file-unreadable"},
        {"fly", 2, ""},
        {"--settings=/absent status", 2, "file-unreadable"},
        {"--settings=" + wrongSettings + " status", 2, "adresses"},
        {known + "--timeout=soon status", 2, "--timeout"},
        {known + "--timeout=-1 status", 2, "--timeout"},
        {known + "--timeout=99999999999999999999 status", 2, "--timeout"},
        {known + "watch --count=x", 2, "--count"},
        {known + "apply " + good + " --parent=-1", 2, "--parent"},
        {known + "apply " + good + " --parent=1x", 2, "--parent"},
        {"--address=127.0.0.1:1 --token=right status", 3, "connection-failed"},
        {"--address=127.0.0.1:1," + fleet.address() + " --token=right status", 0, "fleet-1"},
        {known + "status", 0, "instance: fleet-1"},
        {known + "--token=wrong status", 6, "unauthorized at token"},
        {known + "apply " + good, 0, "state: accepted"},
        {known + "apply " + good + " --no-wait", 7, "state: proposed"},
        {known + "apply " + good + " --parent=1", 4, "changed: pools/a/availability_budget"},
        {known + "apply " + bad, 5, "invalid-value at jobs/0/task_size"},
        {known + "apply /absent", 2, "file-unreadable"},
        {known + "drain w --reason=test", 0, "reason: test"},
        {known + "drain absent", 1, "not-found at host/absent"},
        {known + "wave start a", 7, "timeout"},
        {known + "explain job j", 0, "kind: job"},
        {known + "watch --count=1", 0, "fleet-1"},
    };
    for (const auto &entry : cases) {
        INFO(entry.arguments);
        const auto outcome = runControl(entry.arguments);
        CHECK(outcome.status == entry.status);
        CHECK_THAT(outcome.output, Catch::Contains(entry.output));
    }
}

TEST_CASE("peridotctl --json prints answers and errors as JSON")
{
    const StubFleet fleet;
    const Files files;
    const auto good = files.write("good.json", manifestText);
    const std::string known = "--json --address=" + fleet.address() + " ";
    const auto jsonOf = [&](const std::string &arguments) {
        return parseJson(runControl(arguments).output).value();
    };
    CHECK(jsonOf(known + "--token=right status")["instance"] == "fleet-1");
    CHECK(jsonOf(known + "--token=wrong status")["error"] == "unauthorized");
    CHECK(jsonOf(known + "--token=right apply " + good + " --parent=1")["data"]["changed"][0]
          == "pools/a/availability_budget");
    CHECK(jsonOf("--json validate " + good)["valid"] == true);
    CHECK(jsonOf("--json validate /absent")["error"] == "file-unreadable");
    CHECK(jsonOf(known + "--token=right drain absent")["field"] == "host/absent");
}

TEST_CASE("peridotctl calls a fleet process over TLS")
{
    const TestCertificate certificate;
    RpcServerSettings server = loopback();
    server.certificateFile = certificate.certificateFile();
    server.keyFile = certificate.keyFile();
    const StubFleet fleet(server);
    const Files files;
    const auto statusWith = [&](const std::string &members) {
        const auto settings
            = files.write("tls.json", R"({"token": "right", "addresses": [")" + fleet.address()
                                          + R"("])" + members + "}");
        return runControl("--settings=" + settings + " status").status;
    };
    SECTION("when its settings name the authority of the certificate")
    {
        REQUIRE(statusWith(R"(, "authority": ")" + certificate.certificateFile() + '"') == 0);
    }
    SECTION("and refuses a certificate of another authority")
    {
        const TestCertificate other;
        REQUIRE(statusWith(R"(, "authority": ")" + other.certificateFile() + '"') == 3);
    }
    SECTION("and gets no answer by plain HTTP")
    {
        REQUIRE(statusWith({}) == 3);
    }
}
