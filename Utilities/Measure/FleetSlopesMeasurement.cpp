#include "Measurement.h"

#include <FleetFake/FleetDriver.h>
#include <FleetFake/FleetFixture.h>
#include <Kernel/Fleet/FleetKeys.h>
#include <Kernel/Fleet/PlacementPolicy.h>
#include <LibBase/Random.h>
#include <algorithm>
#include <chrono>
#include <cmath>
#include <fmt/core.h>
#include <fstream>
#include <malloc.h>

namespace Peridot {

namespace {

struct Size
{
    unsigned hosts;
    unsigned pools;
    unsigned teams;
    unsigned dataCentres;
    unsigned accelerators;
};

// The largest is the target size of the requirements; the others are one and two decades below.
constexpr Size sizes[] = {
    {150, 3, 5, 3, 280},
    {1500, 10, 44, 7, 2800},
    {15000, 98, 440, 21, 28000},
};

constexpr unsigned changes = 200;
constexpr std::uint64_t seed = 5;

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return toSeconds(std::chrono::steady_clock::now() - start);
}

double heapMegabytes()
{
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / (1 << 20);
}

Manifest manifestOf(const Size &size)
{
    FixtureOptions options;
    options.pools.clear();
    for (unsigned pool = 0; pool < size.pools; ++pool)
        options.pools.push_back(fmt::format("p{:03}", pool));
    options.sparePool = options.pools.back();
    options.hosts = size.hosts;
    options.dataCentres = size.dataCentres;
    options.budget = std::max(2U, size.hosts / size.pools / 20);
    options.capacity = {32, 128, 0};
    auto manifest = makeManifest(options);
    unsigned left = size.accelerators;
    for (auto &host : manifest.hosts) {
        // Eight accelerators on each of the first hosts, until all are assigned.
        host.capacity.accelerators = std::min(8U, left);
        left -= host.capacity.accelerators;
    }
    for (unsigned team = 0; team < size.teams; ++team)
        manifest.teams.push_back({fmt::format("t{:03}", team), {1e6, 1e6, 100000}});
    return manifest;
}

struct Figures
{
    double decisionsPerSecond = 0;
    double changeMilliseconds = 0;
    double fullPassMilliseconds = 0;
    double manifestMilliseconds = 0;
    double viewMegabytes = 0;
    unsigned placed = 0;
};

/// Cost of the kernel by itself, in the time of the machine: no table latency, no workers.
class SlopeRun
{
public:
    explicit SlopeRun(const Size &size);

    Figures run();

private:
    void admit();
    void applyReports();
    double planAndCommitAll(unsigned &placements);
    double planPools(const std::set<std::string> &pools);
    double fullPass();

