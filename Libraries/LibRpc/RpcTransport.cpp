#include "RpcTransport.h"

#include <jsonrpccpp/common/errors.h>
#include <utility>

namespace Peridot {

namespace {

std::size_t append(char *data, std::size_t size, std::size_t count, void *text)
{
    static_cast<std::string *>(text)->append(data, size * count);
    return size * count;
}

} // namespace

RpcTransport::RpcTransport(RpcClientSettings settings)
    : m_settings(std::move(settings)), m_easy(curl_easy_init()),
      m_headers(curl_slist_append(nullptr, "Content-Type: application/json"))
{
}

RpcTransport::~RpcTransport()
{
    curl_easy_cleanup(m_easy);
    curl_slist_free_all(m_headers);
}

void RpcTransport::SendRPCMessage(const std::string &message,
                                  std::string &result) throw(jsonrpc::JsonRpcException)
{
    curl_easy_reset(m_easy);
    curl_easy_setopt(m_easy, CURLOPT_URL, m_settings.url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS, m_settings.timeoutMilliseconds);
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, curl_off_t(message.size()));
    curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, message.data());
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, append);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, &result);
    if (!m_settings.authorityFile.empty())
        curl_easy_setopt(m_easy, CURLOPT_CAINFO, m_settings.authorityFile.c_str());
    const CURLcode code = curl_easy_perform(m_easy);
    if (code != CURLE_OK)
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                        curl_easy_strerror(code));
}

} // namespace Peridot
