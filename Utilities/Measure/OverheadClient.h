#pragma once

#include <asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Peridot {

struct OverheadLoad
{
    asio::ip::tcp::endpoint server;
    unsigned connections = 64;
    unsigned threads = 2;
    double rate = 0; ///< requests a second; 0: closed loop, as fast as they are answered
    std::chrono::milliseconds warmUp{500}; ///< not counted
    std::chrono::milliseconds duration{3000};
};

struct OverheadResult
{
    std::vector<std::int64_t> latencies; ///< nanoseconds, sorted
    std::uint64_t failures = 0; ///< not a whole answer with status 200
    double seconds = 0;

    double throughput() const { return static_cast<double>(latencies.size()) / seconds; }
    /// Microseconds.
    double percentile(double fraction) const;
};

/// Sends idempotent requests and measures their latency. With a rate, requests start at random
/// times (exponential gaps) and the latency counts from the planned start, so that a slow answer
/// does not hide the wait of the requests behind it.
OverheadResult runOverheadLoad(const OverheadLoad &load);

} // namespace Peridot
