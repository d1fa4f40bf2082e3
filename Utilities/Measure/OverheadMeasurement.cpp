#include "Measurement.h"
#include "OverheadClient.h"
#include "ProcessUsage.h"
#include <LibHttp/ClientConnection.h>
#include <asio/io_context.hpp>
#include <charconv>
#include <iostream>
#include <map>
#include <thread>

namespace Peridot {

namespace {

constexpr unsigned idleConnections = 1000;
constexpr unsigned busyConnections = 200;
constexpr std::chrono::seconds settleTime{1}; ///< until the memory of new connections shows
constexpr const char *holdTime = "4000000"; ///< service time of busy connections, microseconds

using Arguments = std::map<std::string, std::string>;

/// The same client against a backend server directly and through one entry process. Both run
/// already; Meta/measure-overhead.sh starts them and passes the addresses and process ids.
class OverheadMeasurement : public Measurement
{
public:
    int run(const std::vector<std::string> &arguments) override
    {
        for (const auto &argument : arguments) {
            const auto equals = argument.find('=');
            if (equals != std::string::npos)
                m_arguments[argument.substr(0, equals)] = argument.substr(equals + 1);
        }
        for (const char *name : {"entry", "backend", "control", "entry_pid", "backend_pid"}) {
            if (m_arguments.count(name) == 0) {
                std::cerr << "overhead: missing " << name << "=...; run Meta/measure-overhead.sh\n";
                return 2;
            }
        }
        measureThroughput();
        measureLatency();
        measureMemory();
        return 0;
    }

private:
    asio::ip::tcp::endpoint endpoint(const std::string &name) const
    {
        const std::string &text = m_arguments.at(name);
        const auto colon = text.rfind(':');
        std::uint16_t port = 0;
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
        return {asio::ip::make_address(text.substr(0, colon)), port};
    }

    unsigned argument(const std::string &name, unsigned otherwise) const
    {
        const auto found = m_arguments.find(name);
        if (found == m_arguments.end())
            return otherwise;
        unsigned value = otherwise;
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
        return value;
    }

    OverheadLoad load(const std::string &server) const
    {
        OverheadLoad result;
        result.server = endpoint(server);
        result.connections = argument("connections", result.connections);
        result.threads = argument("client_threads", result.threads);
        result.duration = std::chrono::milliseconds(argument("milliseconds", 3000));
        return result;
    }

    /// Prints the throughput of a closed loop and the processor time of each process a request.
    double saturate(const std::string &server)
    {
        const double entryBefore = processorSeconds(m_arguments["entry_pid"]);
        const double backendBefore = processorSeconds(m_arguments["backend_pid"]);
        const double clientBefore = processorSeconds("self");
        const OverheadResult result = runOverheadLoad(load(server));
        const auto cost = [&](double before, const std::string &process) {
            // The warm-up is in the processor time but not in the count.
            const double counted = result.seconds / (result.seconds + 0.5);
            return (processorSeconds(process) - before) * counted * 1e6
                   / static_cast<double>(std::max<std::size_t>(result.latencies.size(), 1));
        };
        std::cout << "path=" << (server == "entry" ? "entry" : "direct")
                  << " load=full requests_per_s=" << result.throughput()
                  << " p50_us=" << result.percentile(0.5) << " p99_us=" << result.percentile(0.99)
                  << " failures=" << result.failures
                  << " entry_cpu_us=" << cost(entryBefore, m_arguments["entry_pid"])
                  << " backend_cpu_us=" << cost(backendBefore, m_arguments["backend_pid"])
                  << " client_cpu_us=" << cost(clientBefore, "self") << std::endl;
        return result.throughput();
    }

    void measureThroughput()
    {
        const double direct = saturate("backend");
        m_entryThroughput = saturate("entry");
        std::cout << "throughput_ratio=" << m_entryThroughput / direct << " target=0.5"
                  << std::endl;
    }

    OverheadResult half(const std::string &server)
    {
        OverheadLoad halfLoad = load(server);
        halfLoad.rate = m_entryThroughput / 2;
        OverheadResult result = runOverheadLoad(halfLoad);
        std::cout << "path=" << (server == "entry" ? "entry" : "direct")
                  << " load=half rate=" << halfLoad.rate
                  << " requests_per_s=" << result.throughput()
                  << " p50_us=" << result.percentile(0.5) << " p99_us=" << result.percentile(0.99)
                  << " failures=" << result.failures << std::endl;
        return result;
    }

    void measureLatency()
    {
        const OverheadResult direct = half("backend");
        const OverheadResult entry = half("entry");
        std::cout << "added_p50_us=" << entry.percentile(0.5) - direct.percentile(0.5)
                  << " target=150 added_p99_us=" << entry.percentile(0.99) - direct.percentile(0.99)
                  << " target=1000" << std::endl;
    }

    static std::string requestText(const std::string &method, const std::string &body)
    {
        RequestMessage request;
        request.method = method;
        request.target = method == "POST" ? "/control" : "/overhead/x";
        request.body = body;
        return ClientConnection::format(request);
    }

    void setServiceTime(const std::string &microseconds)
    {
        asio::io_context context;
        const auto connection = std::make_shared<ClientConnection>(context, endpoint("control"));
        connection->exchange(requestText("POST", "{\"service_time_us\":" + microseconds + '}'),
                             false, std::chrono::seconds(5),
                             [connection](const Exchange &) { connection->close(); });
        context.run();
    }

    void measureMemory()
    {
        const std::string &process = m_arguments["entry_pid"];
        asio::io_context context;
        const std::uint64_t before = residentBytes(process);
        std::vector<asio::ip::tcp::socket> idle;
        for (unsigned index = 0; index < idleConnections; ++index) {
            idle.emplace_back(context);
            idle.back().connect(endpoint("entry"));
        }
        std::this_thread::sleep_for(settleTime);
        const std::uint64_t withIdle = residentBytes(process);
        idle.clear();

        setServiceTime(holdTime);
        const std::uint64_t beforeBusy = residentBytes(process);
        std::uint64_t withBusy = 0;
        unsigned answered = 0;
        std::vector<std::shared_ptr<ClientConnection>> busy;
        for (unsigned index = 0; index < busyConnections; ++index) {
            busy.push_back(std::make_shared<ClientConnection>(context, endpoint("entry")));
            busy.back()->exchange(requestText("GET", {}), false, std::chrono::seconds(10),
                                  [&](const Exchange &exchange) {
                                      answered += exchange.response.status == 200 ? 1 : 0;
                                  });
        }
        asio::steady_timer timer(context, settleTime);
        timer.async_wait([&](const asio::error_code &) { withBusy = residentBytes(process); });
        context.run();
        setServiceTime("0");
        const auto bytesEach = [](std::uint64_t with, std::uint64_t without, unsigned count) {
            return with > without ? (with - without) / count : 0;
        };
        std::cout << "entry_resident_bytes=" << before
                  << " idle_connection_bytes=" << bytesEach(withIdle, before, idleConnections)
                  << " idle_connections=" << idleConnections
                  << " busy_connection_bytes=" << bytesEach(withBusy, beforeBusy, busyConnections)
                  << " busy_connections=" << busyConnections << " busy_answered=" << answered
                  << std::endl;
    }

    Arguments m_arguments;
    double m_entryThroughput = 0;
};

const PluginRegistrar<MeasurementRegistry> registrar("overhead", [] {
    return std::make_unique<OverheadMeasurement>();
});

} // namespace

} // namespace Peridot
