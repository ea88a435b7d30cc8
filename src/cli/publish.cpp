// Commands check, publish, diff and show.
#include "cli/commands.h"
#include "cli/remote.h"
#include "cli/tree.h"
#include "config/diff.h"
#include "config/manifest.h"
#include "core/publisher.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>
#include <thread>

namespace Geraniumsail::Cli {

namespace {

constexpr auto NodeCheckInterval = std::chrono::milliseconds(500);

Json problemsJson(const Problems &problems)
{
    Json list = Json::array();
    for (const auto &problem : problems) {
        list.push_back({{"file", problem.file},
                        {"field", problem.field},
                        {"expected", problem.expected},
                        {"found", problem.found}});
    }
    return list;
}

int reportProblems(const Problems &problems, bool json)
{
    if (json) {
        std::cout << Json{{"ok", false}, {"problems", problemsJson(problems)}}.dump(2) << std::endl;
    } else {
        std::cerr << toText(problems) << problems.size() << " problem(s)" << std::endl;
    }
    return ExitRefused;
}

int reportError(const std::string &error, bool json)
{
    if (json) {
        std::cout << Json{{"ok", false}, {"error", error}}.dump(2) << std::endl;
    } else {
        std::cerr << error << std::endl;
    }
    return ExitRefused;
}

WallTime wallNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return WallTime(std::chrono::duration_cast<Duration>(now));
}

std::string newPublicationId(Random &random)
{
    return "p-" + std::to_string(wallNow().time_since_epoch().count()) + "-" + std::to_string(random());
}

std::vector<DocumentChange> changesOf(const Configuration &configuration, const BaseVersions &base, bool overwrite)
{
    std::vector<DocumentChange> changes;
    for (const auto &[name, text] : configuration.texts) {
        DocumentChange change{name, text, std::nullopt};
        if (!overwrite) {
            const auto found = base.find(name);
            change.base = found == base.end() ? ConfigVersion(0) : found->second;
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

/// Highest version that the nodes have in force: a store restored from an older copy must not hide it.
ConfigVersion highestInForce(const std::vector<Address> &nodes)
{
    ConfigVersion highest(0);
    for (const auto &node : nodes) {
        for (const auto &[name, version] : versionsInForce(fetchStatus(node).value_or(Json::object()))) {
            highest = std::max(highest, version);
        }
    }
    return highest;
}

bool anyNodeHolds(const std::vector<Address> &nodes, const std::vector<DocumentSummary> &summaries)
{
    return std::any_of(nodes.begin(), nodes.end(), [&](const Address &node) {
        const auto versions = versionsInForce(fetchStatus(node).value_or(Json::object()));
        return std::all_of(summaries.begin(), summaries.end(), [&](const DocumentSummary &summary) {
            const auto found = versions.find(summary.name);
            return found != versions.end() && found->second >= summary.version;
        });
    });
}

void runPublication(Publication &publication, const PublishOptions &options, Random &random)
{
    while (!publication.finished()) {
        if (publication.awaitsNode()) {
            const bool holds = anyNodeHolds(options.nodes, publication.result().versions);
            publication.onNodeChecked(holds);
            if (!holds) {
                std::this_thread::sleep_for(NodeCheckInterval);
            }
            continue;
        }
        const auto delay = publication.retryDelay(random);
        if (delay > Duration::zero()) {
            std::this_thread::sleep_for(delay);
        }
        if (const auto call = publication.next(wallNow())) {
            publication.onResult(callStore(options.store, *call));
        }
    }
}

struct OutcomeText
{
    const char *label;
    const char *next; ///< What the operator does now.
    int code;
};

OutcomeText textOf(PublicationOutcome outcome)
{
    switch (outcome) {
    case PublicationOutcome::Accepted:
        return {"accepted", "see it in force with: geraniumsail status --node ADDRESS", ExitDone};
    case PublicationOutcome::Unchanged:
        return {"unchanged", "every document is published with this content already", ExitDone};
    case PublicationOutcome::Conflict:
        return {"conflict",
                "see what changed with: geraniumsail diff TREE --store ADDRESS; take it over into the files, record it "
                "as seen with diff --accept, and publish again",
                ExitRefused};
    case PublicationOutcome::NotAccepted:
        return {"not accepted", "nothing was published; run publish again when the store answers", ExitRefused};
    case PublicationOutcome::Unknown:
        break;
    }
    return {"unknown", "run the same publish again: it confirms or completes this one", ExitUnknown};
}

void printPublication(const PublicationResult &result, const OutcomeText &text, bool json)
{
    Json versions = Json::object();
    for (const auto &summary : result.versions) {
        versions[summary.name.value()] = summary.version.value();
    }
    if (json) {
        Json conflicts = Json::array();
        for (const auto &name : result.conflicts) {
            conflicts.push_back(name.value());
        }
        std::cout << Json{{"ok", text.code == ExitDone},
                          {"outcome", text.label},
                          {"reason", result.reason},
                          {"versions", versions},
                          {"conflicts", conflicts}}
                         .dump(2)
                  << std::endl;
        return;
    }
    auto &out = text.code == ExitDone ? std::cout : std::cerr;
    out << text.label << (result.reason == text.label ? "" : ": " + result.reason) << "\n";
    for (const auto &[name, version] : versions.items()) {
        out << "  " << name << " version " << version << "\n";
    }
    for (const auto &name : result.conflicts) {
        out << "  " << name.value() << " was changed by another publication\n";
    }
    out << text.next << std::endl;
}

Json differencesJson(const std::vector<Difference> &differences)
{
    Json list = Json::array();
    for (const auto &difference : differences) {
        list.push_back({{"document", difference.document.value()},
                        {"field", difference.field},
                        {"before", difference.before ? Json(*difference.before) : Json()},
                        {"after", difference.after ? Json(*difference.after) : Json()}});
    }
    return list;
}

bool acceptBase(const std::string &tree, const Manifest &manifest)
{
    BaseVersions versions;
    for (const auto &[name, entry] : manifest) {
        versions[name] = entry.version;
    }
    return writeBase(tree, versions);
}

} // namespace

int check(const std::string &tree, bool json)
{
    const auto checked = readTree(tree);
    if (!checked.value) {
        return reportProblems(checked.problems, json);
    }
    if (json) {
        std::cout << Json{{"ok", true}, {"documents", checked.value->texts.size()}}.dump(2) << std::endl;
    } else {
        std::cout << "ok: " << checked.value->services.size() << " services, " << checked.value->links.size()
                  << " links" << std::endl;
    }
    return ExitDone;
}

int publish(const PublishOptions &options, bool json)
{
    const auto checked = readTree(options.tree);
    if (!checked.value) {
        return reportProblems(checked.problems, json);
    }
    const auto base = readBase(options.tree);
    if (!base.value) {
        return reportProblems(base.problems, json);
    }
    Random random(std::random_device{}());
    PublicationOptions settings;
    settings.awaitNode = !options.nodes.empty();
    settings.highestHeldVersion = highestInForce(options.nodes);
    Publication publication(newPublicationId(random), changesOf(*checked.value, *base.value, options.overwrite),
                            manifestCodec(), settings);
    runPublication(publication, options, random);
    const auto &result = publication.result();
    const auto text = textOf(result.outcome);
    printPublication(result, text, json);
    if (text.code == ExitDone) {
        auto versions = *base.value;
        for (const auto &summary : result.versions) {
            versions[summary.name] = summary.version;
        }
        if (!writeBase(options.tree, versions)) {
            std::cerr << "published, but " << BaseFileName << " cannot be written; the next publish may report a "
                      << "conflict with this one" << std::endl;
        }
    }
    return text.code;
}

int diff(const std::string &tree, const Address &store, bool accept, bool json)
{
    const auto checked = readTree(tree);
    if (!checked.value) {
        return reportProblems(checked.problems, json);
    }
    const auto published = readPublished(store);
    if (!published.manifest) {
        return reportError(published.error, json);
    }
    const auto differences = diffDocuments(published.texts, checked.value->texts);
    if (json) {
        std::cout << Json{{"ok", true}, {"differences", differencesJson(differences)}}.dump(2) << std::endl;
    } else {
        for (const auto &difference : differences) {
            std::cout << toText(difference) << "\n";
        }
        std::cout << differences.size() << " difference(s), published -> tree" << std::endl;
    }
    if (accept && !acceptBase(tree, *published.manifest)) {
        return reportError(std::string(BaseFileName) + " cannot be written", json);
    }
    return ExitDone;
}

int show(const std::optional<std::string> &service, const Address &store, bool json)
{
    const auto published = readPublished(store);
    if (!published.manifest) {
        return reportError(published.error, json);
    }
    Json documents = Json::object();
    for (const auto &[name, entry] : *published.manifest) {
        if (service && name.value() != *service) {
            continue;
        }
        documents[name.value()] = {{"version", entry.version.value()},
                                   {"publication", entry.publication},
                                   {"document", Json::parse(published.texts.at(name), nullptr, false)}};
    }
    if (service && documents.empty()) {
        return reportError("\"" + *service + "\" is not published; list all with: geraniumsail show --store ADDRESS",
                           json);
    }
    if (json || service) {
        std::cout << documents.dump(2) << std::endl;
        return ExitDone;
    }
    for (const auto &[name, document] : documents.items()) {
        std::cout << name << " version " << document["version"] << "\n";
    }
    std::cout << documents.size() << " document(s) published" << std::endl;
    return ExitDone;
}

} // namespace Geraniumsail::Cli
