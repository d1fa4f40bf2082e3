#pragma once

#include <Kernel/Jobs/WorkerOrders.h>
#include <deque>
#include <utility>
#include <vector>

namespace Peridot::Jobs::Test {

/// Service of the placement advice that handles a number of calls at a time, and the others in
/// turn. A call whose caller has given up keeps its turn. Each worker is allowed for each step.
class AdviceServiceFake
{
public:
    using Answer = std::pair<AdviceRequest, AdviceReply>;

    AdviceServiceFake(std::size_t parallelCalls, Duration delay, Duration delayPerWorker)
        : m_parallelCalls(parallelCalls), m_delay(delay), m_delayPerWorker(delayPerWorker)
    {
    }

    void call(TimePoint now, const AdviceRequest &request)
    {
        ++calls;
        if (m_waiting.size() >= maximumWaiting)
            m_answers.push_back({request, {CallEnd::Refused}});
        else
            m_waiting.push_back({request, now});
    }

    /// Answers that have arrived by \a now, and calls that were given up.
    std::vector<Answer> advance(TimePoint now)
    {
        for (auto *calls : {&m_handled, &m_waiting})
            giveUp(now, *calls);
        if (now >= frozenUntil)
            handle(now);
        return std::exchange(m_answers, {});
    }

    TimePoint frozenUntil;
    int slowness = 1; ///< factor on the time that calls take
    unsigned calls = 0;
    unsigned answeredInVain = 0; ///< after the caller had given up

private:
    static constexpr std::size_t maximumWaiting = 32;

    struct Call
    {
        AdviceRequest request;
        TimePoint sentAt;
        TimePoint endsAt = {};
        bool givenUp = false;
    };

    void giveUp(TimePoint now, std::deque<Call> &calls)
    {
        for (Call &call : calls) {
            if (call.givenUp || now < call.sentAt + call.request.call.timeout)
                continue;
            call.givenUp = true;
            m_answers.push_back({call.request, {CallEnd::NoAnswer}});
        }
    }

    void handle(TimePoint now)
    {
        while (!m_handled.empty() && m_handled.front().endsAt <= now) {
            finish(m_handled.front());
            m_handled.pop_front();
        }
        while (!m_waiting.empty() && m_handled.size() < m_parallelCalls) {
            Call call = std::move(m_waiting.front());
            m_waiting.pop_front();
            const auto named = static_cast<Duration::rep>(call.request.workers.size());
            call.endsAt = now + (m_delay + m_delayPerWorker * named) * slowness;
            m_handled.push_back(std::move(call));
        }
    }

    void finish(const Call &call)
    {
        if (call.givenUp) {
            ++answeredInVain;
            return;
        }
        AdviceReply reply{CallEnd::Answered};
        for (const std::string &worker : call.request.workers)
            reply.tickets[worker] = "ticket";
        m_answers.push_back({call.request, reply});
    }

    std::size_t m_parallelCalls;
    Duration m_delay;
    Duration m_delayPerWorker;
    std::deque<Call> m_waiting;
    std::deque<Call> m_handled;
    std::vector<Answer> m_answers;
};

} // namespace Peridot::Jobs::Test
