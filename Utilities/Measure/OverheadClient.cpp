#include "OverheadClient.h"

#include <LibBase/Random.h>
#include <LibHttp/ClientConnection.h>
#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <thread>

namespace Peridot {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds requestTimeout{10};

/// The part of the load that one thread makes.
class ClientThread
{
public:
    ClientThread(const OverheadLoad &load, unsigned index)
        : m_load(load), m_random(index + 1), m_timer(m_context)
    {
        RequestMessage request;
        request.method = "GET";
        request.target = "/overhead/x";
        m_text = ClientConnection::format(request);
        const unsigned connections = std::max(load.connections / load.threads, 1U);
        for (unsigned number = 0; number < connections; ++number)
            m_idle.push_back(std::make_shared<ClientConnection>(m_context, load.server));
    }

    void run()
    {
        m_start = Clock::now() + m_load.warmUp;
        m_end = m_start + m_load.duration;
        if (m_load.rate > 0) {
            m_next = Clock::now();
            planNext();
        } else {
            while (!m_idle.empty())
                startOne(Clock::now());
        }
        m_context.run();
    }

    OverheadResult &result() { return m_result; }

private:
    void planNext()
    {
        const std::chrono::duration<double> gap(m_random.exponential(m_load.threads / m_load.rate));
        m_next += std::chrono::duration_cast<Clock::duration>(gap);
        if (m_next >= m_end)
            return;
        m_timer.expires_at(m_next);
        m_timer.async_wait([this](const asio::error_code &) {
            m_due.push_back(m_next);
            startDue();
            planNext();
        });
    }

    void startDue()
    {
        while (!m_due.empty() && !m_idle.empty()) {
            const Clock::time_point planned = m_due.front();
            m_due.pop_front();
            startOne(planned);
        }
    }

    void startOne(Clock::time_point planned)
    {
        const auto connection = m_idle.back();
        m_idle.pop_back();
        connection->exchange(m_text, false, requestTimeout,
                             [this, planned, connection](const Exchange &exchange) {
                                 finished(planned, exchange);
                                 m_idle.push_back(connection);
                                 if (m_load.rate > 0)
                                     startDue();
                                 else if (Clock::now() < m_end)
                                     startOne(Clock::now());
                             });
    }

    void finished(Clock::time_point planned, const Exchange &exchange)
    {
        const auto now = Clock::now();
        if (planned < m_start || now > m_end)
            return;
        if (exchange.end != ExchangeEnd::Complete || exchange.response.status != 200)
            ++m_result.failures;
        else
            m_result.latencies.push_back((now - planned).count());
    }

    const OverheadLoad &m_load;
    asio::io_context m_context{1};
    RandomSource m_random;
    asio::steady_timer m_timer;
    std::string m_text;
    std::vector<std::shared_ptr<ClientConnection>> m_idle;
    std::deque<Clock::time_point> m_due;
    Clock::time_point m_start;
    Clock::time_point m_end;
    Clock::time_point m_next;
    OverheadResult m_result;
};

} // namespace

double OverheadResult::percentile(double fraction) const
{
    if (latencies.empty())
        return 0;
    const auto rank
        = static_cast<std::size_t>(fraction * static_cast<double>(latencies.size() - 1));
    return static_cast<double>(latencies[rank]) / 1000.0;
}

OverheadResult runOverheadLoad(const OverheadLoad &load)
{
    std::vector<std::unique_ptr<ClientThread>> clients;
    std::vector<std::thread> threads;
    threads.reserve(load.threads);
    for (unsigned index = 0; index < load.threads; ++index)
        clients.push_back(std::make_unique<ClientThread>(load, index));
    for (auto &client : clients)
        threads.emplace_back([&client] { client->run(); });
    for (auto &thread : threads)
        thread.join();
    OverheadResult total;
    total.seconds = std::chrono::duration<double>(load.duration).count();
    for (auto &client : clients) {
        auto &part = client->result();
        total.failures += part.failures;
        total.latencies.insert(total.latencies.end(), part.latencies.begin(), part.latencies.end());
    }
    std::sort(total.latencies.begin(), total.latencies.end());
    return total;
}

} // namespace Peridot
