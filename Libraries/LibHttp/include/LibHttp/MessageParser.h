#pragma once

#include <LibHttp/HttpMessage.h>
#include <cstddef>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace Peridot {

/// Incremental HTTP/1.1 parser for simple servers and clients, based on http_parser.
class MessageParser
{
public:
    enum class Kind { Request, Response };

    explicit MessageParser(Kind kind, std::size_t bodyLimit = 16UL * 1024 * 1024);
    MessageParser(const MessageParser &) = delete;
    MessageParser &operator=(const MessageParser &) = delete;

    /// Parses up to the end of one message and returns the number of bytes used. After the end of
    /// a message nothing is consumed until reset().
    std::size_t feed(std::string_view bytes);
    /// Reports to the parser that the peer closed the connection.
    void feedEnd();
    /// Prepares for the next message. \a answersHead is set for the response to a HEAD request,
    /// which has no body.
    void reset(bool answersHead = false);

    bool complete() const { return m_complete; }
    bool failed() const { return m_failed; }
    /// Whether any byte of the current message was seen.
    bool started() const { return m_started; }
    bool keepAlive() const { return m_keepAlive; }
    /// Whether the message states its length: Content-Length or chunked.
    bool delimited() const { return m_delimited; }

    std::string method() const;
    int status() const { return static_cast<int>(m_parser.status_code); }

    std::string target;
    HttpHeaders headers;
    std::string body;

private:
    static MessageParser &self(http_parser *parser);
    static http_parser_settings makeCallbacks();

    Kind m_kind;
    std::size_t m_bodyLimit;
    http_parser m_parser{};
    bool m_answersHead = false;
    bool m_complete = false;
    bool m_failed = false;
    bool m_started = false;
    bool m_keepAlive = false;
    bool m_delimited = false;
    bool m_lastWasValue = true;
};

} // namespace Peridot
