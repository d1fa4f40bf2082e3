#pragma once

#include <Kernel/Fleet/Manifest.h>
#include <set>

namespace Peridot {

/// Checks the rules that the schema cannot express: unique names, references between lists, and
/// values that depend on each other.
class ManifestChecker
{
public:
    explicit ManifestChecker(const Manifest &manifest) : m_manifest(manifest) { }

    /// Errors: DuplicateName, UnknownReference, InvalidValue with the path of the value.
    Result<void> check();

private:
    using Names = std::set<std::string_view>;

    template <typename List>
    Result<Names> uniqueNames(const List &list, const std::string &path) const;
    Result<void> checkPools() const;
    Result<void> checkHosts() const;
    Result<void> checkBackendServers() const;
    Result<void> checkServices() const;
    Result<void> checkJobs() const;

    const Manifest &m_manifest;
    Names m_pools;
    Names m_hosts;
    Names m_teams;
};

} // namespace Peridot
