#pragma once

#include <cstdint>
#include <string>

namespace Peridot {

/// Resident memory of a process without its file mappings in bytes, 0 when it is unknown.
std::uint64_t residentBytes(const std::string &processId);

/// Processor time that a process has used, in seconds.
double processorSeconds(const std::string &processId);

} // namespace Peridot
