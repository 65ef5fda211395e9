// Uses one connection per outstanding call and keeps idle ones for reuse.

#include "runtime/store/httpclient.h"

#include "runtime/host/socketoptions.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace egrettide
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace
{

// Stored values reach a megabyte; host lists and statuses are smaller.
constexpr std::uint64_t BodyLimit = std::uint64_t{8} * 1024 * 1024;
constexpr std::size_t MaxIdleConnections = 8;
constexpr unsigned HttpVersion = 11;

} // namespace

namespace detail
{

// One connection and the call it runs, if any.
struct HttpConnection {
    explicit HttpConnection(asio::io_context &context) : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    // Every answer needs a new parser.
    std::optional<http::response_parser<http::string_body>> parser;
    HttpHandler handler;
};

} // namespace detail

using ConnectionPtr = std::shared_ptr<detail::HttpConnection>;

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
    State(asio::io_context &ioContext, asio::ip::tcp::endpoint endpoint) : context(ioContext), server(std::move(endpoint))
    {
    }

    void start(const HttpCall &call, TimePoint deadline, HttpHandler handler);
    void connect(const ConnectionPtr &connection);
    void send(const ConnectionPtr &connection);
    void receive(const ConnectionPtr &connection);
    void receiveBody(const ConnectionPtr &connection);
    void finish(const ConnectionPtr &connection);
    void fail(const ConnectionPtr &connection, bool mayHaveArrived, const std::string &step, const error_code &error);
    ConnectionPtr takeIdle();
    void shutDown();

    asio::io_context &context;
    asio::ip::tcp::endpoint server;
    // Invariant: no call is outstanding on any of them.
    std::vector<ConnectionPtr> idle;
    // Invariant: each has a handler that has not run yet.
    std::vector<ConnectionPtr> busy;
    // True after the client was destroyed: handlers must not run any more.
    bool closed = false;
};

namespace
{

http::request<http::string_body> toRequest(const HttpCall &call, const asio::ip::tcp::endpoint &server)
{
    http::request<http::string_body> request{call.verb, call.target, HttpVersion};
    request.set(http::field::host, server.address().to_string());
    request.keep_alive(true);
    if (!call.body.empty()) {
        request.set(http::field::content_type, "application/json");
        request.body() = call.body;
    }
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.prepare_payload();
    return request;
}

// If the server has closed an idle connection, the next request on it is lost and the caller
// can't determine whether it arrived. A pending end of stream (or stray bytes) shows this; such
// connections are not reused.
bool isReusable(beast::tcp_stream &stream)
{
    char byte = 0;
    error_code error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

// The server neither answered nor acknowledged. Connections that were idle meanwhile may be dead
// as well, which shows only when they are used.
bool wasSilent(const error_code &error)
{
    return error == beast::error::timeout || error == asio::error::timed_out;
}

} // namespace

void HttpClient::State::start(const HttpCall &call, TimePoint deadline, HttpHandler handler)
{
    ConnectionPtr connection = takeIdle();
    const bool fresh = !connection;
    if (fresh) {
        connection = std::make_shared<detail::HttpConnection>(context);
    }
    connection->request = toRequest(call, server);
    connection->handler = std::move(handler);
    // Beast uses a clock of its own, so it gets the remaining time.
    connection->stream.expires_after(deadline - Clock::now());
    busy.push_back(connection);
    if (fresh) {
        connect(connection);
    } else {
        send(connection);
    }
}

ConnectionPtr HttpClient::State::takeIdle()
{
    while (!idle.empty()) {
        ConnectionPtr connection = std::move(idle.back());
        idle.pop_back();
        if (isReusable(connection->stream)) {
            return connection;
        }
    }
    return nullptr;
}

void HttpClient::State::connect(const ConnectionPtr &connection)
{
    connection->stream.async_connect(server, [self = shared_from_this(), connection](const error_code &error) {
        if (self->closed) {
            return;
        }
        if (error) {
            self->fail(connection, false, "connect", error);
            return;
        }
        setStoreOptions(connection->stream.socket());
        self->send(connection);
    });
}

void HttpClient::State::send(const ConnectionPtr &connection)
{
    http::async_write(connection->stream, connection->request,
                      [self = shared_from_this(), connection](const error_code &error, std::size_t sent) {
                          if (self->closed) {
                              return;
                          }
                          if (error) {
                              self->fail(connection, sent > 0, "send", error);
                              return;
                          }
                          self->receive(connection);
                      });
}

void HttpClient::State::receive(const ConnectionPtr &connection)
{
    connection->parser.emplace();
    connection->parser->body_limit(BodyLimit);
    // The parser loses its own error about the length when body bytes arrive with the header.
    http::async_read_header(connection->stream, connection->buffer, *connection->parser,
                            [self = shared_from_this(), connection](error_code error, std::size_t) {
                                if (self->closed) {
                                    return;
                                }
                                if (!error && connection->parser->content_length().value_or(0) > BodyLimit) {
                                    error = http::error::body_limit;
                                }
                                if (error) {
                                    self->fail(connection, true, "receive", error);
                                    return;
                                }
                                self->receiveBody(connection);
                            });
}

void HttpClient::State::receiveBody(const ConnectionPtr &connection)
{
    http::async_read(connection->stream, connection->buffer, *connection->parser,
                     [self = shared_from_this(), connection](const error_code &error, std::size_t) {
                         if (self->closed) {
                             return;
                         }
                         if (error) {
                             self->fail(connection, true, "receive", error);
                             return;
                         }
                         self->finish(connection);
                     });
}

void HttpClient::State::finish(const ConnectionPtr &connection)
{
    std::erase(busy, connection);
    connection->stream.expires_never();
    auto response = connection->parser->release();
    const HttpHandler handler = std::exchange(connection->handler, nullptr);
    if (response.keep_alive() && idle.size() < MaxIdleConnections) {
        idle.push_back(connection);
    }
    handler(HttpAnswer{response.result(), std::move(response.body()), std::move(response.base())});
}

void HttpClient::State::fail(const ConnectionPtr &connection, bool mayHaveArrived, const std::string &step,
                             const error_code &error)
{
    std::erase(busy, connection);
    connection->stream.close();
    if (wasSilent(error)) {
        idle.clear();
    }
    const HttpHandler handler = std::exchange(connection->handler, nullptr);
    handler(
        tl::make_unexpected(HttpFailure{mayHaveArrived, step + " failed: " + error.message(), error == http::error::body_limit}));
}

void HttpClient::State::shutDown()
{
    closed = true;
    for (const ConnectionPtr &connection : busy) {
        connection->handler = nullptr;
        connection->stream.close();
    }
    busy.clear();
    idle.clear();
}

HttpClient::HttpClient(asio::io_context &context, asio::ip::tcp::endpoint server)
    : m_state(std::make_shared<State>(context, std::move(server)))
{
}

HttpClient::~HttpClient()
{
    m_state->shutDown();
}

void HttpClient::call(const HttpCall &call, TimePoint deadline, HttpHandler handler)
{
    m_state->start(call, deadline, std::move(handler));
}

void HttpClient::retarget(const asio::ip::tcp::endpoint &server)
{
    if (m_state->server == server) {
        return;
    }
    m_state->server = server;
    m_state->idle.clear();
}

std::size_t HttpClient::idleConnections() const
{
    return m_state->idle.size();
}

} // namespace egrettide
