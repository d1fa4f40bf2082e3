#pragma once

#include <Kernel/Request/ClaimRecord.h>
#include <Kernel/Request/RequestKernel.h>
#include <Kernel/Request/StoreBreaker.h>
#include <array>
#include <functional>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Peridot {

/// Answer to a repeat of a request, from its claim row or from an open claim of this process.
struct RepeatAnswer
{
    Outcome outcome = Outcome::Unknown;
    RefusalReason reason = RefusalReason::None;
    std::shared_ptr<const RecordedAnswer> recorded;
};

/// Ensures that a non-idempotent request runs at most once, over all entry processes.
///
/// The claim row of a request is written, with a check that it is absent or released, before the
/// request is dispatched. A commit whose outcome is unknown is read back: the row carries the
/// operation id of the commit that wrote it. A claim is kept after its request was answered, until
/// the outcome is recorded or the row is released.
class ClaimLedger
{
public:
    /// Limit on the records of one entry process in the retention period.
    static constexpr std::uint64_t recordLimit = 10'000'000;
    /// Limit on the open claims: those whose outcome or release is not yet written, and lookups in
    /// progress.
    static constexpr std::size_t openLimit = 20'000;
    /// Limit on the refusals being recorded. They are written in the same transactions as claims; a
    /// quarter of the rows of a transaction leaves the rest to claims when many repeats are
    /// refused.
    static constexpr std::size_t refusalLimit = 25;
    static constexpr Duration retention = std::chrono::hours(24);
    static constexpr Duration futureLimit = std::chrono::minutes(5);

    struct Hooks
    {
        std::function<void(CommitClaim)> commit;
        std::function<void(ReadClaim)> read;
        /// The row was read and allows a claim.
        std::function<void(TimePoint, RequestToken)> mayClaim;
        std::function<void(TimePoint, RequestToken)> claimed;
        /// The row contains the result of an earlier copy of the request. The claim is closed.
        std::function<void(TimePoint, RequestToken, RepeatAnswer)> repeated;
        /// The store failed, or the outcome of a commit is unknown. The claim is closed, or
        /// released in the background.
        std::function<void(TimePoint, RequestToken)> storeFailed;
        /// The request will certainly not run. The release of the row was written, or is continued
        /// in the background.
        std::function<void(TimePoint, RequestToken)> released;
        /// A row was written that prevents this and all earlier copies from running. The claim is
        /// closed.
        std::function<void(TimePoint, RequestToken)> refusalRecorded;
        std::function<bool(const std::string &)> isMember;
    };

    ClaimLedger(std::string instance, std::uint64_t seed, ClaimDefects defects, Hooks hooks);

    /// Answer to a repeat of a request with an open claim of this process; nothing without one.
    std::optional<RepeatAnswer> findOpenClaim(const std::string &key,
                                              const std::string &fingerprint) const;
    /// Whether another claim can be opened within recordLimit and openLimit.
    bool hasCapacity(TimePoint now);
    StoreBreaker &breaker() { return m_breaker; }
    const StoreBreaker &breaker() const { return m_breaker; }

    /// Opens the claim of a request.
    void open(RequestToken token, const std::string &key, const std::string &fingerprint,
              std::uint64_t callerAttempt);
    /// Reads the row first; ends with mayClaim, repeated or storeFailed.
    void lookUp(RequestToken token);
    /// Writes the claim; ends with claimed, repeated or storeFailed.
    void claim(TimePoint now, RequestToken token);
    bool mayRecordRefusal(TimePoint now);
    /// Writes the row of a request that was not claimed as released; ends with refusalRecorded,
    /// repeated or storeFailed.
    void recordRefusal(TimePoint now, RequestToken token);
    /// Closes a claim that was not written. Releases one that may have been written in the
    /// background.
    void abandon(TimePoint now, RequestToken token);
    void recordAnswer(TimePoint now, RequestToken token,
                      std::shared_ptr<const RecordedAnswer> answer);
    void recordUnknown(TimePoint now, RequestToken token, RefusalReason reason);
    /// Marks the row of a request that was claimed and certainly not run as released.
    void release(TimePoint now, RequestToken token);

    void claimRead(TimePoint now, RequestToken token, ReadStatus status, const Row &row);
    void claimCommitted(TimePoint now, RequestToken token, const CommitResult &result);
    void tick(TimePoint now);
    /// Discards outcomes that the store has not accepted by \a deadline.
    void stopAt(TimePoint deadline) { m_stopDeadline = deadline; }

