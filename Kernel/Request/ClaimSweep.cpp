#include <Kernel/Request/ClaimSweep.h>

#include <Kernel/Request/RequestIdentifier.h>

namespace Peridot {

namespace {

bool isExpired(const Row &row, TimePoint now)
{
    const auto time = requestIdTime(std::string_view(row.key).substr(row.key.rfind('/') + 1));
    return time && now - *time > claimDeletionAge;
}

// Key that sorts after all ids of the service, because ids consist of hexadecimal digits and
// hyphens.
std::string endOfService(const std::string &key)
{
    return key.substr(0, key.rfind('/') + 1) + '~';
}

} // namespace

ClaimSweepStep planClaimSweep(const std::vector<Row> &page, bool more, TimePoint now)
{
    ClaimSweepStep step;
    Transaction deletion;
    for (const Row &row : page) {
        if (!isExpired(row, now)) {
            step.startAfter = endOfService(row.key);
            break;
        }
        deletion.checks.push_back({row.key, row.version});
        deletion.writes.push_back({row.key, std::nullopt});
        if (more)
            step.startAfter = row.key;
    }
    if (!deletion.writes.empty()) {
        deletion.operationId = "claim-sweep/" + deletion.writes.front().key;
        step.deletion = std::move(deletion);
    }
    return step;
}

} // namespace Peridot
