#pragma once

#include "PlatformSettings.h"
#include "SimulatedWorker.h"
#include <LibStore/PlatformCodec.h>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace Peridot {

/// All simulated workers and the lagging list of hosts.
class WorkerFleet
{
public:
    WorkerFleet(const PlatformSettings &settings, TimePoint now);
    WorkerFleet(const WorkerFleet &) = delete;
    WorkerFleet &operator=(const WorkerFleet &) = delete;

    void tick(TimePoint now);

    /// Newest list that is at least as old as the lag, or the frozen one.
    const HostList &hostList(TimePoint now) const;
    /// Serves the present list until then.
    void freezeHostList(TimePoint now, TimePoint until);

    SimulatedWorker *find(const std::string &host);
    /// Calls \a change for each worker whose name, rack or data centre is the given one; empty
    /// names match nothing. Returns how many there were.
    std::size_t forEach(const std::string &host, const std::string &rack,
                        const std::string &dataCentre,
                        const std::function<void(SimulatedWorker &)> &change);
    void setBehaviour(const JobBehaviour &behaviour);

private:
    void publish(TimePoint now);

    PlatformSettings m_settings;
    std::map<std::string, JobBehaviour> m_behaviours;
    std::map<std::string, SimulatedWorker> m_workers;
    std::deque<HostList> m_lists; ///< oldest first
    HostList m_frozenList;
    TimePoint m_frozenUntil{};
    TimePoint m_ticked{};
};

} // namespace Peridot
