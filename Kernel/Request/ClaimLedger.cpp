#include <Kernel/Request/ClaimLedger.h>

#include <algorithm>

namespace Peridot {

namespace {

constexpr Duration firstBackoff = std::chrono::milliseconds(100);
constexpr Duration lastBackoff = std::chrono::seconds(5);
/// Number of times that a write is committed again after a conflict or a lost answer. After that, a
/// claim or refusal fails, and other writes are retried in the background.
constexpr unsigned commitRetryLimit = 5;
/// Limit on the background writes started in one tick, so that a store that has just become
/// available again is not overloaded.
constexpr std::size_t retriesPerTick = 100;

} // namespace

ClaimLedger::ClaimLedger(std::string instance, std::uint64_t seed, ClaimDefects defects,
                         Hooks hooks)
    : m_instance(std::move(instance)), m_defects(defects), m_hooks(std::move(hooks)),
      m_breaker(seed), m_random(seed + 1)
{
}

ClaimLedger::Claim *ClaimLedger::find(RequestToken token)
{
    const auto found = m_claims.find(token);
    return found == m_claims.end() ? nullptr : &found->second;
}

std::optional<RepeatAnswer> ClaimLedger::findOpenClaim(const std::string &key,
                                                       const std::string &fingerprint) const
{
    const auto found = m_byKey.find(key);
    if (found == m_byKey.end())
        return std::nullopt;
    const Claim &claim = m_claims.at(found->second);
    if (claim.fingerprint != fingerprint) {
        // "Not run" requires a written claim row, because only the row prevents a delayed copy with
        // the other fingerprint from running through another entry process.
        const bool written = claim.phase == Phase::Held || claim.phase == Phase::Recording;
        return RepeatAnswer{written ? Outcome::NotRun : Outcome::Unknown,
                            RefusalReason::FingerprintMismatch, nullptr};
    }
    if (claim.phase == Phase::Recording && claim.record.state == ClaimState::Done)
        return RepeatAnswer{Outcome::Answer, RefusalReason::None, claim.record.answer};
    if (claim.phase == Phase::Recording)
        return RepeatAnswer{Outcome::Unknown, claim.record.reason, nullptr};
    return RepeatAnswer{Outcome::InProgress, RefusalReason::AlreadyRunning, nullptr};
}

void ClaimLedger::advanceRecordWindow(TimePoint now)
{
    const std::int64_t hour
        = std::chrono::duration_cast<std::chrono::hours>(now.time_since_epoch()).count();
    const auto hours = static_cast<std::int64_t>(m_recordsByHour.size());
    for (std::int64_t next = std::max(m_hour + 1, hour - hours + 1); next <= hour; ++next) {
        auto &bucket = m_recordsByHour[static_cast<std::size_t>(next % hours)];
        m_records -= bucket;
        bucket = 0;
    }
    m_hour = std::max(m_hour, hour);
}

void ClaimLedger::addRecord(TimePoint now)
{
    advanceRecordWindow(now);
    ++m_records;
    ++m_recordsByHour[static_cast<std::size_t>(m_hour) % m_recordsByHour.size()];
}

bool ClaimLedger::hasCapacity(TimePoint now)
{
    advanceRecordWindow(now);
    return m_records < recordLimit && m_claims.size() < openLimit;
}

bool ClaimLedger::mayRecordRefusal(TimePoint now)
{
    return m_refusals < refusalLimit && !m_breaker.open() && hasCapacity(now);
}

void ClaimLedger::open(RequestToken token, const std::string &key, const std::string &fingerprint,
                       std::uint64_t callerAttempt)
{
    Claim &claim = m_claims[token];
    claim.key = key;
    claim.fingerprint = fingerprint;
    claim.callerAttempt = callerAttempt;
    m_byKey[key] = token;
}

void ClaimLedger::close(RequestToken token)
{
    const auto found = m_claims.find(token);
    m_byKey.erase(found->second.key);
    m_background -= found->second.background ? 1 : 0;
    m_refusals -= found->second.phase == Phase::Refusing ? 1 : 0;
    if (found->second.retryAt)
        m_retries.erase({*found->second.retryAt, token});
    m_claims.erase(found);
}

void ClaimLedger::moveToBackground(Claim &claim)
{
    m_background += claim.background ? 0 : 1;
    claim.background = true;
}

void ClaimLedger::read(RequestToken token, Claim &claim)
{
    claim.storeCallPending = true;
    m_hooks.read({token, claim.key});
}

void ClaimLedger::write(TimePoint now, RequestToken token, Claim &claim, ClaimState state)
{
    claim.operation = m_instance + ':' + std::to_string(++m_operations);
    claim.record.state = state;
    claim.record.holder = m_instance;
    claim.record.operation = claim.operation;
    claim.record.fingerprint = claim.fingerprint;
    claim.record.callerAttempt = claim.callerAttempt;
    claim.record.time = now;
    // While the breaker is open, only its probe may call the store.
    if (claim.background && m_breaker.open())
        retryLater(now, token, claim);
    else
        commitRecord(token, claim);
}

void ClaimLedger::commitRecord(RequestToken token, Claim &claim)
{
    claim.storeCallPending = true;
    CommitClaim action;
    action.token = token;
    action.operationId = claim.operation;
    action.check = {claim.key, claim.version};
    action.write = {claim.key, encodeClaimRecord(claim.record)};
    m_hooks.commit(std::move(action));
}

void ClaimLedger::retryLater(TimePoint now, RequestToken token, Claim &claim)
{
    // Decorrelated exponential backoff.
    const auto range = std::max<Duration>(claim.backoff * 3 - firstBackoff, Duration(1));
    claim.backoff = std::min(
        lastBackoff,
        firstBackoff + Duration(m_random.below(static_cast<std::uint64_t>(range.count()))));
    claim.retryAt = now + claim.backoff;
    m_retries.insert({*claim.retryAt, token});
}

void ClaimLedger::lookUp(RequestToken token)
{
    Claim &claim = *find(token);
    claim.phase = Phase::LookingUp;
    read(token, claim);
}

void ClaimLedger::claim(TimePoint now, RequestToken token)
{
    Claim &claim = *find(token);
    addRecord(now);
    claim.phase = Phase::Claiming;
    write(now, token, claim, ClaimState::Claimed);
}

void ClaimLedger::recordRefusal(TimePoint now, RequestToken token)
{
    Claim &claim = *find(token);
    addRecord(now);
    ++m_refusals;
    claim.phase = Phase::Refusing;
    write(now, token, claim, ClaimState::Released);
}

void ClaimLedger::abandon(TimePoint now, RequestToken token)
{
    Claim &claim = *find(token);
    // Nothing needs to be released in these phases. A refusal whose commit still takes effect only
    // prevents copies of the request from running, which is safe.
    if (claim.phase == Phase::Idle || claim.phase == Phase::LookingUp
        || claim.phase == Phase::Refusing) {
        close(token);
        return;
    }
    claim.abandoned = true;
    moveToBackground(claim);
    if (!claim.storeCallPending)
        startRelease(now, token, claim);
}

void ClaimLedger::startRelease(TimePoint now, RequestToken token, Claim &claim)
{
    claim.phase = Phase::Releasing;
    claim.commitRetries = 0;
    write(now, token, claim, ClaimState::Released);
}

void ClaimLedger::recordAnswer(TimePoint now, RequestToken token,
                               std::shared_ptr<const RecordedAnswer> answer)
{
    Claim &claim = *find(token);
    claim.phase = Phase::Recording;
    claim.record.answer = answer ? std::move(answer) : std::make_shared<RecordedAnswer>();
    moveToBackground(claim);
    write(now, token, claim, ClaimState::Done);
}

void ClaimLedger::recordUnknown(TimePoint now, RequestToken token, RefusalReason reason)
{
    Claim &claim = *find(token);
    claim.phase = Phase::Recording;
    claim.record.reason = reason;
    moveToBackground(claim);
    write(now, token, claim, ClaimState::Unknown);
}

void ClaimLedger::release(TimePoint now, RequestToken token)
{
    startRelease(now, token, *find(token));
}

void ClaimLedger::reportReleased(TimePoint now, RequestToken token, Claim &claim)
{
    if (claim.background || claim.releaseReported)
        return;
    claim.releaseReported = true;
    moveToBackground(claim);
    m_hooks.released(now, token);
}

void ClaimLedger::endFailedClaim(TimePoint now, RequestToken token, Claim &claim)
{
    const bool report = !claim.abandoned;
    if (claim.mayBeWritten) {
        moveToBackground(claim);
        startRelease(now, token, claim);
    } else {
        close(token);
    }
    if (report)
        m_hooks.storeFailed(now, token);
}

void ClaimLedger::rowWritten(TimePoint now, RequestToken token, Claim &claim)
{
    if (claim.phase == Phase::Claiming) {
        claim.phase = Phase::Held;
        claim.mayBeWritten = false;
        if (claim.abandoned)
            startRelease(now, token, claim);
        else
            m_hooks.claimed(now, token);
        return;
    }
    if (claim.phase == Phase::Releasing)
        reportReleased(now, token, claim);
    const bool refused = claim.phase == Phase::Refusing;
    close(token);
    if (refused)
        m_hooks.refusalRecorded(now, token);
}

void ClaimLedger::claimCommitted(TimePoint now, RequestToken token, const CommitResult &result)
{
    Claim *claim = find(token);
    if (!claim || !claim->storeCallPending)
        return;
    claim->storeCallPending = false;
    switch (result.status) {
    case CommitStatus::Committed:
        m_breaker.succeeded();
        claim->version = result.revision;
        rowWritten(now, token, *claim);
        return;
    case CommitStatus::Conflict:
        m_breaker.succeeded();
        read(token, *claim);
        return;
    case CommitStatus::Unknown:
        m_breaker.failed(now);
        claim->mayBeWritten = true;
        if (claim->phase == Phase::Claiming && !claim->abandoned)
            read(token, *claim);
        else if (claim->phase == Phase::Claiming)
            endFailedClaim(now, token, *claim);
        else
            storeFailed(now, token, *claim);
        return;
    case CommitStatus::Unavailable:
    case CommitStatus::Refused:
        m_breaker.failed(now);
        storeFailed(now, token, *claim);
        return;
    }
}

void ClaimLedger::storeFailed(TimePoint now, RequestToken token, Claim &claim)
{
    if (claim.phase == Phase::Claiming) {
        endFailedClaim(now, token, claim);
        return;
    }
    if (claim.phase == Phase::Refusing) {
        close(token);
        if (m_defects.ignoreLostRefusal)
            m_hooks.refusalRecorded(now, token);
        else
            m_hooks.storeFailed(now, token);
        return;
    }
    // The row stays claimed by this process until the release is written, so no copy can claim it
    // in the meantime. The request is therefore certainly not run, and this can be reported before
    // the release is written.
    if (claim.phase == Phase::Releasing)
        reportReleased(now, token, claim);
    retryLater(now, token, claim);
}

void ClaimLedger::claimRead(TimePoint now, RequestToken token, ReadStatus status, const Row &row)
{
    Claim *claim = find(token);
    if (!claim || !claim->storeCallPending)
        return;
    claim->storeCallPending = false;
    if (status == ReadStatus::Ok) {
        m_breaker.succeeded();
        readBack(now, token, *claim, row);
        return;
    }
    m_breaker.failed(now);
    if (claim->phase == Phase::LookingUp) {
        close(token);
        m_hooks.storeFailed(now, token);
        return;
    }
    storeFailed(now, token, *claim);
}

RepeatAnswer ClaimLedger::answerFromRow(const std::optional<ClaimRecord> &record,
                                        const std::string &fingerprint) const
{
    if (!record)
        return {Outcome::Unknown, RefusalReason::HolderLost, nullptr};
    if (record->fingerprint != fingerprint)
        return {Outcome::NotRun, RefusalReason::FingerprintMismatch, nullptr};
    switch (record->state) {
    case ClaimState::Done:
        return {Outcome::Answer, RefusalReason::None, record->answer};
    case ClaimState::Unknown:
        return {Outcome::Unknown, record->reason, nullptr};
    case ClaimState::Released:
        return {Outcome::Unknown, RefusalReason::Superseded, nullptr};
    case ClaimState::Claimed:
        break;
    }
    // If this process holds the row without an open claim, it discarded the claim at the end of a
    // stop, and the outcome will not be recorded.
    if (record->holder != m_instance && m_hooks.isMember(record->holder))
        return {Outcome::InProgress, RefusalReason::AlreadyRunning, nullptr};
    return {Outcome::Unknown, RefusalReason::HolderLost, nullptr};
}

bool ClaimLedger::mayClaimAfter(const ClaimRecord &record, const Claim &claim) const
{
    return record.state == ClaimState::Released && record.fingerprint == claim.fingerprint
           && (mayClaimAfterRelease(record.callerAttempt, claim.callerAttempt)
               || m_defects.ignoreCallerAttempt);
}

void ClaimLedger::readBack(TimePoint now, RequestToken token, Claim &claim, const Row &row)
{
    std::optional<ClaimRecord> record;
    if (row.version != absentVersion)
        record = valueOrElse(
            [&]() -> Result<std::optional<ClaimRecord>> {
                BOOST_LEAF_AUTO(decoded, decodeClaimRecord(row.value));
                return std::optional<ClaimRecord>(std::move(decoded));
            },
            [](const Error &) { return std::optional<ClaimRecord>(); });
    if (claim.phase == Phase::LookingUp || claim.phase == Phase::Claiming
        || claim.phase == Phase::Refusing)
        readBackClaim(now, token, claim, row, record);
    else
        readBackWrite(now, token, claim, row, record);
}

void ClaimLedger::readBackClaim(TimePoint now, RequestToken token, Claim &claim, const Row &row,
                                const std::optional<ClaimRecord> &record)
{
    const bool lookingUp = claim.phase == Phase::LookingUp;
    if (!lookingUp && record && record->operation == claim.operation) {
        claim.version = row.version;
        rowWritten(now, token, claim);
        return;
    }
    if (row.version != absentVersion && !(record && mayClaimAfter(*record, claim))) {
        const RepeatAnswer answer = answerFromRow(record, claim.fingerprint);
        const bool report = !claim.abandoned;
        close(token);
        if (report)
            m_hooks.repeated(now, token, answer);
        return;
    }
    if (lookingUp) {
        claim.version = row.version;
        claim.phase = Phase::Idle;
        m_hooks.mayClaim(now, token);
        return;
    }
    if (claim.abandoned || ++claim.commitRetries > commitRetryLimit) {
        storeFailed(now, token, claim);
        return;
    }
    // The commit is repeated with the same operation id. If the earlier commit still takes effect,
    // this one conflicts, and the operation id in the row shows that this process wrote it.
    claim.version = row.version;
    commitRecord(token, claim);
}

void ClaimLedger::readBackWrite(TimePoint now, RequestToken token, Claim &claim, const Row &row,
                                const std::optional<ClaimRecord> &record)
{
    if (record && record->operation == claim.operation) {
        rowWritten(now, token, claim);
        return;
    }
    const bool claimedByThisProcess
        = record && record->holder == m_instance && record->state == ClaimState::Claimed;
    const bool releaseOfAbsentRow = claim.phase == Phase::Releasing && row.version == absentVersion;
    if (!claimedByThisProcess && !releaseOfAbsentRow) {
        // Only the holder may change a claimed row. If an outcome is being recorded, the claim was
        // written, so the other value is a fault outside this process. If the claim is being
        // released, it may never have been written.
        m_anomalies += claim.phase == Phase::Recording ? 1 : 0;
        if (claim.phase == Phase::Releasing)
            reportReleased(now, token, claim);
        close(token);
        return;
    }
    claim.version = row.version;
    if (++claim.commitRetries > commitRetryLimit)
        retryLater(now, token, claim);
    else
        commitRecord(token, claim);
}

void ClaimLedger::tick(TimePoint now)
{
    if (m_stopDeadline && now >= *m_stopDeadline) {
        while (!m_retries.empty()) {
            ++m_unrecorded;
            close(m_retries.begin()->second);
        }
        return;
    }
    for (std::size_t count = 0; count < retriesPerTick && !m_retries.empty(); ++count) {
        const auto [time, token] = *m_retries.begin();
        if (time > now || !m_breaker.mayCall(now))
            return;
        m_retries.erase(m_retries.begin());
        Claim &claim = *find(token);
        claim.retryAt.reset();
        claim.commitRetries = 0;
        commitRecord(token, claim);
    }
}

} // namespace Peridot
