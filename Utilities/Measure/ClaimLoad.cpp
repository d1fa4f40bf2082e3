#include "ClaimLoad.h"

#include <algorithm>
#include <cstdio>

namespace Peridot {

namespace {

constexpr std::size_t entryHosts = 7;
constexpr Duration offeredTime = std::chrono::seconds(10);
constexpr Duration drainTime = std::chrono::seconds(5);
constexpr Duration step = std::chrono::milliseconds(1);
constexpr Duration runTime = std::chrono::milliseconds(20); // of the request at its backend server
const TimePoint startTime{std::chrono::seconds(1000)};

double percentile(std::vector<double> &values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

std::string rowValue(const std::string &operation)
{
    return R"({"operation":")" + operation + R"("})";
}

} // namespace

ClaimLoad::ClaimLoad(double requestsPerSecond) : m_rate(requestsPerSecond)
{
    m_store.advanceTo(startTime);
    m_store.setLatency(std::chrono::milliseconds(2), std::chrono::milliseconds(2));
    for (std::size_t index = 0; index < entryHosts; ++index) {
        Host host;
        host.pacer = std::make_unique<StorePacer>(claimPacing({}), index);
        host.pacer->setProcesses(startTime, entryHosts);
        GroupCommitterSettings settings;
        settings.instance = "entry-" + std::to_string(index);
        host.committer = std::make_unique<GroupCommitter>(m_store, *host.pacer, settings);
        m_hosts.push_back(std::move(host));
    }
}

void ClaimLoad::arrive(std::size_t host)
{
    const std::string key = "request/load/" + std::to_string(++m_requests);
    const TimePoint arrival = m_store.now();
    const std::string operation = key + "/claim";
    RowOperation claim{operation, {key, absentVersion}, {key, rowValue(operation)}};
    const bool queued = valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(m_hosts[host].committer->submit(
                arrival, std::move(claim), [this, host, key, arrival](const CommitResult &result) {
                    if (result.status != CommitStatus::Committed) {
                        ++m_refused;
                        return;
                    }
                    m_claimSeconds.push_back(toSeconds(m_store.now() - arrival));
                    m_events.emplace(m_store.now() + runTime,
                                     [this, host, key, version = result.revision] {
                                         writeOutcome(host, key, version);
                                     });
                }));
            return true;
        },
        [](const Error &) { return false; });
    m_refused += queued ? 0 : 1;
}

void ClaimLoad::writeOutcome(std::size_t host, const std::string &key, Version version)
{
    const std::string operation = key + "/outcome";
    RowOperation outcome{operation, {key, version}, {key, rowValue(operation)}};
    valueOrElse(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(m_hosts[host].committer->submit(
                m_store.now(), std::move(outcome), [this](const CommitResult &result) {
                    m_recorded += result.status == CommitStatus::Committed ? 1 : 0;
                }));
            return 0;
        },
        [](const Error &) { return 0; });
}

void ClaimLoad::run()
{
    TimePoint nextArrival = startTime;
    std::size_t host = 0;
    for (TimePoint now = startTime; now < startTime + offeredTime + drainTime; now += step) {
        m_store.advanceTo(now);
        if (now <= startTime + offeredTime)
            m_writes = m_store.calls(StoreCallKind::Commit);
        while (nextArrival <= now && now < startTime + offeredTime) {
            arrive(host = (host + 1) % m_hosts.size());
            nextArrival += Duration(static_cast<std::int64_t>(m_random.exponential(1e9 / m_rate)));
        }
        while (!m_events.empty() && m_events.begin()->first <= now) {
            const auto event = m_events.extract(m_events.begin());
            event.mapped()();
        }
        for (auto &entry : m_hosts)
            entry.committer->tick(now);
    }
    const double writes = static_cast<double>(m_writes) / toSeconds(offeredTime);
    std::printf(
        "measure=store part=claims entry_hosts=%zu writes_limit_per_s=300 "
        "offered_per_s=%.0f claimed_per_s=%.0f refused=%llu recorded_share=%.4f "
        "writes_per_s=%.1f claim_p50_ms=%.1f claim_p99_ms=%.1f\n",
        m_hosts.size(), m_rate, static_cast<double>(m_claimSeconds.size()) / toSeconds(offeredTime),
        static_cast<unsigned long long>(m_refused),
        static_cast<double>(m_recorded)
            / static_cast<double>(std::max<std::size_t>(1, m_claimSeconds.size())),
        writes, percentile(m_claimSeconds, 0.5) * 1e3, percentile(m_claimSeconds, 0.99) * 1e3);
    std::fflush(stdout);
}

} // namespace Peridot
