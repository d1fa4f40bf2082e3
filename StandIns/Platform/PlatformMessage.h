#pragma once

#include <LibBase/Time.h>
#include <string>

namespace Peridot {

/// HTTP request as the platform sees it.
struct PlatformRequest
{
    std::string method;
    std::string path; ///< percent-decoded, without a query
    std::string body;
    std::string instance; ///< Peridot-Instance header; empty when absent
};

struct PlatformAnswer
{
    int status = 200;
    std::string body;
    bool drop = false; ///< the connection closes in the middle of the answer
    Duration retryAfter{0}; ///< sent when positive
};

} // namespace Peridot
