#pragma once

#include <LibBase/Time.h>
#include <map>
#include <string>

namespace Peridot::Jobs {

/// Shares of the submissions to one queue that are accepted.
struct QueueShares
{
    double all = 1; ///< of all submissions together
    double others = 1; ///< of each organisation that is not listed, and of callers without one
    std::map<std::string, double> organisations = {}; ///< beyond their rate, by name

    double of(const std::string &organisation) const;
};

/// Submissions to one queue, in jobs per second.
struct OrganisationOffer
{
    double offered = 0;
    double withinRate = 0; ///< part of them up to the rate of the organisation
};

/// Divides the share \a all of the submissions among those who offer them, by organisation.
/// Submissions beyond the rates are refused first. When that is enough, what is left over goes to
/// the organisations beyond their rates in proportion to these rates; when it is not, all are
/// reduced in proportion (weighted max-min fairness), unless submissions within the rates are
/// accepted up to the share \a withinRates of all: jobs beyond the rates don't delay them. Then
/// more than \a all is accepted.
QueueShares divideShare(double all, double withinRates,
                        const std::map<std::string, OrganisationOffer> &offers);

/// Tells which part of what an organisation submits is within its rate, its weight in jobs per
/// second over all queues (token bucket).
class OrganisationRates
{
public:
    /// Takes the submissions per second, and the weights, by organisation. Organisations without a
    /// weight have no rate.
    void update(Duration elapsed, const std::map<std::string, double> &offered,
                const std::map<std::string, double> &weights);
    /// Takes that the organisation is beyond its rate now.
    void exhaust(const std::string &organisation) { m_buckets[organisation] = {}; }
    /// Part of the submissions that is within the rate, from 0 to 1.
    double partWithinRate(const std::string &organisation) const;

private:
    struct Bucket
    {
        double tokens = 0; ///< jobs
        double partWithinRate = 1;
    };
    std::map<std::string, Bucket> m_buckets; ///< by organisation
};

} // namespace Peridot::Jobs
