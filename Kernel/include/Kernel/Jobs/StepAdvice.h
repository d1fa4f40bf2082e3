#pragma once

#include <Kernel/Jobs/WorkerOrders.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Peridot::Jobs {

/// Answers of the placement advice about one step: the workers that may run it, and the tickets
/// that start orders to them must carry. Tickets expire, whereas a denial is final.
class StepAdvice
{
public:
    /// Valid ticket for a start on \a worker, if there is one.
    std::optional<std::string> ticket(const std::string &worker, TimePoint now) const;
    /// Whether the advice on \a worker is neither known nor final.
    bool mustQuery(const std::string &worker, TimePoint now) const;
    /// Whether a request may be sent now: none is in flight, and the latest was not refused just
    /// before.
    bool mayRequest(TimePoint now) const { return !m_inFlight && now >= m_nextRequestAt; }
    /// Whether the advice has not said anything yet that holds now or later.
    bool isUnknown() const { return m_granted.empty() && m_denied.empty(); }
    /// Whether a request is needed or in flight.
    bool isWaiting() const { return m_inFlight || m_needsRequestSince; }
    /// Workers of \a usable to include in the next request, those at the front first; empty while a
    /// request is in flight.
    std::vector<std::string> workersToQuery(const std::vector<std::string> &usable,
                                            TimePoint now) const;

    /// Notes that the step needs a request, and returns since when it has needed one.
    TimePoint needRequest(TimePoint now);
    void requestSent();
    void requestFinished(TimePoint now, const AdviceRequest &request, const AdviceReply &reply,
                         Duration validity);
    /// Discards the ticket that \a worker did not accept.
    void ticketRejected(const std::string &worker) { m_granted.erase(worker); }

private:
    struct Grant
    {
        std::string ticket;
        TimePoint until;
    };

    std::map<std::string, Grant> m_granted;
    std::set<std::string> m_denied;
    bool m_inFlight = false;
    std::string m_lastUnanswered; ///< last worker of the latest request without an answer
    TimePoint m_nextRequestAt;
    std::optional<TimePoint> m_needsRequestSince; ///< nothing: it needs none, or has just sent one
};

} // namespace Peridot::Jobs
