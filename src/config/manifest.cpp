#include "config/manifest.h"

#include "config/reader.h"

#include <algorithm>

namespace Geraniumsail {

namespace {

constexpr std::uint64_t FormatVersion = 1;
constexpr std::size_t HashDigits = 32;

bool isHash(std::string_view text)
{
    return text.size() == HashDigits && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

ManifestEntry readEntry(ObjectReader reader)
{
    ManifestEntry entry;
    entry.version = ConfigVersion(reader.integer("version", 1, UINT64_MAX).value_or(0));
    entry.publication = reader.identifier("publication").value_or("");
    if (const auto hash = reader.identifier("hash")) {
        if (!isHash(*hash)) {
            reader.report("hash", "32 hexadecimal digits", '"' + *hash + '"');
        }
        entry.hash = *hash;
    }
    reader.finish();
    return entry;
}

} // namespace

std::string encodeManifest(const Manifest &manifest)
{
    Json documents = Json::object();
    for (const auto &[name, entry] : manifest) {
        documents[name.value()] = {
            {"version", entry.version.value()}, {"hash", entry.hash}, {"publication", entry.publication}};
    }
    return Json{{"v", FormatVersion}, {"documents", documents}}.dump();
}

Checked<Manifest> decodeManifest(std::string_view text)
{
    Problems problems;
    const auto json = parseObject(text, std::string(ManifestKey), problems);
    if (!json) {
        return {std::nullopt, problems};
    }
    Manifest manifest;
    ObjectReader reader(*json, std::string(ManifestKey), "", problems);
    reader.integer("v", FormatVersion, FormatVersion);
    const auto documents = json->find("documents");
    auto entries = reader.object("documents");
    if (documents != json->end() && documents->is_object()) {
        for (const auto &[name, value] : documents->items()) {
            manifest[DocumentName(name)] = readEntry(entries.object(name));
        }
    }
    reader.finish();
    if (!problems.empty()) {
        return {std::nullopt, problems};
    }
    return {std::move(manifest), {}};
}

ManifestCodec manifestCodec()
{
    return {encodeManifest, [](std::string_view text) {
                return decodeManifest(text).value;
            }};
}

} // namespace Geraniumsail
