#pragma once

#include <LibStore/Store.h>
#include <LibStore/StoreFault.h>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Peridot {

/// One implementation of Store with its faults, for the contract tests.
class StoreUnderTest
{
public:
    virtual ~StoreUnderTest() = default;
    virtual Store &store() = 0;
    /// Drives the store until \a done holds.
    virtual void driveUntil(const std::function<bool()> &done) = 0;
    virtual void failNext(StoreCallKind kind, const StoreFault &fault) = 0;
    /// Lets effects and answers happen that faults have delayed.
    virtual void settle() = 0;

    CommitResult commit(const Transaction &transaction)
    {
        return wait<CommitResult>([&](auto callback) { store().commit(transaction, callback); });
    }
    ReadResult read(const std::vector<std::string> &keys)
    {
        return wait<ReadResult>([&](auto callback) { store().read(keys, callback); });
    }
    ReadResult scan(const std::string &prefix, const std::string &startAfter, std::size_t limit)
    {
        return wait<ReadResult>(
            [&](auto callback) { store().scan(prefix, startAfter, limit, callback); });
    }

private:
    template <typename Answer, typename Start>
    Answer wait(Start start)
    {
        std::optional<Answer> answer;
        unsigned calls = 0;
        start([&](const Answer &result) {
            answer = result;
            ++calls;
        });
        driveUntil([&] { return answer.has_value(); });
        REQUIRE(calls == 1);
        return *answer;
    }
};

struct TransactionCase
{
    std::string name;
    Transaction transaction;
    CommitStatus status;
    std::vector<std::string> conflicts;
    std::map<std::string, std::string> after; ///< rows that exist afterwards
};

/// Cases against a table with a=1 at version 1 and b=2 at version 2.
inline std::vector<TransactionCase> transactionCases()
{
    return {
        {"a row that must be absent is created",
         {"op", {{"c", 0}}, {{"c", "3"}}},
         CommitStatus::Committed,
         {},
         {{"a", "1"}, {"b", "2"}, {"c", "3"}}},
        {"a present row is no absent one",
         {"op", {{"a", 0}}, {{"a", "9"}}},
         CommitStatus::Conflict,
         {"a"},
         {{"a", "1"}, {"b", "2"}}},
        {"all failed checks are named and nothing is written",
         {"op", {{"a", 2}, {"b", 2}, {"c", 5}}, {{"a", "9"}, {"b", "9"}, {"c", "9"}}},
         CommitStatus::Conflict,
         {"a", "c"},
         {{"a", "1"}, {"b", "2"}}},
        {"a row is deleted and another written in one step",
         {"op", {{"a", 1}}, {{"a", std::nullopt}, {"b", "4"}}},
         CommitStatus::Committed,
         {},
         {{"b", "4"}}},
        {"a check without a write holds the other row back",
         {"op", {{"b", 1}}, {{"a", "9"}}},
         CommitStatus::Conflict,
         {"b"},
         {{"a", "1"}, {"b", "2"}}},
        {"text with quotes, controls and non-ASCII characters is kept",
         {"op", {}, {{"c", "{\"x\":\"\\u00e9\\n\"} \xc3\xa9 \x01"}}},
         CommitStatus::Committed,
         {},
         {{"a", "1"}, {"b", "2"}, {"c", "{\"x\":\"\\u00e9\\n\"} \xc3\xa9 \x01"}}},
    };
}

struct FaultCase
{
    std::string name;
    StoreFault fault;
    CommitStatus status;
    bool applied;
};

/// Cases of one commit that creates a row.
inline std::vector<FaultCase> commitFaultCases()
{
    using enum StoreFaultKind;
    const Duration delay = std::chrono::milliseconds(30);
    return {
        {"refused", {Refuse}, CommitStatus::Unavailable, false},
        {"answer lost before the effect", {LoseAnswerBeforeEffect}, CommitStatus::Unknown, false},
        {"answer lost after the effect", {LoseAnswerAfterEffect}, CommitStatus::Unknown, true},
        {"answer lost, effect late", {LateEffect, delay}, CommitStatus::Unknown, true},
        {"effect delayed", {DelayEffect, delay}, CommitStatus::Committed, true},
        {"answer delayed", {DelayAnswer, delay}, CommitStatus::Committed, true},
        {"applied twice", {Duplicate}, CommitStatus::Conflict, true},
    };
}

