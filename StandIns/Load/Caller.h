#pragma once

#include "CallerRequest.h"
#include "LoadLedger.h"
#include "LoadSettings.h"
#include <LibBase/Random.h>
#include <LibHttp/ClientConnection.h>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace Peridot {

/// Shared by all callers of one run.
struct LoadRun
{
    asio::io_context context;
    RandomSource random{1};
    std::chrono::steady_clock::time_point end;
    std::uint64_t started = 0;
};

/// One caller: sends one request at a time, repeats unanswered ones at any entry process, and
/// checks each answer.
class Caller : public std::enable_shared_from_this<Caller>
{
public:
    Caller(LoadRun &run, const LoadSettings &settings, LoadLedger &ledger);

    void startNext();

private:
    void begin();
    void send();
    void received(const Exchange &exchange);
    void judge(const ResponseMessage &response, const std::string &outcome);
    void checkAnswer(const ResponseMessage &response);
    void repeatLater();
    void finish(CallerOutcome outcome);
    std::string requestText() const;
    void after(std::chrono::nanoseconds delay, std::function<void()> function);

    LoadRun &m_run;
    const LoadSettings &m_settings;
    LoadLedger &m_ledger;
    asio::steady_timer m_timer;
    std::vector<std::shared_ptr<ClientConnection>> m_connections; ///< one for each entry process
    std::size_t m_entry = 0;
    CallerRequest m_request;
    std::chrono::steady_clock::time_point m_startedAt;
};

} // namespace Peridot
