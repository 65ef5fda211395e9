// Accepts callers and distributes them over the traffic threads.

#include "runtime/callers/front.h"
#include "runtime/host/timer.h"

#include "runtime/callers/callerlink.h"
#include "runtime/callers/trafficshard.h"

#include <absl/container/flat_hash_map.h>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <mutex>

namespace egrettide
{

namespace detail
{

namespace
{

// Delay after a failed accept, usually caused by a lack of file descriptors: an
// immediate retry would make the accepting thread spin.
constexpr milliseconds acceptRetry{100};
// Connections beyond the limit that still receive an error; more are closed immediately.
constexpr std::size_t maxRefusedConnections = 64;

} // namespace

// State shared by the acceptor, the connections' close handlers and the Front.
class FrontState : public std::enable_shared_from_this<FrontState>
{
public:
    FrontState(boost::asio::io_context &acceptContext, const std::vector<boost::asio::io_context *> &trafficContexts,
               FrontOptions options, FrontHooks hooks)
        : m_common(std::make_shared<FrontCommon>(std::move(options), std::move(hooks)))
        , m_acceptContext(acceptContext)
        , m_acceptor(acceptContext)
        , m_acceptTimer(acceptContext)
    {
        std::uint64_t seed = m_common->options.seed;
        for (boost::asio::io_context *context : trafficContexts) {
            m_shards.push_back(std::make_shared<TrafficShard>(*context, m_common, seed++));
        }
    }

    tl::expected<void, Error> listen(const std::string &address, std::uint16_t port);
    std::uint16_t port() const;
    void beginDrain();
    void moveCallers();
    void resumeStartups();
    void stop();
    std::size_t openConnections() const;
    void learn(const GroupHint &hint, const std::string &upstream);

private:
    using Connections = absl::flat_hash_map<std::uint64_t, std::weak_ptr<CallerLink>>;

    void accept();
    void onAccepted(boost::asio::ip::tcp::socket socket, const std::shared_ptr<TrafficShard> &shard);
    void closeAcceptor();
    std::vector<std::shared_ptr<CallerLink>> connections() const;
    void forEachConnection(void (CallerLink::*action)());

    const std::shared_ptr<FrontCommon> m_common;
    boost::asio::io_context &m_acceptContext;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Timer m_acceptTimer;
    std::vector<std::shared_ptr<TrafficShard>> m_shards;
    std::size_t m_nextShard = 0;
    std::uint16_t m_port = 0;

    // A std::mutex, because ThreadSanitizer cannot instrument the packaged absl::Mutex.
    mutable std::mutex m_mutex;
    // Both are guarded by m_mutex.
    std::uint64_t m_lastConnection = 0;
    Connections m_connections;
};

tl::expected<void, Error> FrontState::listen(const std::string &address, std::uint16_t port)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address, error);
    if (error) {
        return tl::unexpected(Error{ErrorKind::InvalidInput,
                                    "\"" + address + "\" is not an IP address; use the IP address of the host.",
                                    milliseconds{0}});
    }
    const boost::asio::ip::tcp::endpoint endpoint(ip, port);
    m_acceptor.open(endpoint.protocol(), error);
    if (!error) {
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        m_acceptor.bind(endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return tl::unexpected(Error{ErrorKind::InvalidInput,
                                    "Callers cannot be accepted at " + address + ":" + std::to_string(port) + " ("
                                        + error.message() + "); choose a free address of this host.",
                                    milliseconds{0}});
    }
    m_port = m_acceptor.local_endpoint(error).port();
    boost::asio::post(m_acceptContext, [self = shared_from_this()] { self->accept(); });
    return {};
}

std::uint16_t FrontState::port() const
{
    return m_port;
}

void FrontState::accept()
{
    if (!m_acceptor.is_open()) {
        return;
    }
    const auto shard = m_shards[m_nextShard++ % m_shards.size()];
    m_acceptor.async_accept(
        shard->context,
        [self = shared_from_this(), shard](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (error) {
                self->m_acceptTimer.expires_after(acceptRetry);
                self->m_acceptTimer.async_wait([self](const boost::system::error_code &) { self->accept(); });
                return;
            }
            self->onAccepted(std::move(socket), shard);
            self->accept();
        });
}

void FrontState::onAccepted(boost::asio::ip::tcp::socket socket, const std::shared_ptr<TrafficShard> &shard)
{
    std::optional<Error> refusal;
    std::shared_ptr<CallerLink> connection;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::size_t limit = m_common->options.maxConnections;
        if (m_connections.size() >= limit + maxRefusedConnections) {
            return;
        }
        if (m_connections.size() >= limit) {
            refusal = Error{ErrorKind::ConnectionLimit,
                            "This host has reached its connection limit; connect again later or through another host.",
                            milliseconds{1000}};
        }
        const std::uint64_t number = ++m_lastConnection;
        auto closed = [weakSelf = weak_from_this(), number] {
            if (const auto self = weakSelf.lock()) {
                const std::lock_guard<std::mutex> closedLock(self->m_mutex);
                self->m_connections.erase(number);
            }
        };
        connection = m_common->options.makeCaller(shard, std::move(socket), std::move(refusal), std::move(closed));
        m_connections.emplace(number, connection);
    }
    boost::asio::post(shard->context, [connection] { connection->start(); });
}

