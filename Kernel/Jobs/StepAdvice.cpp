#include <Kernel/Jobs/StepAdvice.h>

#include <algorithm>
#include <iterator>

namespace Peridot::Jobs {

namespace {

// A ticket is not used in the last part of its validity, because the start order has to reach the
// worker before it expires.
constexpr std::chrono::milliseconds ticketExpiryMargin{300};
// Limit on the workers in one request: its duration grows with their number, and the requests of a
// host are handled one after the other.
constexpr std::size_t maximumWorkersPerRequest = 30;
constexpr std::chrono::milliseconds requestRetryDelay{200};
// An answer that could not be read as a whole is likely to come again.
constexpr std::chrono::milliseconds unreadableRetryDelay{1000};

} // namespace

std::optional<std::string> StepAdvice::ticket(const std::string &worker, TimePoint now) const
{
    const auto found = m_granted.find(worker);
    if (found == m_granted.end() || now >= found->second.until)
        return std::nullopt;
    return found->second.ticket;
}

bool StepAdvice::mustQuery(const std::string &worker, TimePoint now) const
{
    return !m_denied.contains(worker) && !ticket(worker, now);
}

std::vector<std::string> StepAdvice::workersToQuery(const std::vector<std::string> &usable,
                                                    TimePoint now) const
{
    std::vector<std::string> result;
    if (!mayRequest(now))
        return result;
    // While requests are not answered, each one names the next workers.
    std::vector<std::string> inTurn = usable;
    const auto next = std::find(inTurn.begin(), inTurn.end(), m_lastUnanswered);
    if (next != inTurn.end())
        std::rotate(inTurn.begin(), std::next(next), inTurn.end());
    for (const std::string &worker : inTurn) {
        if (result.size() < maximumWorkersPerRequest && mustQuery(worker, now))
            result.push_back(worker);
    }
    return result;
}

TimePoint StepAdvice::needRequest(TimePoint now)
{
    if (!m_needsRequestSince)
        m_needsRequestSince = now;
    return *m_needsRequestSince;
}

void StepAdvice::requestSent()
{
    m_inFlight = true;
    m_needsRequestSince.reset();
}

void StepAdvice::requestFinished(TimePoint now, const AdviceRequest &request,
                                 const AdviceReply &reply, Duration validity)
{
    m_inFlight = false;
    if (reply.end != CallEnd::Answered) {
        m_nextRequestAt = now + requestRetryDelay;
        if (!request.workers.empty())
            m_lastUnanswered = request.workers.back();
        return;
    }
    m_lastUnanswered.clear();
    const TimePoint grantedAt = now - reply.waited;
    for (const std::string &worker : request.workers) {
        const auto found = reply.tickets.find(worker);
        if (found != reply.tickets.end())
            m_granted[worker] = {found->second, grantedAt + validity - ticketExpiryMargin};
        else if (reply.unreadableEntries == 0)
            m_denied.insert(worker);
        else
            m_nextRequestAt = now + unreadableRetryDelay;
    }
}

} // namespace Peridot::Jobs
