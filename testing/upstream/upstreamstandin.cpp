// The public interface of the stand-in: forwards every call to the server's thread.

#include "testing/upstream/upstreamstandin.h"

#include "testing/upstream/server.h"

#include <utility>

namespace egrettide::testing
{

class UpstreamStandIn::Impl
{
public:
    explicit Impl(const UpstreamOptions &options) : server(options)
    {
        server.run();
    }

    Server server;
};

UpstreamStandIn::UpstreamStandIn(UpstreamOptions options) : m_options(std::move(options))
{
}

UpstreamStandIn::~UpstreamStandIn()
{
    stop();
}

void UpstreamStandIn::start()
{
    if (m_impl) {
        return;
    }
    m_impl = std::make_unique<Impl>(m_options);
    m_options.port = m_impl->server.port();
}

void UpstreamStandIn::stop()
{
    if (m_impl) {
        m_impl->server.stop(false);
        m_impl.reset();
    }
}

void UpstreamStandIn::kill()
{
    if (m_impl) {
        m_impl->server.stop(true);
        m_impl.reset();
    }
}

std::uint16_t UpstreamStandIn::port() const
{
    return m_options.port;
}

std::string UpstreamStandIn::endpoint() const
{
    return m_options.address + ':' + std::to_string(m_options.port);
}

void UpstreamStandIn::freeze(bool frozen)
{
    if (m_impl) {
        m_impl->server.freeze(frozen);
    }
}

void UpstreamStandIn::cut(bool isCut)
{
    if (m_impl) {
        m_impl->server.apply([isCut](Server &server) { server.setCut(isCut); });
    }
}

void UpstreamStandIn::setReplicationLag(milliseconds lag)
{
    change([lag](UpstreamOptions &options) { options.replicationLag = lag; });
}

void UpstreamStandIn::setReceiveDelay(milliseconds delay)
{
    change([delay](UpstreamOptions &options) { options.receiveDelay = delay; });
}

void UpstreamStandIn::setServiceTime(std::chrono::microseconds time)
{
    change([time](UpstreamOptions &options) { options.serviceTime = time; });
}

void UpstreamStandIn::setConnectionDelay(milliseconds delay)
{
    change([delay](UpstreamOptions &options) { options.connectionDelay = delay; });
}

void UpstreamStandIn::setRefuseConnections(bool refuse)
{
    change([refuse](UpstreamOptions &options) { options.refusesConnections = refuse; });
}

void UpstreamStandIn::change(const std::function<void(UpstreamOptions &)> &edit)
{
    if (m_impl) {
        m_impl->server.apply([edit](Server &server) { server.change(edit); });
    }
}

MemberStatus UpstreamStandIn::status() const
{
    MemberStatus status;
    if (m_impl) {
        m_impl->server.call([&status](Server &server) { status = server.member().status(); });
    }
    return status;
}

UpstreamStatistics UpstreamStandIn::statistics() const
{
    UpstreamStatistics statistics;
    if (m_impl) {
        m_impl->server.call([&statistics](Server &server) { statistics = server.statistics(); });
    }
    return statistics;
}

} // namespace egrettide::testing
