#pragma once

#include <Kernel/Fleet/FleetView.h>

namespace Peridot {

/// Author and operation id of a requested change. A command that is sent again keeps its id.
struct OperatorCommand
{
    std::string operationId;
    std::string author;
    std::string reason;
    TimePoint now;
};

/// Each function returns the conditional transaction that records a command of an operator, or one
/// without writes when the command is already recorded. They need no lease, because the decision
/// depends only on the written row. The holder of the pool carries out the command later.
/// Errors: NotFound for an unknown host or pool, InvalidValue for a wave command that does not
/// apply to the state of the wave.
Result<Transaction> planOperatorDrain(const FleetView &view, const std::string &host,
                                      const OperatorCommand &command);
Result<Transaction> planOperatorUndrain(const FleetView &view, const std::string &host,
                                        const OperatorCommand &command);

enum class WaveCommand { Start, Pause, Resume, Abort };

constexpr auto waveCommandNames = makeEnumTable<WaveCommand>({
    {WaveCommand::Start, "start"},
    {WaveCommand::Pause, "pause"},
    {WaveCommand::Resume, "resume"},
    {WaveCommand::Abort, "abort"},
});

/// Start uses the maintenance generation of the manifest. Abort returns draining hosts and lets
/// hosts that already reboot finish.
Result<Transaction> planWaveCommand(const FleetView &view, const std::string &pool,
                                    WaveCommand wave, const OperatorCommand &command);

} // namespace Peridot
