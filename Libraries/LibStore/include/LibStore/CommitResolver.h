#pragma once

#include <LibStore/CommitResolution.h>
#include <LibStore/Store.h>
#include <functional>

namespace Peridot {

/// Resolves commits with an unknown outcome by reading their rows back from the store.
class CommitResolver
{
public:
    using Callback = std::function<void(CommitResolution)>;

    explicit CommitResolver(Store &store) : m_store(store) { }

    /// Reads the rows of \a transaction once. A failed read gives Undecided.
    void resolve(const Transaction &transaction, Callback callback);

private:
    Store &m_store;
};

} // namespace Peridot
