#include "Measurement.h"
#include "Quantile.h"
#include "RequestDeployment.h"

#include <array>
#include <fmt/format.h>
#include <iostream>
#include <memory>

namespace Peridot {

namespace {

using namespace std::chrono_literals;

constexpr double load = 0.7;
/// The sliding window of the budget is full when the fault begins.
constexpr Duration beforeFault = 10s;
constexpr Duration faultTime = 20s;
constexpr Duration afterFault = 6s;
/// Recovery is judged by the requests that arrive in one such interval.
constexpr Duration recoveryInterval = 250ms;
constexpr std::size_t recoveryIntervals = afterFault / recoveryInterval;
/// Part of the requests of an interval that succeed when the service has recovered.
constexpr double recoveredPart = 0.99;
/// More than any service could use.
constexpr double unlimited = 1e9;
constexpr unsigned failingServers = 2;
constexpr double randomFailurePart = 0.05;

enum class Scenario { ServersLost, ServiceLost, RandomFailures };

constexpr auto scenarioNames = makeEnumTable<Scenario>({
    {Scenario::ServersLost, "two-servers-lose-connections"},
    {Scenario::ServiceLost, "all-servers-of-a-service-lose-connections"},
    {Scenario::RandomFailures, "five-percent-of-attempts-fail"},
});

/// Counts what callers of idempotent requests see, and what servers receive.
class RetryRun
{
public:
    RetryRun(const RequestDeployment &deployment, Scenario scenario, RetryBudgetSettings budget)
        : m_scenario(scenario), m_random(measurementSeed)
    {
        SimulationSettings settings = requestSettings(deployment, load);
        settings.retries = budget;
        settings.warmUp = beforeFault;
        settings.measured = faultTime + afterFault;
        if (scenario == Scenario::ServiceLost)
            divideServers(settings);
        m_simulation = std::make_unique<RequestSimulation>(settings);
        m_faultBegin = m_simulation->start() + beforeFault;
        m_faultEnd = m_faultBegin + faultTime;
        m_simulation->attemptFault = [this](unsigned service, unsigned server) {
            return attemptFault(service, server);
        };
        m_simulation->requestEnded = [this](const SimulatedEnd &end) {
            count(end);
        };
        m_simulation->run();
    }

    std::string figures() const
    {
        const auto ratio = [](std::uint64_t part, std::uint64_t all) {
            return all == 0 ? 1 : static_cast<double>(part) / static_cast<double>(all);
        };
        std::string line = fmt::format(
            "goodput={:.4f} load_multiplication={:.3f} recovery_seconds={:.2f} p99_ms={:.1f}",
            ratio(m_good, m_arrived), ratio(m_attempts, m_requests), recovery(),
            quantile(m_seconds, 0.99) * 1000);
        if (m_scenario == Scenario::ServiceLost)
            line += fmt::format(" others_goodput={:.4f} others_p99_ms={:.1f}",
                                ratio(m_othersGood, m_othersArrived),
                                quantile(m_othersSeconds, 0.99) * 1000);
        return line;
    }

private:
    /// Each service gets its own fifth of the servers.
    static void divideServers(SimulationSettings &settings)
    {
        const auto part = settings.backendServers / static_cast<unsigned>(settings.services.size());
        for (unsigned index = 0; index < settings.services.size(); ++index) {
            settings.services[index].firstServer = index * part;
            settings.services[index].servers = part;
        }
    }

    bool isAffected(unsigned service) const
    {
        return m_scenario != Scenario::ServiceLost || service == 0;
    }

    bool inFault(TimePoint time) const { return time >= m_faultBegin && time < m_faultEnd; }

    std::optional<AttemptStatus> attemptFault(unsigned service, unsigned server)
    {
        if (!inFault(m_simulation->now()))
            return std::nullopt;
        m_attempts += isAffected(service) ? 1 : 0;
        const bool fails = m_scenario == Scenario::ServersLost ? server < failingServers
                           : m_scenario == Scenario::ServiceLost
                               ? service == 0
                               : m_random.unit() < randomFailurePart;
        return fails ? std::optional(AttemptStatus::ConnectionLost) : std::nullopt;
    }

