#include <LibBase/Log.h>

#include <LibBase/LogQueue.h>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <ctime>
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

// POSIX writes at most this much to a pipe as a whole, at least on Linux.
constexpr std::size_t mostBytesPerWrite = 4096;

std::string currentTime()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count()
          % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char date[32];
    const std::size_t length = std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
    char fraction[8];
    std::snprintf(fraction, sizeof fraction, ".%03dZ", static_cast<int>(milliseconds));
    return std::string(date, length) + fraction;
}

std::string completeLine(LogLevel level, const std::string &line)
{
    return "time=" + currentTime() + " level=" + std::string(logLevelNames.nameOf(level)) + ' '
           + line;
}

void writeLines(const std::vector<std::string> &lines)
{
    // The library writes each of its messages with a system call, so that lines are joined. Level
    // and time are in the lines.
    std::string text;
    for (const auto &line : lines) {
        if (!text.empty() && text.size() + line.size() >= mostBytesPerWrite) {
            LOG(INFO) << text;
            text.clear();
        }
        if (!text.empty())
            text += '\n';
        text += line;
    }
    if (!text.empty())
        LOG(INFO) << text;
}

std::string droppedLine(std::string_view kind, std::uint64_t count)
{
    return completeLine(LogLevel::Warning,
                        formatLogLine("log-lines-dropped", {{"kind", kind}, {"count", count}}));
}

TimePoint steadyNow()
{
    return TimePoint(std::chrono::steady_clock::now().time_since_epoch());
}

LogQueue &logQueue()
{
    static LogQueue queue({}, writeLines, steadyNow, droppedLine);
    return queue;
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
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
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
    // A line over the limit of its kind is not even formatted.
    if (logQueue().admit(event))
        logQueue().add(completeLine(level, formatLogLine(event, fields)));
}

} // namespace Peridot
