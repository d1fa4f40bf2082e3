#pragma once

#include <LibBase/EnumTable.h>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Peridot {

enum class LogLevel { Debug, Info, Warning, Error };

constexpr auto logLevelNames = makeEnumTable<LogLevel>({
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
});

/// One key=value pair of a log line.
struct LogField
{
    LogField(std::string_view fieldKey, std::string_view fieldValue);
    LogField(std::string_view fieldKey, const char *fieldValue);
    LogField(std::string_view fieldKey, const std::string &fieldValue);
    LogField(std::string_view fieldKey, std::int64_t fieldValue);
    LogField(std::string_view fieldKey, std::uint64_t fieldValue);
    LogField(std::string_view fieldKey, int fieldValue);
    LogField(std::string_view fieldKey, double fieldValue);
    LogField(std::string_view fieldKey, bool fieldValue);

    std::string_view key;
    std::string value;
};

/// Configures the log of this process, which is written to the standard output, one line for each
/// event.
void configureLog(LogLevel minimumLevel);

/// Whether events of this level are written. The default minimum is Info.
bool isLogged(LogLevel level);

/// Writes one key=value line, starting with event=\a event. Values with spaces, quotes or control
/// characters are quoted and escaped, so that a value can never add a line or a field.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// The line that logEvent() writes, without time and level.
std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields);

} // namespace Peridot
