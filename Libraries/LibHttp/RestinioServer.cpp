#include <LibHttp/HttpServer.h>

#include "ConnectionLog.h"
#include "ConnectionTable.h"
#include "RefusingSocket.h"
#include <atomic>
#include <http_parser.h>
#include <optional>
#include <restinio/all.hpp>
#include <thread>

namespace Peridot {

namespace {

// The handler decides about deadlines; RESTinio must not close a connection under it.
constexpr std::chrono::hours handlingLimit{24};
constexpr std::chrono::seconds writeLimit{30};
// A second pipelined request keeps a read pending, so that a caller that leaves is noticed.
constexpr std::size_t pipelinedRequests = 2;
// Connections beyond the limit of the budget for the time until those that it closed are gone.
constexpr std::size_t closingConnections = 16;
// With a budget. The operating system doubles it, and would otherwise let a buffer grow to some MB,
// which count as memory of the host.
constexpr int socketBufferBytes = 32 * 1024;
constexpr std::size_t responseOverhead = 512; ///< bytes of the status line and the usual headers

class ConnectionListener
{
public:
    ConnectionListener(std::shared_ptr<ConnectionTable> table,
                       std::function<void(std::uint64_t)> onAbandoned)
        : m_table(std::move(table)), m_onAbandoned(std::move(onAbandoned))
    {
    }

    // NOLINTNEXTLINE(readability-identifier-naming): name required by RESTinio
    void state_changed(const restinio::connection_state::notice_t &notice)
    {
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
            m_table->connectionOpened();
            return;
        }
        for (const auto serial : m_table->connectionClosed(notice.connection_id())) {
            if (m_onAbandoned)
                m_onAbandoned(serial);
        }
    }

private:
    std::shared_ptr<ConnectionTable> m_table;
    std::function<void(std::uint64_t)> m_onAbandoned;
};

struct ServerTraits : restinio::traits_t<restinio::asio_timer_manager_t, ConnectionLog,
                                         restinio::details::autodetect_request_handler_type,
                                         restinio::default_strand_t, RefusingSocket>
{
    static constexpr bool use_connection_count_limiter // NOLINT(readability-identifier-naming)
        = true;
    using connection_state_listener_t = ConnectionListener;
};

/// What one request uses of the budget of its server.
struct RequestBudget
{
    std::shared_ptr<InputBudget> budget; ///< null: the server has none
    InputBudget::ServerId server = 0;
    std::uint64_t connection = 0;
    std::unique_ptr<InputBudget::RequestCharge> charge; ///< null: refused

    bool refused() const { return budget && !charge; }
    void answerQueued(std::size_t bytes) const
    {
        if (budget)
            budget->answerQueued(server, connection, bytes);
    }
};

class RestinioResponder : public HttpResponder
{
public:
    /// The connection of \a request belongs to \a server, which is kept as long.
    RestinioResponder(std::shared_ptr<const void> server, restinio::request_handle_t request,
                      std::shared_ptr<ConnectionTable> table, std::uint64_t serial,
                      RequestBudget budget)
        : m_server(std::move(server)), m_request(std::move(request)), m_table(std::move(table)),
          m_serial(serial), m_budget(std::move(budget))
    {
        m_table->responsePending();
    }

    ~RestinioResponder() override
    {
        if (m_sent)
            return;
        m_table->responseWritten();
        m_budget.answerQueued(0);
    }

    void send(ResponseMessage response) override
    {
        if (m_sent.exchange(true))
            return;
        m_table->requestFinished(m_request->connection_id(), m_serial);
        const std::size_t bytes = response.body.size() + responseOverhead;
        m_budget.answerQueued(bytes);
        const auto code = static_cast<std::uint16_t>(response.status);
        auto builder = m_request->create_response(restinio::http_status_line_t{
            restinio::http_status_code_t{code}, std::string(reasonPhrase(response.status))});
        for (auto &header : response.headers)
            builder.append_header(std::move(header.name), std::move(header.value));
        if (response.closeConnection || !m_request->header().should_keep_alive())
            builder.connection_close();
        else
            builder.connection_keep_alive();
        builder.set_body(std::move(response.body));
        builder.done([table = m_table, budget = m_budget.budget, server = m_budget.server,
                      connection = m_request->connection_id(), bytes](const auto &) {
            table->responseWritten();
            if (budget)
                budget->answerWritten(server, connection, bytes);
        });
        m_request.reset();
    }

private:
    std::shared_ptr<const void> m_server; ///< destroyed after m_request
    std::atomic<bool> m_sent{false};
    restinio::request_handle_t m_request;
    std::shared_ptr<ConnectionTable> m_table;
    std::uint64_t m_serial;
    RequestBudget m_budget;
};

class ServerContext : public asio::io_context
{
public:
    void destroyHandlers() { shutdown(); }
};

class RestinioServer : public std::enable_shared_from_this<RestinioServer>
{
public:
    RestinioServer(const HttpServerSettings &settings, HttpServerHooks hooks)
        : m_settings(settings), m_hooks(std::move(hooks)),
          m_table(std::make_shared<ConnectionTable>())
    {
        if (!m_hooks.onInputFault)
            m_hooks.onInputFault = plainRefusal;
        auto &refusals = asio::use_service<RefusalService>(m_context);
        refusals.format = formatRefusal();
        refusals.budget = m_settings.budget;
        if (m_settings.budget)
            refusals.serverId = m_serverId
                = m_settings.budget->addServer(m_settings.maximumConnections);
        asio::use_service<TlsService>(m_context).handshakeLimit = m_settings.readTimeout;
    }