    Size m_size;
    RandomSource m_random{seed};
    std::shared_ptr<Manifest> m_manifest;
    FakeTable m_table;
    FakeFleet m_fleet;
    FleetDriver m_driver;
    FleetDriver::Reconcilers m_reconcilers;
    TimePoint m_now = TimePoint(std::chrono::hours(1000));
};

SlopeRun::SlopeRun(const Size &size)
    : m_size(size), m_manifest(std::make_shared<Manifest>(manifestOf(size))), m_fleet(Manifest()),
      m_driver("measure", m_table, m_fleet, FleetDriver::standardReconcilers()),
      m_reconcilers(FleetDriver::standardReconcilers())
{
}

void SlopeRun::applyReports()
{
    std::vector<HostReport> reports;
    for (const auto &host : m_manifest->hosts)
        reports.push_back({host.name, HostLiveness::Live, m_now, 1, {}});
    m_driver.view().applyReports(reports, m_now);
}

void SlopeRun::admit()
{
    m_driver.setManifest(m_manifest, 1);
    m_driver.acquireLeases(m_now);
    for (unsigned pass = 0; pass < 4; ++pass)
        m_driver.pass(m_now);
    applyReports();
}

double SlopeRun::planAndCommitAll(unsigned &placements)
{
    const auto start = std::chrono::steady_clock::now();
    const auto reconciler = makePlacementReconciler("peridot").value();
    bool progress = true;
    while (progress) {
        progress = false;
        // Pool after pool: plans of several pools made at once conflict on the rows of the teams
        // that they share.
        const auto context = m_driver.context(m_now);
        for (const auto &[name, lease] : context.leases) {
            auto one = context;
            one.leases = {{name, lease}};
            for (const auto &transaction : reconciler->plan(m_driver.view(), one).transactions)
                progress = m_driver.commit(transaction, m_now).status == CommitStatus::Committed
                           || progress;
        }
    }
    const double seconds = secondsSince(start);
    for (const auto &[name, host] : m_driver.view().hosts())
        placements += static_cast<unsigned>(host.tasks.size());
    return seconds;
}

double SlopeRun::planPools(const std::set<std::string> &pools)
{
    auto context = m_driver.context(m_now);
    std::erase_if(context.leases, [&](const auto &lease) {
        return !pools.contains(lease.first.substr(std::string_view("pool-").size()));
    });
    const auto start = std::chrono::steady_clock::now();
    for (const auto &reconciler : m_reconcilers)
        reconciler->plan(m_driver.view(), context);
    return secondsSince(start);
}

double SlopeRun::fullPass()
{
    const auto start = std::chrono::steady_clock::now();
    for (const auto &reconciler : m_reconcilers)
        reconciler->plan(m_driver.view(), m_driver.context(m_now));
    return secondsSince(start);
}

Figures SlopeRun::run()
{
    Figures figures;
    const double before = heapMegabytes();
    admit();
    m_manifest = std::make_shared<Manifest>(*m_manifest);
    for (unsigned index = 0; index < m_size.hosts / 2; ++index) {
        auto job = makeJob(fmt::format("j{:06}", index),
                           m_manifest->pools[index % m_size.pools].name, 1, {4, 16, 0});
        job.team = m_manifest->teams[1 + index % m_size.teams].name;
        if (index % 4 == 0)
            job.taskSize.accelerators = 2;
        m_manifest->jobs.push_back(job);
    }
    const auto manifestStart = std::chrono::steady_clock::now();
    m_driver.setManifest(m_manifest, 2);
    figures.manifestMilliseconds = secondsSince(manifestStart) * 1000;
    const double seconds = planAndCommitAll(figures.placed);
    figures.decisionsPerSecond = figures.placed / seconds;

    m_driver.view().takeChangedPools();
    std::vector<double> costs;
    for (unsigned change = 0; change < changes; ++change) {
        const auto &host = m_manifest->hosts[m_random.below(m_manifest->hosts.size())].name;
        const auto start = std::chrono::steady_clock::now();
        m_driver.view().applyReports({{host, HostLiveness::Live, m_now, 1, {}}}, m_now);
        const auto pools = m_driver.view().takeChangedPools();
        costs.push_back(secondsSince(start) + planPools(pools));
    }
    std::sort(costs.begin(), costs.end());
    figures.changeMilliseconds = costs[costs.size() / 2] * 1000;
    figures.fullPassMilliseconds = fullPass() * 1000;
    // The table is a stand-in, so that its copy of the rows is taken off.
    double rows = 0;
    for (const auto &row : m_table.scan(""))
        rows += static_cast<double>(row.value.capacity() + row.key.capacity() + sizeof(Row));
    figures.viewMegabytes = heapMegabytes() - before - rows / (1 << 20);
    return figures;
}

/// Exponent b of the least-squares fit y = a * hosts^b.
double fittedExponent(const std::vector<double> &values)
{
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    const auto count = static_cast<double>(values.size());
    for (std::size_t index = 0; index < values.size(); ++index) {
        const double x = std::log(static_cast<double>(sizes[index].hosts));
        const double y = std::log(std::max(values[index], 1e-9));
        sumX += x;
        sumY += y;
        sumXX += x * x;
        sumXY += x * y;
    }
    return (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
}

/// Cost of the fleet kernel at three sizes, one decade apart.
class FleetSlopesMeasurement final : public Measurement
{
public:
    int run(const std::vector<std::string> &arguments) override;
};

int FleetSlopesMeasurement::run(const std::vector<std::string> & /*arguments*/)
{
    std::vector<double> decisions;
    std::vector<double> change;
    std::vector<double> full;
    std::vector<double> memory;
    for (const auto &size : sizes) {
        const auto figures = SlopeRun(size).run();
        fmt::print("measure=fleet-slopes hosts={} pools={} teams={} data_centres={} "
                   "accelerators={} placed={} decisions_per_s={:.0f} plan_one_change_ms={:.3f} "
                   "plan_full_pass_ms={:.2f} apply_manifest_ms={:.2f} view_mb={:.1f}\n",
                   size.hosts, size.pools, size.teams, size.dataCentres, size.accelerators,
                   figures.placed, figures.decisionsPerSecond, figures.changeMilliseconds,
                   figures.fullPassMilliseconds, figures.manifestMilliseconds,
                   figures.viewMegabytes);
        decisions.push_back(figures.decisionsPerSecond);
        change.push_back(figures.changeMilliseconds);
        full.push_back(figures.fullPassMilliseconds);
        memory.push_back(figures.viewMegabytes);
    }
    fmt::print("measure=fleet-slopes fit=y=a*hosts^b decisions_b={:.2f} one_change_b={:.2f} "
               "full_pass_b={:.2f} memory_b={:.2f}\n",
               fittedExponent(decisions), fittedExponent(change), fittedExponent(full),
               fittedExponent(memory));
    return 0;
}

const PluginRegistrar<MeasurementRegistry> registrar("fleet-slopes", [] {
    return std::make_unique<FleetSlopesMeasurement>();
});

} // namespace

} // namespace Peridot
