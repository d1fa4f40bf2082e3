#pragma once

#include <json/value.h>
#include <string>

namespace Peridot {

/// Failure of a call. A method of a server throws it; a client gets it from call(). This header is
/// C++14, so it cannot use the types of LibBase.
struct RpcError
{
    std::string code; ///< name of an ErrorCode, or "connection-failed" when no answer came
    std::string field;
    std::string detail;
    Json::Value data; ///< further members, for example the changed paths of a conflict
};

} // namespace Peridot