    ~RestinioServer()
    {
        stop();
        // The connections belong to handlers of the context and refer to the server, so that they
        // are destroyed before it.
        m_context.destroyHandlers();
    }

    Result<void> open()
    {
        BOOST_LEAF_CHECK(reloadCertificate());
        http_parser_set_max_header_size(HttpServer::headerBlockLimit);
        asio::error_code addressError;
        const auto address = asio::ip::make_address(m_settings.address, addressError);
        if (addressError)
            return makeError(ErrorCode::InvalidValue, m_settings.address, addressError.message());
        try {
            m_server.emplace(restinio::external_io_context(m_context), serverSettings(address));
            m_server->open_sync();
        } catch (const std::exception &exception) {
            return makeError(ErrorCode::ConnectionFailed,
                             m_settings.address + ':' + std::to_string(m_settings.port),
                             exception.what());
        }
        for (std::size_t index = 0; index < m_settings.threads; ++index)
            m_threads.emplace_back([this] { m_context.run(); });
        return {};
    }

    std::uint16_t port() const { return m_port; }
    const ConnectionTable &connections() const { return *m_table; }

    Result<void> reloadCertificate()
    {
        if (!m_settings.tls)
            return {};
        BOOST_LEAF_AUTO(context, loadTlsContext(*m_settings.tls));
        asio::use_service<TlsService>(m_context).setContext(std::move(context));
        return {};
    }

    void closeListener()
    {
        m_server->close_async([] {}, [](const std::exception_ptr &) {});
    }

    void stop()
    {
        m_context.stop();
        for (auto &thread : m_threads)
            thread.join();
        m_threads.clear();
    }

private:
    std::function<std::string(InputFault, const std::string &)> formatRefusal()
    {
        return [this](InputFault fault, const std::string &detail) {
            return formatClosingResponse(m_hooks.onInputFault(fault, detail));
        };
    }

