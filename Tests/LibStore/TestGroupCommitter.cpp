#include <LibBase/Json.h>
#include <LibStore/CommitResolver.h>
#include <LibStore/GroupCommitter.h>
#include <LibStore/MemoryStore.h>
#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace Peridot;
using namespace std::chrono_literals;

namespace {

StorePacerSettings generousPacer()
{
    StorePacerSettings settings;
    settings.writesPerSecond = 10000;
    settings.readsPerSecond = 10000;
    return settings;
}

GroupCommitterSettings committerSettings(const std::string &instance = "entry-1")
{
    GroupCommitterSettings settings;
    settings.instance = instance;
    return settings;
}

std::string valueOf(const std::string &operationId)
{
    return R"({"operation":")" + operationId + "\"}";
}

/// Ends the operation id of the second write of a row.
constexpr const char *doneSuffix = "+done";

RowOperation createRow(const std::string &key, const std::string &operationId)
{
    return {operationId, {key, absentVersion}, {key, valueOf(operationId)}};
}

/// One process with a committer; several share a store.
struct Process
{
    explicit Process(MemoryStore &memoryStore,
                     GroupCommitterSettings settings = committerSettings(),
                     GroupCommitter::OutcomeHook hook = {})
        : store(memoryStore), committer(store, pacer, std::move(settings), std::move(hook))
    {
    }

    void submit(const RowOperation &operation)
    {
        const auto result
            = committer.submit(store.now(), operation, [this, operation](auto answer) {
                  answers[operation.operationId].push_back(answer);
              });
        REQUIRE(result);
    }

    CommitStatus statusOf(const std::string &operationId)
    {
        REQUIRE(answers[operationId].size() == 1);
        return answers[operationId].front().status;
    }

    MemoryStore &store;
    StorePacer pacer{generousPacer(), 1};
    GroupCommitter committer;
    bool updateCreated = false;
    std::map<std::string, std::vector<CommitResult>> answers;
};

void runFor(MemoryStore &store, Duration duration, std::initializer_list<Process *> processes)
{
    const TimePoint end = store.now() + duration;
    while (store.now() < end) {
        for (Process *process : processes)
            process->committer.tick(store.now());
        store.advanceTo(store.now() + 1ms);
    }
}

} // namespace

TEST_CASE("A group committer merges operations")
{
    MemoryStore store;
    Process process(store);
    SECTION("250 rows take three writes of the store")
    {
        for (int index = 0; index < 250; ++index)
            process.submit(createRow("k" + std::to_string(index), "op" + std::to_string(index)));
        runFor(store, 20ms, {&process});
        REQUIRE(process.committer.open() == 0);
        REQUIRE(store.calls(StoreCallKind::Commit) == 3);
        REQUIRE(store.snapshot().size() == 250);
    }
    SECTION("a single row waits no longer than the flush age")
    {
        process.submit(createRow("k", "op"));
        process.committer.tick(store.now() + 4ms);
        REQUIRE(store.calls(StoreCallKind::Commit) == 0);
        REQUIRE(process.committer.nextTick(store.now()) == store.now() + 5ms);
        process.committer.tick(store.now() + 5ms);
        REQUIRE(store.calls(StoreCallKind::Commit) == 1);
    }
    SECTION("two writes of one row keep their order and never share a flush")
    {
        process.submit(createRow("k", "op1"));
        process.submit({"op2", {"k", 1}, {"k", "\"op2\""}});
        runFor(store, 20ms, {&process});
        REQUIRE(process.statusOf("op1") == CommitStatus::Committed);
        REQUIRE(process.statusOf("op2") == CommitStatus::Committed);
        REQUIRE(store.row("k").value == "\"op2\"");
    }
    SECTION("a full queue is a typed refusal, so that the caller can refuse its request as not run")
    {
        auto settings = committerSettings();
        settings.operationLimit = 1;
        Process bounded(store, settings);
        bounded.submit(createRow("k", "op1"));
        const auto code = valueOrElse(
            [&]() -> Result<std::optional<ErrorCode>> {
                BOOST_LEAF_CHECK(
                    bounded.committer.submit(store.now(), createRow("l", "op2"), [](auto) {}));
                return std::optional<ErrorCode>();
            },
            [](const Error &error) { return std::optional<ErrorCode>(error.code); });
        REQUIRE(code == ErrorCode::LimitExceeded);
        runFor(store, 20ms, {&bounded});
        bounded.submit(createRow("l", "op2"));
    }
    SECTION("flushes stay within the rate of the pacer")
    {
        StorePacer slow({10, 10, 100ms, {}}, 1);
        GroupCommitter committer(store, slow, committerSettings());
        for (int index = 0; index < 2000; ++index) {
            const auto name = std::to_string(index);
            REQUIRE(committer.submit(store.now(), createRow("k" + name, name), [](auto) {}));
        }
        for (int step = 0; step < 900; ++step) {
            committer.tick(store.now());
            store.advanceTo(store.now() + 1ms);
        }
        REQUIRE(store.calls(StoreCallKind::Commit) <= 10);
        REQUIRE(store.calls(StoreCallKind::Commit) >= 9);
    }
}

