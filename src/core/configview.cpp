#include "core/configview.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace Geraniumsail {

namespace {

std::uint64_t versionHash(const ConfigDocument &document)
{
    const std::uint64_t seed = XXH3_64bits(document.name.value().data(), document.name.value().size())
        ^ (document.version.value() * 0x9E3779B97F4A7C15ULL);
    return XXH3_64bits_withSeed(document.hash.data(), document.hash.size(), seed);
}

} // namespace

std::string contentHash(std::string_view text)
{
    XXH128_canonical_t bytes;
    XXH128_canonicalFromHash(&bytes, XXH3_128bits(text.data(), text.size()));
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hash;
    hash.reserve(2 * sizeof(bytes.digest));
    for (const unsigned char byte : bytes.digest) {
        hash += digits[byte >> 4U];
        hash += digits[byte & 0xFU];
    }
    return hash;
}

std::size_t configBucketOf(const DocumentName &name)
{
    return XXH3_64bits(name.value().data(), name.value().size()) % ConfigBucketCount;
}

DocumentSummary summaryOf(const ConfigDocument &document)
{
    return {document.name, document.version, document.hash.substr(0, HashPrefixLength)};
}

ApplyResult ConfigView::apply(const ConfigDocument &document)
{
    if (document.text.size() > MaxDocumentBytes || contentHash(document.text) != document.hash) {
        return ApplyResult::Corrupt;
    }
    const std::size_t bucket = configBucketOf(document.name);
    const auto found = m_documents.find(document.name);
    if (found != m_documents.end()) {
        const ConfigDocument &known = found->second;
        if (std::tie(document.version, document.hash) <= std::tie(known.version, known.hash)) {
            return ApplyResult::Known;
        }
        m_bucketSums.at(bucket) -= versionHash(known);
        m_digest.all -= versionHash(known);
    }
    m_documents.insert_or_assign(document.name, document);
    m_bucketSums.at(bucket) += versionHash(document);
    m_digest.all += versionHash(document);
    m_digest.buckets.at(bucket) = static_cast<std::uint32_t>(m_bucketSums.at(bucket) >> 32U);
    return ApplyResult::Applied;
}

const ConfigDigest &ConfigView::digest() const
{
    return m_digest;
}

const ConfigDocument *ConfigView::find(const DocumentName &name) const
{
    const auto found = m_documents.find(name);
    return found == m_documents.end() ? nullptr : &found->second;
}

const std::map<DocumentName, ConfigDocument> &ConfigView::documents() const
{
    return m_documents;
}

std::vector<DocumentSummary> ConfigView::summaries(const std::vector<std::size_t> &buckets) const
{
    std::vector<DocumentSummary> result;
    for (const auto &[name, document] : m_documents) {
        if (std::find(buckets.begin(), buckets.end(), configBucketOf(name)) != buckets.end()) {
            result.push_back(summaryOf(document));
        }
    }
    return result;
}

std::vector<ConfigDocument> ConfigView::newerThan(const std::vector<DocumentSummary> &summaries,
                                                  const std::vector<std::size_t> &buckets, std::size_t maxBytes) const
{
    std::map<DocumentName, const DocumentSummary *> peerSummaries;
    for (const auto &summary : summaries) {
        peerSummaries[summary.name] = &summary;
    }
    std::vector<ConfigDocument> result;
    std::size_t bytes = 0;
    for (const auto &[name, document] : m_documents) {
        if (std::find(buckets.begin(), buckets.end(), configBucketOf(name)) == buckets.end()) {
            continue;
        }
        const auto peer = peerSummaries.find(name);
        const DocumentSummary own = summaryOf(document);
        if (peer != peerSummaries.end()
            && std::tie(own.version, own.hashPrefix) <= std::tie(peer->second->version, peer->second->hashPrefix)) {
            continue;
        }
        bytes += document.text.size();
        if (!result.empty() && bytes > maxBytes) {
            break;
        }
        result.push_back(document);
    }
    return result;
}

} // namespace Geraniumsail
