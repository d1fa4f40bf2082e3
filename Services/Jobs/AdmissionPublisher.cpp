#include "AdmissionPublisher.h"

#include <LibBase/Log.h>
#include <LibStore/Store.h>
#include <utility>

namespace Peridot::Jobs {

namespace {

constexpr std::chrono::milliseconds updatePeriod{250};
// The limits of an earlier scheduler hold until this one has had the time to set its own.
constexpr std::chrono::seconds predecessorLimitsPeriod{4};

} // namespace

AdmissionPublisher::AdmissionPublisher(const PlatformPorts &ports, std::uint64_t epoch,
                                       RowCheck epochCheck, const AdmissionLimits &limits)
    : m_ports(ports), m_epoch(epoch), m_epochCheck(std::move(epochCheck)), m_control(limits)
{
}

void AdmissionPublisher::update(TimePoint now, const SchedulerDemand &demand)
{
    m_nextUpdate = now + updatePeriod;
    const AdmissionLimits &limits = m_control.update(now, demand);
    if (!m_liftNotBefore)
        m_liftNotBefore = now + predecessorLimitsPeriod;
    const bool mayLift = m_limitsWritten && now >= *m_liftNotBefore;
    if (m_writeInFlight || (limits.empty() && !mayLift))
        return;
    logLimits(limits);
    write(now, limits);
}

void AdmissionPublisher::write(TimePoint now, const AdmissionLimits &limits)
{
    m_writeInFlight = true;
    m_limitsWritten = true;
    m_liftNotBefore = now;
    Transaction transaction;
    transaction.operationId = "admission/" + std::to_string(m_epoch) + '/'
                              + std::to_string(now.time_since_epoch().count());
    transaction.checks = {m_epochCheck};
    transaction.writes = {{std::string(admissionKey), encodeAdmissionLimits(limits)}};
    m_ports.urgentStore->commit(transaction,
                                [this, lifted = limits.empty(),
                                 alive = std::weak_ptr(m_alive)](const CommitResult &result) {
                                    if (alive.expired())
                                        return;
                                    m_writeInFlight = false;
                                    if (lifted && result.status == CommitStatus::Committed)
                                        m_limitsWritten = false;
                                });
}

void AdmissionPublisher::logLimits(const AdmissionLimits &limits)
{
    for (const auto &[queue, limit] : limits) {
        const unsigned others = limit.othersPermille.value_or(limit.acceptedPermille);
        logEvent(LogLevel::Warning, "admission-limited",
                 {{"queue", queue},
                  {"accepted_permille", std::uint64_t{limit.acceptedPermille}},
                  {"others_permille", std::uint64_t{others}},
                  {"retry_after_s", static_cast<std::int64_t>(limit.retryAfter.count())}});
        for (const auto &[name, organisation] : limit.organisations)
            logEvent(
                LogLevel::Warning, "admission-organisation-limited",
                {{"queue", queue},
                 {"organisation", name},
                 {"accepted_permille", std::uint64_t{organisation.acceptedPermille}},
                 {"retry_after_s", static_cast<std::int64_t>(organisation.retryAfter.count())}});
    }
    if (limits.empty())
        logEvent(LogLevel::Info, "admission-unlimited");
}

} // namespace Peridot::Jobs
