#include "cli/remote.h"

#include "config/manifest.h"
#include "net/blockinghttp.h"
#include "net/storeclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

namespace Geraniumsail::Cli {

namespace {

constexpr auto AdminTimeout = std::chrono::seconds(3);

StoreCall readCall(const std::string &key)
{
    StoreCall call;
    call.key = key;
    return call;
}

} // namespace

StoreResult callStore(const Address &store, const StoreCall &call)
{
    boost::asio::io_context context;
    StoreClient client(context.get_executor(), store);
    auto result = boost::asio::co_spawn(context, client.call(call), boost::asio::use_future);
    context.run();
    return result.get();
}

Published readPublished(const Address &store)
{
    Published published;
    const auto manifest = callStore(store, readCall(std::string(ManifestKey)));
    if (manifest.status == StoreStatus::NotFound) {
        published.manifest = Manifest{};
        return published;
    }
    if (manifest.status != StoreStatus::Ok) {
        published.error = "the store at " + store.value() + " does not answer; try again when it does";
        return published;
    }
    auto decoded = decodeManifest(manifest.value);
    if (!decoded.value) {
        published.error = "the manifest in the store is damaged:\n" + toText(decoded.problems);
        return published;
    }
    for (const auto &[name, entry] : *decoded.value) {
        const auto blob = callStore(store, readCall(blobKey(name, entry.hash)));
        if (blob.status != StoreStatus::Ok) {
            published.error = "the text of \"" + name.value() + "\" cannot be read from the store; publish it again";
            return published;
        }
        published.texts[name] = blob.value;
    }
    published.manifest = std::move(decoded.value);
    return published;
}

std::optional<std::string> fetchAdmin(const Address &node, const std::string &path)
{
    const auto answer =
        sendBlocking(node, makeRequest(boost::beast::http::verb::get, path, node.value()), AdminTimeout);
    if (!answer || answer->message.result_int() != 200) {
        return std::nullopt;
    }
    return answer->message.body();
}

std::optional<Json> fetchStatus(const Address &node)
{
    const auto text = fetchAdmin(node, "/status");
    auto json = Json::parse(text.value_or(""), nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    return json;
}

Json statusSection(const Json &status, const std::string &name)
{
    if (status.contains(name)) {
        return status[name];
    }
    if (status.contains("control") && status["control"].is_object() && status["control"].contains(name)) {
        return status["control"][name];
    }
    return nullptr;
}

std::map<DocumentName, ConfigVersion> versionsInForce(const Json &status)
{
    std::map<DocumentName, ConfigVersion> versions;
    const auto documents = statusSection(status, "documents");
    if (!documents.is_object()) {
        return versions;
    }
    for (const auto &[name, version] : documents.items()) {
        if (version.is_number_unsigned()) {
            versions[DocumentName(name)] = ConfigVersion(version.get<std::uint64_t>());
        }
    }
    return versions;
}

} // namespace Geraniumsail::Cli
