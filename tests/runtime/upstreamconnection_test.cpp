// Tests of a connection to an upstream against a scripted peer: it returns only complete
// answers, and none that belongs to another request.

#define BOOST_TEST_MODULE UpstreamConnection
#include <boost/test/unit_test.hpp>

#include "runtime/upstreams/upstreamconnection.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

using namespace egrettide;
using boost::asio::ip::tcp;

namespace
{

constexpr std::chrono::seconds maxWait{20};
constexpr std::uint32_t processId = 4711;
constexpr std::uint32_t secretKey = 815;

// An upstream that runs a script with blocking calls on its own thread.
class ScriptedUpstream
{
public:
    using Script = std::function<void(ScriptedUpstream &)>;

    explicit ScriptedUpstream(Script script)
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_thread([this, script = std::move(script)] {
            try {
                script(*this);
            } catch (const boost::system::system_error &) {
                // Most scripts end when the connection under test is closed.
            }
        })
    {
    }
    ~ScriptedUpstream()
    {
        join();
    }
    ScriptedUpstream(const ScriptedUpstream &) = delete;
    ScriptedUpstream &operator=(const ScriptedUpstream &) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    void join()
    {
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    // The following functions are called by scripts.
    tcp::socket accept()
    {
        return m_acceptor.accept();
    }
    tcp::socket login()
    {
        tcp::socket socket = accept();
        readPlain(socket);
        std::string out;
        pg::appendAuthenticationOk(out);
        pg::appendBackendKeyData(out, processId, secretKey);
        pg::appendReadyForQuery(out, 'I');
        boost::asio::write(socket, boost::asio::buffer(out));
        return socket;
    }
    // Reads a startup or cancel message; returns it without its length.
    static std::string readPlain(tcp::socket &socket)
    {
        return readPayload(socket);
    }
    // Reads one message; returns its type.
    static char readMessage(tcp::socket &socket)
    {
        char type = 0;
        boost::asio::read(socket, boost::asio::buffer(&type, 1));
        readPayload(socket);
        return type;
    }
    static void send(tcp::socket &socket, const std::string &bytes)
    {
        boost::asio::write(socket, boost::asio::buffer(bytes));
    }

private:
    static std::string readPayload(tcp::socket &socket)
    {
        std::string length(4, '\0');
        boost::asio::read(socket, boost::asio::buffer(length));
        pg::PayloadReader reader(length);
        std::string payload(reader.uint32().value() - 4, '\0');
        boost::asio::read(socket, boost::asio::buffer(payload));
        return payload;
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

// The connection under test, driven from the test's own thread.
class Driver
{
public:
    explicit Driver(const ScriptedUpstream &upstream, std::size_t maxAnswerBytes = 1 << 20)
    {
        ConnectionSettings settings;
        settings.address = upstream.address();
        settings.database = "booking";
        settings.maxAnswerBytes = maxAnswerBytes;
        connection = UpstreamConnection::create(m_context, settings);
        std::optional<bool> opened;
        connection->open(Clock::now() + maxWait, [&opened](const auto &result) { opened = result.has_value(); });
        runUntil([&opened] { return opened.has_value(); });
        BOOST_REQUIRE_MESSAGE(*opened, "the connection did not open");
    }

    using Result = tl::expected<BatchAnswer, BatchFailure>;

    void start(const std::string &sql, bool askStatus = false, std::chrono::milliseconds timeout = maxWait)
    {
        BatchOrder order;
        pg::appendQuery(order.batch, sql);
        order.askStatus = askStatus;
        order.deadline = Clock::now() + timeout;
        m_result.reset();
        connection->run(order, [this](Result result) { m_result = std::move(result); });
    }
    Result finish()
    {
        runUntil([this] { return m_result.has_value(); });
        return *m_result;
    }
    void runUntil(const std::function<bool()> &condition)
    {
        const TimePoint end = Clock::now() + maxWait;
        while (!condition()) {
            BOOST_REQUIRE_MESSAGE(Clock::now() < end, "no answer came; the handler must be called by the deadline");
            m_context.restart();
            m_context.run_one_for(std::chrono::milliseconds{20});
        }
    }

private:
    boost::asio::io_context m_context;
    std::optional<Result> m_result;

public:
    std::shared_ptr<UpstreamConnection> connection;
};

std::string answer(const std::string &value, char state = 'I')
{
    std::string out;
    pg::appendRowDescription(out, {"value"});
    pg::appendDataRow(out, {value});
    pg::appendCommandComplete(out, "SELECT 1");
    pg::appendReadyForQuery(out, state);
    return out;
}

std::string statusAnswer()
{
    std::string out;
    pg::appendRowDescription(out,
                             {"name", "role", "promised_term", "promised_to", "received_term", "received", "replayed_term",
                              "replayed", "following_term"});
    pg::appendDataRow(out, {"a", "primary", "3", "token", "3", "17", "3", "16", "3"});
    pg::appendCommandComplete(out, "SELECT 1");
    pg::appendReadyForQuery(out, 'I');
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UpstreamConnections)

BOOST_AUTO_TEST_CASE(SplitTheStatusOffTheCallersAnswerWhereverTheBytesBreak)
{
    const std::string callers = answer("7");
    const std::string all = callers + statusAnswer();
    for (std::size_t cut = 1; cut < all.size(); cut += 7) {
        ScriptedUpstream upstream([&all, cut](ScriptedUpstream &script) {
            tcp::socket socket = script.login();
            ScriptedUpstream::readMessage(socket);
            ScriptedUpstream::readMessage(socket);
            ScriptedUpstream::send(socket, all.substr(0, cut));
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
            ScriptedUpstream::send(socket, all.substr(cut));
        });
        Driver driver(upstream);
        driver.start("INSERT", true);
        const auto result = driver.finish();
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result->bytes == callers, "the answer broken at byte " << cut << " differs from what was sent");
        BOOST_REQUIRE_MESSAGE(result->status.has_value(), "no status when broken at byte " << cut);
        BOOST_TEST((result->status->received == LogMark{3, 17}));
        BOOST_TEST((result->status->replayed == LogMark{3, 16}));
        BOOST_TEST(driver.connection->usable());
    }
}

// Without a cancel request, a statement continues to run and occupies its slot long after it
// was given up.
BOOST_AUTO_TEST_CASE(AskTheUpstreamToCancelWhatPassesItsDeadline)
{
    std::string cancel;
    std::atomic<bool> arrived{false};
    ScriptedUpstream upstream([&cancel, &arrived](ScriptedUpstream &script) {
        const tcp::socket hanging = [&script] {
            tcp::socket socket = script.login();
            ScriptedUpstream::readMessage(socket);
            return socket;
        }();
        tcp::socket second = script.accept();
        cancel = ScriptedUpstream::readPlain(second);
        arrived = true;
    });
    Driver driver(upstream);
    driver.start("SELECT pg_sleep(100)", false, std::chrono::milliseconds{30});
    const auto result = driver.finish();
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().reason == BatchFailure::Reason::DeadlineExceeded));
    BOOST_TEST(result.error().sent);
    BOOST_TEST(!driver.connection->usable(), "a connection with an answer outstanding may be used again");
    driver.runUntil([&arrived] { return arrived.load(); });
    upstream.join();
    pg::PayloadReader reader(cancel);
    BOOST_TEST(reader.uint32().value_or(0) == pg::cancelRequestCode);
    BOOST_TEST(reader.uint32().value_or(0) == processId);
    BOOST_TEST(reader.uint32().value_or(0) == secretKey);
}

BOOST_AUTO_TEST_CASE(ReturnNothingOfATruncatedAnswer)
{
    ScriptedUpstream upstream([](ScriptedUpstream &script) {
        tcp::socket socket = script.login();
        ScriptedUpstream::readMessage(socket);
        const std::string whole = answer("7");
        ScriptedUpstream::send(socket, whole.substr(0, whole.size() - 1));
    });
    Driver driver(upstream);
    driver.start("SELECT 7");
    const auto result = driver.finish();
    BOOST_REQUIRE_MESSAGE(!result.has_value(), "a truncated answer was returned");
    BOOST_TEST((result.error().reason == BatchFailure::Reason::Lost));
}

BOOST_AUTO_TEST_CASE(RefuseAnswersAboveTheirBound)
{
    ScriptedUpstream upstream([](ScriptedUpstream &script) {
        tcp::socket socket = script.login();
        ScriptedUpstream::readMessage(socket);
        ScriptedUpstream::send(socket, answer(std::string(5000, 'x')));
    });
    Driver driver(upstream, 1000);
    driver.start("SELECT big");
    const auto result = driver.finish();
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().reason == BatchFailure::Reason::TooLarge));
    BOOST_TEST(!driver.connection->usable());
}

// Messages that an upstream sends while no batch runs must not be buffered: they would become
// the start of the next answer.
BOOST_AUTO_TEST_CASE(AreClosedByAnUnsolicitedAnswer)
{
    ScriptedUpstream upstream([](ScriptedUpstream &script) {
        tcp::socket socket = script.login();
        ScriptedUpstream::readMessage(socket);
        ScriptedUpstream::send(socket, answer("7") + answer("8"));
        ScriptedUpstream::readMessage(socket);
    });
    Driver driver(upstream);
    driver.start("SELECT 7");
    static_cast<void>(driver.finish());
    driver.runUntil([&driver] { return !driver.connection->isOpen(); });
    BOOST_TEST(!driver.connection->usable());
}

BOOST_AUTO_TEST_SUITE_END()
