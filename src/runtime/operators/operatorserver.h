// The HTTP endpoint of one host for operators: metrics, health, status, and the
// commands that egrettidectl sends. Serves one request per connection; bodies are small.

#pragma once

#include "egrettide/core/error.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <memory>
#include <string>

namespace egrettide
{

struct OperatorRequest {
    std::string method;
    std::string path;
    std::string body;
};

struct OperatorResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
};

using OperatorResponder = std::function<void(OperatorResponse)>;
// Answers one request by calling the responder exactly once, immediately or later, from
// any thread.
using OperatorHandler = std::function<void(OperatorRequest, OperatorResponder)>;

class OperatorServer
{
public:
    // `context` runs on one thread; the handler is called there.
    OperatorServer(boost::asio::io_context &context, OperatorHandler handler);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    // Listens on "IP:port"; port 0 selects a free port. Returns the bound port, or an
    // InvalidInput error that names the address.
    tl::expected<unsigned short, Error> listen(const std::string &address);
    // Stops listening asynchronously; may be called from any thread. Exchanges in
    // progress are completed.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace egrettide
