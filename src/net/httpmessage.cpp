#include "net/httpmessage.h"

#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <vector>

namespace Geraniumsail {

namespace http = boost::beast::http;

namespace {

constexpr std::array HopFields{http::field::connection,
                               http::field::keep_alive,
                               http::field::proxy_authenticate,
                               http::field::proxy_authorization,
                               http::field::proxy_connection,
                               http::field::te,
                               http::field::trailer,
                               http::field::transfer_encoding,
                               http::field::upgrade,
                               http::field::expect};

} // namespace

boost::asio::awaitable<boost::system::result<std::string, TransferError>> wholeBody(HttpResponse response,
                                                                                    std::size_t limit)
{
    std::string text = std::move(response.message.body());
    bool whole = !response.rest;
    while (!whole) {
        if (text.size() > limit) {
            co_return TransferError::TruncatedAnswer;
        }
        auto part = co_await response.rest->next();
        if (!part) {
            co_return part.error();
        }
        whole = part->empty();
        text += *part;
    }
    co_return text;
}

HttpResponse makeResponse(unsigned status, std::string_view contentType, std::string body)
{
    HttpResponse response;
    response.message.result(status);
    response.message.set(http::field::content_type, contentType);
    response.message.body() = std::move(body);
    response.message.prepare_payload();
    return response;
}

HttpResponse errorResponse(ErrorKind kind)
{
    const auto &row = errorRow(kind);
    auto response = makeResponse(static_cast<unsigned>(row.httpStatus), "text/plain", std::string(row.label) + "\n");
    response.message.set("Geraniumsail-Outcome", outcomeLabel(row.outcome));
    response.message.set("Geraniumsail-Reason", row.label);
    return response;
}

HttpRequest makeRequest(http::verb method, std::string_view target, std::string_view host, std::string body)
{
    HttpRequest request;
    request.message.method(method);
    request.message.target(target);
    request.message.set(http::field::host, host);
    request.message.body() = std::move(body);
    request.message.prepare_payload();
    return request;
}

void removeHopFields(http::fields &fields)
{
    std::vector<std::string> named;
    for (const auto token : http::token_list(fields[http::field::connection])) {
        named.emplace_back(token);
    }
    for (const auto &name : named) {
        if (!boost::beast::iequals(name, "content-length")) {
            fields.erase(name);
        }
    }
    for (const auto field : HopFields) {
        fields.erase(field);
    }
}

std::string_view fieldValue(const http::fields &fields, std::string_view name)
{
    const auto value = fields[name];
    return {value.data(), value.size()};
}

} // namespace Geraniumsail
