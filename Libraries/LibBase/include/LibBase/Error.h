#pragma once

#include <LibBase/EnumTable.h>
#include <boost/leaf.hpp>
#include <string>
#include <string_view>

namespace Peridot {

/// Kind of failure. Callers branch on this value and never on the text of an error.
enum class ErrorCode {
    InvalidJson,
    SchemaViolation,
    InvalidValue,
    MissingField,
    DuplicateName,
    UnknownReference,
    UnknownPlugin,
    FileUnreadable,
    StoreUnavailable,
    StoreConflict,
    StoreUnknownOutcome,
    NotFound,
    Unauthorized,
    Timeout,
    ConnectionFailed,
    ProtocolViolation,
    LimitExceeded,
    NotLeader,
    Stopping,
};

constexpr auto errorCodeNames = makeEnumTable<ErrorCode>({
    {ErrorCode::InvalidJson, "invalid-json"},
    {ErrorCode::SchemaViolation, "schema-violation"},
    {ErrorCode::InvalidValue, "invalid-value"},
    {ErrorCode::MissingField, "missing-field"},
    {ErrorCode::DuplicateName, "duplicate-name"},
    {ErrorCode::UnknownReference, "unknown-reference"},
    {ErrorCode::UnknownPlugin, "unknown-plugin"},
    {ErrorCode::FileUnreadable, "file-unreadable"},
    {ErrorCode::StoreUnavailable, "store-unavailable"},
    {ErrorCode::StoreConflict, "store-conflict"},
    {ErrorCode::StoreUnknownOutcome, "store-unknown-outcome"},
    {ErrorCode::NotFound, "not-found"},
    {ErrorCode::Unauthorized, "unauthorized"},
    {ErrorCode::Timeout, "timeout"},
    {ErrorCode::ConnectionFailed, "connection-failed"},
    {ErrorCode::ProtocolViolation, "protocol-violation"},
    {ErrorCode::LimitExceeded, "limit-exceeded"},
    {ErrorCode::NotLeader, "not-leader"},
    {ErrorCode::Stopping, "stopping"},
});

/// Typed failure. \c field names the invalid setting, manifest path, header or row; \c detail is
/// only meant to be read by people.
struct Error
{
    ErrorCode code = ErrorCode::InvalidValue;
    std::string field;
    std::string detail;
};

/// Value or Error. Errors are loaded where the result is handled, with leaf::try_handle_all or with
/// valueOrElse() below.
template <typename T>
using Result = boost::leaf::result<T>;

inline boost::leaf::error_id makeError(ErrorCode code, std::string field, std::string detail = {})
{
    return boost::leaf::new_error(Error{code, std::move(field), std::move(detail)});
}

/// Calls \a function, which returns Result<T>, and returns its value. On failure, returns the
/// result of \a onError, which gets the Error.
template <typename Function, typename Handler>
auto valueOrElse(Function &&function, Handler &&onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Function>(function), [&](const Error &error) { return onError(error); },
        [&] {
            return onError(Error{ErrorCode::InvalidValue, {}, "unclassified failure"});
        });
}

/// One-line description: code, field and detail.
std::string describe(const Error &error);

} // namespace Peridot
