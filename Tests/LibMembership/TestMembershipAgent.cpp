#include <LibMembership/MembershipAgent.h>
#include <LibStore/RowTable.h>
#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

/// Store that answers on the thread of the caller. Several agents share it.
class SharedTable : public Store
{
public:
    void commit(const Transaction &transaction, CommitCallback callback) override
    {
        std::unique_lock lock(m_mutex);
        const CommitResult result = m_down ? CommitResult{} : m_table.apply(transaction);
        lock.unlock();
        callback(result);
    }
    void read(const std::vector<std::string> &keys, ReadCallback callback) override
    {
        std::unique_lock lock(m_mutex);
        const ReadResult result = m_down ? ReadResult{} : m_table.read(keys);
        lock.unlock();
        callback(result);
    }
    void scan(const std::string &prefix, const std::string &startAfter, std::size_t limit,
              ReadCallback callback) override
    {
        std::unique_lock lock(m_mutex);
        const ReadResult result = m_down ? ReadResult{} : m_table.scan(prefix, startAfter, limit);
        lock.unlock();
        callback(result);
    }
    Row row(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        return m_table.row(key);
    }
    void setDown(bool down)
    {
        const std::lock_guard lock(m_mutex);
        m_down = down;
    }

private:
    std::mutex m_mutex;
    RowTable m_table;
    bool m_down = false;
};

struct Process
{
    Process(SharedTable &table, const std::string &instance, MemberRole role,
            std::vector<std::string> peers = {})
    {
        MembershipAgentSettings settings;
        settings.node.self = {instance, role, {}, "127.0.0.1:1", "dc"};
        settings.node.peers = std::move(peers);
        settings.peer = {"127.0.0.1:0", "key", 60000};
        settings.clock = [this] {
            return processNow() + Duration(skipped.load());
        };
        MembershipHooks hooks;
        hooks.onConfiguration = [this](std::uint64_t number, const std::string &) {
            version = number;
        };
        hooks.onMembersChanged = [this](const EntryMembers &changed) {
            members = changed.instances.size();
        };
        hooks.onLease = [this](TimePoint end) {
            leased = end != TimePoint{};
        };
        hooks.onPeerMessage = [this](const std::string &, const std::string &) {
            ++messages;
        };
        agent = std::make_unique<MembershipAgent>(settings, table, hooks);
        agent->start().value();
    }

    std::atomic<std::uint64_t> version{0};
    std::atomic<std::size_t> members{0};
    std::atomic<bool> leased{false};
    std::atomic<int> messages{0};
    std::atomic<std::int64_t> skipped{0}; ///< nanoseconds by which the clock is ahead
    std::unique_ptr<MembershipAgent> agent;
};

template <typename Condition>
bool eventually(Condition condition)
{
    for (int attempt = 0; attempt < 1500; ++attempt) {
        if (condition())
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

} // namespace

TEST_CASE("Processes over one table adopt a configuration, exchange messages and leave")
{
    SharedTable table;
    Process fleet(table, "fleet-1", MemberRole::Fleet);
    Process first(table, "entry-1", MemberRole::Entry);
    Process second(table, "entry-2", MemberRole::Entry);
    REQUIRE(first.agent->servingState() == ServingState::NoConfiguration);
    REQUIRE(eventually([&] { return first.members == 2 && second.members == 2; }));
    // The proposer refuses until it holds the lease, so the call is repeated like an operator does.
    REQUIRE(eventually([&] {
        fleet.agent->post([](MembershipNode &node, TimePoint) {
            if (node.configuration().head().version == 0)
                node.propose({1, "operator", "{}", 0});
        });
        return first.version == 1 && second.version == 1;
    }));
    REQUIRE(eventually([&] { return first.leased && first.agent->mayServe(); }));
    REQUIRE(eventually([&] { return second.agent->servingState() == ServingState::Full; }));

    SECTION("a slot message reaches the named process")
    {
        REQUIRE(eventually([&] {
            first.agent->sendPeerMessage("entry-2", "slots");
            return second.messages > 0;
        }));
        REQUIRE(first.messages == 0);
    }
    SECTION("a stop removes the member row and releases the lease")
    {
        REQUIRE(second.agent->stop());
        REQUIRE_FALSE(second.agent->mayServe());
        REQUIRE(table.row("member/entry-2").version == absentVersion);
        REQUIRE(eventually([&] { return first.members == 1; }));
        REQUIRE(fleet.agent->stop());
        REQUIRE(parseLeaseRow(table.row("lease/configuration").value).value().holder.empty());
    }
    SECTION("a process that starts while the store is down learns the version from its peers")
    {
        std::string address;
        std::atomic<bool> known{false};
        first.agent->post([&](MembershipNode &node, TimePoint) {
            address = node.members().describe("entry-2")->peerAddress;
            known = true;
        });
        REQUIRE(eventually([&] { return known.load(); }));
        table.setDown(true);
        Process late(table, "entry-3", MemberRole::Entry, {address});
        REQUIRE(eventually([&] { return late.version == 1; }));
        // One peer of three is no majority.
        REQUIRE_FALSE(late.agent->mayServe());
    }
}

TEST_CASE("A process that was frozen past its evidence sees that before it acts")
{
    SharedTable table;
    Process fleet(table, "fleet-1", MemberRole::Fleet);
    std::vector<std::unique_ptr<Process>> entries;
    for (const char *name : {"entry-1", "entry-2", "entry-3", "entry-4"})
        entries.push_back(std::make_unique<Process>(table, name, MemberRole::Entry));
    REQUIRE(eventually([&] { return entries[0]->members == 4; }));
    REQUIRE(eventually([&] {
        fleet.agent->post([](MembershipNode &node, TimePoint) {
            if (node.configuration().head().version == 0
                && node.members().view().instances.size() == 5)
                node.propose({1, "operator", "{}", 0});
        });
        return entries[0]->version == 1;
    }));
    REQUIRE(eventually([&] { return entries[0]->agent->servingState() == ServingState::Full; }));

    // The thread of the agent stands still while the clock goes on, and the lease is still live.
    std::promise<void> stopped;
    std::promise<void> wake;
    entries[0]->agent->post([&](MembershipNode &, TimePoint) {
        stopped.set_value();
        wake.get_future().wait();
    });
    stopped.get_future().wait();
    entries[0]->skipped = Duration(2s).count();
    REQUIRE_FALSE(entries[0]->agent->mayServe());
    wake.set_value();
    REQUIRE(eventually([&] { return entries[0]->agent->servingState() == ServingState::Full; }));
}
