#include "net/httpwire.h"

#include "core/text.h"

#include <sys/socket.h>

#include <cerrno>

namespace Geraniumsail {

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = parseNumber<std::uint16_t>(address.substr(colon + 1));
    ErrorCode error;
    const auto ip = boost::asio::ip::make_address(std::string(host), error);
    if (error || !port) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, *port);
}

SocketState peekSocket(boost::asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        return SocketState::Readable;
    }
    const bool wouldBlock = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return wouldBlock ? SocketState::Quiet : SocketState::Closed;
}

} // namespace Geraniumsail
