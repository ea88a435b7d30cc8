#include "node/announcement.h"

#include "core/callcontext.h"
#include "net/httpwire.h"

#include <nlohmann/json.hpp>

#include <array>

namespace Geraniumsail {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, 7> KnownFields{"service",     "address", "slots",   "connections",
                                                      "coldStartMs", "state",   "shedding"};
constexpr std::int64_t MaxSlots = 100'000;
constexpr std::int64_t MaxColdStartMs = 3'600'000;

bool numberIn(const Json &json, const char *name, std::int64_t min, std::int64_t max)
{
    if (!json.contains(name) || !json[name].is_number_integer()) {
        return false;
    }
    const auto value = json[name].get<std::int64_t>();
    return value >= min && value <= max;
}

std::string firstProblem(const Json &json)
{
    if (!json.is_object()) {
        return "expected a JSON object";
    }
    for (const auto &[name, value] : json.items()) {
        if (std::find(KnownFields.begin(), KnownFields.end(), name) == KnownFields.end()) {
            return "unknown field " + name;
        }
    }
    if (!json.value("service", Json()).is_string() || !isIdentifier(json["service"].get<std::string>())) {
        return "service: expected a service name";
    }
    if (!json.value("address", Json()).is_string() || !parseEndpoint(json["address"].get<std::string>())) {
        return "address: expected ip:port";
    }
    if (!numberIn(json, "slots", 0, MaxSlots)) {
        return "slots: expected 0 to 100000";
    }
    if (!numberIn(json, "connections", 0, MaxSlots)) {
        return "connections: expected 0 to 100000";
    }
    if (json.contains("coldStartMs") && !numberIn(json, "coldStartMs", 0, MaxColdStartMs)) {
        return "coldStartMs: expected 0 to 3600000";
    }
    const auto state = json.value("state", Json("up"));
    if (state != "up" && state != "draining") {
        return "state: expected up or draining";
    }
    return json.value("shedding", Json(false)).is_boolean() ? "" : "shedding: expected true or false";
}

} // namespace

boost::system::result<Announcement, std::string> parseAnnouncement(const std::string &text)
{
    const auto json = Json::parse(text, nullptr, false);
    if (auto problem = firstProblem(json); !problem.empty()) {
        return boost::system::result<Announcement, std::string>(boost::system::in_place_error, std::move(problem));
    }
    Announcement announcement;
    announcement.service = ServiceName(json["service"].get<std::string>());
    announcement.address = Address(json["address"].get<std::string>());
    announcement.slots = Slots(json["slots"].get<std::uint32_t>());
    announcement.connections = Connections(json["connections"].get<std::uint32_t>());
    announcement.coldStart = std::chrono::milliseconds(json.value("coldStartMs", std::int64_t{0}));
    announcement.draining = json.value("state", std::string("up")) == "draining";
    announcement.shedding = json.value("shedding", false);
    return announcement;
}

} // namespace Geraniumsail
