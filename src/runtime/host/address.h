// Parsing of "IP:port" addresses into Asio endpoints.

#pragma once

#include "egrettide/core/error.h"

#include <boost/asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include <string>

namespace egrettide
{

// Parses "IP:port". Host names are not resolved: hosts connect by IP address, so that they do
// not depend on a name service.
tl::expected<boost::asio::ip::tcp::endpoint, Error> parseEndpoint(const std::string &address);

} // namespace egrettide
