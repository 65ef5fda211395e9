// Options of long-lived sockets.

#include "runtime/host/socketoptions.h"

#include <boost/asio/detail/socket_option.hpp>

#include <netinet/tcp.h>

namespace egrettide
{

namespace
{

namespace asio = boost::asio;

template <int Name> using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

// Determines how soon a silent connection breaks. A single lost packet must not break it.
struct KeepaliveOptions {
    // Silence before the first probe, and the interval between probes, in seconds.
    int idleSeconds;
    int probeSeconds;
    // Number of consecutive lost probes that breaks the connection.
    int probes;

    // Unacknowledged data breaks the connection after the same time as lost probes.
    int unsentMilliseconds() const
    {
        return (idleSeconds + probeSeconds * probes) * 1000;
    }
};

constexpr KeepaliveOptions longLivedKeepalive{2, 1, 2};
constexpr KeepaliveOptions storeKeepalive{1, 1, 2};
// One probe a minute per idle caller: with 4,000 callers on a host, 67 a second.
constexpr int callerIdleSeconds = 60;

void enableKeepalive(asio::ip::tcp::socket &socket, int seconds)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(seconds), ignored);
}

void applyKeepalive(asio::ip::tcp::socket &socket, const KeepaliveOptions &keepalive)
{
    boost::system::error_code ignored;
    enableKeepalive(socket, keepalive.idleSeconds);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(keepalive.probeSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(keepalive.probes), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(keepalive.unsentMilliseconds()), ignored);
}

} // namespace

void setLongLivedOptions(asio::ip::tcp::socket &socket)
{
    applyKeepalive(socket, longLivedKeepalive);
}

void setStoreOptions(asio::ip::tcp::socket &socket)
{
    applyKeepalive(socket, storeKeepalive);
}

void setCallerOptions(asio::ip::tcp::socket &socket)
{
    enableKeepalive(socket, callerIdleSeconds);
}

} // namespace egrettide
