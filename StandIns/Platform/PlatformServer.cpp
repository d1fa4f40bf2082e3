#include "PlatformServer.h"

#include <LibStore/PercentEncoding.h>
#include <asio/steady_timer.hpp>
#include <restinio/all.hpp>

namespace Peridot {

namespace {

// Precision of delays and worker timings.
constexpr auto tickInterval = std::chrono::milliseconds(5);
constexpr auto connectionTimeout = std::chrono::minutes(10);
constexpr std::size_t bodyLimit = 64U << 20U;
// Length that a dropped answer announces; the connection closes before it is complete.
constexpr std::size_t droppedAnswerLength = 1000;

struct ServerTraits : restinio::default_single_thread_traits_t
{
    using request_handler_t
        = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
};

using Server = restinio::http_server_t<ServerTraits>;

TimePoint currentTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

PlatformRequest toPlatformRequest(const restinio::request_t &request)
{
    PlatformRequest result;
    result.method = request.header().method().c_str();
    const std::string path(request.header().path());
    // A malformed escape leaves the path empty, which no call has.
    if (const auto decoded = percentDecode(path))
        result.path = *decoded;
    result.body = request.body();
    result.instance = request.header().get_field_or("Peridot-Instance", std::string());
    return result;
}

void sendAnswer(const restinio::request_handle_t &request, const PlatformAnswer &answer)
{
    const restinio::http_status_line_t status{
        restinio::http_status_code_t(static_cast<std::uint16_t>(answer.status)), "Status"};
    auto response = request->create_response(status);
    response.append_header(restinio::http_field::content_type, "application/json");
    if (answer.retryAfter > Duration(0))
        response.append_header(
            restinio::http_field::retry_after,
            std::to_string(std::chrono::ceil<std::chrono::seconds>(answer.retryAfter).count()));
    response.set_body(answer.body);
    response.done();
}

void dropAnswer(const restinio::request_handle_t &request)
{
    auto response = request->create_response<restinio::user_controlled_output_t>();
    response.set_content_length(droppedAnswerLength);
    response.connection_close();
    response.done();
}

} // namespace

class PlatformServer::Implementation
{
public:
    Implementation(asio::io_context &context, Platform &platform)
        : m_context(context), m_platform(platform), m_timer(context)
    {
    }

    Result<std::uint16_t> open(const std::string &address, std::uint16_t port)
    {
        std::uint16_t actualPort = port;
        try {
            m_server = std::make_unique<Server>(
                restinio::external_io_context(m_context), [&](auto &settings) {
                    settings.address(address)
                        .port(port)
                        .acceptor_post_bind_hook([&](asio::ip::tcp::acceptor &acceptor) {
                            actualPort = acceptor.local_endpoint().port();
                        })
                        .handle_request_timeout(connectionTimeout)
                        .read_next_http_message_timelimit(connectionTimeout)
                        .write_http_response_timelimit(connectionTimeout)
                        .incoming_http_msg_limits(
                            restinio::incoming_http_msg_limits_t{}.max_body_size(bodyLimit))
                        .request_handler([this](const restinio::request_handle_t &request) {
                            return handle(request);
                        });
                });
            m_server->open_sync();
        } catch (const std::exception &exception) {
            return makeError(ErrorCode::ConnectionFailed, address + ":" + std::to_string(port),
                             exception.what());
        }
        scheduleTick();
        return actualPort;
    }

    void close()
    {
        m_timer.cancel();
        if (m_server)
            m_server->close_sync();
    }

private:
    restinio::request_handling_status_t handle(const restinio::request_handle_t &request)
    {
        m_platform.handle(currentTime(), toPlatformRequest(*request),
                          [request](const PlatformAnswer &answer) {
                              if (answer.drop)
                                  dropAnswer(request);
                              else
                                  sendAnswer(request, answer);
                          });
        return restinio::request_accepted();
    }

    void scheduleTick()
    {
        m_timer.expires_after(tickInterval);
        m_timer.async_wait([this](const asio::error_code &error) {
            if (error)
                return;
            m_platform.tick(currentTime());
            scheduleTick();
        });
    }

    asio::io_context &m_context;
    Platform &m_platform;
    asio::steady_timer m_timer;
    std::unique_ptr<Server> m_server;
};

PlatformServer::PlatformServer(asio::io_context &context, Platform &platform)
    : m_implementation(std::make_unique<Implementation>(context, platform))
{
}

PlatformServer::~PlatformServer() = default;

Result<std::uint16_t> PlatformServer::open(const std::string &address, std::uint16_t port)
{
    return m_implementation->open(address, port);
}

void PlatformServer::close()
{
    m_implementation->close();
}

} // namespace Peridot
