#pragma once

#include "EntryProcess.h"
#include "HostWatcher.h"
#include <LibMembership/MembershipAgent.h>
#include <LibMembership/PacedStore.h>
#include <LibStore/StorePacer.h>
#include <atomic>
#include <memory>

namespace Peridot {

/// Limits of the store over all processes, by the settings.
StorePacerSettings storeLimits(const EntrySettings &settings);

/// Joins an entry process to the other members: membership lease, configuration, routing table and
/// slot messages. The order is: supply(), EntryProcess::start(), start(); at the end
/// EntryProcess::stop(), then stop().
class EntryControl
{
public:
    /// \a settings has a membership section and outlives this object.
    explicit EntryControl(const EntrySettings &settings);
    ~EntryControl();
    EntryControl(const EntryControl &) = delete;
    EntryControl &operator=(const EntryControl &) = delete;

    /// Fills the parts through which the entry process depends on its membership.
    void supply(EntryProcess::Parts &parts);
    /// Errors: those of MembershipAgent::start().
    Result<void> start(EntryProcess &process);
    /// Removes the member row and ends the thread.
    void stop();

private:
    MembershipAgentSettings agentSettings(const EntryProcess &process) const;
    MembershipHooks hooks(EntryProcess &process);
    void makeAgent(EntryProcess &process);
    void configurationChanged(std::uint64_t version, const std::string &manifest);
    void agentTicked(MembershipNode &node, TimePoint now);

    const EntrySettings &m_settings;
    std::unique_ptr<MembershipAgent> m_agent;
    std::atomic<MembershipAgent *> m_published{nullptr}; ///< set once the agent runs
    std::shared_ptr<HttpChannel> m_channel; ///< calls its callbacks on the thread of the agent
    std::unique_ptr<PlatformClient> m_platform;
    PacedStore *m_store = nullptr; ///< owned by the agent, used on its thread
    std::unique_ptr<HostWatcher> m_watcher;
    std::size_t m_processes = 0;
};

} // namespace Peridot
