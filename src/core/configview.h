// The configuration documents that this node has in force.
//
// Per document the highest version wins, whoever delivers it and in whatever order. A document whose text does not
// match its content hash is refused. Two documents of the same version with different text can only come from a store
// that was restored from an older copy while an operator's clock was behind; the higher hash wins then, so that all
// nodes agree.
#ifndef GERANIUMSAIL_CORE_CONFIGVIEW_H
#define GERANIUMSAIL_CORE_CONFIGVIEW_H

#include "core/ids.h"
#include "core/units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Geraniumsail {

/// Upper bound of a value of the store and of a document.
constexpr std::size_t MaxDocumentBytes = 1'000'000;

/// Hexadecimal content hash (XXH3, 128 bits) of a text; against corruption, not against forgery.
std::string contentHash(std::string_view text);

struct ConfigDocument
{
    DocumentName name;
    ConfigVersion version;
    std::string hash;
    std::string publication; ///< Id of the publication that brought this version.
    std::string text;

    bool operator==(const ConfigDocument &) const = default;
};

/// Identity of a version of a document, for comparison without its text.
struct ConfigHead
{
    DocumentName name;
    ConfigVersion version;
    std::string hashStart; ///< First HashStartLength characters of the content hash.

    bool operator==(const ConfigHead &) const = default;
};

constexpr std::size_t HashStartLength = 8;
ConfigHead headOf(const ConfigDocument &document);

constexpr std::size_t ConfigBuckets = 16;
using ConfigBucketDigests = std::array<std::uint32_t, ConfigBuckets>;
std::size_t configBucketOf(const DocumentName &name);

/// Digest of all documents: equal digests mean equal versions.
struct ConfigDigest
{
    std::uint64_t all = 0;
    ConfigBucketDigests buckets{};

    bool operator==(const ConfigDigest &) const = default;
};

enum class ApplyResult {
    Applied,
    Known, ///< This version or a higher one is in force already.
    Corrupt, ///< The text does not match the hash, or is too large.
};

class ConfigView
{
public:
    ApplyResult apply(const ConfigDocument &document);
    const ConfigDigest &digest() const;
    const ConfigDocument *find(const DocumentName &name) const;
    const std::map<DocumentName, ConfigDocument> &documents() const;
    std::vector<ConfigHead> heads(const std::vector<std::size_t> &buckets) const;
    /// Documents of the buckets that are newer than, or absent from, heads, within about maxBytes (at least one).
    std::vector<ConfigDocument> newerThan(const std::vector<ConfigHead> &heads, const std::vector<std::size_t> &buckets,
                                          std::size_t maxBytes) const;

private:
    std::map<DocumentName, ConfigDocument> m_documents;
    std::array<std::uint64_t, ConfigBuckets> m_sums{};
    ConfigDigest m_digest;
};

} // namespace Geraniumsail

#endif