TEST_CASE("A conflict fails only its own operation")
{
    MemoryStore store;
    Process process(store);
    store.commit({"other", {}, {{"b", "\"other\""}}}, [](const auto &) {});
    store.run();
    for (const auto *key : {"a", "b", "c"})
        process.submit(createRow(key, std::string("op-") + key));
    SECTION("the others are sent again and take effect")
    {
        runFor(store, 50ms, {&process});
        REQUIRE(process.statusOf("op-a") == CommitStatus::Committed);
        REQUIRE(process.statusOf("op-b") == CommitStatus::Conflict);
        REQUIRE(process.statusOf("op-c") == CommitStatus::Committed);
        REQUIRE(process.answers["op-b"].front().conflicts == std::vector<std::string>{"b"});
    }
    SECTION("a conflict that an old snapshot contradicts is no certain one")
    {
        store.scriptFault(StoreCallKind::Read, {StoreFaultKind::StaleRead, {}, 5});
        runFor(store, 50ms, {&process});
        REQUIRE(process.statusOf("op-a") == CommitStatus::Committed);
        REQUIRE(store.row("b").value == "\"other\"");
        // A repeated application of an own effect would have looked the same.
        REQUIRE(process.statusOf("op-b") == CommitStatus::Unknown);
    }
}

TEST_CASE("An unknown outcome is resolved and never guessed")
{
    struct Case
    {
        std::string name;
        StoreFault fault;
        CommitStatus status;
    };
    using enum StoreFaultKind;
    const std::vector<Case> cases{
        {"answer lost after the effect", {LoseAnswerAfterEffect}, CommitStatus::Committed},
        {"answer lost before the effect", {LoseAnswerBeforeEffect}, CommitStatus::Committed},
        {"effect after the read-back", {LateEffect, 100ms}, CommitStatus::Committed},
        {"effect between read-back and resend", {LateEffect, 21ms}, CommitStatus::Committed},
        {"applied twice", {Duplicate}, CommitStatus::Committed},
        {"refused", {Refuse}, CommitStatus::Unavailable},
    };
    for (const auto &entry : cases) {
        DYNAMIC_SECTION(entry.name)
        {
            MemoryStore store;
            Process process(store);
            store.scriptFault(StoreCallKind::Commit, entry.fault);
            process.submit(createRow("a", "op-a"));
            process.submit(createRow("b", "op-b"));
            runFor(store, 1s, {&process});
            REQUIRE(process.statusOf("op-a") == entry.status);
            REQUIRE(process.statusOf("op-b") == entry.status);
            REQUIRE(store.snapshot().size() == (entry.status == CommitStatus::Committed ? 2 : 0));
        }
    }
    MemoryStore store;
    SECTION("a row that another process wrote meanwhile is left alone")
    {
        Process process(store);
        store.scriptFault(StoreCallKind::Commit, {LoseAnswerBeforeEffect});
        process.submit(createRow("a", "op-a"));
        process.submit(createRow("b", "op-b"));
        process.committer.tick(store.now() + 5ms);
        store.run();
        store.commit({"other", {}, {{"a", "\"other\""}}}, [](const auto &) {});
        runFor(store, 1s, {&process});
        // The row b shows that the flush had no effect, so that the conflict on a is certain.
        REQUIRE(process.statusOf("op-a") == CommitStatus::Conflict);
        REQUIRE(process.statusOf("op-b") == CommitStatus::Committed);
        REQUIRE(store.row("a").value == "\"other\"");
    }
    SECTION("a row that was written again without a trace is answered Unknown")
    {
        Process process(store);
        store.scriptFault(StoreCallKind::Commit, {LoseAnswerAfterEffect});
        process.submit(createRow("a", "op-a"));
        process.committer.tick(store.now() + 5ms);
        store.run();
        store.commit({"other", {}, {{"a", "\"other\""}}}, [](const auto &) {});
        runFor(store, 1s, {&process});
        REQUIRE(process.statusOf("op-a") == CommitStatus::Unknown);
    }
    SECTION("a hook decides from the value where rows are never written again by others")
    {
        Process process(store, committerSettings(), [](const RowOperation &, const Row &row) {
            return row.value == "\"other\"" ? std::optional(false) : std::nullopt;
        });
        store.scriptFault(StoreCallKind::Commit, {LoseAnswerBeforeEffect});
        process.submit(createRow("a", "op-a"));
        process.committer.tick(store.now() + 5ms);
        store.run();
        store.commit({"other", {}, {{"a", "\"other\""}}}, [](const auto &) {});
        runFor(store, 1s, {&process});
        REQUIRE(process.statusOf("op-a") == CommitStatus::Conflict);
    }
    SECTION("a read-back older than the row itself decides nothing")
    {
        Process process(store);
        store.commit({"first", {}, {{"a", "\"first\""}}}, [](const auto &) {});
        store.run();
        store.scriptFault(StoreCallKind::Commit, {LoseAnswerAfterEffect});
        store.scriptFault(StoreCallKind::Read, {StaleRead, {}, 2});
        process.submit({"op-a", {"a", 1}, {"a", valueOf("op-a")}});
        runFor(store, 1s, {&process});
        REQUIRE(process.statusOf("op-a") == CommitStatus::Committed);
    }
    SECTION("a refused row is sent again when the settings allow it")
    {
        auto settings = committerSettings();
        settings.unavailableAttempts = 2;
        Process process(store, settings);
        store.scriptFault(StoreCallKind::Commit, {Refuse});
        process.submit(createRow("a", "op-a"));
        runFor(store, 1s, {&process});
        REQUIRE(process.statusOf("op-a") == CommitStatus::Committed);
    }
    SECTION("a store that stays down after an unknown outcome gives Unknown in bounded time")
    {
        Process process(store);
        store.scriptFault(StoreCallKind::Commit, {LoseAnswerAfterEffect});
        store.setDown(TimePoint(20ms), TimePoint(1h));
        process.submit(createRow("a", "op-a"));
        runFor(store, 10s, {&process});
        REQUIRE(process.statusOf("op-a") == CommitStatus::Unknown);
        REQUIRE(process.committer.open() == 0);
    }
    SECTION("a row that was never sent during an outage is Unavailable in bounded time")
    {
        Process process(store);
        store.setDown(TimePoint(0s), TimePoint(1h));
        for (int index = 0; index < 1000; ++index)
            process.submit(createRow(std::to_string(index), "op" + std::to_string(index)));
        runFor(store, 2s, {&process});
        REQUIRE(process.committer.open() == 0);
        REQUIRE(process.committer.counters().unavailable == 1000);
    }
}

