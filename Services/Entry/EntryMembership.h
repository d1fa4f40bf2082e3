#pragma once

#include "EntryProcess.h"
#include "HostWatcher.h"
#include <LibMembership/MembershipAgent.h>
#include <LibMembership/PacedStore.h>
#include <LibStore/StorePacer.h>
#include <atomic>
#include <memory>

namespace Peridot {

/// Limits of the store over all processes, from the settings.
StorePacerSettings storeLimits(const EntrySettings &settings);

/// Connects an entry process to the other members: membership lease, configuration, routing table
/// and slot messages. Call provide(), EntryProcess::start() and start() in this order, and at the
/// end EntryProcess::stop() before stop().
class EntryMembership
{
public:
    /// \a settings must have a membership section and outlive this object.
    explicit EntryMembership(const EntrySettings &settings);
    ~EntryMembership();
    EntryMembership(const EntryMembership &) = delete;
    EntryMembership &operator=(const EntryMembership &) = delete;

    /// Sets the dependencies of the entry process on its membership.
    void provide(EntryProcess::Dependencies &dependencies);
    /// Errors: those of MembershipAgent::start().
    Result<void> start(EntryProcess &process);
    /// Removes the member row and joins the thread.
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
    std::shared_ptr<HttpChannel> m_channel; ///< runs its callbacks on the thread of the agent
    std::unique_ptr<PlatformClient> m_platform;
    PacedStore *m_store = nullptr; ///< owned by the agent, used on its thread
    std::unique_ptr<HostWatcher> m_watcher;
    std::size_t m_processes = 0;
};

} // namespace Peridot
