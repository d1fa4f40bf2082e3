#pragma once

#include <LibStore/Transaction.h>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Peridot {

/// The platform's transactional table service. Calls do not block; each callback runs exactly once,
/// on the thread that drives the implementation. One revision counter covers the whole table: the
/// version of every row a transaction writes is that transaction's revision, so versions never
/// repeat, not even after a row was deleted and created again.
class Store
{
public:
    using CommitCallback = std::function<void(const CommitResult &)>;
    using ReadCallback = std::function<void(const ReadResult &)>;

    virtual ~Store() = default;

    virtual void commit(const Transaction &transaction, CommitCallback callback) = 0;

    /// Reads the rows with these keys as one consistent snapshot.
    virtual void read(const std::vector<std::string> &keys, ReadCallback callback) = 0;

    /// Reads up to \a limit rows whose keys start with \a prefix and follow \a startAfter.
    virtual void scan(const std::string &prefix, const std::string &startAfter, std::size_t limit,
                      ReadCallback callback)
        = 0;
};

} // namespace Peridot
