// The operators' manifest in the store: which version of each document is published. gs-config has its text form.
#ifndef GERANIUMSAIL_CORE_MANIFEST_H
#define GERANIUMSAIL_CORE_MANIFEST_H

#include "core/ids.h"
#include "core/units.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Geraniumsail {

constexpr std::string_view ManifestKey = "config/manifest";

struct ManifestEntry
{
    ConfigVersion version;
    std::string hash;
    std::string publication; ///< Id of the publication that wrote this version.

    bool operator==(const ManifestEntry &) const = default;
};

using Manifest = std::map<DocumentName, ManifestEntry>;

/// Text form of a manifest; decode gives nothing for a text that is not a whole manifest.
struct ManifestCodec
{
    std::function<std::string(const Manifest &)> encode;
    std::function<std::optional<Manifest>(std::string_view)> decode;
};

/// Key of the blob with a document's text.
inline std::string blobKey(const DocumentName &name, const std::string &hash)
{
    return "config/docs/" + name.value() + "/" + hash;
}

} // namespace Geraniumsail

#endif
