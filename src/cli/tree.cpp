#include "cli/tree.h"

#include "config/reader.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace Geraniumsail::Cli {

namespace fs = std::filesystem;

namespace {

std::optional<std::string> readFile(const fs::path &path)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// The files that a check looks at: one level of folders, and links.json.
std::vector<fs::path> candidates(const fs::path &root)
{
    std::vector<fs::path> paths;
    std::error_code error;
    for (const auto &entry : fs::directory_iterator(root, error)) {
        if (entry.is_directory(error) && fs::exists(entry.path() / "geraniumsail.json", error)) {
            paths.push_back(entry.path() / "geraniumsail.json");
        }
    }
    if (fs::exists(root / "links.json", error)) {
        paths.push_back(root / "links.json");
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

} // namespace

Checked<Configuration> readTree(const std::string &root)
{
    std::error_code error;
    if (!fs::is_directory(root, error)) {
        return {std::nullopt, {{root, "", "a folder with <service>/geraniumsail.json", "no folder"}}};
    }
    std::vector<SourceFile> files;
    Problems unreadable;
    for (const auto &path : candidates(root)) {
        const auto name = path.lexically_relative(root).string();
        if (auto text = readFile(path)) {
            files.push_back({name, std::move(*text)});
        } else {
            unreadable.push_back({name, "", "a readable file", "no permission"});
        }
    }
    auto checked = checkTree(files);
    checked.problems.insert(checked.problems.end(), unreadable.begin(), unreadable.end());
    if (!checked.problems.empty()) {
        checked.value.reset();
    }
    return checked;
}

Checked<BaseVersions> readBase(const std::string &root)
{
    const auto text = readFile(fs::path(root) / BaseFileName);
    if (!text) {
        return {BaseVersions{}, {}};
    }
    Checked<BaseVersions> result;
    const auto json = parseObject(*text, BaseFileName, result.problems);
    if (!json) {
        return result;
    }
    BaseVersions versions;
    ObjectReader reader(*json, BaseFileName, "", result.problems);
    for (const auto &[name, value] : json->items()) {
        versions[DocumentName(name)] = ConfigVersion(reader.integer(name, 1, UINT64_MAX).value_or(0));
    }
    if (result.problems.empty()) {
        result.value = std::move(versions);
    }
    return result;
}

bool writeBase(const std::string &root, const BaseVersions &versions)
{
    Json json = Json::object();
    for (const auto &[name, version] : versions) {
        json[name.value()] = version.value();
    }
    std::ofstream file(fs::path(root) / BaseFileName);
    file << json.dump(4) << "\n";
    return static_cast<bool>(file.flush());
}

} // namespace Geraniumsail::Cli
