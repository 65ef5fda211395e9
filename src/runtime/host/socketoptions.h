// Options of long-lived sockets.

#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace egrettide
{

// For connections to upstreams and hosts.
//
// When the other side loses power or network, no packet reports it. Without these options such
// a connection hangs for minutes, and its requests end at their deadlines while new connections
// would work. Keepalive probes after a short silence and a limit on the age of unacknowledged
// data break the connection within a few seconds.
void setLongLivedOptions(boost::asio::ip::tcp::socket &socket);

// For connections to the store, on which a host waits for changes of the configuration: as
// above, but broken sooner, so that changes still take effect in time.
void setStoreOptions(boost::asio::ip::tcp::socket &socket);

// For connections of callers, which are many and mostly idle: probed rarely, only to close
// those whose remote host has disappeared.
void setCallerOptions(boost::asio::ip::tcp::socket &socket);

} // namespace egrettide
