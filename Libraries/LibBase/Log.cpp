#include <LibBase/Log.h>

#include <atomic>
#include <cstdio>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace Peridot {

namespace {

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte <= ' ' || byte == '"' || byte == '=' || byte == '\\' || byte == 0x7f)
            return true;
    }
    return false;
}

void appendEscaped(std::string &line, std::string_view value)
{
    line += '"';
    for (const char character : value) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (byte < ' ' || byte == 0x7f) {
            char buffer[5];
            std::snprintf(buffer, sizeof buffer, "\\x%02x", byte);
            line += buffer;
        } else {
            line += character;
        }
    }
    line += '"';
}

void appendField(std::string &line, std::string_view key, std::string_view value)
{
    if (!line.empty())
        line += ' ';
    line += key;
    line += '=';
    if (needsQuotes(value))
        appendEscaped(line, value);
    else
        line += value;
}

std::string formatReal(double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.6g", value);
    return buffer;
}

// The library's hierarchical mode orders its levels by the number of their bit, which would drop
// warnings and errors at level Info; the minimum is therefore kept here.
std::atomic<LogLevel> minimumLogLevel{LogLevel::Info};

} // namespace

LogField::LogField(std::string_view fieldKey, std::string_view fieldValue)
    : key(fieldKey), value(fieldValue)
{
}

LogField::LogField(std::string_view fieldKey, const char *fieldValue)
    : key(fieldKey), value(fieldValue)
{
}

LogField::LogField(std::string_view fieldKey, const std::string &fieldValue)
    : key(fieldKey), value(fieldValue)
{
}

LogField::LogField(std::string_view fieldKey, std::int64_t fieldValue)
    : key(fieldKey), value(std::to_string(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, std::uint64_t fieldValue)
    : key(fieldKey), value(std::to_string(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, int fieldValue)
    : key(fieldKey), value(std::to_string(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, double fieldValue)
    : key(fieldKey), value(formatReal(fieldValue))
{
}

LogField::LogField(std::string_view fieldKey, bool fieldValue)
    : key(fieldKey), value(fieldValue ? "true" : "false")
{
}

void configureLog(LogLevel minimumLevel)
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format,
                              "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    el::Loggers::addFlag(el::LoggingFlag::ImmediateFlush);
    el::Loggers::reconfigureLogger("default", configuration);
    minimumLogLevel.store(minimumLevel, std::memory_order_relaxed);
}

std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line;
    appendField(line, "event", event);
    for (const auto &field : fields)
        appendField(line, field.key, field.value);
    return line;
}

bool isLogged(LogLevel level)
{
    return level >= minimumLogLevel.load(std::memory_order_relaxed);
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (!isLogged(level))
        return;
    const std::string line = formatLogLine(event, fields);
    switch (level) {
    case LogLevel::Debug:
        LOG(DEBUG) << line;
        break;
    case LogLevel::Info:
        LOG(INFO) << line;
        break;
    case LogLevel::Warning:
        LOG(WARNING) << line;
        break;
    case LogLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace Peridot