void FrontState::closeAcceptor()
{
    boost::asio::dispatch(m_acceptContext, [self = shared_from_this()] {
        boost::system::error_code ignored;
        self->m_acceptor.close(ignored);
        self->m_acceptTimer.cancel();
    });
}

std::vector<std::shared_ptr<CallerLink>> FrontState::connections() const
{
    std::vector<std::shared_ptr<CallerLink>> open;
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const auto &[number, weakConnection] : m_connections) {
        if (auto connection = weakConnection.lock()) {
            open.push_back(std::move(connection));
        }
    }
    return open;
}

void FrontState::forEachConnection(void (CallerLink::*action)())
{
    for (const auto &connection : connections()) {
        connection->post([connection, action] { ((*connection).*action)(); });
    }
}

void FrontState::beginDrain()
{
    // Set before the connections are notified, so that one that starts now reads it.
    m_common->draining = true;
    closeAcceptor();
    resumeStartups();
    forEachConnection(&CallerLink::drain);
}

void FrontState::moveCallers()
{
    forEachConnection(&CallerLink::drain);
}

void FrontState::resumeStartups()
{
    for (const auto &shard : m_shards) {
        boost::asio::post(shard->context, [shard] { shard->resumeStartups(); });
    }
}

void FrontState::stop()
{
    closeAcceptor();
    forEachConnection(&CallerLink::close);
}

std::size_t FrontState::openConnections() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_connections.size();
}

void FrontState::learn(const GroupHint &hint, const std::string &upstream)
{
    for (const auto &shard : m_shards) {
        boost::asio::post(shard->context, [shard, hint, upstream] {
            // The router ignores hints about databases that it has no configuration of.
            shard->configuration();
            shard->router.learn(hint, upstream, shard->now());
        });
    }
}

} // namespace detail

Front::Front(boost::asio::io_context &acceptContext, const std::vector<boost::asio::io_context *> &trafficContexts,
             FrontOptions options, FrontHooks hooks)
    : m_state(std::make_shared<detail::FrontState>(acceptContext, trafficContexts, std::move(options), std::move(hooks)))
{
}

Front::~Front() = default;

tl::expected<void, Error> Front::listen(const std::string &address, std::uint16_t port)
{
    return m_state->listen(address, port);
}

std::uint16_t Front::port() const
{
    return m_state->port();
}

void Front::beginDrain()
{
    m_state->beginDrain();
}

void Front::moveCallers()
{
    m_state->moveCallers();
}

std::size_t Front::openConnections() const
{
    return m_state->openConnections();
}

void Front::resumeStartups()
{
    m_state->resumeStartups();
}

void Front::stop()
{
    m_state->stop();
}

void Front::learn(const GroupHint &hint, const std::string &upstream)
{
    m_state->learn(hint, upstream);
}

} // namespace egrettide
