#include "rpc/jsonrpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <json/json.h>

#include <map>
#include <utility>

namespace Geraniumsail {

namespace {

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value parse(const std::string &text)
{
    Json::CharReaderBuilder builder;
    builder["failIfExtra"] = true;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
        throw RpcError(RpcInvalidParams, "malformed JSON");
    }
    return value;
}

/// Keeps the request text that the client would have sent.
class CapturingConnector : public jsonrpc::IClientConnector
{
public:
    void SendRPCMessage(const std::string &message, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        m_request = message;
        result = R"({"jsonrpc":"2.0","id":1,"result":null})";
    }
    const std::string &request() const
    {
        return m_request;
    }

private:
    std::string m_request;
};

/// Answers the client with a response text that was received before.
class ReplayingConnector : public jsonrpc::IClientConnector
{
public:
    explicit ReplayingConnector(const std::string &response) : m_response(response)
    {
    }
    void SendRPCMessage(const std::string & /*message*/, std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        result = m_response;
    }

private:
    const std::string &m_response;
};

} // namespace

RpcError::RpcError(int code, const std::string &message) : std::runtime_error(message), m_code(code)
{
}

int RpcError::code() const
{
    return m_code;
}

class RpcServer::Impl : public jsonrpc::IProcedureInvokationHandler
{
public:
    Impl() : m_handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void addMethod(const std::string &name, Method method)
    {
        m_methods[name] = std::move(method);
        m_handler->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    }

    std::string handle(const std::string &request)
    {
        std::string response;
        m_handler->HandleRequest(request, response);
        return response;
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override
    {
        try {
            output = parse(m_methods.at(procedure.GetProcedureName())(toText(input)));
        } catch (const RpcError &error) {
            throw jsonrpc::JsonRpcException(error.code(), error.what());
        } catch (const std::exception &error) {
            throw jsonrpc::JsonRpcException(RpcInternalError, error.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure & /*procedure*/, const Json::Value & /*input*/) override
    {
    }

private:
    std::map<std::string, Method> m_methods;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
};

RpcServer::RpcServer() : m_impl(new Impl)
{
}

RpcServer::~RpcServer() = default;

void RpcServer::addMethod(const std::string &name, Method method)
{
    m_impl->addMethod(name, std::move(method));
}

std::string RpcServer::handle(const std::string &request)
{
    return m_impl->handle(request);
}

std::string encodeRequest(const std::string &method, const std::string &params)
{
    const Json::Value value = parse(params);
    if (!value.isObject() && !value.isArray()) {
        throw RpcError(RpcInvalidParams, "parameters must be an object or an array");
    }
    CapturingConnector connector;
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    client.CallMethod(method, value);
    return connector.request();
}

std::string decodeResponse(const std::string &response)
{
    ReplayingConnector connector(response);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        return toText(client.CallMethod("response", Json::Value(Json::objectValue)));
    } catch (const jsonrpc::JsonRpcException &error) {
        throw RpcError(error.GetCode(), error.GetMessage());
    } catch (const std::exception &error) {
        throw RpcError(RpcInternalError, error.what());
    }
}

} // namespace Geraniumsail
