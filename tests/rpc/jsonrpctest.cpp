// Tests of the JSON-RPC interface: a fault here would drop or misread control messages.
#include "rpc/jsonrpc.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Geraniumsail {

namespace {

class JsonRpcTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonRpcTest);
    CPPUNIT_TEST(resultReachesTheClient);
    CPPUNIT_TEST(errorsReachTheClient);
    CPPUNIT_TEST(malformedTextIsAnswered);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_server = std::make_unique<RpcServer>();
        m_server->addMethod("echo", [](const std::string &params) { return params; });
        m_server->addMethod("refuse",
                            [](const std::string &) -> std::string { throw RpcError(RpcInvalidParams, "no"); });
    }

    void resultReachesTheClient()
    {
        const auto response = m_server->handle(encodeRequest("echo", R"({"a":[1,"x"]})"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"a":[1,"x"]})"), decodeResponse(response));
    }

    void errorsReachTheClient()
    {
        CPPUNIT_ASSERT_THROW(decodeResponse(m_server->handle(encodeRequest("refuse", "{}"))), RpcError);
        CPPUNIT_ASSERT_THROW(decodeResponse(m_server->handle(encodeRequest("missing", "{}"))), RpcError);
    }

    void malformedTextIsAnswered()
    {
        CPPUNIT_ASSERT_THROW(decodeResponse(m_server->handle("{")), RpcError);
        CPPUNIT_ASSERT_THROW(decodeResponse("not json"), RpcError);
        CPPUNIT_ASSERT_THROW(encodeRequest("echo", "12"), RpcError);
    }

private:
    std::unique_ptr<RpcServer> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonRpcTest);

} // namespace

} // namespace Geraniumsail
