#include "ServiceFixture.h"

#include <catch2/catch.hpp>

using namespace Peridot;
using namespace Peridot::Jobs;
using namespace Peridot::Jobs::Test;

TEST_CASE("A scheduler that was fenced while it holds the lease does not keep the lease")
{
    // Guards against a process that goes on renewing the lease without scheduling: no other process
    // could schedule either, and no job was started any more (LOST).
    ServiceFixture fixture;
    std::vector<std::uint64_t> epochs; // of the polls
    fixture.onPoll = [&](const PollOrder &order) {
        epochs.push_back(order.fencingEpoch);
        PollReply reply = ServiceFixture::acceptedPoll();
        if (order.fencingEpoch == epochs.front())
            reply.outcome = OrderOutcome::Fenced;
        return reply;
    };
    REQUIRE(
        fixture.runUntil(15s, [&] { return !epochs.empty() && epochs.back() > epochs.front(); }));
}