    void count(const SimulatedEnd &end)
    {
        const bool affected = isAffected(end.service);
        m_requests += affected && inFault(end.arrival) ? 1 : 0;
        if (!end.idempotent)
            return;
        if (affected && end.arrival >= m_faultEnd) {
            const auto interval
                = static_cast<std::size_t>((end.arrival - m_faultEnd) / recoveryInterval);
            if (interval < recoveryIntervals) {
                ++m_intervalArrived[interval];
                m_intervalGood[interval] += end.good ? 1 : 0;
            }
        }
        if (!inFault(end.arrival))
            return;
        ++(affected ? m_arrived : m_othersArrived);
        if (!end.good)
            return;
        ++(affected ? m_good : m_othersGood);
        (affected ? m_seconds : m_othersSeconds).push_back(toSeconds(end.time - end.arrival));
    }

    /// Seconds from the end of the fault to the end of the last interval that was not good.
    double recovery() const
    {
        std::size_t recovered = 0;
        for (std::size_t interval = 0; interval < recoveryIntervals; ++interval) {
            if (static_cast<double>(m_intervalGood[interval])
                < recoveredPart * static_cast<double>(m_intervalArrived[interval]))
                recovered = interval + 1;
        }
        return static_cast<double>(recovered) * toSeconds(recoveryInterval);
    }

    const Scenario m_scenario;
    RandomSource m_random;
    TimePoint m_faultBegin;
    TimePoint m_faultEnd;
    std::uint64_t m_attempts = 0; ///< at the servers during the fault, of affected services
    std::uint64_t m_requests = 0; ///< that arrived during the fault, of affected services
    std::uint64_t m_arrived = 0; ///< idempotent ones among them
    std::uint64_t m_good = 0;
    std::uint64_t m_othersArrived = 0;
    std::uint64_t m_othersGood = 0;
    std::vector<double> m_seconds;
    std::vector<double> m_othersSeconds;
    std::array<std::uint64_t, recoveryIntervals> m_intervalArrived{};
    std::array<std::uint64_t, recoveryIntervals> m_intervalGood{};
    std::unique_ptr<RequestSimulation> m_simulation;
};

/// Compares retry budgets under faults of backend servers.
class RetryMeasurement : public Measurement
{
public:
    int run(const std::vector<std::string> &) override
    {
        std::cout << fmt::format(
            "measure=retries entry_processes=7 backend_servers=50 slots=400 services=5 "
            "base_load={} fault_seconds={} seed={} time=virtual\n",
            load, toSeconds(faultTime), measurementSeed);
        std::vector<std::function<std::string()>> jobs;
        for (const RequestDeployment &deployment : requestDeployments()) {
            for (const Scenario scenario :
                 {Scenario::ServersLost, Scenario::ServiceLost, Scenario::RandomFailures}) {
                for (const RetryBudgetSettings budget : budgets())
                    jobs.emplace_back([&deployment, scenario, budget] {
                        return lineOf(deployment, scenario, budget);
                    });
            }
        }
        runMeasurementJobs(jobs);
        return 0;
    }

private:
    static std::vector<RetryBudgetSettings> budgets()
    {
        constexpr double fixedRate = 10;
        std::vector<RetryBudgetSettings> list;
        for (const double rate : {0.0, fixedRate}) {
            for (const double fraction : {0.0, 0.05, 0.1, 0.2, 0.5})
                list.push_back({fraction, rate});
        }
        list.push_back({0, unlimited});
        return list;
    }

    static std::string lineOf(const RequestDeployment &deployment, Scenario scenario,
                              RetryBudgetSettings budget)
    {
        const std::string name = budget.perSecond >= unlimited
                                     ? "unlimited"
                                     : fmt::format("{:.0f}%", budget.fraction * 100);
        return fmt::format("measure=retries deployment={} scenario={} budget={} per_second={} {}\n",
                           deployment.name, scenarioNames.nameOf(scenario), name,
                           budget.perSecond >= unlimited ? 0 : budget.perSecond,
                           RetryRun(deployment, scenario, budget).figures());
    }
};

const PluginRegistrar<MeasurementRegistry> registrar("retries", [] {
    return std::make_unique<RetryMeasurement>();
});

} // namespace

} // namespace Peridot
