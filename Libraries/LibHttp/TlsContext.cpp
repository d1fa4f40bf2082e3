#include "TlsContext.h"

namespace Peridot {

Result<TlsContext> loadTlsContext(const TlsSettings &settings)
{
    auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    // Renegotiation would let a caller make the server repeat handshakes on one connection.
    context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1
                         | asio::ssl::context::no_tlsv1_1 | SSL_OP_NO_RENEGOTIATION);
    asio::error_code error;
    // The key comes first: OpenSSL refuses a key that does not match the certificate as if it were
    // unreadable, but lets a certificate replace one that does not match the key.
    context->use_private_key_file(settings.keyFile, asio::ssl::context::pem, error);
    if (error)
        return makeError(ErrorCode::FileUnreadable, settings.keyFile, error.message());
    context->use_certificate_chain_file(settings.certificateFile, error);
    if (error)
        return makeError(ErrorCode::FileUnreadable, settings.certificateFile, error.message());
    if (SSL_CTX_check_private_key(context->native_handle()) != 1)
        return makeError(ErrorCode::InvalidValue, settings.keyFile,
                         "the key does not belong to the certificate");
    return context;
}

} // namespace Peridot
