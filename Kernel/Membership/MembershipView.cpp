#include <Kernel/Membership/MembershipView.h>

#include "RowFields.h"
#include <algorithm>

namespace Peridot {

namespace {

Json::Value toArray(const std::set<std::string> &names)
{
    Json::Value array(Json::arrayValue);
    for (const auto &name : names)
        array.append(name);
    return array;
}

Result<std::set<std::string>> namesField(const Json::Value &object, const char *field)
{
    std::set<std::string> names;
    if (!object.isObject() || !object[field].isArray())
        return makeError(ErrorCode::InvalidValue, field, "array expected");
    for (const auto &name : object[field]) {
        if (!name.isString())
            return makeError(ErrorCode::InvalidValue, field, "array of strings expected");
        names.insert(name.asString());
    }
    return names;
}

} // namespace

bool isStrictMajority(const std::set<std::string> &whole, const std::set<std::string> &part)
{
    const auto common = std::count_if(whole.begin(), whole.end(),
                                      [&](const auto &name) { return part.count(name) != 0; });
    return static_cast<std::size_t>(common) * 2 > whole.size();
}

bool isStrictMajority(const MembershipView &view, const std::set<std::string> &part)
{
    return isStrictMajority(view.instances, part)
           && (view.settled() || isStrictMajority(view.previous, part));
}

std::string writeMembershipView(const MembershipView &view)
{
    Json::Value value(Json::objectValue);
    value["epoch"] = Json::UInt64(view.epoch);
    value["instances"] = toArray(view.instances);
    value["previous"] = toArray(view.previous);
    return writeJson(value);
}

Result<MembershipView> parseMembershipView(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    MembershipView view;
    BOOST_LEAF_ASSIGN(view.epoch, unsignedField(value, "epoch"));
    BOOST_LEAF_ASSIGN(view.instances, namesField(value, "instances"));
    BOOST_LEAF_ASSIGN(view.previous, namesField(value, "previous"));
    return view;
}

} // namespace Peridot
