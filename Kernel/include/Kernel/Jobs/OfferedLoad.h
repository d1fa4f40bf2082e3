#pragma once

#include <Kernel/Jobs/AdmissionControl.h>
#include <Kernel/Jobs/OfferedReport.h>
#include <LibBase/Time.h>
#include <map>
#include <string>

namespace Peridot::Jobs {

/// Joins the reports of all processes to what is submitted to the whole service. The rate of a part
/// is the difference of two reports of one life of its process.
class OfferedLoad
{
public:
    /// Takes a report that was received at \a now. Earlier ones of the same process do nothing.
    void report(TimePoint now, const std::string &host, const OfferedReport &report);
    /// Forgets the reports of the host.
    void remove(const std::string &host) { m_parts.erase(host); }
    /// Adds the rates of the parts that are new enough to the queues of \a demand.
    void addTo(SchedulerDemand &demand, TimePoint now) const;

private:
    struct Part
    {
        OfferedReport latest;
        TimePoint receivedAt;
        double seconds = 0; ///< between the latest two reports; 0: there is only one
        OfferedCounts differences; ///< between the latest two reports
    };
    std::map<std::string, Part> m_parts; ///< by host
};

} // namespace Peridot::Jobs
