#pragma once

#include <LibBase/OneShotTimer.h>
#include <LibBase/Time.h>
#include <LibStore/Store.h>
#include <LibStore/StorePacer.h>
#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

namespace Peridot {

/// Number of uses of the store in each process, over which the limits of controlPacing() are
/// divided evenly: fleet processes use it for membership and for planning, entry processes for
/// membership and host rows.
constexpr std::size_t storeUsersPerProcess = 2;

/// Store that limits the rate of calls to its share of the limits of the table service. Calls wait
/// in one queue for writes and one for reads. Used only on the thread of the context, on which the
/// inner store must run its callbacks.
class PacedStore : public Store
{
public:
    PacedStore(asio::io_context &context, Store &inner, const StorePacerSettings &settings,
               std::uint64_t seed, std::function<TimePoint()> clock);
    PacedStore(asio::io_context &context, std::unique_ptr<Store> inner,
               const StorePacerSettings &settings, std::uint64_t seed,
               std::function<TimePoint()> clock);

    void commit(const Transaction &transaction, CommitCallback callback) override;
    void read(const std::vector<std::string> &keys, ReadCallback callback) override;
    void scan(const std::string &prefix, const std::string &startAfter, std::size_t limit,
              ReadCallback callback) override;

    void setProcesses(std::size_t processes);
    std::uint64_t reads() const { return m_readCount; }
    std::uint64_t writes() const { return m_writeCount; }

private:
    struct Call
    {
        std::size_t rows = 1;
        std::function<void()> send;
    };

    void enqueue(std::deque<Call> &queue, Call call, const std::function<void()> &refuse);
    void pump();
    ReadCallback observed(ReadCallback callback);
    void finished(bool success);

    asio::io_context &m_context;
    std::unique_ptr<Store> m_owned;
    Store &m_inner;
    StorePacer m_pacer;
    std::function<TimePoint()> m_clock;
    OneShotTimer m_timer;
    std::deque<Call> m_writes;
    std::deque<Call> m_reads;
    std::uint64_t m_readCount = 0;
    std::uint64_t m_writeCount = 0;
};

} // namespace Peridot