    /// Number of claims that are completed in the background, after their request has ended.
    std::size_t background() const { return m_background; }
    std::size_t refusals() const { return m_refusals; }
    std::size_t size() const { return m_claims.size(); }
    /// Number of rows that another writer changed while this process held the claim.
    std::uint64_t anomalies() const { return m_anomalies; }
    /// Number of claims that were discarded at the end of a stop, before their write succeeded.
    std::uint64_t unrecorded() const { return m_unrecorded; }

private:
    enum class Phase {
        Idle, ///< open, nothing written
        LookingUp, ///< the row is being read before the claim
        Claiming, ///< the claim is being written
        Held, ///< the claim is written; the request may run
        Recording, ///< the answer or an unknown outcome is being written
        Releasing, ///< the row is being marked as released
        Refusing ///< a refusal is being written
    };

    struct Claim
    {
        std::string key;
        std::string fingerprint;
        std::uint64_t callerAttempt = 0;
        Phase phase = Phase::Idle;
        bool storeCallPending = false; ///< the result of a read or commit is pending
        bool abandoned = false; ///< the request ended before the outcome of the claim was known
        bool mayBeWritten = false; ///< a commit of the claim has an unknown outcome
        bool background = false; ///< completed after the request has ended
        bool releaseReported = false; ///< the hook `released` was called
        unsigned commitRetries = 0; ///< repeated commits; limited by commitRetryLimit
        Version version = absentVersion; ///< latest known version of the row
        std::string operation; ///< operation id of the last commit
        ClaimRecord record; ///< value written by the last commit
        Duration backoff{0};
        std::optional<TimePoint> retryAt; ///< time of the next background write
    };

    using Claims = std::unordered_map<RequestToken, Claim>;

    Claim *find(RequestToken token);
    void close(RequestToken token);
    void moveToBackground(Claim &claim);
    void read(RequestToken token, Claim &claim);
    /// Sets the value of the row under a new operation id, and commits it.
    void write(TimePoint now, RequestToken token, Claim &claim, ClaimState state);
    /// Commits the current value under its operation id, also when it is repeated.
    void commitRecord(RequestToken token, Claim &claim);
    void retryLater(TimePoint now, RequestToken token, Claim &claim);
    void storeFailed(TimePoint now, RequestToken token, Claim &claim);
    void reportReleased(TimePoint now, RequestToken token, Claim &claim);
    void rowWritten(TimePoint now, RequestToken token, Claim &claim);
    void readBack(TimePoint now, RequestToken token, Claim &claim, const Row &row);
    void readBackClaim(TimePoint now, RequestToken token, Claim &claim, const Row &row,
                       const std::optional<ClaimRecord> &record);
    void readBackWrite(TimePoint now, RequestToken token, Claim &claim, const Row &row,
                       const std::optional<ClaimRecord> &record);
    void startRelease(TimePoint now, RequestToken token, Claim &claim);
    /// Reports a failed claim. A claim that may have been written is released in the background.
    void endFailedClaim(TimePoint now, RequestToken token, Claim &claim);
    /// Answer to a repeat from a row that does not allow a claim; no \a record: the row is invalid.
    RepeatAnswer answerFromRow(const std::optional<ClaimRecord> &record,
                               const std::string &fingerprint) const;
    bool mayClaimAfter(const ClaimRecord &record, const Claim &claim) const;
    void addRecord(TimePoint now);
    void advanceRecordWindow(TimePoint now);

    const std::string m_instance;
    const ClaimDefects m_defects;
    Hooks m_hooks;
    StoreBreaker m_breaker;
    RandomSource m_random;
    Claims m_claims;
    std::unordered_map<std::string, RequestToken> m_byKey;
    std::set<std::pair<TimePoint, RequestToken>> m_retries;
    std::uint64_t m_operations = 0;
    std::size_t m_background = 0;
    std::size_t m_refusals = 0;
    std::uint64_t m_anomalies = 0;
    std::uint64_t m_unrecorded = 0;
    std::optional<TimePoint> m_stopDeadline;
    // Number of records written in each of the last 25 hours, indexed by hour modulo 25.
    std::array<std::uint64_t, 25> m_recordsByHour{};
    std::uint64_t m_records = 0;
    std::int64_t m_hour = -1; ///< latest hour in m_recordsByHour, since the Unix epoch
};

} // namespace Peridot
