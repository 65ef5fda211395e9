// The operators' HTTP endpoint of one host: metrics, health, status, and the few
// commands that egrettidectl sends. One request a connection; bodies are small.

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
// Answers one request, now or later, exactly once, from any thread.
using OperatorHandler = std::function<void(OperatorRequest, OperatorResponder)>;

class OperatorServer
{
public:
    // `context` runs on one thread; the handler is called there.
    OperatorServer(boost::asio::io_context &context, OperatorHandler handler);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    // Listens on "IP:port"; port 0 takes a free one. Returns the port bound, or
    // an InvalidInput error that names the address.
    tl::expected<unsigned short, Error> listen(const std::string &address);
    // Stops listening, soon; from any thread. Exchanges in progress go on.
    void stop();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace egrettide
