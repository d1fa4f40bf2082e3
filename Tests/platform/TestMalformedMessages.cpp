#include <JobCallCodec.h>
#include <JsonFields.h>
#include <Kernel/Jobs/JobRows.h>
#include <Kernel/Jobs/LeadershipRows.h>
#include <LibBase/Json.h>
#include <PlatformConfiguration.h>
#include <PlatformHosts.h>
#include <StoreReplies.h>
#include <WorkerRegistration.h>
#include <WorkerReplies.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Peridot;
using namespace Peridot::Platform;
using namespace std::chrono_literals;

namespace {

const std::string workerText
    = R"({"backend":"pool","address":"10.0.0.9:8080","zone":"z",)"
      R"("state":"ready","capacity":{"cpu":16000,"mem_mb":32768,"gpus":1},)"
      R"("labels":["a","r1-3"],"remaining_ms":0,"born":1700000000000})";
const std::string pollText = R"({"clock_ms":482113,"born":1700000000000,)"
                             R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,12.5]],)"
                             R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
const std::string hostsText
    = R"({"machines":[{"machine_id":"m","pool":"p","state":"up","id":"i-1",)"
      R"("capacity":{"cpu":32000}}],"next_token":"t"})";
const std::string configurationText
    = R"({"version":7,"routes":[{"name":"r","hostname":"h","prefix":"/p/","slo_ms":600,)"
      R"("backend":"pool","stretch":1.6,"advice":{"valid_ms":5}}],"services":[{"name":"pool"}]})";
const std::string waveText = R"({"wave":3,"machines":["m-1"],"period_s":20.5,"cap":2})";
const std::string rowsText
    = R"({"ver":9,"now_ms":12,"has_more":false,"rows":[{"table":"job","part":"","key":"k",)"
      R"("value":"e30=","ver":8,"tombstone":false}]})";
const std::string submissionText
    = R"({"spec":"x","times":2,"first_ms":1700000000000,"interval_ms":1000,)"
      R"("steps":[{"count":4,"cpu":500,"est_runtime_ms":900.5,"after":[]}]})";
const std::string progressText
    = R"({"phase":"running","changed_ms":17,"occurrences":[{"number":0,"steps":[[{"run":1}]]}]})";

CallResult answered(int status, const std::string &body)
{
    return {CallStatus::Answered, status, parseJsonOrNull(body)};
}

std::string replaced(const std::string &text, const std::string &from, const std::string &to)
{
    std::string changed = text;
    const auto position = changed.find(from);
    REQUIRE(position != std::string::npos);
    return changed.replace(position, from.size(), to);
}

/// Decodes \a text as each message that the process receives. Throws when a decoder does.
void decodeAll(const std::string &text)
{
    static const auto configuration = decodeConfiguration({"op/config", 1, configurationText});
    WorkerDecoder([](const std::string &, const Error &) {}).decode({"servers/i-1", 1, text});
    decodeConfiguration({"op/config", 1, text});
    decodeWave({"op/wave/1", 1, text});
    decodeCall({0, "POST", "/p/0123456789abcdef", {{"Host", "h"}}, text}, *configuration);
    const CallResult result = answered(200, text);
    decodePollReply(result);
    decodeOrderReply(result);
    decodeAdviceReply(result);
    decodeHostPage(result);
    decodeRead(result);
    decodeFeed(1, result);
    Transaction transaction;
    transaction.checks = {{"job/k", 1}};
    decodeCommit(transaction, result);
    decodeCommit(transaction, answered(412, text));
    const auto ignore = [](const Error &) {
        return false;
    };
    const auto parse = [&](auto function) {
        valueOrElse(
            [&]() -> Result<bool> {
                BOOST_LEAF_CHECK(function(text));
                return true;
            },
            ignore);
    };
    parse(Jobs::parseSubmittedJob);
    parse(Jobs::parseJobProgress);
    parse(Jobs::parsePendingCounts);
    parse(Jobs::parseCandidate);
    parse(Jobs::parseTransfer);
}

const std::vector<std::string> messages{workerText,   pollText,         hostsText,
                                        waveText,     rowsText,         submissionText,
                                        progressText, configurationText};

} // namespace

