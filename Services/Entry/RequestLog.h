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

/// Log record of one finished request.
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

/// Writes one line for each finished request on a separate thread, because writing a line would
/// take several microseconds of the dispatcher thread. When recordLimit lines are waiting, further
/// ones are dropped and counted, and the count is logged.
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
