#pragma once

#include <Kernel/Fleet/Manifest.h>
#include <LibBase/EnumTable.h>
#include <LibBase/Json.h>
#include <optional>
#include <vector>

namespace Peridot {

/// Reads the members of one JSON object into typed fields. After the first failure the remaining
/// calls have no effect; finish() reports it.
class RowReader
{
public:
    explicit RowReader(const Json::Value &object, std::string path = {});

    std::string text(const char *member);
    std::uint64_t number(const char *member);
    /// As number(), for values of 32 bits.
    unsigned count(const char *member);
    double real(const char *member);
    TimePoint time(const char *member);
    Resources resources(const char *member);
    /// Object member, or an empty object when it is missing.
    const Json::Value &object(const char *member);
    /// Array member, or an empty array when it is missing.
    const Json::Value &array(const char *member);
    /// Strings of an array member; none when it is missing.
    std::vector<std::string> texts(const char *member);
    std::string pathOf(const std::string &member) const;
    /// Adopts the failure of a reader of a nested object.
    void include(const RowReader &nested);

    template <typename Table>
    auto enumerator(const char *member, const Table &table)
    {
        const auto value = table.valueOf(text(member));
        if (!value)
            fail(ErrorCode::InvalidValue, member);
        return value.value_or(table.entries[0].first);
    }

    Result<void> finish() const;

private:
    const Json::Value &member(const char *name);
    void fail(ErrorCode code, const std::string &member);

    const Json::Value &m_object;
    std::string m_path;
    std::optional<Error> m_error;
};

Json::Value encodeTime(TimePoint time);
Json::Value encodeResources(const Resources &resources);
Json::Value encodeName(std::string_view name);

} // namespace Peridot