TEST_CASE(
    "A malformed entry among the registrations of workers is refused, and the others are used")
{
    // Guards against entries of other writers that end the process or keep it from following the
    // list.
    std::vector<std::string> refused;
    WorkerDecoder decoder([&](const std::string &key, const Error &error) {
        refused.push_back(key + ' ' + error.field);
    });
    const auto decode = [&](const std::string &text, const std::string &key = "servers/malformed") {
        return decoder.decode({key, 1, text});
    };

    SECTION("numbers that are too large or of another kind, and ports out of range")
    {
        for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>>{
                 {":8080", ":0"},
                 {":8080", ":65536"},
                 {":8080", ":99999999999999999999"},
                 {":8080", ":-1"},
                 {"10.0.0.9", "10.0.0.999"},
                 {"16000", "9223372036854775807"},
                 {"16000", "1e400"},
                 {"16000", "1e30"},
                 {"16000", "-1"},
                 {"16000", "[]"},
                 {"1700000000000", "1e18"},
                 {"1700000000000", "1000000000000000000"},
                 {"\"remaining_ms\":0", "\"remaining_ms\":9223372036854775807"},
                 {"\"a\"", "5"},
                 {"\"z\"", "{}"},
                 {"\"zone\"", "\"state\""},
                 {"\"pool\"", "\"\""}})
            CHECK_FALSE(decode(replaced(workerText, from, to)));
    }
    SECTION("an entry that is nested very deeply")
    {
        for (const std::size_t depth : {100U, 20'000U}) {
            CHECK_FALSE(decode(std::string(depth, '[')));
            CHECK_FALSE(decode(std::string(depth, '[') + std::string(depth, ']')));
            CHECK_FALSE(decode(
                replaced(workerText, "\"a\"", std::string(depth, '[') + std::string(depth, ']'))));
        }
    }
    SECTION("an id that could not be sent in a header, or names no single row")
    {
        for (const char *id : {"", "a/b", "a b", "a\r\nFencing-Token: 9", "a\x7f", "\xff\xfe"})
            CHECK_FALSE(decode(workerText, std::string("servers/") + id));
    }
    SECTION("bytes that cannot be read")
    {
        CHECK_FALSE(decode(std::string("\x00\xff{", 3)));
        CHECK_FALSE(decode(workerText.substr(0, 40)));
    }
    CHECK(decode(workerText, "servers/i-1"));

    SECTION("it is reported once, and used as soon as it becomes valid")
    {
        refused.clear();
        const std::string malformed = replaced(workerText, ":8080", ":0");
        CHECK_FALSE(decode(malformed, "servers/i-2"));
        CHECK_FALSE(decode(malformed, "servers/i-2"));
        CHECK(refused == std::vector<std::string>{"servers/i-2 address"});
        CHECK(decode(workerText, "servers/i-2"));
        CHECK_FALSE(decode(malformed, "servers/i-2"));
        CHECK(refused.size() == 2);
    }
}

TEST_CASE("Answers of another shape than expected count as no answer")
{
    for (const char *body : {"[]", "5", "\"x\"", "null", "{}", "{", "[[[]]]"}) {
        CHECK_NOTHROW(decodeAll(body));
        CHECK_FALSE(decodeHostPage(answered(200, body)));
        CHECK(decodeAdviceReply(answered(200, body)).end == Jobs::CallEnd::Refused);
        CHECK(decodePollReply(answered(200, body)).outcome == Jobs::OrderOutcome::Unknown);
    }
    SECTION("hosts that can't be read are counted")
    {
        for (const char *odd : {"\"rebooting\"", "7", "null"}) {
            const auto page = decodeHostPage(answered(200, replaced(hostsText, "\"up\"", odd)));
            REQUIRE(page);
            CHECK(page->list.hosts.empty());
            CHECK(page->list.unreadableEntries == 1);
        }
    }
    SECTION("a token of the next page that is not a text ends the list")
    {
        const auto page = decodeHostPage(answered(200, replaced(hostsText, "\"t\"", "{}")));
        REQUIRE(page);
        CHECK(page->nextToken.empty());
        CHECK(page->list.hosts.size() == 1);
        CHECK(page->list.unreadableEntries == 0);
    }
    SECTION("numbers outside their range take the nearest value, on every kind of processor")
    {
        const auto reply
            = decodePollReply(answered(200, replaced(pollText, "41,12.5", "1e300,-5")));
        REQUIRE(reply.active.size() == 1);
        CHECK(reply.active.front().progressPercent == 100);
        CHECK(reply.active.front().latencyMilliseconds == 0);
        CHECK(decodeWave({"op/wave/1", 1, replaced(waveText, "20.5", "1e300")})->period
              == std::chrono::milliseconds(durationMilliseconds.maximum));
    }
    SECTION("runs and ends with impossible numbers are left out, and the others are used")
    {
        const auto oddRun
            = decodePollReply(answered(200, replaced(pollText, "17\",2", "17\",1e19")));
        CHECK(oddRun.active.empty());
        CHECK(oddRun.unreadableEntries == 1);
        CHECK_FALSE(oddRun.endsBeforeUnreadable);
        const auto reply = decodePollReply(answered(
            200, replaced(pollText, "[[58", "[[18446744073709551615,\"x\",1,\"done\"],[58")));
        REQUIRE(reply.ended.size() == 1);
        CHECK(reply.ended.front().number == 58);
        CHECK(reply.unreadableEntries == 1);
        CHECK(reply.endsBeforeUnreadable == 0U);
    }
}