    restinio::server_settings_t<ServerTraits> serverSettings(const asio::ip::address &address)
    {
        restinio::server_settings_t<ServerTraits> settings;
        settings.port(m_settings.port)
            .protocol(address.is_v6() ? asio::ip::tcp::v6() : asio::ip::tcp::v4())
            .address(address)
            .logger(m_table, formatRefusal())
            .connection_state_listener(
                std::make_shared<ConnectionListener>(m_table, m_hooks.onAbandoned))
            .acceptor_options_setter([](restinio::acceptor_options_t &options) {
                options.set_option(asio::ip::tcp::acceptor::reuse_address(true));
            })
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor &acceptor) {
                m_port = acceptor.local_endpoint().port();
            })
            .socket_options_setter([this](restinio::socket_options_t &options) {
                options.set_option(asio::ip::tcp::no_delay{true});
                if (!m_settings.budget)
                    return;
                options.set_option(asio::socket_base::receive_buffer_size{socketBufferBytes});
                options.set_option(asio::socket_base::send_buffer_size{socketBufferBytes});
            })
            .max_parallel_connections(m_settings.maximumConnections
                                      + (m_settings.budget ? closingConnections : 0))
            // RESTinio numbers connections with a plain counter. One accept at a time that also
            // creates the connection keeps two threads from changing it at once.
            .concurrent_accepts_count(1)
            .separate_accept_and_create_connect(false)
            .max_pipelined_requests(pipelinedRequests)
            .read_next_http_message_timelimit(m_settings.readTimeout)
            .write_http_response_timelimit(writeLimit)
            .handle_request_timeout(handlingLimit)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                          .max_url_size(HttpServer::headerBlockLimit)
                                          .max_field_name_size(HttpServer::headerBlockLimit)
                                          .max_field_value_size(HttpServer::headerBlockLimit)
                                          .max_field_count(m_settings.maximumHeaders)
                                          .max_body_size(m_settings.maximumBodyBytes))
            .request_handler(
                [this](const restinio::request_handle_t &request) { return handle(request); });
        return settings;
    }

    // http_parser accepts spaces in header names. Another server may read such a name differently,
    // for example "Transfer-Encoding : chunked".
    static const std::string *invalidHeaderName(const restinio::request_handle_t &request)
    {
        for (const auto &field : request->header()) {
            if (field.name().find(' ') != std::string::npos)
                return &field.name();
        }
        return nullptr;
    }

    RequestBudget beginRequest(const restinio::request_handle_t &request) const
    {
        if (!m_settings.budget)
            return {};
        const auto connection = request->connection_id();
        return {m_settings.budget, m_serverId, connection,
                InputBudget::beginRequest(m_settings.budget, m_serverId, connection,
                                          request->body().size())};
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t &request)
    {
        const std::uint64_t serial = m_nextSerial.fetch_add(1, std::memory_order_relaxed);
        m_table->requestStarted(request->connection_id(), serial);
        RequestBudget budget = beginRequest(request);
        const bool refused = budget.refused();
        auto responder = std::make_shared<RestinioResponder>(shared_from_this(), request, m_table,
                                                             serial, std::move(budget));
        if (refused) {
            responder->send(m_hooks.onInputFault(InputFault::TooManyRequests, {}));
            return restinio::request_accepted();
        }
        if (const std::string *name = invalidHeaderName(request)) {
            responder->send(m_hooks.onInputFault(InputFault::MalformedRequest,
                                                 "invalid header name \"" + *name + '"'));
            return restinio::request_accepted();
        }
        if (request->header().connection() == restinio::http_connection_header_t::upgrade) {
            responder->send(m_hooks.onInputFault(InputFault::UpgradeRequested, "Upgrade"));
            return restinio::request_accepted();
        }
        RequestMessage message;
        message.serial = serial;
        message.method = request->header().method().c_str();
        message.target = request->header().request_target();
        message.headers.reserve(request->header().fields_count());
        for (const auto &field : request->header())
            message.headers.push_back({field.name(), field.value()});
        message.body = request->body();
        m_hooks.onRequest(std::move(message), std::move(responder));
        return restinio::request_accepted();
    }

    HttpServerSettings m_settings;
    HttpServerHooks m_hooks;
    std::shared_ptr<ConnectionTable> m_table;
    InputBudget::ServerId m_serverId = 0; ///< in the budget
    ServerContext m_context;
    std::atomic<std::uint64_t> m_nextSerial{1};
    std::uint16_t m_port = 0;
    std::optional<restinio::http_server_t<ServerTraits>> m_server;
    std::vector<std::thread> m_threads;
};

/// Owner of a server. The server itself stays until its last responder is destroyed, too.
class ServerOwner : public HttpServer
{
public:
    explicit ServerOwner(std::shared_ptr<RestinioServer> server) : m_server(std::move(server)) { }
    ~ServerOwner() override { m_server->stop(); }

    std::uint16_t port() const override { return m_server->port(); }
    std::size_t openConnections() const override { return m_server->connections().connections(); }
    std::size_t pendingResponses() const override
    {
        return m_server->connections().pendingResponses();
    }
    Result<void> reloadCertificate() override { return m_server->reloadCertificate(); }
    void closeListener() override { m_server->closeListener(); }
    void stop() override { m_server->stop(); }

private:
    std::shared_ptr<RestinioServer> m_server;
};

} // namespace

ResponseMessage plainRefusal(InputFault fault, const std::string &detail)
{
    const bool overloaded
        = fault == InputFault::ConnectionEnded || fault == InputFault::TooManyRequests;
    ResponseMessage response{overloaded ? 503 : 400,
                             {{"Content-Type", "text/plain"}},
                             std::string(inputFaultNames.nameOf(fault)) + ' ' + detail + '\n',
                             true};
    if (fault == InputFault::BodyTooLarge)
        response.status = 413;
    if (overloaded)
        response.headers.push_back({"Retry-After", "1"});
    return response;
}

Result<std::unique_ptr<HttpServer>> HttpServer::start(const HttpServerSettings &settings,
                                                      HttpServerHooks hooks)
{
    auto server = std::make_shared<RestinioServer>(settings, std::move(hooks));
    BOOST_LEAF_CHECK(server->open());
    return std::make_unique<ServerOwner>(std::move(server));
}

} // namespace Peridot
