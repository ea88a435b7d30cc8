// Text form of the manifest: the one value in the store that says which version of each document is accepted.
//
// A publication is accepted when the compare-and-swap of the manifest succeeds. Blobs of documents are immutable and
// named by their content hash, so a manifest never refers to a half-written document.
#ifndef GERANIUMSAIL_CONFIG_MANIFEST_H
#define GERANIUMSAIL_CONFIG_MANIFEST_H

#include "config/problem.h"
#include "core/manifest.h"

#include <string>
#include <string_view>

namespace Geraniumsail {

std::string encodeManifest(const Manifest &manifest);
/// Problems if the text is no manifest of version 1.
Checked<Manifest> decodeManifest(std::string_view text);

/// Both functions as the core takes them.
ManifestCodec manifestCodec();

} // namespace Geraniumsail

#endif
