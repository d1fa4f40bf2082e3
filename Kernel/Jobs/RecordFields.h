#pragma once

#include <LibBase/Time.h>
#include <cstdint>
#include <cstdlib>
#include <json/value.h>
#include <optional>
#include <string>
#include <vector>

namespace Peridot::Jobs {

inline Json::Value toJson(Duration duration)
{
    return Json::Value(static_cast<Json::Int64>(
        std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
}

inline Json::Value toJson(TimePoint time)
{
    return Json::Value(static_cast<Json::Int64>(toUnixMilliseconds(time)));
}

// The largest time whose nanoseconds fit into 64 bits, with room for sums.
constexpr std::int64_t maximumRecordMilliseconds = 4'000'000'000'000;

inline bool isRepresentable(std::int64_t milliseconds)
{
    return std::abs(milliseconds) <= maximumRecordMilliseconds;
}

/// Encodes the members of a record as a JSON object. Members that have their default
/// value, such as false or 0, are left out.
class RecordWriter
{
public:
    void member(const char *name, const std::string &value)
    {
        if (!value.empty())
            m_object[name] = value;
    }
    void member(const char *name, bool value)
    {
        if (value)
            m_object[name] = true;
    }
    void member(const char *name, unsigned value)
    {
        if (value != 0)
            m_object[name] = value;
    }
    void member(const char *name, std::int64_t value)
    {
        if (value != 0)
            m_object[name] = static_cast<Json::Int64>(value);
    }
    void member(const char *name, std::uint64_t value)
    {
        if (value != 0)
            m_object[name] = static_cast<Json::UInt64>(value);
    }
    void member(const char *name, Duration value)
    {
        if (value != Duration{0})
            m_object[name] = toJson(value);
    }
    void member(const char *name, TimePoint value)
    {
        if (value != TimePoint{})
            m_object[name] = toJson(value);
    }
    void member(const char *name, const std::optional<unsigned> &value)
    {
        if (value)
            m_object[name] = *value;
    }
    void member(const char *name, const std::vector<unsigned> &values)
    {
        for (const unsigned value : values)
            m_object[name].append(value);
    }
    void member(const char *name, const std::vector<std::uint64_t> &values)
    {
        for (const std::uint64_t value : values)
            m_object[name].append(static_cast<Json::UInt64>(value));
    }
    Json::Value take() { return std::move(m_object); }

private:
    Json::Value m_object{Json::objectValue};
};

/// Decodes a JSON object that RecordWriter encoded. A missing member keeps its default value; a
/// member of another type makes the record invalid.
class RecordReader
{
public:
    explicit RecordReader(const Json::Value &object) : m_object(object) { }

    void member(const char *name, std::string &value)
    {
        if (const auto *found = find(name, Json::stringValue))
            value = found->asString();
    }
    void member(const char *name, bool &value)
    {
        if (const auto *found = find(name, Json::booleanValue))
            value = found->asBool();
    }
    void member(const char *name, unsigned &value)
    {
        if (const auto *found = findIntegral(name, &Json::Value::isUInt))
            value = found->asUInt();
    }
    void member(const char *name, std::int64_t &value)
    {
        if (const auto *found = findIntegral(name, &Json::Value::isInt64))
            value = found->asInt64();
    }
    void member(const char *name, std::uint64_t &value)
    {
        if (const auto *found = findIntegral(name, &Json::Value::isUInt64))
            value = found->asUInt64();
    }
    void member(const char *name, Duration &value)
    {
        std::int64_t milliseconds = 0;
        if (findMilliseconds(name, milliseconds))
            value = std::chrono::milliseconds(milliseconds);
    }
    void member(const char *name, TimePoint &value)
    {
        std::int64_t milliseconds = 0;
        if (findMilliseconds(name, milliseconds))
            value = fromUnixMilliseconds(milliseconds);
    }
    void member(const char *name, std::optional<unsigned> &value)
    {
        if (const auto *found = findIntegral(name, &Json::Value::isUInt))
            value = found->asUInt();
    }
    void member(const char *name, std::vector<unsigned> &values)
    {
        const auto *found = find(name, Json::arrayValue);
        if (found == nullptr)
            return;
        for (const auto &entry : *found) {
            if (!entry.isUInt())
                return fail(name);
            values.push_back(entry.asUInt());
        }
    }
    void member(const char *name, std::vector<std::uint64_t> &values)
    {
        const auto *found = find(name, Json::arrayValue);
        if (found == nullptr)
            return;
        for (const auto &entry : *found) {
            if (!entry.isUInt64())
                return fail(name);
            values.push_back(entry.asUInt64());
        }
    }
    void fail(const char *name)
    {
        if (m_invalid.empty())
            m_invalid = name;
    }
    /// Name of the first invalid member; empty when all are valid.
    const std::string &invalid() const { return m_invalid; }

private:
    const Json::Value *find(const char *name, Json::ValueType type)
    {
        const Json::Value *value = &m_object[name];
        if (value->isNull())
            return nullptr;
        if (value->type() != type) {
            fail(name);
            return nullptr;
        }
        return value;
    }
    bool findMilliseconds(const char *name, std::int64_t &milliseconds)
    {
        const auto *found = findIntegral(name, &Json::Value::isInt64);
        if (found == nullptr)
            return false;
        milliseconds = found->asInt64();
        if (!isRepresentable(milliseconds))
            fail(name);
        return isRepresentable(milliseconds);
    }
    const Json::Value *findIntegral(const char *name, bool (Json::Value::*accepts)() const)
    {
        const Json::Value *value = &m_object[name];
        if (value->isNull())
            return nullptr;
        if (!(value->*accepts)()) {
            fail(name);
            return nullptr;
        }
        return value;
    }

    const Json::Value &m_object;
    std::string m_invalid;
};

} // namespace Peridot::Jobs
