#include "standin/behaviour.h"

#include "config/reader.h"

#include <utility>

namespace Geraniumsail::Standin {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t MaxMs = 3'600'000;
constexpr std::uint64_t MaxBytes = 1'000'000'000;

Duration readMs(ObjectReader &reader, const std::string &name, Duration fallback)
{
    return reader.has(name) ? milliseconds(reader.integer(name, 0, MaxMs).value_or(0)) : fallback;
}

template <typename Number>
Number readCount(ObjectReader &reader, const std::string &name, Number fallback)
{
    using Rep = typename Number::rep;
    return reader.has(name) ? Number(static_cast<Rep>(reader.integer(name, 1, 1'000'000).value_or(1))) : fallback;
}

KindBehaviour readKind(ObjectReader reader, const std::string &file, Problems &problems)
{
    KindBehaviour kind;
    kind.serviceTime = readMs(reader, "serviceMs", kind.serviceTime);
    if (reader.has("spread")) {
        kind.spread = reader.number("spread", 0.0, 1.0).value_or(0.0);
    }
    if (reader.has("answerBytes")) {
        kind.answerBytes = reader.integer("answerBytes", 0, MaxBytes).value_or(0);
    }
    if (reader.has("bytesPerSecond")) {
        kind.bytesPerSecond = reader.integer("bytesPerSecond", 0, MaxBytes).value_or(0);
    }
    if (reader.has("parallelCalls")) {
        kind.parallelCalls = reader.boolean("parallelCalls").value_or(false);
    }
    if (reader.has("calls")) {
        reader.array("calls", [&](const Json &element, const std::string &path) {
            ObjectReader call(element, file, path, problems);
            ChildCall child;
            child.service = ServiceName(call.identifier("service").value_or(""));
            child.kind = KindName(call.identifier("kind").value_or(""));
            child.once = call.has("once") && call.boolean("once").value_or(false);
            kind.calls.push_back(child);
            call.finish();
        });
    }
    reader.finish();
    return kind;
}

/// Calls visit for each member of an object field.
template <typename Visit>
void readMembers(ObjectReader &reader, const Json &object, const std::string &name, Visit visit)
{
    auto members = reader.object(name);
    const auto field = object.find(name);
    if (field != object.end() && field->is_object()) {
        for (const auto &[member, value] : field->items()) {
            visit(member, value, members.object(member));
        }
    }
}

ServiceBehaviour readService(const Json &json, ObjectReader reader, const std::string &file, Problems &problems)
{
    ServiceBehaviour service;
    service.slots = readCount(reader, "slots", service.slots);
    service.connections = readCount(reader, "connections", service.connections);
    service.connectionCost = readMs(reader, "connectionCostMs", service.connectionCost);
    service.coldStart = readMs(reader, "coldStartMs", service.coldStart);
    readMembers(reader, json, "kinds", [&](const std::string &name, const Json &, ObjectReader kind) {
        service.kinds[KindName(name)] = readKind(std::move(kind), file, problems);
    });
    reader.finish();
    return service;
}

} // namespace

Checked<std::map<ServiceName, ServiceBehaviour>> parseBehaviour(std::string_view text, const std::string &file)
{
    Checked<std::map<ServiceName, ServiceBehaviour>> result;
    const auto json = parseObject(text, file, result.problems);
    if (!json) {
        return result;
    }
    std::map<ServiceName, ServiceBehaviour> services;
    ObjectReader reader(*json, file, "", result.problems);
    readMembers(reader, *json, "services", [&](const std::string &name, const Json &value, ObjectReader service) {
        services[ServiceName(name)] = readService(value, std::move(service), file, result.problems);
    });
    reader.finish();
    if (result.problems.empty()) {
        result.value = std::move(services);
    }
    return result;
}

} // namespace Geraniumsail::Standin
