#pragma once

#include <LibBase/Time.h>
#include <LibStore/Transaction.h>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Peridot {

struct ReadRows
{
    std::vector<std::string> keys;
};

struct ScanRows
{
    std::string prefix;
    std::string startAfter;
    std::size_t limit = 1000;
};

using StoreRequest = std::variant<Transaction, ReadRows, ScanRows>;
using StoreReply = std::variant<CommitResult, ReadResult>;

/// Base class of the protocols on the table service, with at most one outstanding request each. The
/// owner takes the next request, performs it and passes in the reply; the protocol itself does no
/// input or output.
class StoreProtocol
{
public:
    virtual ~StoreProtocol() = default;

    /// Next request, or nothing while one is outstanding or none is due.
    std::optional<StoreRequest> takeRequest(TimePoint now);
    /// Reply to the request that takeRequest() returned last.
    void finish(TimePoint now, const StoreReply &reply);

    /// Whether no request is outstanding.
    bool idle() const { return !m_outstanding; }

protected:
    virtual std::optional<StoreRequest> nextRequest(TimePoint now) = 0;
    virtual void committed(TimePoint now, const CommitResult &result) = 0;
    virtual void rowsRead(TimePoint now, const ReadResult &result) = 0;

private:
    bool m_outstanding = false;
};

} // namespace Peridot
