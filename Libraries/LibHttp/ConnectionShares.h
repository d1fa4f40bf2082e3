#pragma once

#include <optional>
#include <vector>

namespace Peridot {

/// Divides the connections of one backend server over the transport threads. Each thread holds a
/// fixed part, because an idle connection stays in the libcurl handle of its thread and still
/// counts towards the limit of the backend server. The parts sum up to the limit, so a thread with
/// a free connection exists whenever fewer transfers than the limit are open.
class ConnectionShares
{
public:
    /// \a rotation selects the threads that get the remainder of the division. It differs between
    /// backend servers, so that servers with few connections use different threads.
    ConnectionShares(unsigned threads, unsigned rotation);

    /// A limit below the number of open transfers holds as soon as enough of them have ended.
    void setLimit(unsigned connections) { m_limit = connections; }
    unsigned share(unsigned thread) const;

    /// Returns the thread with the fewest open transfers of this server among those with a free
    /// connection, or nothing. Ties go to the fewest in \a openByThread, which counts all servers.
    std::optional<unsigned> choose(const std::vector<unsigned> &openByThread) const;
    void opened(unsigned thread);
    void ended(unsigned thread);
    unsigned openTransfers() const { return m_openTotal; }

private:
    unsigned m_limit = 0;
    unsigned m_rotation;
    unsigned m_openTotal = 0;
    std::vector<unsigned> m_open; ///< by thread
};

} // namespace Peridot
