#include <Kernel/Jobs/SchedulerElection.h>
#include <LibStore/MemoryStore.h>
#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace std::chrono_literals;

namespace {

constexpr double fastHost = 0.5;
constexpr double slowHost = 0.12;

/// Processes of unequal speed that compete for the scheduler lease in one store. All of them are
/// stopped and started one after another while the simulation watches who holds the lease.
class RollingRestart
{
public:
    RollingRestart(Duration storeLatency, LeadershipTransferDefects defects)
        : m_latency(storeLatency), m_defects(defects)
    {
        m_store.advanceTo(m_now);
        m_store.setLatency(storeLatency / 2, storeLatency / 2);
        for (int index = 0; index < 12; ++index) {
            Node &node = m_nodes.emplace_back();
            node.host = "host-" + std::to_string(index);
            node.processors = index % 4 == 1 ? fastHost : slowHost;
            start(node);
        }
    }

    /// Lets the processes elect a leader, and then restarts all of them in turn.
    void run()
    {
        advance(8s);
        REQUIRE(leaders() == 1);
        m_watching = true;
        for (Node &node : m_nodes) {
            node.stopRequestedAt = m_now;
            node.election->beginStop();
            advance(2s);
        }
        advance(3s);
    }

    Duration longestGap{0}; ///< longest time in which no process could schedule
    Duration longestSlowTerm{0}; ///< longest time of a slow leader while a fast process was up
    unsigned concurrentLeaders = 0;

private:
    struct Node
    {
        std::string host;
        double processors = 1;
        unsigned starts = 0;
        std::unique_ptr<SchedulerElection> election; ///< null: the process is down
        std::optional<TimePoint> stopRequestedAt;
        TimePoint startedAt;
        std::optional<TimePoint> preparedAt; ///< when the rows of the jobs will be loaded
        bool standby = false;
        std::optional<TimePoint> schedulesFrom; ///< when its rows are complete; only for the leader
        std::map<std::string, Version> seen; ///< version of each row that was delivered
    };

    void start(Node &node)
    {
        SchedulerElectionSettings settings;
        settings.host = node.host;
        settings.instance = node.host + '-' + std::to_string(++node.starts);
        settings.processors = node.processors;
        settings.defects = m_defects;
        SchedulerElection::Hooks hooks;
        hooks.clock = [this] {
            return m_now;
        };
        hooks.prepare = [this, &node] {
            node.standby = true;
            node.preparedAt = m_now + loadTime();
        };
        hooks.abandon = [&node] {
            node.standby = false;
            node.preparedAt.reset();
        };
        hooks.stepDown = [&node] {
            node.schedulesFrom.reset();
        };
        hooks.leaseChanged = [this, &node] {
            if (!node.election->held() || node.schedulesFrom)
                return;
            const bool loaded = node.standby && !node.preparedAt;
            const Duration claimTime = 2 * m_latency;
            node.schedulesFrom = m_now + claimTime + (loaded ? Duration{0} : loadTime());
        };
        hooks.observe = [](std::string_view, const std::string &) {
        };
        node.stopRequestedAt.reset();
        node.schedulesFrom.reset();
        node.standby = false;
        node.startedAt = m_now;
        node.seen.clear();
        node.election = std::make_unique<SchedulerElection>(settings, m_store, std::move(hooks));
    }

    /// Time in which a process reads the rows of the jobs.
    Duration loadTime() const { return 3 * m_latency + 50ms; }

    void advance(Duration length)
    {
        const TimePoint end = m_now + length;
        while (m_now < end) {
            m_now += stepLength;
            m_store.advanceTo(m_now);
            for (Node &node : m_nodes)
                step(node);
            watch();
            ++m_steps;
        }
    }

    void step(Node &node)
    {
        if (!node.election) {
            if (m_now > *node.stopRequestedAt + 1500ms)
                start(node);
            return;
        }
        deliver(node, std::string(transferKey));
        if (node.standby)
            deliver(node, std::string(schedulerLeaseKey));
        if (node.election->held()) {
            for (const Node &other : m_nodes)
                deliver(node, candidateKey(other.host));
        }
        if (node.preparedAt && m_now >= *node.preparedAt) {
            node.preparedAt.reset();
            node.election->prepared();
        }
        if (m_steps % 10 == 0)
            node.election->tick();
        if ((m_steps + static_cast<unsigned>(node.host.back())) % 100 == 0)
            node.election->observeLease();
        if (node.stopRequestedAt && node.election->released() && !node.election->held())
            node.election.reset();
    }

    /// Delivers the current row, as the change feed does.
    void deliver(Node &node, const std::string &key)
    {
        const Row row = m_store.row(key);
        Version &seen = node.seen[key];
        if (row.version <= seen)
            return;
        seen = row.version;
        if (key == transferKey)
            node.election->transferRowChanged(row);
        else if (key == schedulerLeaseKey)
            node.election->leaseRowChanged(row);
        else
            node.election->candidateRowChanged({row, false});
    }

    unsigned leaders() const
    {
        return static_cast<unsigned>(
            std::count_if(m_nodes.begin(), m_nodes.end(),
                          [](const Node &node) { return node.election && node.election->held(); }));
    }

