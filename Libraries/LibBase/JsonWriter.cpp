#include <LibBase/JsonWriter.h>

#include <array>
#include <charconv>

namespace Peridot {

namespace {

constexpr unsigned char firstPrintable = 0x20;
constexpr std::size_t longestNumber = 20; // of 64 bits, with its sign

bool needsEscape(char character)
{
    return static_cast<unsigned char>(character) < firstPrintable || character == '"'
           || character == '\\';
}

void appendEscaped(std::string &text, char character)
{
    constexpr std::string_view shortEscapes = "\"\"\\\\\bb\ff\nn\rr\tt";
    constexpr std::string_view digits = "0123456789abcdef";
    for (std::size_t index = 0; index < shortEscapes.size(); index += 2) {
        if (character == shortEscapes[index]) {
            text += '\\';
            text += shortEscapes[index + 1];
            return;
        }
    }
    const auto code = static_cast<unsigned char>(character);
    text += "\\u00";
    text += digits[code >> 4U];
    text += digits[code & 0xfU];
}

template <typename Number>
void appendNumber(std::string &text, Number number)
{
    std::array<char, longestNumber> buffer{};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    text.append(buffer.data(), result.ptr);
}

} // namespace

JsonWriter &JsonWriter::name(std::string_view name)
{
    separate();
    m_text += '"';
    m_text += name;
    m_text += "\":";
    m_needsComma = false;
    return *this;
}

JsonWriter &JsonWriter::value(std::string_view text)
{
    separate();
    m_text += '"';
    std::size_t begin = 0;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (!needsEscape(text[index]))
            continue;
        m_text += text.substr(begin, index - begin);
        appendEscaped(m_text, text[index]);
        begin = index + 1;
    }
    m_text += text.substr(begin);
    m_text += '"';
    return *this;
}

JsonWriter &JsonWriter::value(std::int64_t number)
{
    separate();
    appendNumber(m_text, number);
    return *this;
}

JsonWriter &JsonWriter::value(std::uint64_t number)
{
    separate();
    appendNumber(m_text, number);
    return *this;
}

JsonWriter &JsonWriter::value(bool truth)
{
    separate();
    m_text += truth ? "true" : "false";
    return *this;
}

JsonWriter &JsonWriter::begin(char bracket)
{
    separate();
    m_text += bracket;
    m_needsComma = false;
    return *this;
}

JsonWriter &JsonWriter::end(char bracket)
{
    m_text += bracket;
    m_needsComma = true;
    return *this;
}

void JsonWriter::separate()
{
    if (m_needsComma)
        m_text += ',';
    m_needsComma = true;
}

} // namespace Peridot
