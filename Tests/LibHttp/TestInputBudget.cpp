#include <LibHttp/InputBudget.h>
#include <catch2/catch.hpp>
#include <set>

using namespace Peridot;

namespace {

constexpr std::size_t kilobyte = 1024;

/// Budget with two servers whose connections are closed in name only.
struct BudgetFixture
{
    std::shared_ptr<InputBudget> budget
        = std::make_shared<InputBudget>(InputBudget::Limits{1000 * kilobyte, 2});
    InputBudget::ServerId callers = budget->addServer(3);
    InputBudget::ServerId readiness = budget->addServer(1);
    std::set<std::uint64_t> closed; ///< connections that the budget closed
    std::set<std::uint64_t> closedWithAnswersDue;

    void open(std::uint64_t connection, InputBudget::ServerId server)
    {
        budget->connectionOpened(server, connection, [this, connection](bool answersDue) {
            (answersDue ? closedWithAnswersDue : closed).insert(connection);
        });
    }
    void open(std::uint64_t connection) { open(connection, callers); }
    void receive(std::uint64_t connection, std::size_t bytes)
    {
        budget->inputReceived(callers, connection, bytes);
    }
    std::unique_ptr<InputBudget::RequestCharge> begin(std::uint64_t connection,
                                                      std::size_t bytes = 0)
    {
        return InputBudget::beginRequest(budget, callers, connection, bytes);
    }
    void answer(std::uint64_t connection, std::size_t bytes = 100)
    {
        budget->answerQueued(callers, connection, bytes);
    }
    void take(std::uint64_t connection, std::size_t bytes = 100)
    {
        budget->answerWritten(callers, connection, bytes);
    }
};

using Set = std::set<std::uint64_t>;

} // namespace

TEST_CASE_METHOD(BudgetFixture, "Connections beyond the limit of a server")
{
    for (const std::uint64_t connection : {1, 2, 3})
        open(connection);
    SECTION("close the one that has been idle the longest")
    {
        // Guards against silent clients that keep ordinary ones in the backlog.
        auto charge = begin(1);
        answer(1);
        take(1);
        open(4);
        CHECK(closed == Set{2});
        CHECK(budget->refusals(InputLimit::Connections) == 1);
        open(5);
        CHECK(closed == Set{2, 3});
        open(6);
        CHECK(closed == Set{1, 2, 3});
    }
    SECTION("close an unfinished request although it goes on in small pieces")
    {
        receive(1, 10);
        for (const std::uint64_t connection : {2, 3}) {
            auto charge = begin(connection);
            answer(connection);
            take(connection);
            receive(1, 1);
        }
        open(4);
        CHECK(closed == Set{1});
    }
    SECTION("close an answer that is not taken")
    {
        auto charge = begin(1);
        answer(1);
        for (const std::uint64_t connection : {2, 3}) {
            charge = begin(connection);
            answer(connection);
            take(connection);
        }
        open(4);
        CHECK(closedWithAnswersDue == Set{1});
    }
    SECTION("are closed themselves while all others have a request in handling")
    {
        auto first = begin(1);
        auto second = begin(2);
        auto third = begin(3);
        open(4);
        CHECK(closed == Set{4});
        CHECK(closedWithAnswersDue.empty());
    }
    SECTION("close a client that pipelines, although it always has a request in handling")
    {
        auto first = begin(1);
        auto second = begin(2);
        auto third = begin(3);
        auto pipelined = begin(2);
        open(4);
        CHECK(closed.empty());
        CHECK(closedWithAnswersDue == Set{2});
    }
    SECTION("do not touch another server")
    {
        open(1, readiness);
        CHECK(closed.empty());
        open(2, readiness);
        CHECK(closed == Set{1});
    }
    SECTION("find room where a connection has ended")
    {
        budget->connectionClosed(callers, 2);
        open(4);
        CHECK(closed.empty());
    }
}

TEST_CASE_METHOD(BudgetFixture, "Bytes beyond the limit")
{
    open(1);
    open(2);
    SECTION("close the oldest unfinished request")
    {
        receive(1, 200 * kilobyte);
        receive(2, 200 * kilobyte);
        CHECK(closed.empty());
        open(3);
        receive(3, 200 * kilobyte);
        CHECK(closed == Set{1});
        CHECK(budget->refusals(InputLimit::Bytes) == 1);
        SECTION("whose request is refused when it ends all the same")
        {
            // Guards against a refusal that is sent although the request runs.
            CHECK_FALSE(begin(1));
        }
        SECTION("and count no longer when it has ended")
        {
            budget->connectionClosed(callers, 1);
            budget->connectionClosed(callers, 2);
            budget->connectionClosed(callers, 3);
            CHECK(budget->chargedBytes() == 0);
        }
    }
    SECTION("close unfinished requests before whole ones are refused")
    {
        receive(1, 450 * kilobyte);
        const auto charge = begin(2, 100 * kilobyte);
        CHECK(charge);
        CHECK(closed == Set{1});
    }
    SECTION("refuse whole requests while those in handling take all")
    {
        auto first = begin(1, 200 * kilobyte);
        REQUIRE(first);
        CHECK_FALSE(begin(2, 100 * kilobyte));
        CHECK(budget->refusals(InputLimit::Requests) == 1);
        CHECK(closed.empty());
        answer(2);
        take(2);
        SECTION("until these have been answered")
        {
            answer(1);
            first.reset();
            CHECK(begin(2, 100 * kilobyte));
        }
    }
    SECTION("refuse small requests when too many are in handling")
    {
        // Guards against requests that cost far more than their bytes.
        std::vector<std::unique_ptr<InputBudget::RequestCharge>> charges;
        while (auto charge = begin(1))
            charges.push_back(std::move(charge));
        CHECK(charges.size() > 20);
        CHECK(charges.size() < 100);
    }
    SECTION("close clients that do not take their answers")
    {
        auto charge = begin(1);
        answer(1, 2000 * kilobyte);
        CHECK(closedWithAnswersDue == Set{1});
    }
}

TEST_CASE_METHOD(BudgetFixture, "Refused connections linger in limited number")
{
    // Guards against descriptors that are held by refused clients which do not read.
    CHECK(budget->beginLingering());
    CHECK(budget->beginLingering());
    CHECK_FALSE(budget->beginLingering());
    budget->endLingering();
    CHECK(budget->beginLingering());
}
