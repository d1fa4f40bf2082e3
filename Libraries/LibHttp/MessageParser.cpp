#include <LibHttp/MessageParser.h>

namespace Peridot {

MessageParser::MessageParser(Kind kind, std::size_t bodyLimit)
    : m_kind(kind), m_bodyLimit(bodyLimit)
{
    reset();
}

MessageParser &MessageParser::self(http_parser *parser)
{
    return *static_cast<MessageParser *>(parser->data);
}

http_parser_settings MessageParser::makeCallbacks()
{
    http_parser_settings callbacks;
    http_parser_settings_init(&callbacks);
    callbacks.on_url = [](http_parser *parser, const char *data, std::size_t size) {
        self(parser).target.append(data, size);
        return 0;
    };
    callbacks.on_header_field = [](http_parser *parser, const char *data, std::size_t size) {
        auto &message = self(parser);
        if (message.m_lastWasValue)
            message.headers.emplace_back();
        message.m_lastWasValue = false;
        message.headers.back().name.append(data, size);
        return 0;
    };
    callbacks.on_header_value = [](http_parser *parser, const char *data, std::size_t size) {
        auto &message = self(parser);
        message.m_lastWasValue = true;
        message.headers.back().value.append(data, size);
        return 0;
    };
    callbacks.on_headers_complete = [](http_parser *parser) {
        auto &message = self(parser);
        message.m_delimited = findHeader(message.headers, "Content-Length") != nullptr
                              || findHeader(message.headers, "Transfer-Encoding") != nullptr;
        return message.m_answersHead ? 1 : 0;
    };
    callbacks.on_body = [](http_parser *parser, const char *data, std::size_t size) {
        auto &message = self(parser);
        if (message.body.size() + size > message.m_bodyLimit)
            return 1;
        message.body.append(data, size);
        return 0;
    };
    callbacks.on_message_complete = [](http_parser *parser) {
        auto &message = self(parser);
        message.m_complete = true;
        message.m_keepAlive = http_should_keep_alive(parser) != 0;
        http_parser_pause(parser, 1);
        return 0;
    };
    return callbacks;
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    static const http_parser_settings callbacks = makeCallbacks();
    if (m_complete || m_failed || bytes.empty())
        return 0;
    m_started = true;
    const std::size_t used = http_parser_execute(&m_parser, &callbacks, bytes.data(), bytes.size());
    const auto code = HTTP_PARSER_ERRNO(&m_parser);
    if (code != HPE_OK && code != HPE_PAUSED)
        m_failed = true;
    return used;
}

void MessageParser::feedEnd()
{
    static const http_parser_settings callbacks = makeCallbacks();
    if (m_complete || m_failed)
        return;
    http_parser_execute(&m_parser, &callbacks, nullptr, 0);
    if (!m_complete)
        m_failed = true;
}

void MessageParser::reset(bool answersHead)
{
    http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    m_answersHead = answersHead;
    m_complete = m_failed = m_started = m_keepAlive = m_delimited = false;
    m_lastWasValue = true;
    target.clear();
    headers.clear();
    body.clear();
}

std::string MessageParser::method() const
{
    return http_method_str(static_cast<http_method>(m_parser.method));
}

} // namespace Peridot
