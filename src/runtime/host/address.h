// "IP:port" texts and what Asio makes of them.

#pragma once

#include "egrettide/core/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <string>

namespace egrettide
{

// Reads "IP:port". Names are not looked up: hosts talk by IP numbers, so that a
// name service that is down cannot stop them.
tl::expected<boost::asio::ip::tcp::endpoint, Error> parseEndpoint(const std::string &address);

} // namespace egrettide