TEST_CASE("A process that crashed with a flush in flight starts again from the rows")
{
    using enum StoreFaultKind;
    for (const auto kind : {LoseAnswerAfterEffect, LoseAnswerBeforeEffect, LateEffect}) {
        DYNAMIC_SECTION(storeFaultKindNames.nameOf(kind))
        {
            MemoryStore store;
            store.scriptFault(StoreCallKind::Commit, {kind, 50ms});
            const auto operation = createRow("a", "op-a");
            {
                Process process(store);
                process.submit(operation);
                process.committer.tick(store.now() + 5ms);
            }
            store.run();
            // The same operation id makes the repeat harmless, whatever became of the first send.
            Process process(store, committerSettings("entry-1-again"));
            process.submit(operation);
            runFor(store, 1s, {&process});
            REQUIRE(process.statusOf("op-a") == CommitStatus::Committed);
            REQUIRE(store.row("a").version == 1);
        }
    }
}

TEST_CASE("Random faults never make two processes claim one row")
{
    // Guards against a doubled request: a claim that is reported as not applied, and is.
    const bool held
        = rc::check("one claim a row, and every answer is true", [](std::uint64_t seed) {
              MemoryStore store(seed);
              RandomSource random(seed);
              const auto probability = [&] {
                  return 0.15 * random.unit();
              };
              using enum StoreFaultKind;
              for (const auto kind : {Refuse, LoseAnswerBeforeEffect, LoseAnswerAfterEffect,
                                      LateEffect, DelayEffect, DelayAnswer, Duplicate}) {
                  store.setRandomFault(StoreCallKind::Commit, {kind, 30ms}, probability());
              }
              for (const auto kind : {Refuse, DelayEffect, DelayAnswer, StaleRead})
                  store.setRandomFault(StoreCallKind::Read, {kind, 30ms, 4}, probability());
              auto settings = committerSettings();
              settings.flushRows = 1 + random.below(8);
              Process first(store, settings);
              settings.instance = "entry-2";
              Process second(store, settings);
              first.updateCreated = true;
              second.updateCreated = true;
              constexpr int operationCount = 60;
              for (int index = 0; index < operationCount; ++index) {
                  const std::string key = "k" + std::to_string(random.below(20));
                  Process &process = random.below(2) == 0 ? first : second;
                  process.submit(createRow(key, "op" + std::to_string(index)));
                  if (random.below(4) == 0)
                      runFor(store, Duration(random.below(20'000'000)), {&first, &second});
              }
              // Creates and updates may each take up to the resolve limit.
              runFor(store, 12s, {&first, &second});
              RC_ASSERT(first.committer.open() + second.committer.open() == std::size_t(0));
              std::string table;
              for (const auto &row : store.snapshot())
                  table += row.value;
              std::size_t answered = 0;
              for (const Process *process : {&first, &second}) {
                  for (const auto &[operationId, answers] : process->answers) {
                      RC_ASSERT(answers.size() == std::size_t(1));
                      answered += operationId.ends_with(doneSuffix) ? 0 : 1;
                      const auto isIn = [&](const std::string &id) {
                          return table.find('"' + id + '"') != std::string::npos;
                      };
                      const bool applied = isIn(operationId) || isIn(operationId + doneSuffix);
                      const CommitStatus status = answers.front().status;
                      if (status == CommitStatus::Committed)
                          RC_ASSERT(applied);
                      else if (status != CommitStatus::Unknown)
                          RC_ASSERT(!applied);
                  }
              }
              RC_ASSERT(answered == std::size_t(operationCount));
          });
    REQUIRE(held);
}

