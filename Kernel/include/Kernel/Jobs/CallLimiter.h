#pragma once

#include <LibBase/EnumTable.h>
#include <LibBase/Time.h>
#include <cstddef>
#include <cstdint>
#include <map>

namespace Peridot::Jobs {

/// How a call to a server has ended.
enum class CallEnd {
    Answered,
    Refused, ///< the server answered that it did not take the call, or not as agreed
    NotSent, ///< the server was not reached
    NoAnswer, ///< may still be handled, although nobody waits for its answer any more
};

constexpr auto callEndNames = makeEnumTable<CallEnd>({
    {CallEnd::Answered, "answered"},
    {CallEnd::Refused, "refused"},
    {CallEnd::NotSent, "not-sent"},
    {CallEnd::NoAnswer, "no-answer"},
});

/// A call that may be sent now.
struct IssuedCall
{
    std::uint64_t number = 0; ///< identifies the call at its end
    Duration timeout{0}; ///< after which the caller gives it up
};

/// Adaptive limit on the calls in flight to one server, and their timeouts.
///
/// A server that handles calls one after another also handles those whose caller has given up. When
/// more calls are sent than it answers within their timeout, each is given up before its turn, and
/// the server does nothing else than work that nobody waits for. So the calls in flight are as many
/// as keep the server busy and about one more, going by how much longer an answer takes than that
/// to a call which found the server idle (a Vegas limit): few for a server that handles calls in
/// turn, many for one that handles them at the same time. After calls without an answer, one call
/// at a time is sent, with a timeout that doubles until it covers the calls that the server still
/// has before it.
class CallLimiter
{
public:
    bool mayCall(TimePoint now) const;
    /// \a expected is the time that the server takes for this call when it has no other one.
    IssuedCall begin(TimePoint now, Duration expected);
    void end(TimePoint now, std::uint64_t number, CallEnd end);

    std::size_t inFlight() const { return m_calls.size(); }
    std::size_t limit() const { return m_limit; }
    /// Whether the latest calls have all ended without an answer.
    bool isFailing() const { return m_failures > 0; }

private:
    struct Call
    {
        TimePoint sentAt;
        Duration expected{0};
        Duration timeout{0};
        std::size_t position = 0; ///< number of calls in flight, with this one, when it was sent
    };

    Duration timeoutFor(Duration expected) const;
    void answered(const Call &call, Duration elapsed);
    void adaptLimit(const Call &call, Duration elapsed);
    void failed(TimePoint now, const Call &call, CallEnd end);

    std::map<std::uint64_t, Call> m_calls; ///< in flight, by number
    std::uint64_t m_lastNumber = 0;
    std::size_t m_limit = 2;
    /// Duration of a call that finds the server idle, over the expected one; 0: not known.
    double m_idleRatio = 0;
    TimePoint m_nextIdleSample; ///< when the next call waits until none is in flight
    Duration m_answerTime{0}; ///< smoothed
    unsigned m_failures = 0; ///< since the latest answer; those of calls sent together count once
    unsigned m_timeouts = 0; ///< of them, calls that were given up
    TimePoint m_latestAnswered; ///< when the latest call with an answer was sent
    TimePoint m_reducedAt; ///< when the limit was last reduced after a failure
    TimePoint m_pausedUntil;
};

} // namespace Peridot::Jobs
