// Small helpers of the stand-ins' HTTP handlers.
#ifndef GERANIUMSAIL_STANDIN_HTTP_H
#define GERANIUMSAIL_STANDIN_HTTP_H

#include "core/units.h"
#include "net/cancellation.h"
#include "net/httpmessage.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Geraniumsail::Standin {

/// Path and query of a request target. Keys and names of the stand-ins need no percent encoding.
struct Target
{
    std::string path;
    std::map<std::string, std::string> query;

    std::uint64_t number(const std::string &name, std::uint64_t fallback) const;
};

Target parseTarget(std::string_view target);

/// The whole body; nothing if it broke off or is longer than the limit.
boost::asio::awaitable<std::optional<std::string>> readWhole(std::string first, BodyReader *rest, std::size_t limit);

/// The body as a JSON object; nothing if it is none.
std::optional<nlohmann::json> parseJsonObject(const std::string &body);

HttpResponse jsonResponse(unsigned status, const nlohmann::json &json);

/// An answer whose body breaks off at once, so that the receiver learns nothing but that the answer is lost.
HttpResponse lostResponse();

/// Waits for a time, or less if the caller gives up. Returns false if it gave up.
boost::asio::awaitable<bool> pause(Duration duration, Cancellation &cancellation);

} // namespace Geraniumsail::Standin

#endif
