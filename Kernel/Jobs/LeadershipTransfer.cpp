#include <Kernel/Jobs/LeadershipTransfer.h>

#include "HostCapacity.h"
#include <algorithm>
#include <tuple>
#include <utility>

namespace Peridot::Jobs {

namespace {

constexpr std::chrono::milliseconds writeRetryDelay{100};

} // namespace

LeadershipTransfer::LeadershipTransfer(std::string instance, double processors,
                                       LeadershipTransferTiming timing, Hooks hooks,
                                       LeadershipTransferDefects defects)
    : m_instance(std::move(instance)), m_processors(processors), m_timing(timing),
      m_hooks(std::move(hooks)), m_defects(defects)
{
}

void LeadershipTransfer::observe(std::string_view kind, const std::string &detail) const
{
    if (m_hooks.observe)
        m_hooks.observe(kind, detail);
}

void LeadershipTransfer::candidateChanged(const std::string &host,
                                          std::optional<SchedulerCandidate> candidate)
{
    if (candidate)
        m_candidates[host] = std::move(*candidate);
    else
        m_candidates.erase(host);
}

void LeadershipTransfer::transferRowChanged(TimePoint now, const Row &row)
{
    if (row.version <= m_rowVersion)
        return;
    m_rowVersion = row.version;
    m_rowSeenAt = now;
    m_row = valueOrElse([&] { return parseTransfer(row.value); },
                        [](const Error &) { return LeadershipTransferRow{}; });
    if (m_leadingSince) {
        if (m_row.phase == TransferPhase::Prepared && m_row.from == m_instance
            && m_row.to == m_successor)
            resign("successor-prepared");
        return;
    }
    if (m_row.to == m_instance && m_row.phase == TransferPhase::Proposed && !m_stopRequestedAt) {
        m_preparingSince = now;
        observe("transfer-requested", m_row.from);
        return m_hooks.prepare();
    }
    if (m_row.to != m_instance && std::exchange(m_preparingSince, std::nullopt))
        m_hooks.abandon();
}

void LeadershipTransfer::setLeading(TimePoint now, bool leading)
{
    if (leading == m_leadingSince.has_value())
        return;
    m_successor.clear();
    m_outgoing.reset();
    m_resigned = false;
    m_preparingSince.reset();
    if (leading)
        m_leadingSince = now;
    else
        m_leadingSince.reset();
}

void LeadershipTransfer::beginStop(TimePoint now)
{
    if (!m_stopRequestedAt)
        m_stopRequestedAt = now;
    tick(now);
}

void LeadershipTransfer::prepared(TimePoint now)
{
    const bool requested
        = m_preparingSince && m_row.to == m_instance && m_row.phase == TransferPhase::Proposed;
    if (!requested || m_stopRequestedAt)
        return;
    m_outgoing = m_row;
    m_outgoing->phase = TransferPhase::Prepared;
    m_nextWriteAt = now;
}

void LeadershipTransfer::tick(TimePoint now)
{
    if (m_leadingSince)
        return tickLeader(now);
    if (m_preparingSince && now > *m_preparingSince + m_timing.standbyLimit) {
        m_preparingSince.reset();
        m_outgoing.reset();
        m_hooks.abandon();
    }
}

void LeadershipTransfer::tickLeader(TimePoint now)
{
    if (m_resigned)
        return;
    if (m_stopRequestedAt && now >= *m_stopRequestedAt + m_timing.stopLimit)
        return resign("stop-limit");
    if (!m_successor.empty() && now >= m_proposedAt + m_timing.preparationLimit)
        giveUpSuccessor(now);
    if (!m_successor.empty())
        return;
    if (const SchedulerCandidate *candidate = chooseSuccessor(now))
        return propose(now, *candidate);
    if (m_stopRequestedAt)
        resign("no-candidate");
}

void LeadershipTransfer::giveUpSuccessor(TimePoint now)
{
    observe("successor-unresponsive", m_successor);
    m_avoidedUntil[m_successor] = now + m_timing.avoidancePeriod;
    m_successor.clear();
    m_outgoing.reset();
}

bool LeadershipTransfer::isEligible(TimePoint now, const SchedulerCandidate &candidate) const
{
    const auto avoided = m_avoidedUntil.find(candidate.instance);
    const bool isAvoided = avoided != m_avoidedUntil.end() && now < avoided->second;
    if (candidate.instance == m_instance || candidate.stopping || isAvoided)
        return false;
    if (m_stopRequestedAt ? m_defects.releaseWithoutSuccessor : m_defects.keepOnSlowHost)
        return false;
    const bool isFaster = !isSimilarCapacity(m_processors, candidate.processors);
    const bool termIsLongEnough = now >= *m_leadingSince + m_timing.minimumTerm;
    return m_stopRequestedAt || (isFaster && termIsLongEnough);
}

const SchedulerCandidate *LeadershipTransfer::chooseSuccessor(TimePoint now) const
{
    double fastest = 0;
    for (const auto &[host, candidate] : m_candidates) {
        if (isEligible(now, candidate))
            fastest = std::max(fastest, candidate.processors);
    }
    // When hosts are restarted one after another, the one that started last is the least likely to
    // be stopped next.
    const auto rank = [fastest](const SchedulerCandidate &candidate) {
        return std::make_tuple(isSimilarCapacity(candidate.processors, fastest),
                               candidate.startedAt, std::cref(candidate.instance));
    };
    const SchedulerCandidate *best = nullptr;
    for (const auto &[host, candidate] : m_candidates) {
        if (isEligible(now, candidate) && (best == nullptr || rank(*best) < rank(candidate)))
            best = &candidate;
    }
    return best;
}

void LeadershipTransfer::propose(TimePoint now, const SchedulerCandidate &candidate)
{
    observe("successor-chosen", candidate.instance);
    m_successor = candidate.instance;
    m_proposedAt = now;
    m_outgoing = LeadershipTransferRow{m_instance, m_successor, TransferPhase::Proposed};
    m_nextWriteAt = now;
}

void LeadershipTransfer::resign(const std::string &reason)
{
    if (std::exchange(m_resigned, true))
        return;
    observe("scheduler-resigned", reason);
    m_hooks.resign();
}

std::optional<Transaction> LeadershipTransfer::takeTransaction(TimePoint now)
{
    if (!m_outgoing || m_inFlight || now < m_nextWriteAt)
        return std::nullopt;
    m_inFlight = m_outgoing;
    Transaction transaction;
    transaction.operationId = "transfer/" + m_instance + '/' + std::to_string(++m_writeCount);
    transaction.checks = {{std::string(transferKey), m_rowVersion}};
    transaction.writes = {{std::string(transferKey), encodeTransfer(*m_outgoing)}};
    return transaction;
}

void LeadershipTransfer::transactionFinished(TimePoint now, const CommitResult &result)
{
    const auto written = std::exchange(m_inFlight, std::nullopt);
    if (result.status == CommitStatus::Committed) {
        if (m_outgoing == written)
            m_outgoing.reset();
        return transferRowChanged(
            now, {std::string(transferKey), result.revision, encodeTransfer(*written)});
    }
    for (const Row &row : result.currentRows) {
        if (row.key == transferKey)
            transferRowChanged(now, row);
    }
    // An unanswered write that was applied is found in the row.
    if (m_outgoing == m_row)
        m_outgoing.reset();
    m_nextWriteAt = now + writeRetryDelay;
}

bool LeadershipTransfer::hasPreparedSuccessor(TimePoint now) const
{
    return m_row.phase == TransferPhase::Prepared && now < m_rowSeenAt + m_timing.precedencePeriod;
}

bool LeadershipTransfer::isSuccessor(TimePoint now) const
{
    return hasPreparedSuccessor(now) && m_row.to == m_instance;
}

bool LeadershipTransfer::isReservedForOther(TimePoint now) const
{
    return hasPreparedSuccessor(now) && m_row.to != m_instance && !m_defects.ignoreReservation;
}

} // namespace Peridot::Jobs
