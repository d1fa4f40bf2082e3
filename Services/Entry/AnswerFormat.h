#pragma once

#include <Kernel/Request/RequestTypes.h>
#include <LibHttp/BackendClient.h>
#include <LibHttp/HttpMessage.h>
#include <memory>

namespace Peridot {

/// Bodies up to this size are recorded for repeats of a non-idempotent request.
constexpr std::size_t recordedBodyLimit = 16UL * 1024; ///< bytes

/// The answer as the kernel records it. Without \a withBody only the status is filled, which saves
/// idempotent requests a copy and a hash.
std::shared_ptr<const RecordedAnswer> recordAnswer(const BackendAnswer &answer, bool withBody);

/// Passes on the answer of a backend server. Peridot-* headers of the server are dropped.
ResponseMessage formatAnswer(BackendAnswer answer);

/// Answer to a repeat. When the body was not recorded, the response has its digest instead.
ResponseMessage formatRecorded(const RecordedAnswer &answer);

} // namespace Peridot
