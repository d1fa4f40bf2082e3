#include <Kernel/Jobs/CallLimiter.h>

#include <algorithm>

namespace Peridot::Jobs {

namespace {

constexpr std::chrono::milliseconds shortestTimeout{3000};
constexpr std::chrono::milliseconds longestTimeout{60'000};
// Timeouts are this multiple of the time after which the answer is expected.
constexpr int timeoutFactor = 3;
constexpr std::size_t largestLimit = 24;
// The limit is not reduced below this one because of slow answers: one call is handled, and the
// next one is there when it ends.
constexpr std::size_t smallestBusyLimit = 2;
// The limit rises while fewer calls than this wait at the server and over half of it is used, and
// falls while more do.
constexpr double fewestWaiting = 1;
constexpr double mostWaiting = 2;
// A server may become slower for good, which only calls that find it idle show.
constexpr std::chrono::milliseconds idleSamplePeriod{5000};
// Calls don't wait longer than this for the earlier ones to end, for a sample of the idle server.
constexpr std::chrono::milliseconds idleSamplePatience{1000};
// Pause after a failure; doubles with each further one.
constexpr std::chrono::milliseconds firstPause{50};
constexpr std::chrono::milliseconds longestPause{1600};
constexpr unsigned maximumDoublings = 5;
constexpr int answerTimeSmoothing = 8;
// Shorter expected times are those of the network.
constexpr std::chrono::milliseconds shortestExpected{1};

} // namespace

bool CallLimiter::mayCall(TimePoint now) const
{
    if (now < m_pausedUntil || m_calls.size() >= m_limit)
        return false;
    const bool awaitsIdle = now >= m_nextIdleSample && now < m_nextIdleSample + idleSamplePatience;
    return m_calls.empty() || !awaitsIdle;
}

IssuedCall CallLimiter::begin(TimePoint now, Duration expected)
{
    Call call;
    call.sentAt = now;
    call.expected = std::max<Duration>(expected, shortestExpected);
    call.timeout = timeoutFor(call.expected);
    call.position = m_calls.size() + 1;
    if (now >= m_nextIdleSample)
        m_nextIdleSample = now + idleSamplePeriod;
    m_calls.emplace(++m_lastNumber, call);
    return {m_lastNumber, call.timeout};
}

Duration CallLimiter::timeoutFor(Duration expected) const
{
    Duration inTurn = expected;
    for (const auto &[number, call] : m_calls)
        inTurn += call.expected;
    const Duration usual = std::max(inTurn, m_answerTime) * timeoutFactor;
    const Duration doubled = std::max<Duration>(usual, shortestTimeout)
                             * (1 << std::min(m_timeouts, maximumDoublings));
    return std::min<Duration>(doubled, longestTimeout);
}

void CallLimiter::end(TimePoint now, std::uint64_t number, CallEnd end)
{
    const auto found = m_calls.find(number);
    if (found == m_calls.end())
        return;
    const Call call = found->second;
    m_calls.erase(found);
    if (end == CallEnd::Answered)
        answered(call, now - call.sentAt);
    else
        failed(now, call, end);
}

void CallLimiter::answered(const Call &call, Duration elapsed)
{
    m_failures = 0;
    m_timeouts = 0;
    m_latestAnswered = std::max(m_latestAnswered, call.sentAt);
    if (elapsed > m_answerTime)
        m_answerTime = elapsed;
    else
        m_answerTime -= (m_answerTime - elapsed) / answerTimeSmoothing;
    adaptLimit(call, std::max<Duration>(elapsed, shortestExpected));
}

void CallLimiter::adaptLimit(const Call &call, Duration elapsed)
{
    const double ratio = toSeconds(elapsed) / toSeconds(call.expected);
    const bool foundIdle = call.position == 1;
    if (foundIdle || m_idleRatio == 0 || ratio < m_idleRatio)
        m_idleRatio = ratio;
    // Calls that wait at the server, if the answer took longer only because of them.
    const double waiting = static_cast<double>(call.position) * (1 - m_idleRatio / ratio);
    if (waiting > mostWaiting && m_limit > smallestBusyLimit)
        --m_limit;
    else if (waiting < fewestWaiting && call.position * 2 > m_limit)
        m_limit = std::min(m_limit + 1, largestLimit);
}

void CallLimiter::failed(TimePoint now, const Call &call, CallEnd end)
{
    // Of the calls that were in flight together, the first failure counts. The answer to a later
    // call shows that the server does not have this one any more.
    if ((m_failures > 0 && call.sentAt <= m_reducedAt) || call.sentAt < m_latestAnswered)
        return;
    const bool timedOut = end == CallEnd::NoAnswer && now >= call.sentAt + call.timeout;
    m_limit = timedOut ? 1 : std::max<std::size_t>(1, m_limit / 2);
    m_timeouts += timedOut ? 1 : 0;
    m_reducedAt = now;
    m_pausedUntil = now
                    + std::min<Duration>(firstPause * (1 << std::min(m_failures, maximumDoublings)),
                                         longestPause);
    ++m_failures;
}

} // namespace Peridot::Jobs
