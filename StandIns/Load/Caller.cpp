#include "Caller.h"

#include "Uuid.h"
#include <LibBase/Json.h>

namespace Peridot {

namespace {

constexpr std::chrono::milliseconds repeatDelay{100};

} // namespace

Caller::Caller(LoadRun &run, const LoadSettings &settings, LoadLedger &ledger)
    : m_run(run), m_settings(settings), m_ledger(ledger), m_timer(run.context)
{
    for (const auto &entry : settings.entries)
        m_connections.push_back(std::make_shared<ClientConnection>(run.context, entry));
}

void Caller::after(std::chrono::nanoseconds delay, std::function<void()> function)
{
    m_timer.expires_after(delay);
    m_timer.async_wait(
        [self = shared_from_this(), function = std::move(function)](const asio::error_code &error) {
            if (!error)
                function();
        });
}

void Caller::startNext()
{
    if (m_settings.rate <= 0)
        return after(std::chrono::nanoseconds(0), [this] { begin(); });
    const double mean = m_settings.callers / m_settings.rate;
    const std::chrono::duration<double> pause(m_run.random.exponential(mean));
    after(std::chrono::duration_cast<std::chrono::nanoseconds>(pause), [this] { begin(); });
}

void Caller::begin()
{
    if (std::chrono::steady_clock::now() >= m_run.end || m_run.started >= m_settings.requestLimit)
        return;
    ++m_run.started;
    RandomSource &random = m_run.random;
    m_request = {};
    m_request.id = makeUuidVersion7(random);
    m_request.service = random.below(m_settings.services.size());
    if (random.below(100) < m_settings.nonIdempotentPercent) {
        m_request.method = random.below(2) == 0 ? "POST" : "PATCH";
        m_request.payload = m_request.id;
        m_request.payload.resize(std::max(m_settings.payloadBytes, m_request.id.size()), '.');
    } else {
        m_request.method = random.below(2) == 0 ? "GET" : "PUT";
    }
    m_request.target = '/' + m_settings.services[m_request.service] + "/load/" + m_request.id;
    m_entry = random.below(m_connections.size());
    m_startedAt = std::chrono::steady_clock::now();
    send();
}

std::string Caller::requestText() const
{
    RequestMessage message;
    message.method = m_request.method;
    message.target = m_request.target;
    message.body = m_request.payload;
    message.headers = {{"Request-Id", m_request.id},
                       {"Peridot-Attempt", std::to_string(m_request.sends)},
                       {"Peridot-Deadline-Ms", std::to_string(m_settings.deadline.count())}};
    if (!m_settings.urgency.empty())
        message.headers.push_back({"Peridot-Urgency", m_settings.urgency});
    return ClientConnection::format(message);
}

void Caller::send()
{
    ++m_request.sends;
    m_ledger.sent(m_request.service);
    m_connections[m_entry]->exchange(
        requestText(), false, m_settings.patience,
        [self = shared_from_this()](const Exchange &exchange) { self->received(exchange); });
}

void Caller::received(const Exchange &exchange)
{
    if (exchange.end != ExchangeEnd::Complete) {
        // A broken connection is no answer; an answer that ends early must not look like one, which
        // ClientConnection has checked.
        if (exchange.end != ExchangeEnd::NotConnected)
            m_request.everInDoubt = true;
        return repeatLater();
    }
    const std::string *outcome = findHeader(exchange.response.headers, "Peridot-Outcome");
    if (outcome == nullptr) {
        m_ledger.violation("no-outcome", m_request,
                           "status " + std::to_string(exchange.response.status));
        return finish(CallerOutcome::Unknown);
    }
    judge(exchange.response, *outcome);
}

void Caller::judge(const ResponseMessage &response, const std::string &outcome)
{
    if (outcome == "answer") {
        checkAnswer(response);
        return finish(CallerOutcome::Answered);
    }
    const auto value = valueOrElse([&] { return parseJson(response.body); },
                                   [](const Error &) { return Json::Value(); });
    if (!value.isObject() || value["outcome"].asString() != outcome
        || value["request_id"].asString() != m_request.id
        || findHeader(response.headers, "Retry-After") == nullptr)
        m_ledger.violation("malformed-refusal", m_request, response.body);
    if (outcome == "not-run")
        return finish(CallerOutcome::Refused);
    m_request.everInDoubt = true;
    if (outcome == "in-progress")
        return repeatLater();
    finish(CallerOutcome::Unknown);
}

void Caller::checkAnswer(const ResponseMessage &response)
{
    // An answer above the record limit is repeated as its digest only.
    if (findHeader(response.headers, "Peridot-Body-Digest") != nullptr)
        return;
    const auto value = valueOrElse([&] { return parseJson(response.body); },
                                   [](const Error &) { return Json::Value(); });
    if (!value.isObject()) {
        m_ledger.violation("incomplete-answer", m_request, response.body.substr(0, 200));
        return;
    }
    if (value["request_id"].asString() != m_request.id
        || value["payload"].asString() != m_request.payload
        || value["target"].asString() != m_request.target)
        m_ledger.violation("answer-of-another-request", m_request, response.body.substr(0, 200));
}

void Caller::repeatLater()
{
    if (m_request.sends >= m_settings.sendLimit)
        return finish(m_request.everInDoubt ? CallerOutcome::Unknown : CallerOutcome::Refused);
    m_entry = m_run.random.below(m_connections.size());
    after(repeatDelay, [this] { send(); });
}

void Caller::finish(CallerOutcome outcome)
{
    m_request.outcome = outcome;
    m_ledger.finished(m_request, std::chrono::steady_clock::now() - m_startedAt);
    startNext();
}

} // namespace Peridot