    void watch()
    {
        if (!m_watching)
            return;
        const unsigned count = leaders();
        concurrentLeaders = std::max(concurrentLeaders, count);
        const bool scheduling = std::any_of(m_nodes.begin(), m_nodes.end(), [&](const Node &node) {
            return node.election && node.election->held() && node.schedulesFrom
                   && m_now >= *node.schedulesFrom;
        });
        m_gap = scheduling ? Duration{0} : m_gap + stepLength;
        longestGap = std::max(longestGap, m_gap);
        const auto isUp = [&](const Node &node, double processors) {
            return node.election && node.processors == processors && !node.stopRequestedAt
                   && m_now > node.startedAt + 500ms;
        };
        const bool fastIsUp = std::any_of(m_nodes.begin(), m_nodes.end(),
                                          [&](const Node &node) { return isUp(node, fastHost); });
        const bool slowLeads = std::any_of(m_nodes.begin(), m_nodes.end(), [&](const Node &node) {
            return node.election && node.election->held() && node.processors == slowHost;
        });
        m_slowTerm = slowLeads && fastIsUp ? m_slowTerm + stepLength : Duration{0};
        longestSlowTerm = std::max(longestSlowTerm, m_slowTerm);
    }

    static constexpr std::chrono::milliseconds stepLength{5};

    Duration m_latency;
    LeadershipTransferDefects m_defects;
    MemoryStore m_store;
    TimePoint m_now{1h};
    std::deque<Node> m_nodes;
    unsigned m_steps = 0;
    bool m_watching = false;
    Duration m_gap{0};
    Duration m_slowTerm{0};
};

} // namespace

TEST_CASE("A planned restart of all hosts in turn leaves no time without a scheduler")
{
    // Guards against a release to nobody: worker leases expired, and long-running tasks stood
    // still, while hosts of unequal speed were restarted one after another.
    LeadershipTransferDefects defects;

    SECTION("the lease passes within 300 ms, and not to a slow host while a fast one is up")
    {
        RollingRestart restart(4ms, defects);
        restart.run();
        CHECK(restart.concurrentLeaders == 1);
        CHECK(restart.longestGap <= Duration(300ms));
        CHECK(restart.longestSlowTerm <= Duration(2s));
    }
    SECTION("with a slow store it passes well within a worker lease of six seconds")
    {
        RollingRestart restart(300ms, defects);
        restart.run();
        CHECK(restart.concurrentLeaders == 1);
        CHECK(restart.longestGap <= Duration(2s));
    }
    SECTION("without a successor the gap is noticed")
    {
        defects.releaseWithoutSuccessor = true;
        RollingRestart restart(300ms, defects);
        restart.run();
        CHECK(restart.longestGap > Duration(2s));
    }
}

TEST_CASE("A scheduler on a slow host passes the lease to a fast host")
{
    // Guards against a slow host that takes the lease while all hosts restart and keeps it.
    const TimePoint now{1h};
    unsigned resignations = 0;
    LeadershipTransfer::Hooks hooks;
    hooks.resign = [&] {
        ++resignations;
    };
    LeadershipTransferDefects defects;
    const auto makeTransfer = [&] {
        return LeadershipTransfer("slow-1", slowHost, {}, hooks, defects);
    };
    const auto commit = [](LeadershipTransfer &transfer, TimePoint time) {
        const auto transaction = transfer.takeTransaction(time);
        REQUIRE(transaction);
        CommitResult result;
        result.status = CommitStatus::Committed;
        result.revision = 7;
        transfer.transactionFinished(time, result);
    };
    const SchedulerCandidate fast{"fast-1", fastHost, now, false};

    SECTION("it keeps the lease until the fast host has loaded the rows")
    {
        auto transfer = makeTransfer();
        transfer.setLeading(now, true);
        transfer.candidateChanged("fast", fast);
        transfer.tick(now + 500ms);
        REQUIRE_FALSE(transfer.takeTransaction(now + 500ms));
        transfer.tick(now + 1s);
        commit(transfer, now + 1s);
        REQUIRE(resignations == 0);
        transfer.transferRowChanged(
            now + 2s, {std::string(transferKey), 8,
                       encodeTransfer({"slow-1", "fast-1", TransferPhase::Prepared})});
        REQUIRE(resignations == 1);
        REQUIRE(transfer.isReservedForOther(now + 2s));
    }
    SECTION("it gives up a successor that does not answer, and asks the next one")
    {
        auto transfer = makeTransfer();
        transfer.setLeading(now, true);
        transfer.candidateChanged("fast", fast);
        transfer.candidateChanged("other",
                                  SchedulerCandidate{"other-1", fastHost, now - 1s, false});
        transfer.tick(now + 1s);
        commit(transfer, now + 1s);
        transfer.tick(now + 4s);
        const auto transaction = transfer.takeTransaction(now + 4s);
        REQUIRE(transaction);
        REQUIRE(parseTransfer(*transaction->writes.front().value).value().to == "other-1");
    }
    SECTION("it does not ask a host that stops, nor one of similar speed")
    {
        auto transfer = makeTransfer();
        transfer.setLeading(now, true);
        transfer.candidateChanged("fast", SchedulerCandidate{"fast-1", fastHost, now, true});
        transfer.candidateChanged("slow", SchedulerCandidate{"slow-2", slowHost, now, false});
        transfer.tick(now + 5s);
        REQUIRE_FALSE(transfer.takeTransaction(now + 5s));
    }
    SECTION("without the rule it keeps the lease")
    {
        defects.keepOnSlowHost = true;
        auto transfer = makeTransfer();
        transfer.setLeading(now, true);
        transfer.candidateChanged("fast", fast);
        transfer.tick(now + 5s);
        REQUIRE_FALSE(transfer.takeTransaction(now + 5s));
    }
}
