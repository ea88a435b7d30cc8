// The manifest in the store: the published version of each document. Its text format is defined in gs-config.
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

/// Converts a manifest to and from text; decode returns nullopt for text that is not a complete manifest.
struct ManifestCodec
{
    std::function<std::string(const Manifest &)> encode;
    std::function<std::optional<Manifest>(std::string_view)> decode;
};

/// Key of the blob that holds a document's text.
inline std::string blobKey(const DocumentName &name, const std::string &hash)
{
    return "config/docs/" + name.value() + "/" + hash;
}

} // namespace Geraniumsail

#endif
