#include <Kernel/Jobs/StepAdvice.h>

namespace Peridot::Jobs {

namespace {

// A start has to reach the worker before its ticket ends.
constexpr std::chrono::milliseconds ticketMargin{300};
// The time of a call grows with each worker named, and the calls of a host are handled in turn.
constexpr std::size_t workersPerRequest = 30;
constexpr std::chrono::milliseconds retryPause{200};

} // namespace

std::optional<std::string> StepAdvice::ticket(const std::string &worker, TimePoint now) const
{
    const auto found = m_granted.find(worker);
    if (found == m_granted.end() || now >= found->second.until)
        return std::nullopt;
    return found->second.ticket;
}

std::vector<std::string> StepAdvice::workersToQuery(const std::vector<std::string> &usable,
                                                    TimePoint now) const
{
    std::vector<std::string> result;
    if (m_inFlight || now < m_nextRequestAt)
        return result;
    for (const std::string &worker : usable) {
        if (result.size() < workersPerRequest && !m_denied.contains(worker) && !ticket(worker, now))
            result.push_back(worker);
    }
    return result;
}

void StepAdvice::requestFinished(TimePoint now, const AdviceRequest &request,
                                 const AdviceReply &reply, Duration validity)
{
    m_inFlight = false;
    if (!reply.answered) {
        m_nextRequestAt = now + retryPause;
        return;
    }
    for (const std::string &worker : request.workers) {
        const auto found = reply.tickets.find(worker);
        if (found == reply.tickets.end())
            m_denied.insert(worker);
        else
            m_granted[worker] = {found->second, now + validity - ticketMargin};
    }
}

} // namespace Peridot::Jobs
