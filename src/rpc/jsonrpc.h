// JSON-RPC 2.0 between our own processes: libjsonrpccpp behind an interface of strings.
//
// The library does codec and dispatch; the bytes are carried by the HTTP sockets of gs-net. Parameters and results
// cross this interface as JSON text, so that no header of the library is seen outside this folder. The library's own
// HTTP connectors block and stay unused.
#ifndef GERANIUMSAIL_RPC_JSONRPC_H
#define GERANIUMSAIL_RPC_JSONRPC_H

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace Geraniumsail {

/// Thrown by a method handler to answer with a JSON-RPC error, and by decodeResponse for an error response.
class RpcError : public std::runtime_error
{
public:
    RpcError(int code, const std::string &message);
    int code() const;

private:
    int m_code;
};

constexpr int RpcInvalidParams = -32602;
constexpr int RpcMethodNotFound = -32601;
constexpr int RpcInternalError = -32603;

/// Dispatches request texts to registered methods. Not thread safe.
class RpcServer
{
public:
    /// Receives the parameters as JSON text and returns the result as JSON text.
    using Method = std::function<std::string(const std::string &params)>;

    RpcServer();
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    void addMethod(const std::string &name, Method method);
    /// The response text; malformed requests and unknown methods give a JSON-RPC error response.
    std::string handle(const std::string &request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Text of a request. The parameters are a JSON object or array as text; throws RpcError if they are neither.
std::string encodeRequest(const std::string &method, const std::string &params);
/// The result as JSON text; throws RpcError for an error response or a malformed text.
std::string decodeResponse(const std::string &response);

} // namespace Geraniumsail

#endif
