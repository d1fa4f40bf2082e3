#pragma once

#include <LibBase/Error.h>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace Peridot {

/// Value of the row `view`: the set of processes a majority of which must agree to decisions. While
/// \c previous is not empty, a change of the view is not settled: decisions need a majority of both
/// sets, and the view is not changed again until a majority of \c previous has acknowledged
/// \c epoch.
struct MembershipView
{
    std::uint64_t epoch = 0;
    std::set<std::string> instances;
    std::set<std::string> previous;

    bool settled() const { return previous.empty(); }
    bool contains(const std::string &instance) const { return instances.count(instance) != 0; }
};

/// Whether \a part contains more than half of \a whole. False for an empty \a whole.
bool isStrictMajority(const std::set<std::string> &whole, const std::set<std::string> &part);
/// Whether \a part contains a strict majority of the view and, while it is not settled, also of the
/// previous one.
bool isStrictMajority(const MembershipView &view, const std::set<std::string> &part);

std::string writeMembershipView(const MembershipView &view);
/// Errors: InvalidJson, InvalidValue.
Result<MembershipView> parseMembershipView(std::string_view text);

} // namespace Peridot
