#pragma once

#include <Kernel/Fleet/Manifest.h>
#include <LibBase/EnumTable.h>

namespace Peridot {

enum class ManifestChangeKind { Added, Removed, Changed };

constexpr auto manifestChangeKindNames = makeEnumTable<ManifestChangeKind>({
    {ManifestChangeKind::Added, "added"},
    {ManifestChangeKind::Removed, "removed"},
    {ManifestChangeKind::Changed, "changed"},
});

struct ManifestChange
{
    ManifestChangeKind kind = ManifestChangeKind::Changed;
    std::string path; ///< for example "pools/intake/availability_budget"
    std::string before; ///< JSON text; empty for Added
    std::string after; ///< JSON text; empty for Removed
};

/// Changes from \a before to \a after by name, in path order. The order of lists is irrelevant.
std::vector<ManifestChange> manifestDifference(const Manifest &before, const Manifest &after);

/// Manifest in the form that parseManifest() reads.
std::string encodeManifest(const Manifest &manifest);

} // namespace Peridot
