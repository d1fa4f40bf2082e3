#include "Measurement.h"

#include <VirtualMembers/VirtualMembers.h>
#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace Peridot {

namespace {

constexpr Duration settlingTime = std::chrono::seconds(15);
constexpr Duration roundPeriod = std::chrono::seconds(4);
constexpr Duration roundLimit = std::chrono::seconds(60);

enum class Disturbance { None, SlowStore, FrozenMember, CutMember };

constexpr auto disturbanceNames = makeEnumTable<Disturbance>({
    {Disturbance::None, "none"},
    {Disturbance::SlowStore, "slow-store"},
    {Disturbance::FrozenMember, "frozen-member"},
    {Disturbance::CutMember, "cut-member"},
});

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values[index];
}

struct Times
{
    std::vector<double> inForce; ///< seconds from apply until every serving process acts on it
    std::vector<double> accepted; ///< seconds from apply until the head row says so
    std::size_t failed = 0; ///< rounds without a holder, or not finished in time
};

bool inForceEverywhere(VirtualMembers &members, std::uint64_t version)
{
    return std::all_of(members.members().begin(), members.members().end(), [&](auto &member) {
        return !members.serves(member) || member.node->configuration().versionInForce() >= version;
    });
}

bool isAccepted(VirtualMembers &members, std::uint64_t version)
{
    const Row row = members.store().row(configurationHeadKey);
    return valueOrElse(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(head, parseConfigurationHead(row.value));
            return head.version >= version && head.state == ConfigurationState::Accepted;
        },
        [](const Error &) { return false; });
}

void disturb(VirtualMembers &members, Disturbance disturbance, std::size_t victim, bool begin)
{
    if (disturbance == Disturbance::FrozenMember) {
        if (begin)
            members.freeze(victim);
        else
            members.thaw(victim);
    }
    if (disturbance == Disturbance::CutMember) {
        members.members()[victim].peersCut = begin;
        members.members()[victim].storeCut = begin;
    }
}

void measureRound(VirtualMembers &members, Disturbance disturbance, std::size_t round, Times &times)
{
    auto *holder = members.holderOf(configurationLeaseName);
    if (holder == nullptr) {
        ++times.failed;
        members.run(roundPeriod);
        return;
    }
    const std::size_t victim = round % 7; // one of the entry members
    disturb(members, disturbance, victim, true);
    members.run(std::chrono::milliseconds(members.random().below(1000)));
    const std::uint64_t version = holder->node->configuration().head().version + 1;
    const TimePoint start = members.now();
    holder->node->propose({round, "operator", R"({"pools":[]})", version - 1});
    const bool everywhere = members.runUntil(
        [&] {
            return holder->node->configuration().versionInForce() >= version
                   && inForceEverywhere(members, version);
        },
        roundLimit);
    if (everywhere)
        times.inForce.push_back(toSeconds(members.now() - start));
    if (members.runUntil([&] { return isAccepted(members, version); }, roundLimit))
        times.accepted.push_back(toSeconds(members.now() - start));
    else
        ++times.failed;
    disturb(members, disturbance, victim, false);
    const bool memberReturns
        = disturbance == Disturbance::FrozenMember || disturbance == Disturbance::CutMember;
    members.run(memberReturns ? settlingTime : roundPeriod);
}

class ConfigurationMeasurement : public Measurement
{
public:
    int run(const std::vector<std::string> &arguments) override
    {
        const std::size_t rounds
            = arguments.empty() ? 100 : std::strtoul(arguments[0].c_str(), nullptr, 10);
        for (const bool push : {false, true}) {
            for (const auto &[disturbance, name] : disturbanceNames.entries) {
                // Each round with a disturbed member takes the end of a lease as well.
                const bool longRound = disturbance == Disturbance::FrozenMember
                                       || disturbance == Disturbance::CutMember;
                measure(push, disturbance,
                        longRound ? std::max<std::size_t>(1, rounds / 5) : rounds);
            }
        }
        return 0;
    }

private:
    static void measure(bool push, Disturbance disturbance, std::size_t rounds)
    {
        VirtualMembersSettings settings;
        settings.seed = 20261204;
        settings.push = push;
        settings.messageLoss = 0.01;
        settings.tick = std::chrono::milliseconds(50);
        if (disturbance == Disturbance::SlowStore) {
            settings.storeDelay = std::chrono::milliseconds(300);
            settings.storeJitter = std::chrono::milliseconds(200);
        }
        VirtualMembers members(settings);
        members.run(settlingTime);
        Times times;
        for (std::size_t round = 0; round < rounds; ++round)
            measureRound(members, disturbance, round, times);
        const std::string disturbed(disturbanceNames.nameOf(disturbance));
        std::printf("measure=config members=14 learning=%s disturbance=%s rounds=%zu failed=%zu "
                    "in_force_p50_s=%.3f in_force_p99_s=%.3f in_force_max_s=%.3f "
                    "accepted_p50_s=%.3f accepted_p99_s=%.3f\n",
                    push ? "polling-and-push" : "polling", disturbed.c_str(), rounds, times.failed,
                    percentile(times.inForce, 0.5), percentile(times.inForce, 0.99),
                    percentile(times.inForce, 1.0), percentile(times.accepted, 0.5),
                    percentile(times.accepted, 0.99));
        std::fflush(stdout);
    }
};

const PluginRegistrar<MeasurementRegistry> registrar("config", [] {
    return std::make_unique<ConfigurationMeasurement>();
});

} // namespace

} // namespace Peridot
