// The configuration documents in force at this node.
//
// For each document the highest version wins, independent of source and order of arrival. A document whose text does
// not match its content hash is rejected. Two documents with the same version and different text are possible only if
// the store was restored from an older copy while an operator's clock was behind; the higher hash wins then, so that
// all nodes agree.
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

/// Largest value that the store accepts, and therefore the largest document.
constexpr std::size_t MaxDocumentBytes = 1'000'000;

/// Returns the XXH3 128-bit hash of a text in hexadecimal. It detects corruption but not forgery.
std::string contentHash(std::string_view text);

struct ConfigDocument
{
    DocumentName name;
    ConfigVersion version;
    std::string hash;
    std::string publication; ///< Id of the publication that wrote this version.
    std::string text;

    bool operator==(const ConfigDocument &) const = default;
};

/// Identifies a version of a document, for comparison without its text.
struct DocumentSummary
{
    DocumentName name;
    ConfigVersion version;
    std::string hashPrefix; ///< First HashPrefixLength characters of the content hash.

    bool operator==(const DocumentSummary &) const = default;
};

constexpr std::size_t HashPrefixLength = 8;
DocumentSummary summaryOf(const ConfigDocument &document);

constexpr std::size_t ConfigBucketCount = 16;
using ConfigBucketDigests = std::array<std::uint32_t, ConfigBucketCount>;
std::size_t configBucketOf(const DocumentName &name);

/// Digest of the versions of all documents; two views with equal digests hold the same versions.
struct ConfigDigest
{
    std::uint64_t all = 0;
    ConfigBucketDigests buckets{};

    bool operator==(const ConfigDigest &) const = default;
};

enum class ApplyResult {
    Applied,
    Known, ///< This version or a higher one is already in force.
    Corrupt, ///< The text does not match the hash, or is too large.
};

class ConfigView
{
public:
    ApplyResult apply(const ConfigDocument &document);
    const ConfigDigest &digest() const;
    const ConfigDocument *find(const DocumentName &name) const;
    const std::map<DocumentName, ConfigDocument> &documents() const;
    std::vector<DocumentSummary> summaries(const std::vector<std::size_t> &buckets) const;
    /// Returns the documents of the buckets that are newer than in summaries or missing there: at least one, and
    /// further ones up to a total text size of maxBytes.
    std::vector<ConfigDocument> newerThan(const std::vector<DocumentSummary> &summaries,
                                          const std::vector<std::size_t> &buckets, std::size_t maxBytes) const;

private:
    std::map<DocumentName, ConfigDocument> m_documents;
    std::array<std::uint64_t, ConfigBucketCount> m_bucketSums{};
    ConfigDigest m_digest;
};

} // namespace Geraniumsail

#endif
