#include <PlatformHttp.h>
#include <UsualReplies.h>
#include <WorkerReplies.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Peridot;
using namespace Peridot::Platform;

namespace {

CallResult withText(const std::string &text)
{
    CallResult result{CallStatus::Answered, 200, {}};
    result.text = text;
    return result;
}

CallResult withValue(const std::string &text)
{
    return {CallStatus::Answered, 200, parseJsonOrNull(text)};
}

bool isEqual(const Jobs::PollReply &left, const Jobs::PollReply &right)
{
    const auto isSameRun = [](const Jobs::ActiveRun &one, const Jobs::ActiveRun &other) {
        return one.run == other.run && one.checkpoint == other.checkpoint
               && one.progressPercent == other.progressPercent
               && one.latencyMilliseconds == other.latencyMilliseconds;
    };
    const auto isSameEnd = [](const Jobs::EndedRun &one, const Jobs::EndedRun &other) {
        return one.number == other.number && one.run == other.run && one.outcome == other.outcome
               && one.checkpoint == other.checkpoint;
    };
    return left.outcome == right.outcome && left.clock == right.clock
           && left.startedAt == right.startedAt && left.unreadableEntries == right.unreadableEntries
           && left.endsBeforeUnreadable == right.endsBeforeUnreadable
           && std::equal(left.active.begin(), left.active.end(), right.active.begin(),
                         right.active.end(), isSameRun)
           && std::equal(left.ended.begin(), left.ended.end(), right.ended.begin(),
                         right.ended.end(), isSameEnd);
}

bool isEqual(const Jobs::OrderReply &left, const Jobs::OrderReply &right)
{
    return left.outcome == right.outcome && left.clock == right.clock;
}

const std::vector<std::string> pollTexts{
    R"({"clock_ms":482113,"born":1700000000000,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0bb8",41,)"
    R"(12.5],["5c0e7a21d94b36f8.0.1.18",1,null,100.75]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,)"
    R"("done",""],[59,"5c0e7a21d94b36f8.0.1.8",12,"failed"]]})",
    R"({ "ended": [], "running": [ ["a.0.0.0", 1, "", 250, null] ], "note": true, "clock_ms": 0 })",
};
const std::string orderText = R"({"accepted":true,"clock_ms":7,"note":"a b","part":0.25})";

/// Edits of one or a few bytes, mostly with what JSON consists of.
std::string mutated(std::string text)
{
    static const std::string pieces = "\"\"\\,,::[]{}0019.-eE nul\t\n\x01\x7f\xc3";
    const auto edits = *rc::gen::resize(
        4, rc::gen::container<std::vector<std::tuple<unsigned, unsigned, unsigned>>>(rc::gen::tuple(
               rc::gen::inRange(0U, 400U), rc::gen::inRange(0U, 4U), rc::gen::inRange(0U, 256U))));
    for (const auto &[place, kind, byte] : edits) {
        const std::size_t position = text.empty() ? 0 : place % text.size();
        const char piece = pieces[byte % pieces.size()];
        if (kind == 0 && !text.empty())
            text[position] = piece;
        else if (kind == 1)
            text.insert(position, 1, piece);
        else if (kind == 2)
            text.erase(position, 1 + byte % 12);
        else
            text.insert(position, text.substr(position, byte));
    }
    return text;
}

} // namespace

TEST_CASE("Usual answers of workers are read without a tree of values")
{
    // Guards against a scheduler that falls back to trees for each answer and starts fewer tasks.
    for (const std::string &text : pollTexts)
        CHECK(readUsualPollReply(text).has_value());
    CHECK(readUsualOrderReply(orderText).has_value());
    CHECK(readUsualOrderReply("{}").has_value());
}

TEST_CASE("Answers are read to the values to which they are decoded")
{
    // Guards against runs that are missed, taken for ended, or ended with another outcome.
    SECTION("usual ones")
    {
        for (const std::string &text : pollTexts)
            CHECK(isEqual(decodePollReply(withText(text)), decodePollReply(withValue(text))));
        CHECK(
            isEqual(decodeOrderReply(withText(orderText)), decodeOrderReply(withValue(orderText))));
        CHECK(decodePollReply(withText(pollTexts[0])).active.size() == 2);
        CHECK(decodePollReply(withText(pollTexts[0])).ended.size() == 2);
    }
    SECTION("malformed ones, and those with other values of JSON")
    {
        const bool held = rc::check("both ways give the same values", [] {
            const std::string poll = mutated(*rc::gen::elementOf(pollTexts));
            RC_ASSERT(isEqual(decodePollReply(withText(poll)), decodePollReply(withValue(poll))));
            const std::string order = mutated(orderText);
            RC_ASSERT(
                isEqual(decodeOrderReply(withText(order)), decodeOrderReply(withValue(order))));
        });
        CHECK(held);
    }
    SECTION("answers that refuse an order")
    {
        CallResult fenced = withText(R"({"reason":"fence"})");
        fenced.httpStatus = 409;
        CHECK(decodeOrderReply(fenced).outcome == Jobs::OrderOutcome::Fenced);
        CHECK(decodePollReply(fenced).outcome == Jobs::OrderOutcome::Fenced);
        CHECK(decodePollReply(withText("{}")).outcome == Jobs::OrderOutcome::Unknown);
        CHECK(decodeOrderReply(withText("[]")).outcome == Jobs::OrderOutcome::Unknown);
    }
}
