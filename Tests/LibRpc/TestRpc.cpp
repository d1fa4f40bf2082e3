#include <LibRpc/RpcClient.h>
#include <LibRpc/RpcServer.h>
#include <TestCertificate.h>
#include <catch2/catch.hpp>
#include <curl/curl.h>

using namespace Peridot;

namespace {

std::size_t append(char *data, std::size_t size, std::size_t count, void *text)
{
    static_cast<std::string *>(text)->append(data, size * count);
    return size * count;
}

std::string fetch(const std::string &url)
{
    std::string body;
    CURL *handle = curl_easy_init();
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &body);
    curl_easy_perform(handle);
    curl_easy_cleanup(handle);
    return body;
}

} // namespace

TEST_CASE("Calls of operators reach their method and errors keep their type")
{
    RpcServerSettings settings;
    settings.address = "127.0.0.1";
    settings.bodyLimit = 1000;
    RpcServer server(settings, [](const std::string &path) {
        return RpcPage{200, "text/plain", "page " + path};
    });
    server.addMethod("echo", [](const Json::Value &parameters) { return parameters; });
    server.addMethod("fail", [](const Json::Value &) -> Json::Value {
        throw RpcError{"store-conflict", "head", "changed", Json::Value("data")};
    });
    server.addMethod("wrong", [](const Json::Value &parameters) {
        return Json::Value(parameters["x"].asInt());
    });
    REQUIRE(server.start());
    const std::string url = "http://127.0.0.1:" + std::to_string(server.port());
    RpcClient client({url, 2000, {}});
    Json::Value parameters(Json::objectValue);
    parameters["x"] = "text";

    SECTION("a result comes back")
    {
        REQUIRE(client.call("echo", parameters) == parameters);
    }
    SECTION("a typed error keeps code, field, detail and data")
    {
        try {
            client.call("fail", parameters);
            FAIL("expected an error");
        } catch (const RpcError &error) {
            REQUIRE(error.code == "store-conflict");
            REQUIRE(error.field == "head");
            REQUIRE(error.data.asString() == "data");
        }
    }
    SECTION("failures of the protocol do not end the server")
    {
        parameters["large"] = std::string(2000, 'x');
        REQUIRE_THROWS_AS(client.call("echo", parameters), RpcError);
        parameters.removeMember("large");
        REQUIRE_THROWS_AS(client.call("wrong", parameters), RpcError);
        REQUIRE_THROWS_AS(client.call("absent", parameters), RpcError);
        REQUIRE(client.call("echo", parameters) == parameters);
    }
    SECTION("a page is served beside the methods")
    {
        REQUIRE(fetch(url + "/health") == "page /health");
    }
    SECTION("an absent server is a connection failure")
    {
        server.stop();
        try {
            client.call("echo", parameters);
            FAIL("expected an error");
        } catch (const RpcError &error) {
            REQUIRE(error.code == "connection-failed");
        }
    }
}

TEST_CASE("Operators call a server over TLS")
{
    const TestCertificate certificate;
    RpcServerSettings settings;
    settings.address = "127.0.0.1";
    settings.certificateFile = certificate.certificateFile();
    settings.keyFile = certificate.keyFile();
    RpcServer server(settings, [](const std::string &) { return RpcPage{}; });
    server.addMethod("echo", [](const Json::Value &parameters) { return parameters; });
    REQUIRE(server.start());
    const std::string address = "127.0.0.1:" + std::to_string(server.port()) + "/";
    Json::Value parameters(Json::objectValue);
    parameters["x"] = "text";

    const auto errorCode = [&](const std::string &scheme, const std::string &authority) {
        try {
            RpcClient({scheme + address, 5000, authority}).call("echo", parameters);
        } catch (const RpcError &error) {
            return error.code;
        }
        return std::string();
    };
    SECTION("a server whose certificate is known is called")
    {
        REQUIRE(errorCode("https://", certificate.certificateFile()).empty());
    }
    SECTION("a server with another certificate, and plain HTTP, are refused")
    {
        const TestCertificate other;
        REQUIRE(errorCode("https://", other.certificateFile()) == "connection-failed");
        REQUIRE(errorCode("http://", {}) == "connection-failed");
    }
    SECTION("a new certificate is used without a restart")
    {
        certificate.write(2);
        REQUIRE(errorCode("https://", certificate.certificateFile()) == "connection-failed");
        REQUIRE(server.reloadCertificate());
        REQUIRE(errorCode("https://", certificate.certificateFile()).empty());
    }
    SECTION("an unusable certificate leaves the former in use")
    {
        const TestCertificate copy;
        std::filesystem::copy_file(certificate.certificateFile(), copy.certificateFile(),
                                   std::filesystem::copy_options::overwrite_existing);
        certificate.writeGarbage();
        REQUIRE_FALSE(server.reloadCertificate());
        REQUIRE(errorCode("https://", copy.certificateFile()).empty());
    }
    SECTION("a server without its files does not start")
    {
        settings.keyFile = "/nonexistent/key.pem";
        RpcServer second(settings, [](const std::string &) { return RpcPage{}; });
        REQUIRE_FALSE(second.start());
    }
}
