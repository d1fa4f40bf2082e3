#pragma once

#include <LibBase/Time.h>
#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Peridot {

/// One finished request, as it is logged.
struct RequestRecord
{
    std::string requestId;
    std::string service;
    std::string backendServer;
    std::string_view outcome; ///< from a name table
    std::string_view reason; ///< from a name table
    int status = 0;
    unsigned attempts = 0;
    Duration duration{0};
};

/// Writes one line per finished request from a thread of its own, because writing a line takes
/// several microseconds of the dispatcher. When the thread falls behind by recordLimit lines,
/// further ones are counted and dropped, and the count is logged.
class RequestLog
{
public:
    static constexpr std::size_t recordLimit = 50000;

    explicit RequestLog(bool enabled);
    ~RequestLog();
    RequestLog(const RequestLog &) = delete;
    RequestLog &operator=(const RequestLog &) = delete;

    void add(RequestRecord record);

private:
    void run();

    const bool m_enabled;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<RequestRecord> m_records;
    std::uint64_t m_dropped = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace Peridot
