#pragma once

#include <string>
#include <vector>

namespace Peridot {

/// Instance that should hold the lease \a name, by rendezvous hashing: each process computes the
/// same result from the same members, and a change of the members moves only the leases of the
/// member that joined or left. Empty when \a instances is empty.
std::string preferredHolder(const std::string &name, const std::vector<std::string> &instances);

} // namespace Peridot
