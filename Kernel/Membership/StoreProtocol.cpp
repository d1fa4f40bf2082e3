#include <Kernel/Membership/StoreProtocol.h>

namespace Peridot {

std::optional<StoreRequest> StoreProtocol::takeRequest(TimePoint now)
{
    if (m_outstanding)
        return std::nullopt;
    auto request = nextRequest(now);
    m_outstanding = request.has_value();
    return request;
}

void StoreProtocol::finish(TimePoint now, const StoreReply &reply)
{
    m_outstanding = false;
    if (const auto *result = std::get_if<CommitResult>(&reply))
        committed(now, *result);
    else
        rowsRead(now, std::get<ReadResult>(reply));
}

} // namespace Peridot