TEST_CASE("A commit is resolved from its rows")
{
    const Transaction transaction{"op", {{"a", 1}, {"b", 2}}, {{"a", valueOf("op")}}};
    struct Case
    {
        std::string name;
        std::vector<Row> rows;
        CommitResolution resolution;
    };
    const std::vector<Case> cases{
        {"carries the id", {{"a", 5, valueOf("op")}, {"b", 2, "x"}}, CommitResolution::Applied},
        {"unchanged", {{"a", 1, "x"}, {"b", 2, "x"}}, CommitResolution::NotYetApplied},
        {"a check failed for good", {{"a", 1, "x"}, {"b", 3, "x"}}, CommitResolution::NotApplied},
        {"an old snapshot", {{"a", 1, "x"}, {"b", 0, ""}}, CommitResolution::NotYetApplied},
        {"written again", {{"a", 6, "x"}, {"b", 2, "x"}}, CommitResolution::Undecided},
        {"another id that begins alike",
         {{"a", 6, valueOf("op2")}, {"b", 2, "x"}},
         CommitResolution::Undecided},
        {"the id in a text that a caller chose",
         {{"a", 6, R"({"operation":"x","request":"op","body":"\"operation\":\"op\""})"},
          {"b", 2, "x"}},
         CommitResolution::Undecided},
    };
    for (const auto &entry : cases) {
        DYNAMIC_SECTION(entry.name)
        {
            REQUIRE(commitResolutionNames.nameOf(resolveCommit(transaction, entry.rows))
                    == commitResolutionNames.nameOf(entry.resolution));
        }
    }
    SECTION("an operation row outlives later writes of the other rows")
    {
        MemoryStore store;
        Transaction recorded{"op", {{"a", 0}}, {{"a", "1"}}};
        addOperationRow(recorded);
        store.commit(recorded, [](const auto &) {});
        store.commit({"other", {}, {{"a", "2"}}}, [](const auto &) {});
        std::optional<CommitResolution> resolution;
        CommitResolver resolver(store);
        resolver.resolve(recorded, [&](CommitResolution result) { resolution = result; });
        store.run();
        REQUIRE(resolution == CommitResolution::Applied);
        store.scriptFault(StoreCallKind::Read, {StoreFaultKind::Refuse});
        resolver.resolve(recorded, [&](CommitResolution result) { resolution = result; });
        store.run();
        REQUIRE(resolution == CommitResolution::Undecided);
    }
}
