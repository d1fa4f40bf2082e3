#pragma once

#include <string>
#include <string_view>

namespace Peridot {

constexpr std::string_view hostPrefix = "host/";
constexpr std::string_view poolPrefix = "pool/";
constexpr std::string_view jobPrefix = "job/";
constexpr std::string_view teamPrefix = "team/";
constexpr std::string_view placementPrefix = "placement/";
constexpr std::string_view drainRequestPrefix = "drain-request/";
constexpr std::string_view leasePrefix = "lease/";

inline std::string rowKey(std::string_view prefix, std::string_view name)
{
    return std::string(prefix).append(name);
}

/// Name of the lease under which a process acts for \a pool.
inline std::string poolLeaseName(std::string_view pool)
{
    return std::string("pool-").append(pool);
}

/// Name of one task in reports and commands.
inline std::string taskName(std::string_view job, std::size_t index)
{
    return std::string(job).append("/").append(std::to_string(index));
}

} // namespace Peridot
