#pragma once

#include <Kernel/Jobs/WorkerOrders.h>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Peridot::Jobs {

/// What the placement advice said about one step: which workers may run it, and the tickets that
/// their starts must carry for a limited time. Which workers may run the step does not change.
class StepAdvice
{
public:
    /// Ticket for a start on \a worker, or nothing when there is none that is valid.
    std::optional<std::string> ticket(const std::string &worker, TimePoint now) const;
    /// Workers of \a usable to ask about now; empty while a request is under way.
    std::vector<std::string> toAsk(const std::vector<std::string> &usable, TimePoint now) const;

    void asked() { m_inFlight = true; }
    void finished(TimePoint now, const AdviceRequest &request, const AdviceReply &reply,
                  Duration validity);
    /// The worker did not accept the ticket.
    void rejected(const std::string &worker) { m_granted.erase(worker); }

private:
    struct Grant
    {
        std::string ticket;
        TimePoint until;
    };

    std::map<std::string, Grant> m_granted;
    std::set<std::string> m_denied;
    bool m_inFlight = false;
    TimePoint m_notBefore;
};

} // namespace Peridot::Jobs
