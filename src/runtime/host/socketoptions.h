// Options of sockets that stay open for long.

#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace egrettide
{

// For connections to upstreams and hosts.
//
// What goes wrong without them: the other side loses its power or its network, no
// packet says so, and the connection hangs for minutes while new ones would work.
// One would notice requests that end at their deadlines on one connection only.
// Probes after a short silence and a bound on unacknowledged data break such a
// connection within a few seconds.
void setLastingOptions(boost::asio::ip::tcp::socket &socket);

// For connections to the store, on which a host waits for changes of the configuration: as
// above, and broken sooner, so that a change still comes into force in time.
void setStoreOptions(boost::asio::ip::tcp::socket &socket);

// For callers' connections, of which there are many and mostly idle ones: probed
// rarely, so that those whose host vanished do not stay for ever.
void setCallerOptions(boost::asio::ip::tcp::socket &socket);

} // namespace egrettide
