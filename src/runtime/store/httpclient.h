// A small asynchronous HTTP/1.1 client with JSON bodies for one server address, used by the store
// client and the operator commands. It keeps idle connections for reuse, and reports for every
// failed call whether the request may have reached the server.

#pragma once

#include "egrettide/core/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace egrettide
{

// A server's answer with any status.
struct HttpAnswer {
    boost::beast::http::status status = boost::beast::http::status::unknown;
    std::string body;
    boost::beast::http::fields headers = {};
};

// Why there is no answer.
struct HttpFailure {
    // True once any byte of the request may have left: the server may have run it.
    bool mayHaveArrived = false;
    std::string reason;
    // The server answered with more than this client accepts.
    bool isTooLong = false;
};

using HttpHandler = std::function<void(tl::expected<HttpAnswer, HttpFailure>)>;

// One request; the body is empty or a JSON document.
struct HttpCall {
    boost::beast::http::verb verb = boost::beast::http::verb::get;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers = {};
};

// Runs calls against one server. Use it from the io_context's one thread only.
class HttpClient
{
public:
    HttpClient(boost::asio::io_context &context, boost::asio::ip::tcp::endpoint server);
    // Closes all connections. Handlers of outstanding calls are not run, so that
    // no handler runs after its owner has gone.
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Sends one request and runs the handler exactly once, at the deadline at the
    // latest. Each outstanding call uses a connection of its own. A request is
    // never sent twice.
    void call(const HttpCall &call, TimePoint deadline, HttpHandler handler);

    // Calls from now on go to another server; those under way end where they are.
    void retarget(const boost::asio::ip::tcp::endpoint &server);

    // The number of connections that wait for reuse.
    std::size_t idleConnections() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace egrettide
