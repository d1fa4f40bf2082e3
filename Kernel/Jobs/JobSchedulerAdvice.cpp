// Tickets of the placement advice.

#include <Kernel/Jobs/JobScheduler.h>

namespace Peridot::Jobs {

void JobScheduler::adviceFinished(TimePoint now, const AdviceRequest &request,
                                  const AdviceReply &reply)
{
    const Job *job = jobOf(request.step);
    const Duration validity = job == nullptr ? Duration{0} : queueOf(*job).adviceValidity;
    m_advice.requestFinished(now, request, reply, validity);
}

bool JobScheduler::waitsForAdvice(const Job &job) const
{
    return job.hasReadyTasks() && m_advice.isAwaitedBy(job.id());
}

bool JobScheduler::lacksTicket(TimePoint now, const RunName &run, const std::string &worker)
{
    const Job *job = jobOf(run.task);
    return job != nullptr && m_advice.isNeededFor(queueOf(*job))
           && !m_advice.ticket(run.task, worker, now);
}

} // namespace Peridot::Jobs
