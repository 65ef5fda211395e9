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

// How soon a connection breaks over which nothing comes any more. One lost packet is no cause.
struct ProbePlan {
    // Silence before the first probe, and the time between probes, in seconds.
    int idleSeconds;
    int probeSeconds;
    // Probes in a row that may be lost.
    int probes;

    // Unacknowledged data breaks the connection after as long as the probes do.
    int unsentMilliseconds() const
    {
        return (idleSeconds + probeSeconds * probes) * 1000;
    }
};

constexpr ProbePlan lastingPlan{2, 1, 2};
constexpr ProbePlan storePlan{1, 1, 2};
// One probe a minute for each idle caller: at 4,000 callers a host, 67 a second.
constexpr int callerIdleSeconds = 60;

void probeAfter(asio::ip::tcp::socket &socket, int seconds)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(seconds), ignored);
}

void probeAsPlanned(asio::ip::tcp::socket &socket, const ProbePlan &plan)
{
    boost::system::error_code ignored;
    probeAfter(socket, plan.idleSeconds);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(plan.probeSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(plan.probes), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(plan.unsentMilliseconds()), ignored);
}

} // namespace

void setLastingOptions(asio::ip::tcp::socket &socket)
{
    probeAsPlanned(socket, lastingPlan);
}

void setStoreOptions(asio::ip::tcp::socket &socket)
{
    probeAsPlanned(socket, storePlan);
}

void setCallerOptions(asio::ip::tcp::socket &socket)
{
    probeAfter(socket, callerIdleSeconds);
}

} // namespace egrettide
