#pragma once

#include <LibBase/EnumTable.h>

namespace Peridot {

/// What the stand-in does wrong with one request.
enum class Fault {
    None,
    DieInBody, ///< runs, closes the connection in the middle of the body
    DieInChunkedBody, ///< the same with a chunked body
    WrongLength, ///< runs, states a longer body than it sends, then closes
    ExcessLength, ///< runs, sends more bytes than stated
    Undelimited, ///< runs, ends the body by closing the connection
    CloseBeforeAnswer, ///< runs, closes without an answer
    CloseReused, ///< as CloseBeforeAnswer, but only on a connection that already served a request
    Slow, ///< runs for a long time
    Refuse, ///< does not run, 503 with Peridot-Refused: 1
    Leaving, ///< does not run, 503 with Peridot-Refused: 1 and Peridot-Leaving: 1
    FailFast, ///< runs, 500 at once
    WrongId, ///< runs, answers with another Request-Id
};

constexpr auto faultNames = makeEnumTable<Fault>({
    {Fault::None, "none"},
    {Fault::DieInBody, "die-in-body"},
    {Fault::DieInChunkedBody, "die-in-chunked-body"},
    {Fault::WrongLength, "wrong-length"},
    {Fault::ExcessLength, "excess-length"},
    {Fault::Undelimited, "undelimited"},
    {Fault::CloseBeforeAnswer, "close-before-answer"},
    {Fault::CloseReused, "close-reused"},
    {Fault::Slow, "slow"},
    {Fault::Refuse, "refuse"},
    {Fault::Leaving, "leaving"},
    {Fault::FailFast, "fail-fast"},
    {Fault::WrongId, "wrong-id"},
});

} // namespace Peridot
