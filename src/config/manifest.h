// The manifest: the one value in the store that says which version of each document is accepted.
//
// A publication is accepted when the compare-and-swap of the manifest succeeds. Blobs of documents are immutable and
// named by their content hash, so a manifest never refers to a half-written document.
#ifndef GERANIUMSAIL_CONFIG_MANIFEST_H
#define GERANIUMSAIL_CONFIG_MANIFEST_H

#include "config/problem.h"
#include "core/ids.h"
#include "core/units.h"

#include <map>
#include <string>
#include <string_view>

namespace Geraniumsail {

constexpr const char *ManifestKey = "config/manifest";

struct ManifestEntry
{
    ConfigVersion version;
    std::string hash; ///< Content hash of the document's text.
    std::string publication; ///< Identifier of the publication that set this version.

    bool operator==(const ManifestEntry &) const = default;
};

using Manifest = std::map<DocumentName, ManifestEntry>;

/// Key of the blob of a document.
std::string documentKey(const DocumentName &name, std::string_view hash);

std::string encodeManifest(const Manifest &manifest);
/// Problems if the text is no manifest of version 1.
Checked<Manifest> decodeManifest(std::string_view text);

} // namespace Geraniumsail

#endif
