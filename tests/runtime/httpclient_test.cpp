// Calls to one server over connections that stop responding.

#define BOOST_TEST_MODULE HttpClient
#include <boost/test/unit_test.hpp>

#include "runtime/host/socketoptions.h"
#include "runtime/store/httpclient.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <linux/filter.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace egrettide;
using boost::asio::ip::tcp;

namespace
{

// Only decides how long a broken test takes to fail.
constexpr std::chrono::seconds failureTimeout{20};

// Answers each request with an empty object, except on connections that were silenced.
class Server
{
public:
    explicit Server(boost::asio::io_context &context)
        : m_acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    tcp::endpoint endpoint() const
    {
        return m_acceptor.local_endpoint();
    }

    void holdAnswers(bool holds)
    {
        m_holds = holds;
        for (const auto &connection : std::exchange(m_unanswered, {})) {
            answer(connection);
        }
    }

    // Connections that are open now get no more answers; later ones work.
    void silencePresentConnections()
    {
        for (const auto &connection : m_connections) {
            connection->isSilent = true;
        }
    }

    // Drops packets of the present connections before the kernel processes them, so that nothing
    // is acknowledged and no probe is answered.
    void dropPackets()
    {
        for (const auto &connection : m_connections) {
            sock_filter dropAll = BPF_STMT(BPF_RET | BPF_K, 0);
            const sock_fprog program{1, &dropAll};
            BOOST_TEST_REQUIRE(
                setsockopt(connection->socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0);
        }
    }

    int requests = 0;

private:
    struct Connection {
        explicit Connection(tcp::socket opened) : socket(std::move(opened))
        {
        }

        tcp::socket socket;
        boost::asio::streambuf input;
        bool isSilent = false;
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
            if (error) {
                return;
            }
            m_connections.push_back(std::make_shared<Connection>(std::move(socket)));
            read(m_connections.back());
            accept();
        });
    }

    void read(const std::shared_ptr<Connection> &connection)
    {
        boost::asio::async_read_until(connection->socket, connection->input, "\r\n\r\n",
                                      [this, connection](const boost::system::error_code &error, std::size_t size) {
                                          if (error) {
                                              return;
                                          }
                                          connection->input.consume(size);
                                          ++requests;
                                          answer(connection);
                                          read(connection);
                                      });
    }

    void answer(const std::shared_ptr<Connection> &connection)
    {
        if (m_holds) {
            m_unanswered.push_back(connection);
        } else if (!connection->isSilent) {
            boost::asio::write(connection->socket,
                               boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")));
        }
    }

    tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::vector<std::shared_ptr<Connection>> m_unanswered;
    bool m_holds = false;
};

struct Fixture {
    using Answer = tl::expected<HttpAnswer, HttpFailure>;

    std::shared_ptr<std::optional<Answer>> call(milliseconds timeout)
    {
        auto answer = std::make_shared<std::optional<Answer>>();
        client.call(HttpCall{}, Clock::now() + timeout, [answer](Answer given) { *answer = std::move(given); });
        return answer;
    }

    void await(const std::string &what, const std::function<bool()> &condition)
    {
        context.restart();
        for (const TimePoint end = Clock::now() + failureTimeout; !condition() && Clock::now() < end;) {
            context.run_one_for(milliseconds{20});
        }
        BOOST_REQUIRE_MESSAGE(condition(), "waited " << failureTimeout.count() << " s without success for: " << what);
    }

    void awaitAnswer(const std::shared_ptr<std::optional<Answer>> &answer)
    {
        await("the end of a call", [&] { return answer->has_value(); });
    }

    boost::asio::io_context context{1};
    Server server{context};
    HttpClient client{context, server.endpoint()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Calls, Fixture)

// Guards against a host that tries one dead connection to the store after the other.
BOOST_AUTO_TEST_CASE(UseNoIdleConnectionAfterOneWasFoundSilent)
{
    server.holdAnswers(true);
    const auto first = call(failureTimeout);
    const auto second = call(failureTimeout);
    await("two requests", [&] { return server.requests == 2; });
    server.holdAnswers(false);
    awaitAnswer(first);
    awaitAnswer(second);
    BOOST_TEST_REQUIRE(client.idleConnections() == 2U);
    server.silencePresentConnections();
    const auto lost = call(milliseconds{100});
    awaitAnswer(lost);
    BOOST_TEST(!(*lost)->has_value());
    const auto next = call(milliseconds{2000});
    awaitAnswer(next);
    BOOST_TEST((*next)->has_value(), "a call went over a connection that was silent as well");
}

// Guards against a call that waits for changes on a dead connection until its own deadline.
BOOST_AUTO_TEST_CASE(EndSoonOnADeadConnection)
{
    const auto waiting = call(std::chrono::duration_cast<milliseconds>(2 * failureTimeout));
    server.holdAnswers(true);
    await("the request", [&] { return server.requests == 1; });
    server.dropPackets();
    awaitAnswer(waiting);
    BOOST_TEST(!(*waiting)->has_value());
}

// Users count a host as in touch again after 4 s at the earliest: a dead connection must be
// detected, and a change be sent, before that.
BOOST_AUTO_TEST_CASE(AreProbedOftenEnoughForAChangeToBeInForceInTime)
{
    tcp::socket socket(context);
    socket.connect(server.endpoint());
    setStoreOptions(socket);
    const auto option = [&socket](int name) {
        int value = 0;
        socklen_t size = sizeof(value);
        BOOST_TEST_REQUIRE(getsockopt(socket.native_handle(), IPPROTO_TCP, name, &value, &size) == 0);
        return value;
    };
    const int noticedAfter = option(TCP_KEEPIDLE) + option(TCP_KEEPINTVL) * option(TCP_KEEPCNT);
    BOOST_TEST(noticedAfter <= 3);
    BOOST_TEST(option(TCP_USER_TIMEOUT) <= 3000);
}

BOOST_AUTO_TEST_SUITE_END()
