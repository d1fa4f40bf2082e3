#include "BackendConnection.h"
#include "ControlServer.h"
#include <LibBase/Log.h>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/strand.hpp>
#include <docopt/docopt.h>
#include <iostream>
#include <thread>
#include <vector>

using namespace Peridot;

namespace {

constexpr const char *usageText = R"(Backend server stand-in for tests and the demo.

Usage:
  peridot-standin-backend --settings FILE
  peridot-standin-backend (-h | --help)

Options:
  --settings FILE  settings (JSON with comments)
  -h --help        this text

Faults come from the request header Peridot-Fault or from POST /control on the control port.
)";

void acceptNext(asio::ip::tcp::acceptor &acceptor, asio::io_context &context,
                const std::shared_ptr<BackendState> &state)
{
    acceptor.async_accept(
        asio::make_strand(context),
        [&acceptor, &context, state](const asio::error_code &error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted)
                return;
            if (!error)
                std::make_shared<BackendConnection>(std::move(socket), state)->read();
            acceptNext(acceptor, context, state);
        });
}

Result<int> run(const std::string &settingsPath)
{
    BOOST_LEAF_AUTO(settings, loadBackendSettings(settingsPath));
    const auto state = std::make_shared<BackendState>(settings);
    BOOST_LEAF_AUTO(control, startControlServer(state));
    asio::io_context context;
    asio::error_code error;
    const auto address = asio::ip::make_address(settings.address, error);
    if (error)
        return makeError(ErrorCode::InvalidValue, "address", error.message());
    asio::ip::tcp::acceptor acceptor(context);
    const asio::ip::tcp::endpoint endpoint(address, settings.port);
    acceptor.open(endpoint.protocol());
    acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint, error);
    if (error)
        return makeError(ErrorCode::ConnectionFailed, "port", error.message());
    acceptor.listen();
    acceptNext(acceptor, context, state);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const asio::error_code &, int) { context.stop(); });
    logEvent(LogLevel::Info, "backend-listening",
             {{"server", settings.name},
              {"port", int(acceptor.local_endpoint().port())},
              {"control_port", int(control->port())}});
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < settings.threads; ++index)
        threads.emplace_back([&context] { context.run(); });
    for (auto &thread : threads)
        thread.join();
    control->stop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    auto options = docopt::docopt(usageText, {argv + 1, argv + argc}, true);
    configureLog(LogLevel::Info);
    return valueOrElse([&] { return run(options["--settings"].asString()); },
                       [](const Error &error) {
                           std::cerr << "peridot-standin-backend: " << describe(error) << '\n';
                           return 2;
                       });
}
