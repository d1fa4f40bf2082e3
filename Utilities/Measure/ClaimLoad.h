#pragma once

#include <LibBase/Random.h>
#include <LibStore/GroupCommitter.h>
#include <LibStore/MemoryStore.h>
#include <LibStore/StorePacer.h>
#include <memory>
#include <vector>

namespace Peridot {

/// Non-idempotent requests at a fixed rate over 7 entry hosts that share 300 writes a second: each
/// request writes a claim row, runs, and writes its outcome, both through a GroupCommitter. Virtual
/// time. Prints one line.
class ClaimLoad
{
public:
    explicit ClaimLoad(double requestsPerSecond);
    void run();

private:
    struct Host
    {
        std::unique_ptr<StorePacer> pacer;
        std::unique_ptr<GroupCommitter> committer;
    };

    void arrive(std::size_t host);
    void writeOutcome(std::size_t host, const std::string &key, Version version);

    double m_rate;
    RandomSource m_random{20261204};
    MemoryStore m_store;
    std::vector<Host> m_hosts;
    std::vector<double> m_claimSeconds;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::uint64_t m_requests = 0;
    std::uint64_t m_writes = 0; ///< while requests were offered
    std::uint64_t m_refused = 0;
    std::uint64_t m_recorded = 0;
};

} // namespace Peridot
