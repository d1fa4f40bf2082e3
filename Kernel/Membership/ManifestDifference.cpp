#include <Kernel/Membership/ManifestDifference.h>

#include <LibBase/Json.h>
#include <map>
#include <set>

namespace Peridot {

namespace {

Json::Value parseOrNull(std::string_view text)
{
    return valueOrElse([&] { return parseJson(text, true); },
                       [](const Error &) { return Json::Value(); });
}

/// Elements by path: named array elements one by one, any other top-level value as a whole.
std::map<std::string, Json::Value> elementsByPath(const Json::Value &manifest)
{
    std::map<std::string, Json::Value> elements;
    if (!manifest.isObject())
        return elements;
    for (const auto &section : manifest.getMemberNames()) {
        const Json::Value &value = manifest[section];
        if (!value.isArray()) {
            elements[section] = value;
            continue;
        }
        for (const auto &element : value) {
            const bool named = element.isObject() && element["name"].isString();
            elements[named ? section + '/' + element["name"].asString() : section].append(element);
        }
    }
    return elements;
}

} // namespace

std::vector<std::string> changedPaths(std::string_view before, std::string_view after)
{
    const auto old = elementsByPath(parseOrNull(before));
    const auto fresh = elementsByPath(parseOrNull(after));
    std::set<std::string> changed;
    for (const auto &[path, value] : old) {
        const auto found = fresh.find(path);
        if (found == fresh.end() || found->second != value)
            changed.insert(path);
    }
    for (const auto &[path, value] : fresh) {
        if (old.count(path) == 0)
            changed.insert(path);
    }
    return {changed.begin(), changed.end()};
}

} // namespace Peridot
