// Commands status and refusals: what nodes have in force, who is a member, and what is refused and why.
#include "cli/commands.h"
#include "cli/remote.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace Geraniumsail::Cli {

namespace {

std::string textField(const Json &json, const std::string &name)
{
    const auto field = json.find(name);
    if (field == json.end()) {
        return "?";
    }
    return field->is_string() ? field->get<std::string>() : field->dump();
}

std::string upstreamText(const Json &status)
{
    if (!status.contains("upstream") || !status["upstream"].is_object()) {
        return "none";
    }
    const auto &upstream = status["upstream"];
    return textField(upstream, "service") + " " + textField(upstream, "state");
}

std::string sectionText(const Json &status, const std::string &name)
{
    const auto section = statusSection(status, name);
    return section.is_null() ? "?" : section.dump();
}

void printNode(const Address &address, const Json &status)
{
    std::cout << textField(status, "node") << " (" << address.value() << "), " << textField(status, "region") << "/"
              << textField(status, "dataCentre") << "\n";
    const auto load = status.contains("load") ? status["load"] : Json::object();
    std::cout << "  upstream " << upstreamText(status) << ", running " << textField(load, "running") << ", queued "
              << textField(load, "queued") << ", limit " << textField(load, "limit")
              << (status.value("draining", false) ? ", draining" : "") << "\n";
    std::cout << "  members " << sectionText(status, "live") << " by data centre " << sectionText(status, "dataCentres")
              << ", dead " << sectionText(status, "dead") << ", unreachable " << sectionText(status, "unreachable")
              << "\n  in force:";
    const auto versions = versionsInForce(status);
    for (const auto &[name, version] : versions) {
        std::cout << " " << name.value() << "=" << version.value();
    }
    std::cout << (versions.empty() ? " nothing published; safe defaults apply" : "") << "\n";
}

/// Documents that not all of the asked nodes have in the same version.
std::vector<std::string> differingDocuments(const std::vector<Json> &statuses)
{
    std::map<DocumentName, std::map<ConfigVersion, std::size_t>> seen;
    for (const auto &status : statuses) {
        for (const auto &[name, version] : versionsInForce(status)) {
            ++seen[name][version];
        }
    }
    std::vector<std::string> result;
    for (const auto &[name, versions] : seen) {
        if (versions.size() != 1 || versions.begin()->second != statuses.size()) {
            result.push_back(name.value());
        }
    }
    return result;
}

/// The lines of the answers and retries counters with a value over 0.
std::map<std::string, double> refusalCounters(const std::string &metrics)
{
    std::map<std::string, double> counters;
    std::istringstream lines(metrics);
    std::string line;
    while (std::getline(lines, line)) {
        const bool wanted = line.starts_with("geraniumsail_answers_total{")
            || line.starts_with("geraniumsail_retries_total{")
            || line.starts_with("geraniumsail_retry_refusals_total{");
        const auto space = line.rfind(' ');
        if (!wanted || space == std::string::npos || line.find("reason=\"ran\"") != std::string::npos) {
            continue;
        }
        std::istringstream number(line.substr(space + 1));
        double value = 0.0;
        if (number >> value && value > 0.0) {
            counters[line.substr(0, space)] = value;
        }
    }
    return counters;
}

int reportMissing(const std::vector<Address> &missing)
{
    for (const auto &node : missing) {
        std::cerr << node.value() << ": no answer; check that the node runs and that this is its admin listener"
                  << std::endl;
    }
    return missing.empty() ? ExitDone : ExitRefused;
}

} // namespace

int status(const std::vector<Address> &nodes, bool json)
{
    std::vector<Json> statuses;
    std::vector<Address> missing;
    for (const auto &node : nodes) {
        if (auto answer = fetchStatus(node)) {
            if (!json) {
                printNode(node, *answer);
            }
            statuses.push_back(std::move(*answer));
        } else {
            missing.push_back(node);
        }
    }
    const auto differing = differingDocuments(statuses);
    if (json) {
        std::cout << Json{{"nodes", statuses}, {"differing", differing}}.dump(2) << std::endl;
    } else if (nodes.size() > 1) {
        std::cout << statuses.size() << " of " << nodes.size() << " nodes answered; ";
        std::cout << (differing.empty() ? "all have the same versions in force" : "not yet the same everywhere:");
        for (const auto &name : differing) {
            std::cout << " " << name;
        }
        std::cout << std::endl;
    }
    return reportMissing(missing);
}

int refusals(const std::vector<Address> &nodes, bool json)
{
    std::map<std::string, double> sums;
    std::vector<Address> missing;
    for (const auto &node : nodes) {
        const auto metrics = fetchAdmin(node, "/metrics");
        if (!metrics) {
            missing.push_back(node);
            continue;
        }
        for (const auto &[name, value] : refusalCounters(*metrics)) {
            sums[name] += value;
        }
    }
    if (json) {
        std::cout << Json{{"counters", sums}}.dump(2) << std::endl;
        return reportMissing(missing);
    }
    for (const auto &[name, value] : sums) {
        std::cout << std::setw(10) << static_cast<std::uint64_t>(value) << "  " << name << "\n";
    }
    std::cout << (sums.empty() ? "nothing was refused" : "reasons are explained in docs/interface.md") << std::endl;
    return reportMissing(missing);
}

} // namespace Geraniumsail::Cli
