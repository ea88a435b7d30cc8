// The status of the control task as JSON, for the admin listener and the control method "status".
#include "node/controltask.h"

#include <nlohmann/json.hpp>

namespace Geraniumsail {

namespace {

using Json = nlohmann::json;

} // namespace

std::string ControlTask::statusText() const
{
    const auto &membership = m_core->membership();
    Json centres = Json::object();
    for (const auto &name : membership.table().dataCentres()) {
        centres[name.value()] = membership.table().liveCount(name);
    }
    Json dead = Json::array();
    membership.table().forEach([&](const MemberRecord &record) {
        if (record.state == MemberState::Dead) {
            dead.push_back(record.name.value());
        }
    });
    Json documents = Json::object();
    for (const auto &[name, document] : m_core->config().documents()) {
        documents[name.value()] = document.version.value();
    }
    Json unreachable = Json::array();
    for (const auto &name : m_publishedUnreachable) {
        unreachable.push_back(name.value());
    }
    const auto &counters = membership.counters();
    return Json{{"v", 1},
                {"live", membership.table().liveCount()},
                {"dataCentres", centres},
                {"dead", dead},
                {"unreachable", unreachable},
                {"relay", membership.isRelay()},
                {"watcher", membership.isWatcher()},
                {"localHealth", membership.localHealthMultiplier()},
                {"documents", documents},
                {"suspected", counters.suspected},
                {"declaredDead", counters.declaredDead},
                {"refuted", counters.refuted},
                {"pauses", counters.pauses},
                {"nameConflicts", counters.nameConflicts},
                {"transferredRecords", counters.transferredRecords},
                {"bytesSent", m_counters.bytesSent},
                {"bytesReceived", m_counters.bytesReceived},
                {"requestsSent", m_counters.requestsSent},
                {"requestsFailed", m_counters.requestsFailed},
                {"requestsReceived", m_counters.requestsReceived},
                {"requestsRefused", m_counters.requestsRefused},
                {"sendersRefused", m_counters.sendersRefused},
                {"documentsRefused", m_counters.documentsRefused},
                {"storeCalls", storeCounters().calls},
                {"storeFailures", storeCounters().failures}}
        .dump();
}

} // namespace Geraniumsail
