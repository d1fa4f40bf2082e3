#include <LibMembership/ConfigurationManifest.h>

#include <LibBase/Log.h>
#include <utility>

namespace Peridot {

std::shared_ptr<const Manifest> parseConfigurationManifest(std::uint64_t version,
                                                           const std::string &text)
{
    return valueOrElse(
        [&]() -> Result<std::shared_ptr<const Manifest>> {
            BOOST_LEAF_AUTO(manifest, parseManifest(text));
            return std::make_shared<const Manifest>(std::move(manifest));
        },
        [&](const Error &error) {
            logEvent(LogLevel::Error, "configuration-malformed",
                     {{"version", version}, {"error", describe(error)}});
            return std::shared_ptr<const Manifest>();
        });
}

} // namespace Peridot
