#pragma once

#include <LibBase/Error.h>
#include <LibStore/Transaction.h>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Peridot {

/// Parameters of a scan of the table service.
struct ScanRequest
{
    std::string prefix;
    std::string startAfter;
    std::size_t limit = 0;
};

/// JSON bodies of the table service protocol. Decoding errors: InvalidJson, or ProtocolViolation
/// with the name of the invalid member in the field.
std::string encodeTransaction(const Transaction &transaction);
Result<Transaction> decodeTransaction(std::string_view text);

std::string encodeCommitResult(const CommitResult &result);
Result<CommitResult> decodeCommitResult(std::string_view text);

std::string encodeReadRequest(const std::vector<std::string> &keys);
Result<std::vector<std::string>> decodeReadRequest(std::string_view text);

std::string encodeScanRequest(const ScanRequest &request);
Result<ScanRequest> decodeScanRequest(std::string_view text);

std::string encodeReadResult(const ReadResult &result);
Result<ReadResult> decodeReadResult(std::string_view text);

} // namespace Peridot
