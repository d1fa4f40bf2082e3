#include "StoreContract.h"

#include <LibStore/MemoryStore.h>
#include <LibStore/TableCodec.h>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

class MemoryStoreUnderTest : public StoreUnderTest
{
public:
    Store &store() override { return m_store; }
    void driveUntil(const std::function<bool()> &done) override
    {
        while (!done()) {
            const auto next = m_store.nextEvent();
            REQUIRE(next.has_value());
            m_store.advanceTo(*next);
        }
    }
    void failNext(StoreCallKind kind, const StoreFault &fault) override
    {
        m_store.scriptFault(kind, fault);
    }
    void settle() override { m_store.advanceTo(m_store.now() + 1s); }

private:
    MemoryStore m_store;
};

CommitStatus commitAt(MemoryStore &store, TimePoint time)
{
    std::optional<CommitStatus> status;
    store.advanceTo(time);
    store.commit({"op", {}, {{"a", "1"}}}, [&](const auto &result) { status = result.status; });
    store.run();
    return status.value();
}

} // namespace

TEST_CASE("MemoryStore keeps the contract of a store")
{
    checkStoreContract([] { return std::make_unique<MemoryStoreUnderTest>(); });
}

TEST_CASE("MemoryStore is driven by explicit calls")
{
    MemoryStore store;
    SECTION("a call does nothing until the store is driven, so that tests choose the order")
    {
        unsigned answers = 0;
        store.commit({"op", {}, {{"a", "1"}}}, [&](const auto &) { ++answers; });
        REQUIRE(store.snapshot().empty());
        REQUIRE(store.step());
        REQUIRE(store.snapshot().size() == 1);
        REQUIRE(answers == 0);
        REQUIRE(store.step());
        REQUIRE(answers == 1);
        REQUIRE_FALSE(store.step());
    }
    SECTION("two calls in flight may be answered in the other order")
    {
        store.scriptFault(StoreCallKind::Commit, {StoreFaultKind::DelayEffect, 10ms});
        std::vector<std::string> order;
        store.commit({"1", {}, {{"a", "1"}}}, [&](const auto &) { order.emplace_back("1"); });
        store.commit({"2", {}, {{"a", "2"}}}, [&](const auto &) { order.emplace_back("2"); });
        store.advanceTo(TimePoint(20ms));
        REQUIRE(order == std::vector<std::string>{"2", "1"});
        REQUIRE(store.row("a").value == "1");
    }
    SECTION("a scripted fault waits for its call")
    {
        store.scriptFault(StoreCallKind::Commit, {StoreFaultKind::Refuse}, 1);
        REQUIRE(commitAt(store, TimePoint(0ms)) == CommitStatus::Committed);
        REQUIRE(commitAt(store, TimePoint(0ms)) == CommitStatus::Unavailable);
        REQUIRE(commitAt(store, TimePoint(0ms)) == CommitStatus::Committed);
    }
    SECTION("a down period fails what would take effect inside it")
    {
        store.setDown(TimePoint(10ms), TimePoint(20ms));
        store.setDown(TimePoint(30ms), TimePoint(40ms), StoreFaultKind::LoseAnswerBeforeEffect);
        REQUIRE(commitAt(store, TimePoint(9ms)) == CommitStatus::Committed);
        REQUIRE(commitAt(store, TimePoint(10ms)) == CommitStatus::Unavailable);
        REQUIRE(commitAt(store, TimePoint(20ms)) == CommitStatus::Committed);
        REQUIRE(commitAt(store, TimePoint(39ms)) == CommitStatus::Unknown);
        REQUIRE(commitAt(store, TimePoint(40ms)) == CommitStatus::Committed);
    }
    SECTION("random faults repeat with the seed, so that a failing run can be replayed")
    {
        const auto run = [](std::uint64_t seed) {
            MemoryStore seeded(seed);
            seeded.setRandomFault(StoreCallKind::Commit, {StoreFaultKind::Refuse}, 0.5);
            std::string statuses;
            for (int index = 0; index < 64; ++index)
                statuses += commitStatusNames.nameOf(commitAt(seeded, TimePoint(0ms)));
            return statuses;
        };
        REQUIRE(run(7) == run(7));
        REQUIRE(run(7) != run(8));
    }
    SECTION("a fault hook addresses a call by its index")
    {
        store.setFaultHook([](StoreCallKind, std::uint64_t index) {
            return index == 1 ? StoreFault{StoreFaultKind::Refuse} : StoreFault{};
        });
        REQUIRE(commitAt(store, TimePoint(0ms)) == CommitStatus::Committed);
        REQUIRE(commitAt(store, TimePoint(0ms)) == CommitStatus::Unavailable);
        REQUIRE(store.calls(StoreCallKind::Commit) == 2);
    }
}

TEST_CASE("Table codecs refuse messages that break the protocol")
{
    const auto codeOf = [](const std::string &text) {
        return valueOrElse(
            [&]() -> Result<std::optional<ErrorCode>> {
                BOOST_LEAF_CHECK(decodeTransaction(text));
                return std::optional<ErrorCode>();
            },
            [](const Error &error) { return std::optional<ErrorCode>(error.code); });
    };
    REQUIRE_FALSE(codeOf(R"({"operation":"x","checks":[],"writes":[]})").has_value());
    for (const auto *text : {
             R"([])",
             R"({"operation":1,"checks":[],"writes":[]})",
             R"({"operation":"x","checks":{},"writes":[]})",
             R"({"operation":"x","checks":[{"key":"a","expected":-1}],"writes":[]})",
             R"({"operation":"x","checks":[],"writes":[{"key":"a"}]})",
             R"({"operation":"x","checks":[],"writes":[1]})",
         })
        REQUIRE(codeOf(text) == ErrorCode::ProtocolViolation);
    REQUIRE(codeOf("{") == ErrorCode::InvalidJson);
}
