#pragma once

#include <LibBase/Time.h>
#include <LibStore/Store.h>
#include <LibStore/StorePacer.h>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

namespace Peridot {

/// Fleet processes use the store for membership and for planning, entry processes for membership
/// and host rows. The control part of the limits is divided evenly over these users.
constexpr std::size_t storeUsersPerProcess = 2;

/// Store that keeps the calls of this process within its share of the limits of the table service.
/// Calls wait in one queue for writes and one for reads. Used on the thread of the context only,
/// where the inner store must run its callbacks as well.
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
    asio::steady_timer m_timer;
    std::deque<Call> m_writes;
    std::deque<Call> m_reads;
    std::uint64_t m_readCount = 0;
    std::uint64_t m_writeCount = 0;
};

} // namespace Peridot
