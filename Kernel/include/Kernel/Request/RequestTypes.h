#pragma once

#include <LibBase/EnumTable.h>
#include <LibBase/Time.h>
#include <cstdint>
#include <string>

namespace Peridot {

/// Outcome of a request as reported to its caller in the Peridot-Outcome header.
enum class Outcome {
    Answer, ///< the whole answer of the backend server
    NotRun, ///< certainly not executed
    InProgress, ///< a repeat of a request that another attempt is executing
    Unknown, ///< may have been executed
};

constexpr auto outcomeNames = makeEnumTable<Outcome>({
    {Outcome::Answer, "answer"},
    {Outcome::NotRun, "not-run"},
    {Outcome::InProgress, "in-progress"},
    {Outcome::Unknown, "unknown"},
});

/// Priority of a request among those of the same service, most urgent first.
enum class Urgency { Urgent, Normal, Deferrable };

constexpr std::size_t urgencyCount = 3;

constexpr auto urgencyNames = makeEnumTable<Urgency>({
    {Urgency::Urgent, "urgent"},
    {Urgency::Normal, "normal"},
    {Urgency::Deferrable, "deferrable"},
});

/// Why a request was refused or has no certain outcome.
enum class RefusalReason {
    None,
    BadRequest,
    MissingRequestId,
    InvalidRequestId,
    UnknownService,
    BodyTooLarge,
    Stopping,
    NotReady,
    QueueFull,
    OverShare,
    DeadlineExceeded,
    NoBackendServer,
    BackendRefused,
    BackendConnectionFailed,
    BackendConnectionLost,
    BackendTimeout,
    TruncatedAnswer,
    StoreUnavailable,
    RecordLimit,
    RecordExpired,
    FingerprintMismatch,
    AlreadyRunning,
    HolderLost,
    Superseded,
};

constexpr auto refusalReasonNames = makeEnumTable<RefusalReason>({
    {RefusalReason::None, "none"},
    {RefusalReason::BadRequest, "bad-request"},
    {RefusalReason::MissingRequestId, "missing-request-id"},
    {RefusalReason::InvalidRequestId, "invalid-request-id"},
    {RefusalReason::UnknownService, "unknown-service"},
    {RefusalReason::BodyTooLarge, "body-too-large"},
    {RefusalReason::Stopping, "stopping"},
    {RefusalReason::NotReady, "not-ready"},
    {RefusalReason::QueueFull, "queue-full"},
    {RefusalReason::OverShare, "over-share"},
    {RefusalReason::DeadlineExceeded, "deadline-exceeded"},
    {RefusalReason::NoBackendServer, "no-backend-server"},
    {RefusalReason::BackendRefused, "backend-refused"},
    {RefusalReason::BackendConnectionFailed, "backend-connection-failed"},
    {RefusalReason::BackendConnectionLost, "backend-connection-lost"},
    {RefusalReason::BackendTimeout, "backend-timeout"},
    {RefusalReason::TruncatedAnswer, "truncated-answer"},
    {RefusalReason::StoreUnavailable, "store-unavailable"},
    {RefusalReason::RecordLimit, "record-limit"},
    {RefusalReason::RecordExpired, "record-expired"},
    {RefusalReason::FingerprintMismatch, "fingerprint-mismatch"},
    {RefusalReason::AlreadyRunning, "already-running"},
    {RefusalReason::HolderLost, "holder-lost"},
    {RefusalReason::Superseded, "superseded"},
});

/// Identifies one request within an entry process. Never reused.
using RequestToken = std::uint64_t;

/// Properties of a request that the kernel needs for its decisions. The body is not passed to the
/// kernel.
struct RequestDescription
{
    RequestToken token = 0;
    std::string service;
    std::string requestId; ///< UUIDv7; empty when the caller sent none
    bool idempotent = false; ///< derived from the HTTP method
    /// Peridot-Attempt header: 1 for the first send of the request id, then increasing; 0 when the
    /// caller sent none.
    std::uint64_t callerAttempt = 0;
    Urgency urgency = Urgency::Normal;
    TimePoint arrival;
    TimePoint deadline;
    std::string fingerprint; ///< hash of method, target and body, in hexadecimal digits
};

/// Answer to a non-idempotent request that is recorded, so that repeats receive the same answer.
struct RecordedAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
    bool bodyRecorded = false; ///< false when the body was larger than the record limit
    std::string digest; ///< hash of the body, in hexadecimal digits
};

/// Result of one attempt at a backend server.
enum class AttemptStatus {
    Answered, ///< the whole answer was received
    Refused, ///< the backend server answered that it did not act (503 with Peridot-Refused: 1)
    NotSent, ///< no byte can have reached the backend server
    ConnectionLost, ///< the connection was lost after bytes may have been sent
    Truncated, ///< the answer ended early
    TimedOut,
};

constexpr auto attemptStatusNames = makeEnumTable<AttemptStatus>({
    {AttemptStatus::Answered, "answered"},
    {AttemptStatus::Refused, "refused"},
    {AttemptStatus::NotSent, "not-sent"},
    {AttemptStatus::ConnectionLost, "connection-lost"},
    {AttemptStatus::Truncated, "truncated"},
    {AttemptStatus::TimedOut, "timed-out"},
});

} // namespace Peridot
