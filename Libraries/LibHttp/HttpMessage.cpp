#include <LibHttp/HttpMessage.h>

#include <algorithm>
#include <array>
#include <http_parser.h>

namespace Peridot {

namespace {

char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character + ('a' - 'A'))
                                                : character;
}

constexpr std::array<std::string_view, 10> hopByHopHeaders = {"connection",
                                                              "keep-alive",
                                                              "proxy-connection",
                                                              "proxy-authenticate",
                                                              "proxy-authorization",
                                                              "te",
                                                              "trailer",
                                                              "transfer-encoding",
                                                              "upgrade",
                                                              "expect"};

} // namespace

bool equalHeaderNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && std::equal(left.begin(), left.end(), right.begin(),
                         [](char a, char b) { return lowerCase(a) == lowerCase(b); });
}

const std::string *findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (equalHeaderNames(header.name, name))
            return &header.value;
    }
    return nullptr;
}

std::size_t countHeaders(const HttpHeaders &headers, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(), [&](const HttpHeader &header) {
            return equalHeaderNames(header.name, name);
        }));
}

bool isHopByHopHeader(std::string_view name)
{
    return std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(),
                       [&](std::string_view known) { return equalHeaderNames(known, name); });
}

std::string_view reasonPhrase(int status)
{
    switch (status) {
#define PERIDOT_STATUS_CASE(number, name, phrase)                                                  \
    case number:                                                                                   \
        return #phrase;
        HTTP_STATUS_MAP(PERIDOT_STATUS_CASE)
#undef PERIDOT_STATUS_CASE
    default:
        return "Status";
    }
}

std::string formatClosingResponse(const ResponseMessage &response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ';
    text += reasonPhrase(response.status);
    text += "\r\n";
    for (const auto &header : response.headers)
        text += header.name + ": " + header.value + "\r\n";
    text += "Content-Length: " + std::to_string(response.body.size())
            + "\r\nConnection: close\r\n\r\n" + response.body;
    return text;
}

} // namespace Peridot
