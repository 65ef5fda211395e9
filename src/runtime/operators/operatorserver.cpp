// Implements the HTTP endpoint for operators with Boost.Beast.

#include "runtime/operators/operatorserver.h"

#include "runtime/host/address.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>

namespace egrettide
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

// A request that takes longer to arrive is dropped, so that half-open connections
// do not accumulate.
constexpr std::chrono::seconds requestTimeout{10};
// Orders name a database and an upstream.
constexpr std::uint64_t maxRequestBody = std::uint64_t{64} * 1024;
// A switchover waits for open transactions, so an answer may take longer.
constexpr std::chrono::seconds answerTimeout{60};

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(tcp::socket socket, const OperatorHandler &handler) : m_stream(std::move(socket)), m_handler(handler)
    {
    }

    void start()
    {
        m_stream.expires_after(requestTimeout);
        m_parser.body_limit(maxRequestBody);
        // The parser loses its own error about the length when body bytes arrive with the header.
        http::async_read_header(m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code failure, std::size_t) {
            const bool isTooLong =
                failure == http::error::body_limit || (!failure && self->m_parser.content_length().value_or(0) > maxRequestBody);
            if (isTooLong) {
                self->answer(OperatorResponse{
                    413, "application/json",
                    R"({"error":"invalid_input","message":"The request is too long; see docs/OPERATIONS.md.","retryAfterMs":0})"});
            } else if (!failure) {
                self->receiveBody();
            }
        });
    }

private:
    void receiveBody()
    {
        http::async_read(m_stream, m_buffer, m_parser, [self = shared_from_this()](beast::error_code failure, std::size_t) {
            if (!failure) {
                self->m_request = self->m_parser.release();
                self->handle();
            }
        });
    }

    void handle()
    {
        m_stream.expires_after(answerTimeout);
        OperatorRequest request{std::string(m_request.method_string()), std::string(m_request.target()), m_request.body()};
        m_handler(std::move(request), [self = shared_from_this()](OperatorResponse response) {
            asio::post(self->m_stream.get_executor(),
                       [self, response = std::move(response)]() mutable { self->answer(std::move(response)); });
        });
    }

    void answer(OperatorResponse response)
    {
        m_response.result(response.status);
        m_response.set(http::field::content_type, response.contentType);
        m_response.keep_alive(false);
        m_response.body() = std::move(response.body);
        m_response.prepare_payload();
        http::async_write(m_stream, m_response, [self = shared_from_this()](beast::error_code, std::size_t) {
            beast::error_code ignored;
            self->m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        });
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::request_parser<http::string_body> m_parser;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
    // A copy, because the server may be destroyed before the last exchange ends.
    OperatorHandler m_handler;
};

} // namespace

class OperatorServer::Impl : public std::enable_shared_from_this<OperatorServer::Impl>
{
public:
    Impl(asio::io_context &context, OperatorHandler handler) : m_acceptor(context), m_handler(std::move(handler))
    {
    }

    tl::expected<unsigned short, Error> listen(const std::string &address)
    {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint) {
            return tl::unexpected(endpoint.error());
        }
        beast::error_code failure;
        m_acceptor.open(endpoint->protocol(), failure);
        m_acceptor.set_option(asio::socket_base::reuse_address(true), failure);
        m_acceptor.bind(*endpoint, failure);
        if (!failure) {
            m_acceptor.listen(asio::socket_base::max_listen_connections, failure);
        }
        if (failure) {
            return tl::unexpected(Error{
                ErrorKind::InvalidInput,
                "Cannot listen on " + address + " (" + failure.message() + "); choose a free operatorAddress.", milliseconds{0}});
        }
        accept();
        return m_acceptor.local_endpoint().port();
    }

    // Closes the acceptor on its context's thread: stop may be called from another
    // thread, and closing directly would race with an accept.
    void stop()
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] {
            beast::error_code ignored;
            self->m_acceptor.close(ignored);
        });
    }

private:
    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](beast::error_code failure, tcp::socket socket) {
            if (!self->m_acceptor.is_open()) {
                return;
            }
            if (!failure) {
                std::make_shared<Exchange>(std::move(socket), self->m_handler)->start();
            }
            self->accept();
        });
    }

    tcp::acceptor m_acceptor;
    OperatorHandler m_handler;
};

OperatorServer::OperatorServer(asio::io_context &context, OperatorHandler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(handler)))
{
}

OperatorServer::~OperatorServer() = default;

tl::expected<unsigned short, Error> OperatorServer::listen(const std::string &address)
{
    return m_impl->listen(address);
}

void OperatorServer::stop()
{
    m_impl->stop();
}

} // namespace egrettide
