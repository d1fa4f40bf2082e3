#pragma once

#include <LibBase/EnumTable.h>
#include <LibBase/Error.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Peridot {

enum class ConfigurationState {
    Proposed, ///< written, but some serving processes may still have an older version in force
    Accepted, ///< in force in every process that serves
};

constexpr auto configurationStateNames = makeEnumTable<ConfigurationState>({
    {ConfigurationState::Proposed, "proposed"},
    {ConfigurationState::Accepted, "accepted"},
});

/// Value of the row configuration/head, which names the latest configuration version.
struct ConfigurationHead
{
    std::uint64_t version = 0;
    ConfigurationState state = ConfigurationState::Accepted;
    std::string digest; ///< XXH64 of the manifest text, in hexadecimal digits
    std::string author;
    std::string operation; ///< operation id of the proposal
};

inline constexpr const char *configurationHeadKey = "configuration/head";
inline constexpr const char *membershipViewKey = "view";
inline constexpr const char *configurationLeaseName = "configuration";

std::string configurationVersionKey(std::uint64_t version);
std::string writeConfigurationHead(const ConfigurationHead &head);
/// Errors: InvalidJson, InvalidValue.
Result<ConfigurationHead> parseConfigurationHead(std::string_view text);

/// Value of a row configuration/version/<n>.
struct ConfigurationVersion
{
    std::string manifest;
    std::string author;
    std::uint64_t parent = 0; ///< version on which the author based the change
    std::string operation; ///< operation id of the proposal, to resolve unknown outcomes
};

std::string writeConfigurationVersion(const ConfigurationVersion &version);
/// Errors: InvalidJson, InvalidValue.
Result<ConfigurationVersion> parseConfigurationVersion(std::string_view text);

} // namespace Peridot
