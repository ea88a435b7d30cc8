// Shared by the server and the client: reading and writing one message on a connection. Internal to gs-net.
#ifndef GERANIUMSAIL_NET_HTTPWIRE_H
#define GERANIUMSAIL_NET_HTTPWIRE_H

#include "core/units.h"
#include "net/clock.h"
#include "net/httpmessage.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>

namespace Geraniumsail {

using Stream = boost::beast::tcp_stream;
using Buffer = boost::beast::flat_buffer;
using ErrorCode = boost::system::error_code;

/// Completion with the error as a value.
constexpr auto AsTuple = boost::asio::as_tuple(boost::asio::use_awaitable);

/// Parses "ip:port"; nothing if it is not an IPv4 address or bracketed IPv6 address with a port.
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address);

enum class SocketState {
    Quiet, ///< Open, nothing to read.
    Readable,
    Closed,
};
/// Looks at a socket without waiting and without consuming anything.
SocketState peekSocket(boost::asio::ip::tcp::socket &socket);

/// Growth of a body of unknown length while it is read.
constexpr std::size_t BodyStep = 16UL * 1024;

/// Whether a time limit is over. The expiry of a Beast stream ends only an operation that waits: one that completes at
/// once, because the peer is fast, cancels the timer before its handler can run. Loops over many operations therefore
/// have to compare the time themselves.
inline bool isOver(MonotonicTime end)
{
    return monotonicNow() >= end;
}

/// Reads body bytes until part holds limit bytes or the body ends. The time limit has to be set for the stream too.
template <bool IsRequest>
boost::asio::awaitable<ErrorCode>
readBody(Stream &stream, Buffer &buffer, boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body> &parser,
         std::string &part, std::size_t limit, MonotonicTime end = MonotonicTime::max())
{
    while (!parser.is_done() && part.size() < limit) {
        if (isOver(end)) {
            co_return make_error_code(boost::beast::error::timeout);
        }
        const auto used = part.size();
        const auto expected = parser.content_length_remaining().value_or(BodyStep);
        const auto room = static_cast<std::size_t>(
            std::min<std::uint64_t>({limit - used, BodyStep, std::max<std::uint64_t>(expected, 1)}));
        part.resize(used + room);
        auto &body = parser.get().body();
        body.data = part.data() + used;
        body.size = room;
        body.more = true;
        auto [error, count] = co_await boost::beast::http::async_read_some(stream, buffer, parser, AsTuple);
        part.resize(used + room - body.size);
        if (error && error != boost::beast::http::error::need_buffer) {
            co_return error;
        }
    }
    co_return ErrorCode{};
}

/// Reads the next part of a streamed body; empty at the end. One part returns as soon as any bytes are there.
template <bool IsRequest>
boost::asio::awaitable<ErrorCode>
readPart(Stream &stream, Buffer &buffer, boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body> &parser,
         std::string &part)
{
    part.resize(WholeBodyLimit);
    auto &body = parser.get().body();
    body.data = part.data();
    body.size = part.size();
    body.more = true;
    while (!parser.is_done() && body.size == part.size()) {
        auto [error, count] = co_await boost::beast::http::async_read_some(stream, buffer, parser, AsTuple);
        if (error && error != boost::beast::http::error::need_buffer) {
            co_return error;
        }
    }
    part.resize(part.size() - body.size);
    co_return ErrorCode{};
}

/// What writing a message came to; sourceError is set if the reader of the rest failed.
struct WriteResult
{
    ErrorCode error;
    std::optional<TransferError> sourceError;
};

/// Limits on writing a streamed message.
struct WriteLimits
{
    std::optional<Duration> part; ///< Each part; unset to keep the expiry of the stream.
    std::optional<MonotonicTime> end; ///< The whole message.
};

/// Writes a message whose body continues in rest. Without Content-Length the body is sent in chunks; if rest fails, the
/// terminating chunk is not sent, and the connection must be closed.
template <bool IsRequest>
boost::asio::awaitable<WriteResult>
writeStreamed(Stream &stream, boost::beast::http::message<IsRequest, boost::beast::http::string_body> &message,
              BodyReader &rest, WriteLimits limits)
{
    const auto end = limits.end.value_or(MonotonicTime::max());
    namespace http = boost::beast::http;
    http::message<IsRequest, http::buffer_body> head{std::move(message.base())};
    if (head.count(http::field::content_length) == 0) {
        head.chunked(true);
    }
    http::serializer<IsRequest, http::buffer_body> serializer{head};
    std::string part = std::move(message.body());
    head.body().more = true;
    head.body().data = part.empty() ? nullptr : part.data();
    head.body().size = part.size();
    while (true) {
        if (isOver(end)) {
            co_return WriteResult{make_error_code(boost::beast::error::timeout), std::nullopt};
        }
        if (limits.part) {
            stream.expires_at(toSteady(std::min(end, monotonicNow() + *limits.part)));
        }
        auto [error, count] = co_await http::async_write(stream, serializer, AsTuple);
        if (error && error != http::error::need_buffer) {
            co_return WriteResult{error, std::nullopt};
        }
        if (!head.body().more) {
            co_return WriteResult{};
        }
        auto next = co_await rest.next();
        if (!next) {
            co_return WriteResult{ErrorCode{}, next.error()};
        }
        part = std::move(*next);
        head.body().more = !part.empty();
        head.body().data = part.empty() ? nullptr : part.data();
        head.body().size = part.size();
    }
}

} // namespace Geraniumsail

#endif
