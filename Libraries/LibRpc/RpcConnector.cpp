#include "RpcConnector.h"

#include <arpa/inet.h>
#include <cstring>
#include <fstream>
#include <netinet/in.h>
#include <sstream>
#include <vector>

namespace Peridot {

namespace {

constexpr unsigned idleSeconds = 30;

/// Body of a request while it arrives, then the answer.
struct Exchange
{
    std::string body;
    bool tooLarge = false;
    std::string response;
};

bool readFile(const std::string &path, std::string &text)
{
    std::ifstream file(path);
    std::ostringstream content;
    content << file.rdbuf();
    text = content.str();
    return file.good() && !text.empty();
}

} // namespace

RpcServer::Connector::Connector(RpcServerSettings settings, PageHandler pages)
    : m_settings(std::move(settings)), m_pages(std::move(pages))
{
}

RpcServer::Connector::~Connector()
{
    StopListening();
}

bool RpcServer::Connector::readCertificate(Certificate &certificate) const
{
    if (m_settings.certificateFile.empty())
        return true;
    return readFile(m_settings.certificateFile, certificate.chain)
           && readFile(m_settings.keyFile, certificate.key);
}

MHD_Daemon *RpcServer::Connector::startDaemon(const Certificate &certificate, std::uint16_t port)
{
    sockaddr_in address;
    std::memset(&address, 0, sizeof address);
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, m_settings.address.c_str(), &address.sin_addr) != 1)
        return nullptr;
    unsigned flags = MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    std::vector<MHD_OptionItem> tls;
    if (!certificate.chain.empty()) {
        flags |= MHD_USE_TLS;
        tls.push_back({MHD_OPTION_HTTPS_MEM_CERT, 0, const_cast<char *>(certificate.chain.data())});
        tls.push_back({MHD_OPTION_HTTPS_MEM_KEY, 0, const_cast<char *>(certificate.key.data())});
    }
    tls.push_back({MHD_OPTION_END, 0, nullptr});
    return MHD_start_daemon(
        flags, 0, nullptr, nullptr, &Connector::handle, this, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_THREAD_POOL_SIZE, m_settings.threads, MHD_OPTION_CONNECTION_LIMIT,
        m_settings.connectionLimit, MHD_OPTION_CONNECTION_TIMEOUT, idleSeconds,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_NOTIFY_COMPLETED, &Connector::completed,
        this, MHD_OPTION_ARRAY, tls.data(), MHD_OPTION_END);
}

bool RpcServer::Connector::StartListening()
{
    if (!readCertificate(m_certificate))
        return false;
    m_daemon = startDaemon(m_certificate, m_settings.port);
    return m_daemon != nullptr;
}

bool RpcServer::Connector::reloadCertificate()
{
    if (m_settings.certificateFile.empty() || m_daemon == nullptr)
        return true;
    Certificate fresh;
    if (!readCertificate(fresh))
        return false;
    // The library takes a certificate only when it starts. A trial on a port of its own shows
    // whether the files are usable before the running server ends.
    MHD_Daemon *trial = startDaemon(fresh, 0);
    if (trial == nullptr)
        return false;
    MHD_stop_daemon(trial);
    const std::uint16_t boundPort = port();
    StopListening();
    m_certificate = fresh;
    m_daemon = startDaemon(m_certificate, boundPort);
    return m_daemon != nullptr;
}

bool RpcServer::Connector::StopListening()
{
    if (m_daemon != nullptr)
        MHD_stop_daemon(m_daemon);
    m_daemon = nullptr;
    return true;
}

std::uint16_t RpcServer::Connector::port() const
{
    const MHD_DaemonInfo *info
        = m_daemon ? MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_BIND_PORT) : nullptr;
    return info ? info->port : 0;
}

bool RpcServer::Connector::SendResponse(const std::string &response, void *addInfo)
{
    static_cast<Exchange *>(addInfo)->response = response;
    return true;
}

MHD_Result RpcServer::Connector::answer(MHD_Connection *connection, const RpcPage &page) const
{
    MHD_Response *response = MHD_create_response_from_buffer(
        page.body.size(), const_cast<char *>(page.body.data()), MHD_RESPMEM_MUST_COPY);
    if (response == nullptr)
        return MHD_NO;
    MHD_add_response_header(response, "Content-Type", page.contentType.c_str());
    const MHD_Result result
        = MHD_queue_response(connection, static_cast<unsigned>(page.status), response);
    MHD_destroy_response(response);
    return result;
}

RpcPage RpcServer::Connector::pageFor(const std::string &url) const
{
    // An exception must not pass through the C code of the library.
    try {
        return m_pages(url);
    } catch (const std::exception &exception) {
        return RpcPage{500, "text/plain", exception.what()};
    }
}

MHD_Result RpcServer::Connector::handle(void *connector, MHD_Connection *connection,
                                        const char *url, const char *method, const char *,
                                        const char *data, std::size_t *size, void **state)
{
    auto *self = static_cast<Connector *>(connector);
    if (*state == nullptr) {
        *state = new Exchange;
        return MHD_YES;
    }
    auto *exchange = static_cast<Exchange *>(*state);
    if (*size != 0) {
        if (exchange->body.size() + *size > self->m_settings.bodyLimit)
            exchange->tooLarge = true;
        else
            exchange->body.append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (std::strcmp(method, "GET") == 0)
        return self->answer(connection, self->pageFor(url));
    if (std::strcmp(method, "POST") != 0)
        return self->answer(connection, RpcPage{405, "text/plain", "method not allowed\n"});
    if (exchange->tooLarge)
        return self->answer(connection, RpcPage{413, "text/plain", "request too large\n"});
    try {
        self->OnRequest(exchange->body, exchange);
    } catch (const std::exception &) {
        return self->answer(connection, RpcPage{400, "text/plain", "bad request\n"});
    }
    return self->answer(connection, RpcPage{200, "application/json", exchange->response});
}

void RpcServer::Connector::completed(void *, MHD_Connection *, void **state,
                                     MHD_RequestTerminationCode)
{
    delete static_cast<Exchange *>(*state);
    *state = nullptr;
}

} // namespace Peridot
