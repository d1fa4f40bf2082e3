#pragma once

#include <Kernel/Request/RequestTypes.h>
#include <LibHttp/BackendClient.h>
#include <LibHttp/HttpMessage.h>
#include <memory>

namespace Peridot {

/// Bodies up to this size are recorded for repeats of a non-idempotent request.
constexpr std::size_t recordedBodyLimit = 16UL * 1024; ///< bytes

/// Converts an answer for the claim ledger. Without \a withBody only the status is set, which
/// avoids a copy and a hash for idempotent requests.
std::shared_ptr<const RecordedAnswer> recordAnswer(const BackendAnswer &answer, bool withBody);

/// Formats the answer of a backend server for the caller, without the server's Peridot-* headers.
ResponseMessage formatAnswer(BackendAnswer answer);

/// Formats a recorded answer for a repeat of the request. When the body was not recorded, the
/// response contains its digest instead.
ResponseMessage formatRecorded(const RecordedAnswer &answer);

} // namespace Peridot
