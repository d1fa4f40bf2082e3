#include <LibHttp/BackendClient.h>

#include "BackendTransfer.h"
#include <asio/post.hpp>

namespace Peridot {

namespace {

// Idle connections kept over all backend servers: 64 for each of about 50 servers.
constexpr long connectionCacheSize = 64L * 50;

} // namespace

BackendClient::BackendClient(asio::io_context &context, const BackendClientSettings &settings)
    : m_context(context), m_settings(settings),
      m_multi(context, [this](CURL *easy, CURLcode code) { finished(easy, code); })
{
    curl_multi_setopt(m_multi.handle(), CURLMOPT_MAXCONNECTS, connectionCacheSize);
    setMaximumConnectionsPerServer(settings.maximumConnectionsPerServer);
}

BackendClient::~BackendClient()
{
    for (const auto &transfer : m_transfers)
        m_multi.remove(transfer->handle());
}

void BackendClient::setMaximumConnectionsPerServer(long connections)
{
    curl_multi_setopt(m_multi.handle(), CURLMOPT_MAX_HOST_CONNECTIONS, connections);
}

void BackendClient::closeConnections()
{
    for (const auto &transfer : m_transfers)
        curl_easy_setopt(transfer->handle(), CURLOPT_FORBID_REUSE, 1L);
    m_multi.shutDownIdle();
}

void BackendClient::start(BackendRequest request, Callback callback)
{
    if (m_idle.empty()) {
        m_transfers.push_back(std::make_unique<BackendTransfer>(m_settings));
        m_idle.push_back(m_transfers.back().get());
    }
    BackendTransfer *transfer = m_idle.back();
    m_idle.pop_back();
    ++m_open;
    transfer->prepare(std::move(request), std::move(callback));
    if (!m_multi.add(transfer->handle())) {
        asio::post(m_context,
                   [this, transfer] { finished(transfer->handle(), CURLE_OUT_OF_MEMORY); });
    }
}

void BackendClient::finished(CURL *easy, CURLcode code)
{
    char *pointer = nullptr;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &pointer);
    auto *transfer = reinterpret_cast<BackendTransfer *>(pointer);
    BackendAnswer answer = transfer->finish(code);
    const Callback callback = transfer->takeCallback();
    m_idle.push_back(transfer);
    --m_open;
    callback(std::move(answer));
}

} // namespace Peridot
