#include <StandIns/Listen.h>

namespace Peridot {

Result<void> listen(asio::ip::tcp::acceptor &acceptor, const asio::ip::tcp::endpoint &endpoint,
                    const std::string &field)
{
    asio::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return makeError(ErrorCode::ConnectionFailed, field, error.message());
    return {};
}

} // namespace Peridot
