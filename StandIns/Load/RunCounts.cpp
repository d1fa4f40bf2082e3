#include "RunCounts.h"

#include <LibBase/Json.h>
#include <LibHttp/ClientConnection.h>
#include <asio/io_context.hpp>
#include <sstream>

namespace Peridot {

namespace {

constexpr std::chrono::seconds controlTimeout{30};

Result<Json::Value> readCounts(const asio::ip::tcp::endpoint &control)
{
    asio::io_context context;
    const auto connection = std::make_shared<ClientConnection>(context, control);
    Exchange result;
    RequestMessage request;
    request.method = "GET";
    request.target = "/control/runs";
    connection->exchange(ClientConnection::format(request), false, controlTimeout,
                         [&](Exchange exchange) {
                             result = std::move(exchange);
                             connection->close();
                         });
    context.run();
    if (result.end != ExchangeEnd::Complete || result.response.status != 200) {
        std::ostringstream address;
        address << control;
        return makeError(ErrorCode::ConnectionFailed, address.str(),
                         std::string(exchangeEndNames.nameOf(result.end)));
    }
    return parseJson(result.response.body);
}

} // namespace

Result<std::map<std::string, std::uint64_t>> readRunCounts(const LoadSettings &settings)
{
    std::map<std::string, std::uint64_t> total;
    for (const auto &control : settings.backendControls) {
        BOOST_LEAF_AUTO(counts, readCounts(control));
        const Json::Value &runs = counts["runs"];
        for (const auto &id : runs.getMemberNames())
            total[id] += runs[id].asUInt64();
    }
    return total;
}

} // namespace Peridot
