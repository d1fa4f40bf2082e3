#include <Kernel/Fleet/OperatorPlans.h>

#include <Kernel/Fleet/FleetKeys.h>

namespace Peridot {

namespace {

Result<const FleetView::Host *> knownHost(const FleetView &view, const std::string &name)
{
    const auto *host = view.host(name);
    if (!host || (!host->record && !host->specification))
        return makeError(ErrorCode::NotFound, rowKey(hostPrefix, name));
    return host;
}

Result<WaveState> nextWaveState(WaveState state, WaveCommand command)
{
    const bool inProgress = state == WaveState::Running || state == WaveState::Paused;
    switch (command) {
    case WaveCommand::Start:
        if (!inProgress)
            return WaveState::Running;
        break;
    case WaveCommand::Pause:
        if (inProgress)
            return WaveState::Paused;
        break;
    case WaveCommand::Resume:
        if (inProgress)
            return WaveState::Running;
        break;
    case WaveCommand::Abort:
        if (inProgress || state == WaveState::Aborted)
            return WaveState::Aborted;
        break;
    }
    return makeError(ErrorCode::InvalidValue, "wave",
                     std::string("the wave is ").append(waveStateNames.nameOf(state)));
}

} // namespace

Result<Transaction> planOperatorDrain(const FleetView &view, const std::string &host,
                                      const OperatorCommand &command)
{
    BOOST_LEAF_AUTO(entry, knownHost(view, host));
    const auto key = rowKey(drainRequestPrefix, host);
    Transaction transaction{command.operationId, {{key, entry->drainRequestVersion}}, {}};
    if (!entry->drainRequest)
        transaction.writes.push_back(
            {key, encodeDrainRequest({host, command.author, command.reason, command.now})});
    return transaction;
}

Result<Transaction> planOperatorUndrain(const FleetView &view, const std::string &host,
                                        const OperatorCommand &command)
{
    BOOST_LEAF_AUTO(entry, knownHost(view, host));
    const auto key = rowKey(drainRequestPrefix, host);
    Transaction transaction{command.operationId, {{key, entry->drainRequestVersion}}, {}};
    if (entry->drainRequest)
        transaction.writes.push_back({key, std::nullopt});
    return transaction;
}

Result<Transaction> planWaveCommand(const FleetView &view, const std::string &pool,
                                    WaveCommand wave, const OperatorCommand &command)
{
    const auto *entry = view.pool(pool);
    if (!entry || !entry->record || !view.manifest())
        return makeError(ErrorCode::NotFound, rowKey(poolPrefix, pool));
    const auto key = rowKey(poolPrefix, pool);
    auto record = *entry->record;
    // A start command that is repeated after its answer was lost has already taken effect.
    if (wave == WaveCommand::Start && record.wave.state == WaveState::Running
        && record.wave.generation == view.manifest()->maintenance.generation)
        return Transaction{command.operationId, {{key, entry->version}}, {}};
    BOOST_LEAF_AUTO(state, nextWaveState(record.wave.state, wave));
    Transaction transaction{command.operationId, {{key, entry->version}}, {}};
    if (state == record.wave.state)
        return transaction;
    record.wave.state = state;
    if (wave == WaveCommand::Start) {
        record.wave.generation = view.manifest()->maintenance.generation;
        record.wave.startedBy = command.author;
        record.wave.startedAt = command.now;
        record.wave.finishedAt = {};
    }
    if (wave == WaveCommand::Abort)
        record.wave.finishedAt = command.now;
    transaction.writes.push_back({key, encodePoolRecord(record)});
    return transaction;
}

} // namespace Peridot
