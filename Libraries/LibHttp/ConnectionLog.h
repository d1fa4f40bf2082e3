#pragma once

#include "ConnectionTable.h"
#include "RefusalService.h"
#include <charconv>
#include <memory>
#include <string>
#include <string_view>

namespace Peridot {

/// RESTinio logger. It logs nothing; it recognises the parser errors that RESTinio reports right
/// before it closes a connection, and leaves the refusal for RefusingSocket to send.
class ConnectionLog
{
public:
    ConnectionLog(std::shared_ptr<ConnectionTable> table,
                  std::function<std::string(InputFault, const std::string &)> format)
        : m_table(std::move(table)), m_format(std::move(format))
    {
    }

    template <typename Builder>
    void trace(Builder &&)
    {
    }

    template <typename Builder>
    void info(Builder &&)
    {
    }

    template <typename Builder>
    void warn(Builder &&)
    {
    }

    template <typename Builder>
    void error(Builder &&builder)
    {
        parserError(builder());
    }

private:
    void parserError(std::string_view message)
    {
        constexpr std::string_view prefix = "[connection:";
        constexpr std::string_view marker = "parser error ";
        closingError = {true, {}};
        const auto position = message.find(marker);
        if (message.substr(0, prefix.size()) != prefix || position == std::string_view::npos)
            return;
        std::uint64_t connection = 0;
        const char *begin = message.data() + prefix.size();
        if (std::from_chars(begin, message.data() + message.size(), connection).ec != std::errc())
            return;
        // A refusal sent now would be taken for the response to the earlier request.
        if (m_table->hasOpenRequest(connection))
            return;
        const std::string_view detail = message.substr(position + marker.size());
        closingError.refusal = m_format(classify(detail), std::string(detail));
    }

    // The callbacks of the parser fail only when a limit of the server is exceeded.
    static InputFault classify(std::string_view detail)
    {
        const std::string_view name = detail.substr(0, detail.find(':'));
        if (name == "HPE_HEADER_OVERFLOW")
            return InputFault::HeaderBlockTooLarge;
        if (name == "HPE_CB_header_field")
            return InputFault::TooManyHeaders;
        if (name == "HPE_CB_header_value")
            return InputFault::HeaderTooLong;
        if (name == "HPE_CB_url")
            return InputFault::TargetTooLong;
        if (name == "HPE_CB_headers_complete" || name == "HPE_CB_body")
            return InputFault::BodyTooLarge;
        return InputFault::MalformedRequest;
    }

    std::shared_ptr<ConnectionTable> m_table;
    std::function<std::string(InputFault, const std::string &)> m_format;
};

} // namespace Peridot
