#include "RowReader.h"

#include <fmt/format.h>
#include <limits>

namespace Peridot {

namespace {

const Json::Value emptyObject(Json::objectValue);
const Json::Value emptyArray(Json::arrayValue);

} // namespace

RowReader::RowReader(const Json::Value &object, std::string path)
    : m_object(object.isObject() ? object : emptyObject), m_path(std::move(path))
{
    if (!object.isObject())
        m_error = Error{ErrorCode::InvalidValue, m_path, "not an object"};
}

std::string RowReader::pathOf(const std::string &member) const
{
    return m_path.empty() ? member : m_path + "/" + member;
}

void RowReader::fail(ErrorCode code, const std::string &member)
{
    if (!m_error)
        m_error = Error{code, pathOf(member), {}};
}

const Json::Value &RowReader::member(const char *name)
{
    if (!m_object.isMember(name))
        fail(ErrorCode::MissingField, name);
    return m_object[name];
}

std::string RowReader::text(const char *name)
{
    const auto &value = member(name);
    if (!value.isString()) {
        fail(ErrorCode::InvalidValue, name);
        return {};
    }
    return value.asString();
}

std::uint64_t RowReader::number(const char *name)
{
    const auto &value = member(name);
    if (!value.isUInt64()) {
        fail(ErrorCode::InvalidValue, name);
        return 0;
    }
    return value.asUInt64();
}

unsigned RowReader::count(const char *name)
{
    const auto value = number(name);
    if (value <= std::numeric_limits<unsigned>::max())
        return static_cast<unsigned>(value);
    fail(ErrorCode::InvalidValue, name);
    return 0;
}

double RowReader::real(const char *name)
{
    const auto &value = member(name);
    if (!value.isNumeric()) {
        fail(ErrorCode::InvalidValue, name);
        return 0;
    }
    return value.asDouble();
}

TimePoint RowReader::time(const char *name)
{
    const auto &value = member(name);
    if (!value.isInt64()) {
        fail(ErrorCode::InvalidValue, name);
        return {};
    }
    return fromUnixMilliseconds(value.asInt64());
}

Resources RowReader::resources(const char *name)
{
    RowReader nested(member(name), pathOf(name));
    Resources result;
    result.processors = nested.real("processors");
    result.memoryGigabytes = nested.real("memory_gb");
    result.accelerators = nested.count("accelerators");
    include(nested);
    return result;
}

const Json::Value &RowReader::object(const char *name)
{
    const auto &value = m_object[name];
    if (value.isNull())
        return emptyObject;
    if (!value.isObject()) {
        fail(ErrorCode::InvalidValue, name);
        return emptyObject;
    }
    return value;
}

const Json::Value &RowReader::array(const char *name)
{
    const auto &value = m_object[name];
    if (value.isNull())
        return emptyArray;
    if (!value.isArray()) {
        fail(ErrorCode::InvalidValue, name);
        return emptyArray;
    }
    return value;
}

std::vector<std::string> RowReader::texts(const char *name)
{
    std::vector<std::string> result;
    for (const auto &value : array(name)) {
        if (!value.isString())
            fail(ErrorCode::InvalidValue, fmt::format("{}/{}", name, result.size()));
        result.push_back(value.isString() ? value.asString() : std::string());
    }
    return result;
}

void RowReader::include(const RowReader &nested)
{
    if (!m_error)
        m_error = nested.m_error;
}

Result<void> RowReader::finish() const
{
    if (m_error)
        return makeError(m_error->code, m_error->field, m_error->detail);
    return {};
}

Json::Value encodeTime(TimePoint time)
{
    return Json::Value::Int64(toUnixMilliseconds(time));
}

Json::Value encodeResources(const Resources &resources)
{
    Json::Value value(Json::objectValue);
    value["processors"] = resources.processors;
    value["memory_gb"] = resources.memoryGigabytes;
    value["accelerators"] = resources.accelerators;
    return value;
}

Json::Value encodeName(std::string_view name)
{
    return {name.data(), name.data() + name.size()};
}

} // namespace Peridot
