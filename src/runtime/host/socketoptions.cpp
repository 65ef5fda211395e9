// Options of sockets that stay open for long.

#include "runtime/host/socketoptions.h"

#include <boost/asio/detail/socket_option.hpp>

#include <netinet/tcp.h>

namespace egrettide
{

namespace
{

namespace asio = boost::asio;

template <int Name> using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

// Seconds of silence before the first probe, between probes, and probes that may be
// lost: a peer that is gone is noticed after 4 s, and one lost packet is no cause.
constexpr int lastingIdleSeconds = 2;
constexpr int lastingProbeSeconds = 1;
constexpr int lastingProbes = 2;
// Unacknowledged data breaks the connection after as long as the probes do.
constexpr int lastingUnsentMilliseconds = 4000;
// One probe a minute for each idle caller: at 4,000 callers a host, 67 a second.
constexpr int callerIdleSeconds = 60;

void probeAfter(asio::ip::tcp::socket &socket, int seconds)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(seconds), ignored);
}

} // namespace

void setLastingOptions(asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    probeAfter(socket, lastingIdleSeconds);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(lastingProbeSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(lastingProbes), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(lastingUnsentMilliseconds), ignored);
}

void setCallerOptions(asio::ip::tcp::socket &socket)
{
    probeAfter(socket, callerIdleSeconds);
}

} // namespace egrettide
