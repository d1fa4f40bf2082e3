#include <Kernel/Jobs/HostShares.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace Peridot::Jobs {

namespace {

/// Adds to \a shares what the pools need, as far as there are hosts, by max-min fairness.
void share(std::vector<std::pair<unsigned, std::string>> needs, unsigned &hosts,
           std::map<std::string, unsigned> &shares)
{
    std::sort(needs.begin(), needs.end());
    auto remaining = static_cast<unsigned>(needs.size());
    for (const auto &[need, pool] : needs) {
        const unsigned given = std::min(need, hosts / remaining);
        shares[pool] += given;
        hosts -= given;
        --remaining;
    }
}

} // namespace

std::map<std::string, unsigned> shareHosts(const std::map<std::string, HostNeed> &needs,
                                           unsigned hosts)
{
    std::vector<std::pair<unsigned, std::string>> inTime;
    std::vector<std::pair<unsigned, std::string>> expected;
    std::vector<std::pair<unsigned, std::string>> late;
    for (const auto &[pool, need] : needs) {
        // One host keeps a pool whose jobs are all late from waiting for ever.
        const unsigned first = std::max(need.inTime, std::min(1U, need.total));
        inTime.emplace_back(first, pool);
        const unsigned withExpected = std::max(need.expected, first);
        expected.emplace_back(withExpected - first, pool);
        late.emplace_back(std::max(need.total, withExpected) - withExpected, pool);
    }
    std::map<std::string, unsigned> shares;
    share(std::move(inTime), hosts, shares);
    share(std::move(expected), hosts, shares);
    share(std::move(late), hosts, shares);
    return shares;
}

} // namespace Peridot::Jobs
