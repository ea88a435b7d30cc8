#include "config/check.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Geraniumsail {

namespace {

constexpr const char *ServiceFileName = "geraniumsail.json";
constexpr const char *LinksFileName = "links.json";
/// Unknown kinds are treated as a kind of this name with fixed values, so it cannot be declared.
constexpr const char *ReservedKindName = "default";
/// Sums of decimal fractions such as ten times 0.1 may exceed 1 by rounding.
constexpr double ShareTolerance = 1e-9;

std::string kindField(std::size_t index, const std::string &field)
{
    return "kinds[" + std::to_string(index) + "]." + field;
}

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

void checkShares(const ServicePolicy &policy, const std::string &file, Problems &problems)
{
    double sum = 0.0;
    for (const auto &kind : policy.kinds) {
        sum += kind.share.value();
    }
    if (sum > 1.0 + ShareTolerance) {
        problems.push_back({file, "kinds[].share", "a sum of at most 1", std::to_string(sum)});
    }
}

void checkKindNames(const ServicePolicy &policy, const std::string &file, Problems &problems)
{
    if (policy.kinds.empty()) {
        problems.push_back({file, "kinds", "at least one kind", "none"});
    }
    std::set<KindName> seen;
    for (std::size_t i = 0; i < policy.kinds.size(); ++i) {
        const auto &name = policy.kinds[i].name;
        if (!name.empty() && !seen.insert(name).second) {
            problems.push_back({file, kindField(i, "name"), "each kind once", quoted(name.value()) + " again"});
        }
        if (name.value() == ReservedKindName) {
            problems.push_back(
                {file, kindField(i, "name"), "a name other than the reserved \"default\"", quoted(name.value())});
        }
    }
}

/// Excess work is shed by rank, so an essential kind that shares its rank with other work could be shed before it.
void checkEssentialRanks(const ServicePolicy &policy, const std::string &file, Problems &problems)
{
    const KindPolicy *mostUrgentOther = nullptr;
    for (const auto &kind : policy.kinds) {
        if (!kind.essential && (mostUrgentOther == nullptr || kind.rank < mostUrgentOther->rank)) {
            mostUrgentOther = &kind;
        }
    }
    if (mostUrgentOther == nullptr) {
        return;
    }
    const auto bound = mostUrgentOther->rank.value();
    for (std::size_t i = 0; i < policy.kinds.size(); ++i) {
        const auto &kind = policy.kinds[i];
        if (kind.essential && kind.rank.value() >= bound) {
            problems.push_back({file, kindField(i, "rank"),
                                "a rank below " + std::to_string(bound) + ", the rank of "
                                    + quoted(mostUrgentOther->name.value()) + ", because the kind is essential",
                                std::to_string(kind.rank.value())});
        }
    }
}

std::string folderOf(const std::string &path)
{
    const auto slash = path.rfind('/');
    return slash == std::string::npos ? "" : path.substr(0, slash);
}

std::string baseOf(const std::string &path)
{
    return path.substr(path.rfind('/') + 1);
}

/// Adds one service file to the configuration.
class TreeChecker
{
public:
    void addService(const SourceFile &source)
    {
        auto parsed = parseServiceDocument(source.text, source.path);
        take(parsed.problems);
        if (!parsed.value) {
            return;
        }
        const auto service = parsed.value->service;
        const auto folder = baseOf(folderOf(source.path));
        if (folder != service.value()) {
            report(source, "service", "the name of the folder, " + quoted(folder), quoted(service.value()));
        }
        if (const auto [earlier, fresh] = m_files.emplace(service, source.path); !fresh) {
            report(source, "service", "each service once in the tree",
                   quoted(service.value()) + ", also in " + earlier->second);
            return;
        }
        if (service.value() == LinksDocumentName) {
            report(source, "service", "a name other than the reserved \"links\"", quoted(service.value()));
        }
        addText(source, DocumentName(service.value()), canonicalText(*parsed.value));
        m_result.services.emplace(service, std::move(*parsed.value));
    }

    void addLinks(const SourceFile &source)
    {
        auto parsed = parseLinksDocument(source.text, source.path);
        take(parsed.problems);
        if (parsed.value) {
            addText(source, DocumentName(LinksDocumentName), canonicalText(*parsed.value));
            m_result.links = std::move(*parsed.value);
        }
    }

    Checked<Configuration> finish()
    {
        if (m_result.services.empty() && m_problems.empty()) {
            m_problems.push_back({"", "", std::string("at least one file <service>/") + ServiceFileName, "none"});
        }
        if (!m_problems.empty()) {
            return {std::nullopt, m_problems};
        }
        return {std::move(m_result), {}};
    }

private:
    void take(const Problems &problems)
    {
        m_problems.insert(m_problems.end(), problems.begin(), problems.end());
    }

    void report(const SourceFile &source, std::string field, std::string expected, std::string found)
    {
        m_problems.push_back({source.path, std::move(field), std::move(expected), std::move(found)});
    }

    /// Defaults that are written out can make the canonical text longer than the file.
    void addText(const SourceFile &source, const DocumentName &name, std::string text)
    {
        if (text.size() > MaxDocumentBytes) {
            report(source, "", "at most " + std::to_string(MaxDocumentBytes) + " bytes when published",
                   std::to_string(text.size()) + " bytes");
        }
        m_result.texts[name] = std::move(text);
    }

    Configuration m_result;
    Problems m_problems;
    std::map<ServiceName, std::string> m_files;
};

} // namespace

Problems checkService(const ServicePolicy &policy, const std::string &file)
{
    Problems problems;
    if (policy.connections.value() < policy.slots.value()) {
        problems.push_back({file, "limits.connections",
                            "at least limits.slots, " + std::to_string(policy.slots.value())
                                + ", because each running request has a connection of its own",
                            std::to_string(policy.connections.value())});
    }
    if (policy.backoffBase > policy.backoffCap) {
        const auto cap = std::chrono::duration_cast<std::chrono::milliseconds>(policy.backoffCap).count();
        const auto base = std::chrono::duration_cast<std::chrono::milliseconds>(policy.backoffBase).count();
        problems.push_back(
            {file, "retry.backoffMs", "at most retry.backoffCapMs, " + std::to_string(cap), std::to_string(base)});
    }
    checkKindNames(policy, file, problems);
    checkShares(policy, file, problems);
    checkEssentialRanks(policy, file, problems);
    return problems;
}

Problems checkLinks(const std::vector<LinkPolicy> &links, const std::string &file)
{
    Problems problems;
    std::set<std::pair<RegionName, RegionName>> seen;
    for (std::size_t i = 0; i < links.size(); ++i) {
        const auto &link = links[i];
        const auto path = "links[" + std::to_string(i) + "]";
        const auto pair = quoted(link.from.value()) + " to " + quoted(link.to.value());
        if (link.from.empty() || link.to.empty()) {
            continue;
        }
        if (link.from == link.to) {
            problems.push_back({file, path, "two different regions", pair});
        }
        if (!seen.emplace(link.from, link.to).second) {
            problems.push_back({file, path, "each direction once", pair + " again"});
        }
    }
    return problems;
}

Checked<Configuration> checkTree(const std::vector<SourceFile> &files)
{
    TreeChecker checker;
    for (const auto &file : files) {
        if (baseOf(file.path) == ServiceFileName) {
            checker.addService(file);
        } else if (file.path == LinksFileName) {
            checker.addLinks(file);
        }
    }
    return checker.finish();
}

} // namespace Geraniumsail