/// Checks what every store promises. \a makeStore returns a new, empty store.
inline void checkStoreContract(const std::function<std::unique_ptr<StoreUnderTest>()> &makeStore)
{
    for (const auto &entry : transactionCases()) {
        DYNAMIC_SECTION(entry.name)
        {
            const auto subject = makeStore();
            REQUIRE(subject->commit({"first", {}, {{"a", "1"}}}).revision == 1);
            REQUIRE(subject->commit({"second", {}, {{"b", "2"}}}).revision == 2);
            const auto result = subject->commit(entry.transaction);
            REQUIRE(result.status == entry.status);
            REQUIRE(result.conflicts == entry.conflicts);
            std::map<std::string, std::string> after;
            for (const auto &row : subject->scan("", "", 100).rows)
                after[row.key] = row.value;
            REQUIRE(after == entry.after);
        }
    }
    for (const auto &entry : commitFaultCases()) {
        DYNAMIC_SECTION("fault: " << entry.name)
        {
            const auto subject = makeStore();
            subject->failNext(StoreCallKind::Commit, entry.fault);
            const auto result = subject->commit({"op", {{"a", 0}}, {{"a", "\"op\""}}});
            REQUIRE(result.status == entry.status);
            subject->settle();
            const auto row = subject->read({"a"}).rows.at(0);
            REQUIRE((row.version != absentVersion) == entry.applied);
            // The operation id in the row is what tells the caller of its own effect.
            REQUIRE((row.value == "\"op\"") == entry.applied);
        }
    }
    SECTION("a late effect is stopped by its checks when the caller has written the row again")
    {
        const auto subject = makeStore();
        subject->failNext(StoreCallKind::Commit,
                          {StoreFaultKind::LateEffect, std::chrono::milliseconds(30)});
        const Transaction transaction{"op", {{"a", 0}}, {{"a", "1"}}};
        REQUIRE(subject->commit(transaction).status == CommitStatus::Unknown);
        REQUIRE(subject->commit(transaction).status == CommitStatus::Committed);
        subject->settle();
        REQUIRE(subject->read({"a"}).rows.at(0).version == 1);
    }
    SECTION("a version never comes back, so a check cannot hold for another row of the same key")
    {
        const auto subject = makeStore();
        const auto first = subject->commit({"1", {}, {{"a", "1"}}});
        REQUIRE(subject->commit({"2", {}, {{"a", std::nullopt}}}).status
                == CommitStatus::Committed);
        REQUIRE(subject->commit({"3", {}, {{"a", "1"}}}).status == CommitStatus::Committed);
        REQUIRE(subject->commit({"4", {{"a", first.revision}}, {{"a", "2"}}}).status
                == CommitStatus::Conflict);
    }
    SECTION("a scan is bounded, ordered and can be continued without losing a row")
    {
        const auto subject = makeStore();
        Transaction transaction{"op", {}, {}};
        for (const auto *key : {"p/3", "p/1", "p/2", "o/9", "q/0"})
            transaction.writes.push_back({key, "1"});
        subject->commit(transaction);
        const auto first = subject->scan("p/", "", 2);
        REQUIRE(first.rows.size() == 2);
        REQUIRE(first.more);
        REQUIRE(first.rows.at(0).key == "p/1");
        const auto second = subject->scan("p/", first.rows.back().key, 2);
        REQUIRE(second.rows.size() == 1);
        REQUIRE_FALSE(second.more);
        REQUIRE(second.rows.at(0).key == "p/3");
    }
    SECTION("a read answers each key in order, absent rows with version 0")
    {
        const auto subject = makeStore();
        subject->commit({"op", {}, {{"b", "1"}}});
        const auto result = subject->read({"c", "b"});
        REQUIRE(result.status == ReadStatus::Ok);
        REQUIRE(result.rows.at(0).key == "c");
        REQUIRE(result.rows.at(0).version == absentVersion);
        REQUIRE(result.rows.at(1).value == "1");
    }
    SECTION("a stale read is a consistent earlier state, and a check on it conflicts")
    {
        const auto subject = makeStore();
        subject->commit({"1", {}, {{"a", "1"}, {"b", "1"}}});
        subject->commit({"2", {}, {{"a", "2"}, {"b", "2"}}});
        subject->failNext(StoreCallKind::Read, {StoreFaultKind::StaleRead});
        const auto stale = subject->read({"a", "b"});
        REQUIRE(stale.rows.at(0).value == "1");
        REQUIRE(stale.rows.at(1).value == "1");
        REQUIRE(subject->commit({"3", {{"a", stale.rows.at(0).version}}, {{"a", "3"}}}).status
                == CommitStatus::Conflict);
    }
    SECTION("a refused read or scan has no rows")
    {
        const auto subject = makeStore();
        subject->failNext(StoreCallKind::Read, {StoreFaultKind::Refuse});
        REQUIRE(subject->read({"a"}).status == ReadStatus::Unavailable);
        subject->failNext(StoreCallKind::Scan, {StoreFaultKind::LoseAnswerAfterEffect});
        REQUIRE(subject->scan("", "", 1).status == ReadStatus::Unavailable);
    }
}

} // namespace Peridot
