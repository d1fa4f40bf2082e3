#pragma once

#include <LibBase/Error.h>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace Peridot {

/// Value of the row `view`: the processes that majorities are counted over. While \c previous is
/// not empty the change is not settled: decisions need a majority of both sets, and no further
/// change is made until a majority of \c previous has acknowledged \c epoch.
struct MembershipView
{
    std::uint64_t epoch = 0;
    std::set<std::string> instances;
    std::set<std::string> previous;

    bool settled() const { return previous.empty(); }
    bool contains(const std::string &instance) const { return instances.count(instance) != 0; }
};

/// Whether \a part holds more than half of \a whole. False for an empty \a whole.
bool isStrictMajority(const std::set<std::string> &whole, const std::set<std::string> &part);
/// Whether \a part holds a strict majority of the view and, while it is not settled, also of the
/// previous one.
bool isStrictMajority(const MembershipView &view, const std::set<std::string> &part);

std::string writeMembershipView(const MembershipView &view);
/// Errors: InvalidJson, InvalidValue.
Result<MembershipView> parseMembershipView(std::string_view text);

} // namespace Peridot
