#include <JobsProcess.h>
#include <LibHttp/ClientPool.h>
#include <catch2/catch.hpp>
#include <map>
#include <mutex>
#include <openssl/evp.h>

using namespace Peridot;
using namespace Peridot::Platform;
using namespace std::chrono_literals;

namespace {

constexpr unsigned callerConnections = 64; // far more than the process has to the store

/// A store that has a configuration, and never answers writes of jobs.
class StoreThatHoldsJobs
{
public:
    StoreThatHoldsJobs()
    {
        HttpServerSettings settings;
        HttpServerHooks hooks;
        hooks.onRequest = [this](const RequestMessage &request,
                                 const std::shared_ptr<HttpResponder> &responder) {
            const std::lock_guard lock(m_mutex);
            handle(request, responder);
        };
        hooks.onAbandoned = [this](std::uint64_t serial) {
            const std::lock_guard lock(m_mutex);
            m_heldWrites.erase(serial);
        };
        m_server = HttpServer::start(settings, std::move(hooks)).value();
    }
    ~StoreThatHoldsJobs() { m_server->stop(); }

    std::uint16_t port() const { return m_server->port(); }
    /// Largest number of writes of jobs that were held when the lease was read.
    std::size_t heldAtLeaseRead()
    {
        const std::lock_guard lock(m_mutex);
        return m_heldAtLeaseRead;
    }

private:
    void handle(const RequestMessage &request, const std::shared_ptr<HttpResponder> &responder)
    {
        if (request.body.find(R"("table":"job")") != std::string::npos) {
            m_heldWrites.emplace(request.serial, responder);
            return;
        }
        if (request.target.starts_with("/v1/rows-feed")) {
            m_feeds.push_back(responder);
            return;
        }
        const bool readsLease = request.target.find("table=lease") != std::string::npos;
        if (request.method == "GET" && readsLease)
            leaseRead();
        const bool readsConfiguration = request.target.find("table=op") != std::string::npos;
        answer(*responder, readsConfiguration ? configurationRow() : std::string());
    }

    void leaseRead()
    {
        m_heldAtLeaseRead = std::max(m_heldAtLeaseRead, m_heldWrites.size());
        for (const auto &feed : std::exchange(m_feeds, {}))
            answer(*feed, {});
    }

    static void answer(HttpResponder &responder, const std::string &row)
    {
        responder.send({200, {}, R"({"ver":1,"now_ms":1,"rows":[)" + row + "]}"});
    }

    static std::string configurationRow()
    {
        const std::string value
            = R"({"version":1,"services":[{"name":"pool"}],"limits":{},"routes":[{"name":"q",)"
              R"("hostname":"h.example","prefix":"/q/","backend":"pool","max_attempts":3}]})";
        std::string encoded(4 * ((value.size() + 2) / 3), '\0');
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(encoded.data()),
                        reinterpret_cast<const unsigned char *>(value.data()),
                        static_cast<int>(value.size()));
        return R"({"table":"op","key":"config","ver":1,"value":")" + encoded + R"("})";
    }

    std::mutex m_mutex;
    std::map<std::uint64_t, std::shared_ptr<HttpResponder>> m_heldWrites; ///< by serial number
    std::vector<std::shared_ptr<HttpResponder>> m_feeds; ///< answered at the next read of the lease
    std::size_t m_heldAtLeaseRead = 0;
    std::unique_ptr<HttpServer> m_server;
};

/// Submits a job, and submits the next one when the answer arrives.
void submitJobs(ClientPool &pool, const asio::ip::tcp::endpoint &process, std::uint64_t &count)
{
    RequestMessage message;
    message.method = "POST";
    message.target = "/q/" + std::to_string(1'000'000'000'000'000 + ++count);
    message.headers = {{"Host", "h.example"}, {"Deadline", "3000"}};
    message.body = R"({"spec":"x","steps":[{"count":1,"cpu":1,"mem_mb":1,"est_runtime_ms":1}]})";
    pool.exchange(process, ClientConnection::format(message), {3000ms, 0ms},
                  [&pool, process, &count](const Exchange &) { submitJobs(pool, process, count); });
}

} // namespace

TEST_CASE("The lease is read while calls for callers take all their connections to the store")
{
    // Guards against lease renewals and reads that wait behind the calls that answer callers: while
    // the store was slow, the scheduler lost its lease because of the load of callers.
    StoreThatHoldsJobs store;
    asio::io_context context(1);
    PlatformSettings settings;
    settings.host = "host";
    settings.store = {"127.0.0.1", store.port()};
    settings.callers = settings.readiness = {"127.0.0.1", 0};
    JobsProcess process(context, settings);
    process.start().value();
    const asio::ip::tcp::endpoint callers{asio::ip::make_address("127.0.0.1"),
                                          process.callerPort()};
    ClientPool pool(context, {500ms, callerConnections});
    std::uint64_t count = 0;
    for (unsigned caller = 0; caller < callerConnections; ++caller)
        submitJobs(pool, callers, count);

    constexpr std::size_t connections = 24; // for each purpose
    const auto end = std::chrono::steady_clock::now() + 15s;
    while (store.heldAtLeaseRead() < connections && std::chrono::steady_clock::now() < end) {
        context.run_for(10ms);
        context.restart();
    }
    CHECK(store.heldAtLeaseRead() >= connections);
}
