#pragma once

#include <LibRpc/RpcServer.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <microhttpd.h>

namespace Peridot {

/// HTTP side of RpcServer on libmicrohttpd. The connector of libjsonrpccpp binds all addresses of
/// the host and answers every GET with a fixed text, so it is not used.
class RpcServer::Connector : public jsonrpc::AbstractServerConnector
{
public:
    Connector(RpcServerSettings settings, PageHandler pages);
    ~Connector() override;

    bool StartListening() override;
    bool StopListening() override;
    bool SendResponse(const std::string &response, void *addInfo) override;
    bool reloadCertificate();
    std::uint16_t port() const;

private:
    struct Certificate
    {
        std::string chain; ///< PEM; empty: plain HTTP
        std::string key;
    };

    MHD_Daemon *startDaemon(const Certificate &certificate, std::uint16_t port);
    bool readCertificate(Certificate &certificate) const;

    static MHD_Result handle(void *connector, MHD_Connection *connection, const char *url,
                             const char *method, const char *version, const char *data,
                             std::size_t *size, void **state);
    static void completed(void *connector, MHD_Connection *connection, void **state,
                          MHD_RequestTerminationCode code);
    MHD_Result answer(MHD_Connection *connection, const RpcPage &page) const;
    RpcPage pageFor(const std::string &url) const;

    RpcServerSettings m_settings;
    PageHandler m_pages;
    Certificate m_certificate;
    MHD_Daemon *m_daemon = nullptr;
};

} // namespace Peridot
