// Switches and reports of the stand-in upstream.
#include "standin/http.h"
#include "standin/upstreamserver.h"

#include <nlohmann/json.hpp>

namespace Geraniumsail::Standin {

using Json = nlohmann::json;

HttpResponse UpstreamServer::control(const HttpRequest &request, const std::string &path, const std::string &body)
{
    const bool isGet = request.message.method() == boost::beast::http::verb::get;
    if (isGet && path == "/standin/state") {
        return showState();
    }
    if (isGet && path == "/standin/executions") {
        return showExecutions();
    }
    if (!isGet && path == "/standin/upstream") {
        return setSwitches(body);
    }
    return jsonResponse(404, {{"error", "no such path"}});
}

HttpResponse UpstreamServer::setSwitches(const std::string &body)
{
    const auto json = parseJsonObject(body);
    if (!json) {
        return jsonResponse(400, {{"error", "expected a JSON object"}});
    }
    try {
        m_serviceFactor = json->value("serviceFactor", m_serviceFactor);
        m_failShare = json->value("failShare", m_failShare);
        m_shedding = json->value("shedding", m_shedding);
        m_falseHealth = json->value("falseHealth", m_falseHealth);
        m_truncateAnswers = json->value("truncateAnswers", m_truncateAnswers);
        if (json->contains("announce")) {
            m_announcer.setEnabled((*json)["announce"].get<bool>());
        }
        if (json->contains("healthLagMs")) {
            m_announcer.setLag(std::chrono::milliseconds((*json)["healthLagMs"].get<std::uint32_t>()));
        }
        tellState();
        if (json->value("drain", false)) {
            drain();
        }
    } catch (const Json::exception &error) {
        return jsonResponse(400, {{"error", error.what()}});
    }
    return showState();
}

HttpResponse UpstreamServer::showState() const
{
    return jsonResponse(200,
                        {{"service", m_options.service.value()},
                         {"started", m_counts.started},
                         {"completed", m_counts.completed},
                         {"cancelled", m_counts.cancelled},
                         {"expired", m_counts.expired},
                         {"shed", m_counts.shed},
                         {"childFailures", m_counts.childFailures},
                         {"connections", m_counts.connections},
                         {"active", m_counts.active},
                         {"peakActive", m_counts.peakActive},
                         {"announced", m_announcer.accepted()},
                         {"serviceFactor", m_serviceFactor},
                         {"shedding", m_shedding},
                         {"draining", m_draining}});
}

HttpResponse UpstreamServer::showExecutions() const
{
    Json counts = Json::object();
    Json doubled = Json::array();
    for (const auto &[token, count] : m_executions) {
        counts[token] = count;
        if (count > 1) {
            doubled.push_back(token);
        }
    }
    return jsonResponse(200, {{"service", m_options.service.value()}, {"executions", counts}, {"doubled", doubled}});
}

} // namespace Geraniumsail::Standin
