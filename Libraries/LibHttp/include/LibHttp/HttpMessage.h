#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Peridot {

struct HttpHeader
{
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Compares header names, ignoring ASCII case.
bool equalHeaderNames(std::string_view left, std::string_view right);

/// Value of the first header called \a name, or a null pointer.
const std::string *findHeader(const HttpHeaders &headers, std::string_view name);

/// Number of headers called \a name.
std::size_t countHeaders(const HttpHeaders &headers, std::string_view name);

/// Whether the header describes one connection only and is never passed on (RFC 9110, 7.6.1).
bool isHopByHopHeader(std::string_view name);

struct RequestMessage
{
    std::uint64_t serial = 0; ///< unique in the server that received it
    std::string method;
    std::string target; ///< as received: path and query
    HttpHeaders headers;
    std::string body;
};

struct ResponseMessage
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    bool closeConnection = false;
};

/// Standard reason phrase of a status code, or "Status" for an unregistered one.
std::string_view reasonPhrase(int status);

/// Text of a response with Content-Length and Connection: close.
std::string formatClosingResponse(const ResponseMessage &response);

} // namespace Peridot
