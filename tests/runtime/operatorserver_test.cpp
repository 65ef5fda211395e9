// The HTTP endpoint for operators.

#define BOOST_TEST_MODULE OperatorServer
#include <boost/test/unit_test.hpp>

#include "runtime/operators/operatorserver.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <thread>

using namespace egrettide;
using boost::asio::ip::tcp;

namespace
{

// Answers each request with its own body.
class Echo
{
public:
    Echo()
        : m_server(m_context, [](const OperatorRequest &request, const OperatorResponder &respond) {
            respond(OperatorResponse{200, "text/plain", request.body});
        })
    {
        const auto port = m_server.listen("127.0.0.1:0");
        BOOST_TEST_REQUIRE(port.has_value());
        m_port = *port;
        m_thread = std::thread([this] { m_context.run(); });
    }

    ~Echo()
    {
        m_server.stop();
        m_context.stop();
        m_thread.join();
    }

    // Sends the text and returns what arrives until the connection ends.
    std::string answerTo(const std::string &request) const
    {
        boost::asio::io_context context;
        tcp::socket socket(context);
        socket.connect({boost::asio::ip::address_v4::loopback(), m_port});
        boost::system::error_code ended;
        boost::asio::write(socket, boost::asio::buffer(request), ended);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ended);
        return answer;
    }

private:
    boost::asio::io_context m_context{1};
    OperatorServer m_server;
    unsigned short m_port = 0;
    std::thread m_thread;
};

std::string post(const std::string &length, const std::string &body)
{
    return "POST /drain HTTP/1.1\r\nHost: h\r\n" + length + "\r\n\r\n" + body;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Requests)

BOOST_AUTO_TEST_CASE(AreAnswered)
{
    const Echo echo;
    BOOST_TEST(echo.answerTo(post("Content-Length: 5", "hello")).ends_with("hello"));
}

// Guards against a host whose memory is used up by the body of one request.
BOOST_AUTO_TEST_CASE(AreRefusedAtOnceWhenTheirBodyIsTooLong)
{
    const Echo echo;
    for (const std::string &body : {std::string(), std::string(100, 'x')}) {
        BOOST_TEST(echo.answerTo(post("Content-Length: 10000000000", body)).starts_with("HTTP/1.1 413"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
