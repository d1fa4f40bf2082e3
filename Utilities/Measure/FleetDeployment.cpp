#include "FleetDeployment.h"

namespace Peridot {

std::vector<FleetDeployment> fleetDeployments()
{
    FixtureOptions kallada;
    kallada.pools = {"intake", "premises", "renewals", "treasury", "notices"};
    kallada.sparePool = "notices";
    kallada.hosts = 50;
    kallada.dataCentres = 3;
    kallada.capacity = {32, 128, 0};
    kallada.backendServersPerHost = 1;
    kallada.nameSeed = 11;
    FixtureOptions lakaz = kallada;
    lakaz.pools = {"counter", "breakdown", "weighing", "hotel-orders", "back-office"};
    lakaz.sparePool = "back-office";
    lakaz.dataCentres = 4;
    lakaz.capacity = {16, 32, 0};
    return {{"kallada", kallada}, {"lakaz", lakaz}};
}

} // namespace Peridot
