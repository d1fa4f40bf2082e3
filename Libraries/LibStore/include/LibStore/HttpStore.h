#pragma once

#include <LibStore/HttpChannel.h>
#include <LibStore/Store.h>
#include <memory>

namespace Peridot {

/// Table service over HTTP. Calls do not block; callbacks run where the channel runs them. A commit
/// is sent at most once: it is Unavailable when no byte was sent or the service states that it was
/// not applied, and Unknown in every other case without a whole, valid answer.
class HttpStore : public Store
{
public:
    explicit HttpStore(HttpChannelSettings settings, CallbackExecutor executor = {});
    /// Shares a channel, for example with a PlatformClient.
    explicit HttpStore(std::shared_ptr<HttpChannel> channel);

    void commit(const Transaction &transaction, CommitCallback callback) override;
    void read(const std::vector<std::string> &keys, ReadCallback callback) override;
    void scan(const std::string &prefix, const std::string &startAfter, std::size_t limit,
              ReadCallback callback) override;

private:
    std::shared_ptr<HttpChannel> m_channel;
};

} // namespace Peridot