TEST_CASE("Odd entries in an answer of the placement advice deny no worker")
{
    const auto decode = [](const std::string &granted) {
        return decodeAdviceReply(answered(200, R"({"granted":[)" + granted + "]}"));
    };
    const auto usual = decode(R"(["w0","t0"],["w1","t1"])");
    CHECK(usual.tickets.size() == 2);
    CHECK(usual.unreadableEntries == 0);
    for (const char *odd : {R"(["w1",5])", R"(["w1"])", R"(["w1","t1",0])", R"(["w1",""])", "7"}) {
        const auto reply = decode(std::string(R"(["w0","t0"],)") + odd);
        CHECK(reply.end == Jobs::CallEnd::Answered);
        CHECK(reply.tickets.size() == 1);
        CHECK(reply.unreadableEntries == 1);
    }
}

TEST_CASE("An answer of the store that does not tell whether a transaction was applied is unknown")
{
    // Guards against telling a caller that nothing was written although it was.
    const Transaction transaction;
    CHECK(decodeCommit(transaction, answered(200, rowsText)).status == CommitStatus::Committed);
    CHECK(decodeCommit(transaction, answered(200, "[]")).status == CommitStatus::Unknown);
    CHECK(decodeCommit(transaction, answered(200, "{")).status == CommitStatus::Unknown);
    CHECK(decodeCommit(transaction, answered(500, "{}")).status == CommitStatus::Unknown);
    CHECK(decodeCommit(transaction, answered(504, "{}")).status == CommitStatus::Unknown);
    CHECK(decodeCommit(transaction, answered(503, "{}")).status == CommitStatus::Unavailable);
    CHECK(decodeCommit(transaction, answered(429, "{}")).status == CommitStatus::Unavailable);
    CHECK(decodeCommit(transaction, answered(400, "{}")).status == CommitStatus::Refused);
    CHECK(decodeCommit(transaction, {CallStatus::NoAnswer, 0, {}}).status == CommitStatus::Unknown);
}

TEST_CASE("No mutation of a real message makes a decoder throw or hides the entries beside it")
{
    // RC_PARAMS="max_success=100000 seed=N" runs longer.
    const bool held = rc::check("decoders survive mutated messages", [] {
        std::string text = *rc::gen::elementOf(messages);
        const auto edits = *rc::gen::resize(
            20, rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(
                    rc::gen::tuple(rc::gen::inRange(0U, 400U), rc::gen::inRange(0U, 6U),
                                   rc::gen::inRange(0U, 256U))));
        static const std::vector<std::string> fragments{
            "[[[[[[[[", "1e400", "-9223372036854775809", "{\"a\":", "\"\\ud800\"", "null",
            "1e308",    "-0.0"};
        for (const auto &[place, kind, byte] : edits) {
            const std::size_t position = text.empty() ? 0 : place % text.size();
            const std::string &fragment = fragments[byte % fragments.size()];
            if (kind == 0 && !text.empty())
                text[position] = static_cast<char>(byte);
            else if (kind == 1)
                text.insert(position, 1, static_cast<char>(byte));
            else if (kind == 2)
                text.erase(position, 1 + byte % 8);
            else if (kind == 3)
                text.insert(position, fragment);
            else if (kind == 4)
                text.insert(position, text.substr(position, byte));
            else if (!text.empty())
                text.replace(position, 1, fragment);
        }
        decodeAll(text);
        std::size_t others = 0;
        WorkerDecoder decoder([](const std::string &, const Error &) {});
        decoder.decode({"servers/malformed", 1, text});
        others += decoder.decode({"servers/i-1", 1, workerText}) ? 1 : 0;
        RC_ASSERT(others == 1U);
    });
    CHECK(held);
}
