// Connects the parts of one entry host.

#include "runtime/host/hostdaemon.h"

#include "egrettide/core/membership.h"
#include "egrettide/core/placement.h"
#include "egrettide/core/retrybudget.h"
#include "runtime/callers/front.h"
#include "runtime/fleet/membershipdriver.h"
#include "runtime/fleet/peernetwork.h"
#include "runtime/group/groupcoordination.h"
#include "runtime/group/switchoverdesk.h"
#include "runtime/host/address.h"
#include "runtime/host/log.h"
#include "runtime/operators/hostmetrics.h"
#include "runtime/operators/hoststatus.h"
#include "runtime/operators/operatorserver.h"
#include "runtime/upstreams/homeservice.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace egrettide
{

namespace
{

namespace asio = boost::asio;
using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

constexpr milliseconds drainPoll{20};
// The news of a departure gets this long to leave the sockets.
constexpr milliseconds farewell{100};
constexpr std::string_view localFrontKey = "local";
constexpr std::string_view watchKey = "egrettide/watch";
constexpr milliseconds movedRetry{100};
// In large zones a host hears from a sample of its zone mates only.
constexpr std::size_t confirmingHosts = 3;
// A host that starts hears from the others within two heartbeats; twice that.
constexpr milliseconds joinBound{1500};
// Of seven hosts that started within 0.2 s, each saw the last of the others at most
// 0.25 s after the one before.
constexpr milliseconds viewSettleTime{300};
// An order to promote is carried out some hundred milliseconds after it was taken, a
// second at most; twice that is left before another attempt.
constexpr milliseconds orderedPromotionTimeout{2500};
// The spacing of hurried rounds where a status call takes a slot. After a lost connection
// rounds are hurried for 2 s: every 2 ms they were 1,000 calls to each member, over
// 16,000 in a minute with one dark primary; a waiting read waits 20 ms more at most.
constexpr milliseconds slotBoundInterval{20};
// Upstreams that drop a vanished host's connections after this long.
constexpr milliseconds upstreamLinger{3000};

// Shares of connections where upstreams themselves drop what a lost home leaves
// behind: a new home need not wait for its predecessor's own bound, and two settled
// homes at once cannot last.
ConnectionBudgetOptions lingeringBudget()
{
    ConnectionBudgetOptions budget;
    budget.settledShare = 0.5;
    budget.takeoverShare = 0.5;
    budget.shedBound = upstreamLinger;
    budget.takeoverBound = upstreamLinger + budget.confirmationBound;
    return budget;
}

// Where every upstream's home is, under one view and one configuration. Threads
// that route read it without a lock.
struct Routes {
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const MembershipView> view;
    std::unique_ptr<const Placement> placement;

    std::optional<std::string> homeOf(const UpstreamSpec &upstream) const
    {
        return placement->homeOf(upstream.name, upstream.zone);
    }
};

std::unique_ptr<const Placement> placementFor(const Configuration *configuration, const MembershipView &view)
{
    std::vector<PlacementUpstream> upstreams;
    if (configuration != nullptr) {
        for (const DatabaseSpec &database : configuration->databases) {
            for (const UpstreamSpec &upstream : database.upstreams) {
                upstreams.push_back(PlacementUpstream{upstream.name, upstream.zone});
            }
        }
    }
    return std::make_unique<const Placement>(view.placementHosts(), std::move(upstreams));
}

std::string frontKeyOf(const PeerRef &peer)
{
    return peer.host + "#" + std::to_string(peer.link);
}

StatementReply refusal(std::uint64_t id, Error error)
{
    StatementReply reply;
    reply.id = id;
    reply.error = std::move(error);
    return reply;
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

class HostDaemon::Impl
{
public:
    Impl(Settings settings, HostParts parts)
        : m_settings(std::move(settings))
        , m_parts(std::move(parts))
        , m_incarnation(static_cast<std::uint64_t>(
              std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
        , m_random(randomNumber())
    {
    }

    ~Impl()
    {
        stopNow();
        join();
    }

    tl::expected<HostAddresses, Error> start();
    void beginStop();
    void reload(const Settings &next);
    void stopNow();
    void wait();

private:
    // Construction, in the order in which parts depend on each other.
    void makeContexts();
    tl::expected<void, Error> makeStore();
    void makeNetwork();
    void makeHomes();
    void makeFront();
    void makeOperators();
    std::vector<asio::io_context *> trafficContexts() const;
    tl::expected<HostAddresses, Error> listen();
    void startThreads();
    void startControl();

    // Routing of requests, from any thread.
    void execute(StatementRequest request, ReplyHandler handler);
    std::optional<std::string> homeOfTransaction(std::uint64_t transaction);
    ReplyHandler followingTransaction(const StatementRequest &request, const std::string &home, ReplyHandler handler);
    void executeAt(const std::string &home, const std::string &address, StatementRequest request, ReplyHandler handler);
    void cancel(std::uint64_t requestId);

    // Messages of other hosts; on the link thread.
    void onPeerRequest(const PeerRef &from, StatementRequest request, ReplyHandler reply);
    void onPeerMessage(const PeerRef &from, hop::HopMessage message);
    // On the control thread.
    void onControlMessage(const PeerRef &from, const hop::HopMessage &message);
    void answerOpinion(const PeerRef &from, const hop::Opinion &question);
    void learnPrimary(const std::string &database, Term term, const std::string &primary);

    void send(const std::string &host, hop::HopMessage message);
    void sendTo(const std::string &host, const std::string &address, hop::HopMessage message);
    void sendOn(const PeerRef &peer, hop::HopMessage message);

    // On the control thread.
    void onConfiguration(const std::shared_ptr<const Configuration> &configuration);
    void onView(const std::shared_ptr<const MembershipView> &view);
    void rebuildRoutes();
    void joinOnceSettled(bool trusted);
    bool isWatcher() const;
    std::vector<std::string> otherHosts() const;
    std::vector<std::string> someHosts(std::size_t count);
    std::vector<std::string> otherHomes(const std::string &database) const;
    // The host that is home of the upstream; empty when there is none.
    std::string homeOf(const std::string &database, const std::string &upstream) const;
    // A host whose zone mates go on talking to it has not been replaced as home:
    // whoever took over would have had to hold it for dead.
    void confirmOwnHomes(const std::string &heardFrom);
    // Since when enough zone mates have been heard; nothing while they have not.
    std::optional<TimePoint> confirmationTime(const MembershipView &view, TimePoint now) const;

    // Operators' requests; on the control thread.
    void handleOperator(const OperatorRequest &request, const OperatorResponder &respond);
    void respondMetrics(const OperatorResponder &respond);

    // The steps of a graceful stop; on the control thread.
    void drainCallers(TimePoint deadline);
    void drainHomes(TimePoint deadline);
    void departAndStop();
    void join();
    void finishPosted();

    std::shared_ptr<const Routes> routes() const
    {
        return std::atomic_load(&m_routes);
    }

    Settings m_settings;
    const HostParts m_parts;
    const std::uint64_t m_incarnation;
    std::mt19937_64 m_random;

    // Before the contexts below: an accept that is pending on the link context
    // holds a socket of a traffic context.
    std::vector<std::unique_ptr<asio::io_context>> m_traffic;
    asio::io_context m_control{1};
    asio::io_context m_link{1};
    std::vector<WorkGuard> m_guards;
    std::vector<std::thread> m_threads;

    std::unique_ptr<Store> m_store;
    std::shared_ptr<const UpstreamDialect> m_dialect;
    std::unique_ptr<PeerNetwork> m_network;
    std::unique_ptr<MembershipDriver> m_membership;
    std::unique_ptr<ConfigurationSource> m_keeper;
    std::unique_ptr<GroupCoordination> m_coordination;
    std::unique_ptr<HomeService> m_homes;
    std::unique_ptr<SwitchoverDesk> m_switchovers;
    std::unique_ptr<Front> m_front;
    std::unique_ptr<OperatorServer> m_operators;
    // Null without a listener of its own for readiness.
    std::unique_ptr<OperatorServer> m_ready;
    std::unique_ptr<asio::steady_timer> m_drainTimer;
    std::unique_ptr<asio::steady_timer> m_joinTimer;
    // Control thread only. False until this host may be home of upstreams.
    bool m_joined = false;
    TimePoint m_joinsBy = TimePoint::max();

    // When each host was last heard from; control thread only.
    absl::flat_hash_map<std::string, TimePoint> m_heard;

    HostMetrics m_metrics;
    std::mutex m_retryMutex;
    // Guarded by m_retryMutex.
    RetryBudget m_retries;

    // Written on the control thread, read everywhere; never null after start().
    std::shared_ptr<const Routes> m_routes;

    // Requests of this host's callers that are at another host: id -> host.
    std::mutex m_remoteMutex;
    absl::flat_hash_map<std::uint64_t, std::string> m_remote;
    // Open transactions of this host's callers: number -> host that holds them.
    // Guarded by m_remoteMutex.
    absl::flat_hash_map<std::uint64_t, std::string> m_transactionHomes;

    std::atomic<bool> m_leaving{false};
    std::mutex m_stopMutex;
    std::condition_variable m_stopChanged;
    // Guarded by m_stopMutex.
    bool m_stopped = false;
};

void HostDaemon::Impl::makeContexts()
{
    for (int i = 0; i < m_settings.trafficThreads; ++i) {
        m_traffic.push_back(std::make_unique<asio::io_context>(1));
    }
    m_guards.push_back(asio::make_work_guard(m_control));
    m_guards.push_back(asio::make_work_guard(m_link));
    for (const auto &context : m_traffic) {
        m_guards.push_back(asio::make_work_guard(*context));
    }
    m_drainTimer = std::make_unique<asio::steady_timer>(m_control);
    m_joinTimer = std::make_unique<asio::steady_timer>(m_control);
}

tl::expected<void, Error> HostDaemon::Impl::makeStore()
{
    auto store = m_parts.makeStore(m_control);
    if (!store) {
        return tl::unexpected(store.error());
    }
    m_store = std::move(*store);
    auto dialect = m_parts.makeDialect(m_control);
    if (!dialect) {
        return tl::unexpected(dialect.error());
    }
    m_dialect = std::move(*dialect);
    return {};
}

void HostDaemon::Impl::makeNetwork()
{
    PeerNetworkOptions options;
    options.self = hop::Hello{hop::protocolVersion, m_settings.host, m_settings.zone, m_incarnation};
    options.listenAddress = m_settings.peerAddress;
    options.seed = m_random();
    PeerNetworkHooks hooks;
    hooks.onRequest = [this](const PeerRef &from, StatementRequest request, ReplyHandler reply) {
        onPeerRequest(from, std::move(request), std::move(reply));
    };
    hooks.onMessage = [this](const PeerRef &from, hop::HopMessage message) { onPeerMessage(from, std::move(message)); };
    hooks.onLinkLost = [this](const PeerRef &from) { m_homes->abandonFront(frontKeyOf(from)); };
    hooks.onUnreachable = [this](const std::string &host) {
        asio::post(m_control, [this, host] { m_membership->onUnreachable(host); });
    };
    m_network = std::make_unique<PeerNetwork>(m_link, std::move(options), std::move(hooks));
}

void HostDaemon::Impl::makeHomes()
{
    m_coordination = std::make_unique<GroupCoordination>(
        *m_store,
        GroupCoordinationHooks{
            [this](const std::string &host, hop::HopMessage message) { send(host, std::move(message)); },
            [this](const std::string &database, const std::string &upstream) { return homeOf(database, upstream); },
            [this] { return otherHosts(); }});
    HomeServiceHooks hooks;
    hooks.observer = m_coordination->observerHooks();
    hooks.observer.announce = [this, tellOthers = hooks.observer.announce](const std::string &database, Term term,
                                                                           const std::string &primary) {
        tellOthers(database, term, primary);
        learnPrimary(database, term, primary);
    };
    hooks.handedBack = [this](const std::string &database, const std::string &upstream, const HandBack &handBack) {
        const std::string successor = homeOf(database, upstream);
        if (!successor.empty()) {
            send(successor, hop::Release{upstream, database, handBack.settled});
        }
    };
    HomeServiceSettings settings;
    // A restarted host must not pass for the one whose promises it finds.
    settings.observer.incarnation = m_settings.host + "/" + std::to_string(m_incarnation);
    settings.observer.upstreamUser = m_settings.upstreamUser;
    settings.observer.seed = m_random();
    settings.observer.monitor.idleInterval = m_settings.idleProbe;
    settings.observer.dialect = m_dialect;
    settings.observer.monitor.leaderProvesItself = m_dialect->leaderProvesItself;
    if (m_dialect->leaderProvesItself) {
        settings.observer.monitor.busyInterval = slotBoundInterval;
    }
    if (m_dialect->control.promote) {
        settings.observer.promoter.promoteBy = PromoteBy::ThirdParty;
        settings.observer.promoter.promoteTimeout = orderedPromotionTimeout;
    }
    settings.home.dialect = m_dialect;
    settings.home.gate.upstreamChecksMarks = m_dialect->checksMarks;
    if (m_dialect->leaderProvesItself) {
        settings.home.budget = lingeringBudget();
    }
    if (m_dialect->slotsAreExact) {
        settings.home.scheduler.limitPolicy = LimitPolicy::Fixed;
    }
    settings.home.upstreamUser = m_settings.upstreamUser;
    settings.home.firstTransaction = (m_random() >> 2U) | 1U;
    m_homes = std::make_unique<HomeService>(m_control, trafficContexts(), settings, std::move(hooks));
    m_switchovers = std::make_unique<SwitchoverDesk>(
        m_control, *m_homes,
        SwitchoverDeskHooks{[this](const std::string &host, hop::HopMessage message) { send(host, std::move(message)); },
                            [this](const std::string &database) { return otherHomes(database); }});
}

void HostDaemon::Impl::makeFront()
{
    FrontOptions options;
    options.zone = m_settings.zone;
    options.maxConnections = static_cast<std::size_t>(m_settings.maxCallers);
    options.tokenKey = m_settings.sessionKey;
    options.baselineRouting = m_settings.routingPolicy == "baseline";
    options.seed = m_random();
    options.makeCaller = m_parts.makeCaller;
    options.rollback = m_dialect->rollback;
    FrontHooks hooks;
    hooks.configuration = [this] { return routes()->configuration; };
    hooks.execute = [this](StatementRequest request, ReplyHandler handler) { execute(std::move(request), std::move(handler)); };
    hooks.cancel = [this](std::uint64_t id) { cancel(id); };
    hooks.takeRetry = [this] {
        const std::lock_guard<std::mutex> lock(m_retryMutex);
        return m_retries.mayRetry({});
    };
    hooks.observe = [this](const RequestObservation &observation) {
        m_metrics.observe(observation);
        const std::lock_guard<std::mutex> lock(m_retryMutex);
        m_retries.onRequest({});
    };
    m_front = std::make_unique<Front>(m_link, trafficContexts(), std::move(options), std::move(hooks));
}

std::vector<asio::io_context *> HostDaemon::Impl::trafficContexts() const
{
    std::vector<asio::io_context *> contexts;
    for (const auto &context : m_traffic) {
        contexts.push_back(context.get());
    }
    return contexts;
}

void HostDaemon::Impl::makeOperators()
{
    const auto handler = [this](const OperatorRequest &request, const OperatorResponder &respond) {
        handleOperator(request, respond);
    };
    m_operators = std::make_unique<OperatorServer>(m_control, handler);
    if (!m_settings.readyAddress.empty()) {
        m_ready = std::make_unique<OperatorServer>(m_control, handler);
    }
}

tl::expected<HostAddresses, Error> HostDaemon::Impl::listen()
{
    const auto caller = parseEndpoint(m_settings.callerAddress);
    const auto peer = parseEndpoint(m_settings.peerAddress);
    const auto operators = parseEndpoint(m_settings.operatorAddress);
    for (const auto *endpoint : {&caller, &peer, &operators}) {
        if (!*endpoint) {
            return tl::unexpected(endpoint->error());
        }
    }
    if (const auto listening = m_network->listen(); !listening) {
        return tl::unexpected(listening.error());
    }
    if (const auto listening = m_front->listen(caller->address().to_string(), caller->port()); !listening) {
        return tl::unexpected(listening.error());
    }
    const auto operatorPort = m_operators->listen(m_settings.operatorAddress);
    if (!operatorPort) {
        return tl::unexpected(operatorPort.error());
    }
    if (m_ready) {
        if (const auto readyPort = m_ready->listen(m_settings.readyAddress); !readyPort) {
            return tl::unexpected(readyPort.error());
        }
    }
    const auto text = [](const asio::ip::tcp::endpoint &endpoint, unsigned short port) {
        return endpoint.address().to_string() + ":" + std::to_string(port);
    };
    return HostAddresses{text(*caller, m_front->port()), text(*peer, m_network->port()), text(*operators, *operatorPort),
                         m_settings.readyAddress};
}

tl::expected<HostAddresses, Error> HostDaemon::Impl::start()
{
    makeContexts();
    if (const auto made = makeStore(); !made) {
        return tl::unexpected(made.error());
    }
    makeNetwork();
    makeHomes();
    makeFront();
    makeOperators();
    auto addresses = listen();
    if (!addresses) {
        return tl::unexpected(addresses.error());
    }
    HostRecord self;
    self.name = m_settings.host;
    self.zone = m_settings.zone;
    self.peerAddress = addresses->peer;
    self.callerAddress = addresses->caller;
    self.operatorAddress = addresses->operators;
    self.incarnation = m_incarnation;
    m_membership = std::make_unique<MembershipDriver>(
        m_control, *m_store, std::move(self), m_random(),
        MembershipDriverHooks{[this](const std::string &host, const std::string &address, hop::HopMessage message) {
                                  sendTo(host, address, std::move(message));
                              },
                              [this](const std::shared_ptr<const MembershipView> &view) { onView(view); },
                              [this](const std::string &host, std::uint64_t version) { m_keeper->heardOf(host, version); },
                              [this] { return isWatcher(); }});
    m_keeper = m_parts.makeConfiguration(
        m_control, *m_store,
        ConfigurationKeeperHooks{
            [this](const std::shared_ptr<const Configuration> &configuration) { onConfiguration(configuration); },
            [this](const std::string &host, hop::HopMessage message) { send(host, std::move(message)); },
            [this](std::size_t count) { return someHosts(count); }, [this] { return isWatcher(); }});
    rebuildRoutes();
    startThreads();
    return addresses;
}

void HostDaemon::Impl::startThreads()
{
    asio::post(m_control, [this] {
        m_membership->start();
        m_keeper->start();
        m_joinsBy = Clock::now() + joinBound;
        joinOnceSettled(false);
    });
    m_threads.emplace_back([this] { m_control.run(); });
    m_threads.emplace_back([this] { m_link.run(); });
    for (const auto &context : m_traffic) {
        m_threads.emplace_back([&context] { context->run(); });
    }
}

// What goes wrong without it: a host that has just started knows nobody, then two
// others, then all of them. It would take itself for the home of every upstream, then of
// many, open connections and close them again; when many start together, upstreams
// refuse connections to all, and callers wait for seconds. So it holds nothing until
// its view has stood still; a host that nobody answers is alone, or cut off, and
// serves what it can.
void HostDaemon::Impl::joinOnceSettled(bool trusted)
{
    if (m_joined) {
        return;
    }
    const TimePoint settled = Clock::now() + viewSettleTime;
    m_joinTimer->expires_at(trusted ? std::min(settled, m_joinsBy) : m_joinsBy);
    m_joinTimer->async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            m_joined = true;
            rebuildRoutes();
        }
    });
}

// Routing of requests.

void HostDaemon::Impl::execute(StatementRequest request, ReplyHandler handler)
{
    const auto now = routes();
    auto home = homeOfTransaction(request.transaction);
    if (!home) {
        const DatabaseSpec *database = now->configuration ? now->configuration->database(request.database) : nullptr;
        const UpstreamSpec *upstream = database != nullptr ? database->upstream(request.upstream) : nullptr;
        if (upstream == nullptr) {
            handler(
                refusal(request.id,
                        Error{ErrorKind::Moved, "The upstream is not in the configuration in force; ask again.", movedRetry}));
            return;
        }
        home = now->homeOf(*upstream);
    }
    if (home == m_settings.host) {
        ReplyHandler following = followingTransaction(request, *home, std::move(handler));
        m_homes->execute(std::move(request), std::string(localFrontKey), std::move(following));
        return;
    }
    const HostRecord *record = home ? now->view->host(*home) : nullptr;
    if (record == nullptr) {
        handler(refusal(request.id, Error{ErrorKind::Moved, "No live host is known for this upstream; ask again.", movedRetry}));
        return;
    }
    ReplyHandler following = followingTransaction(request, record->name, std::move(handler));
    executeAt(record->name, record->peerAddress, std::move(request), std::move(following));
}

// What goes wrong without it: a host leaves, or another one joins, and the place of
// home moves while a transaction is open. Its next statement goes to the new home,
// which knows nothing of it, and the transaction is lost to a planned change. The old
// home still holds its connection and finishes it.
std::optional<std::string> HostDaemon::Impl::homeOfTransaction(std::uint64_t transaction)
{
    if (transaction == 0) {
        return std::nullopt;
    }
    const std::lock_guard<std::mutex> lock(m_remoteMutex);
    const auto found = m_transactionHomes.find(transaction);
    return found == m_transactionHomes.end() ? std::nullopt : std::optional(found->second);
}

// Notes, with the reply, where a transaction has begun, or that it is over.
ReplyHandler HostDaemon::Impl::followingTransaction(const StatementRequest &request, const std::string &home,
                                                    ReplyHandler handler)
{
    if (request.transaction == 0 && request.kind != StatementKind::Begin && request.kind != StatementKind::BeginReadOnly
        && !request.mayHoldSeveral) {
        return handler;
    }
    return [this, asked = request.transaction, home, handler = std::move(handler)](StatementReply reply) {
        if (asked != reply.transaction) {
            const std::lock_guard<std::mutex> lock(m_remoteMutex);
            m_transactionHomes.erase(asked);
            if (reply.transaction != 0) {
                m_transactionHomes[reply.transaction] = home;
            }
        }
        handler(std::move(reply));
    };
}

void HostDaemon::Impl::executeAt(const std::string &home, const std::string &address, StatementRequest request,
                                 ReplyHandler handler)
{
    const std::uint64_t id = request.id;
    {
        const std::lock_guard<std::mutex> lock(m_remoteMutex);
        m_remote[id] = home;
    }
    ReplyHandler forget = [this, id, handler = std::move(handler)](StatementReply reply) {
        {
            const std::lock_guard<std::mutex> lock(m_remoteMutex);
            m_remote.erase(id);
        }
        handler(std::move(reply));
    };
    asio::post(m_link, [this, home, address, request = std::move(request), forget = std::move(forget)]() mutable {
        m_network->execute(home, address, std::move(request), std::move(forget));
    });
}

void HostDaemon::Impl::cancel(std::uint64_t requestId)
{
    std::string home;
    {
        const std::lock_guard<std::mutex> lock(m_remoteMutex);
        const auto found = m_remote.find(requestId);
        if (found != m_remote.end()) {
            home = found->second;
        }
    }
    if (home.empty()) {
        m_homes->cancel(std::string(localFrontKey), requestId);
        return;
    }
    asio::post(m_link, [this, home, requestId] { m_network->cancel(home, requestId); });
}

// Messages of other hosts.

void HostDaemon::Impl::onPeerRequest(const PeerRef &from, StatementRequest request, ReplyHandler reply)
{
    m_homes->execute(std::move(request), frontKeyOf(from), [this, reply = std::move(reply)](StatementReply answer) {
        asio::post(m_link, [reply, answer = std::move(answer)]() mutable { reply(std::move(answer)); });
    });
}

void HostDaemon::Impl::onPeerMessage(const PeerRef &from, hop::HopMessage message)
{
    if (const auto *cancelled = std::get_if<hop::Cancel>(&message)) {
        m_homes->cancel(frontKeyOf(from), cancelled->id);
        return;
    }
    if (const auto *gone = std::get_if<hop::FrontGone>(&message)) {
        // Single transactions are ended by their front's ROLLBACK.
        if (gone->transaction == 0) {
            m_homes->abandonFront(frontKeyOf(from));
        }
        return;
    }
    asio::post(m_control, [this, from, message = std::move(message)] { onControlMessage(from, message); });
}

void HostDaemon::Impl::onControlMessage(const PeerRef &from, const hop::HopMessage &message)
{
    if (const auto *gossip = std::get_if<hop::Gossip>(&message)) {
        m_membership->onGossip(gossip->message);
        confirmOwnHomes(from.host);
    } else if (const auto *opinion = std::get_if<hop::Opinion>(&message)) {
        answerOpinion(from, *opinion);
    } else if (const auto *opinionReply = std::get_if<hop::OpinionReply>(&message)) {
        m_coordination->onOpinionReply(from.host, *opinionReply);
    } else if (const auto *announced = std::get_if<hop::Announce>(&message)) {
        learnPrimary(announced->database, announced->term, announced->primary);
    } else if (const auto *offer = std::get_if<hop::ConfigOffer>(&message)) {
        m_keeper->onOffer(from.host, *offer);
    } else if (const auto *pull = std::get_if<hop::ConfigPull>(&message)) {
        m_keeper->onPull(from.host, *pull);
    } else if (const auto *push = std::get_if<hop::ConfigPush>(&message)) {
        m_keeper->onPush(from.host, *push);
    } else if (const auto *request = std::get_if<hop::SwitchoverRequest>(&message)) {
        m_switchovers->onRequest(*request, [this, from](hop::SwitchoverReply reply) { sendOn(from, std::move(reply)); });
    } else if (const auto *release = std::get_if<hop::Release>(&message)) {
        m_homes->handedBack(release->database, release->upstream, HandBack{release->settled});
    } else if (const auto *reply = std::get_if<hop::SwitchoverReply>(&message)) {
        m_switchovers->onReply(*reply);
    }
}

void HostDaemon::Impl::answerOpinion(const PeerRef &from, const hop::Opinion &question)
{
    const OpinionQuestion asked{question.database, question.home, question.primary, question.term};
    m_homes->giveOpinion(asked, [this, from, id = question.id](std::optional<bool> agrees) {
        // A host that does not watch the group has no opinion and stays silent.
        if (agrees) {
            sendOn(from, hop::OpinionReply{id, *agrees, !*agrees});
        }
    });
}

void HostDaemon::Impl::learnPrimary(const std::string &database, Term term, const std::string &primary)
{
    m_homes->onAnnounce(database, term, primary);
    GroupHint hint;
    hint.database = database;
    hint.term = term;
    hint.primary = primary;
    m_front->learn(hint, primary);
}

void HostDaemon::Impl::send(const std::string &host, hop::HopMessage message)
{
    const HostRecord *record = routes()->view->host(host);
    if (record != nullptr) {
        sendTo(host, record->peerAddress, std::move(message));
    }
}

void HostDaemon::Impl::sendTo(const std::string &host, const std::string &address, hop::HopMessage message)
{
    asio::post(m_link, [this, host, address, message = std::move(message)]() mutable {
        m_network->send(host, address, std::move(message));
    });
}

void HostDaemon::Impl::sendOn(const PeerRef &peer, hop::HopMessage message)
{
    asio::post(m_link, [this, peer, message = std::move(message)] { m_network->sendOn(peer, message); });
}

// Configuration and membership.

void HostDaemon::Impl::onConfiguration(const std::shared_ptr<const Configuration> &configuration)
{
    m_membership->setConfigurationVersion(configuration->version);
    rebuildRoutes();
}

void HostDaemon::Impl::onView(const std::shared_ptr<const MembershipView> &view)
{
    for (const HostRecord &host : view->hosts) {
        if (host.health == HostHealth::Dead && host.name != m_settings.host) {
            asio::post(m_link, [this, name = host.name] { m_network->drop(name); });
        }
    }
    joinOnceSettled(view->trusted);
    // After a pause the view may be long out of date: what it said before stays in
    // force until a peer has answered, and homes that moved meanwhile answer Moved.
    if (view->trusted || !routes()->configuration) {
        rebuildRoutes();
    }
}

void HostDaemon::Impl::rebuildRoutes()
{
    auto next = std::make_shared<Routes>();
    next->configuration = m_keeper ? m_keeper->current() : nullptr;
    next->view = m_membership->view();
    next->placement = placementFor(next->configuration.get(), *next->view);
    std::atomic_store(&m_routes, std::shared_ptr<const Routes>(next));
    if (next->configuration) {
        m_homes->update(next->configuration, [this, next](const DatabaseSpec &, const UpstreamSpec &upstream) {
            return m_joined && next->homeOf(upstream) == m_settings.host;
        });
    }
}

bool HostDaemon::Impl::isWatcher() const
{
    return routes()->placement->homeOf(watchKey, m_settings.zone) == m_settings.host;
}

std::vector<std::string> HostDaemon::Impl::otherHosts() const
{
    std::vector<std::string> names;
    for (const PlacementHost &host : routes()->view->placementHosts()) {
        if (host.name != m_settings.host) {
            names.push_back(host.name);
        }
    }
    return names;
}

std::vector<std::string> HostDaemon::Impl::someHosts(std::size_t count)
{
    std::vector<std::string> names = otherHosts();
    std::shuffle(names.begin(), names.end(), m_random);
    names.resize(std::min(names.size(), count));
    return names;
}

std::vector<std::string> HostDaemon::Impl::otherHomes(const std::string &database) const
{
    const auto now = routes();
    const DatabaseSpec *spec = now->configuration ? now->configuration->database(database) : nullptr;
    std::vector<std::string> homes;
    if (spec == nullptr) {
        return homes;
    }
    for (const UpstreamSpec &upstream : spec->upstreams) {
        const auto home = now->homeOf(upstream);
        if (home && *home != m_settings.host) {
            homes.push_back(*home);
        }
    }
    return homes;
}

std::string HostDaemon::Impl::homeOf(const std::string &database, const std::string &upstream) const
{
    const auto now = routes();
    const DatabaseSpec *spec = now->configuration ? now->configuration->database(database) : nullptr;
    const UpstreamSpec *member = spec != nullptr ? spec->upstream(upstream) : nullptr;
    return member != nullptr ? now->homeOf(*member).value_or(std::string()) : std::string();
}

void HostDaemon::Impl::confirmOwnHomes(const std::string &heardFrom)
{
    const auto now = routes();
    const TimePoint heardAt = Clock::now();
    m_heard[heardFrom] = heardAt;
    const auto askedAt = confirmationTime(*now->view, heardAt);
    if (!askedAt || !now->configuration) {
        return;
    }
    for (const DatabaseSpec &database : now->configuration->databases) {
        for (const UpstreamSpec &upstream : database.upstreams) {
            if (now->homeOf(upstream) == m_settings.host) {
                m_homes->confirmedHome(database.name, upstream.name, *askedAt);
            }
        }
    }
}

std::optional<TimePoint> HostDaemon::Impl::confirmationTime(const MembershipView &view, TimePoint now) const
{
    if (!view.trusted) {
        return std::nullopt;
    }
    std::vector<TimePoint> heard{now};
    std::size_t zoneHosts = 0;
    for (const PlacementHost &host : view.placementHosts()) {
        if (host.zone != m_settings.zone) {
            continue;
        }
        ++zoneHosts;
        const auto found = m_heard.find(host.name);
        if (found != m_heard.end()) {
            heard.push_back(found->second);
        }
    }
    const std::size_t needed = std::min(zoneHosts / 2 + 1, confirmingHosts);
    if (heard.size() < needed) {
        return std::nullopt;
    }
    std::sort(heard.begin(), heard.end(), std::greater<>());
    return heard[needed - 1];
}

// Operators.

void HostDaemon::Impl::handleOperator(const OperatorRequest &request, const OperatorResponder &respond)
{
    const auto now = routes();
    if (request.path == "/health") {
        respond(OperatorResponse{200, "application/json", R"({"status":"ok"})"});
    } else if (request.path == "/ready" || request.path == m_settings.readyPath) {
        const bool ready = now->configuration != nullptr && !m_leaving;
        respond(OperatorResponse{ready ? 200U : 503U, "application/json", ready ? R"({"ready":true})" : R"({"ready":false})"});
    } else if (request.path == "/metrics") {
        respondMetrics(respond);
    } else if (request.path == "/status") {
        // The routes' view is renewed when hosts come or go, not when one of them takes
        // a configuration; status would show others at their former version for ever.
        const auto view = m_membership->view();
        const HostIdentity self{m_settings.host, m_settings.zone, m_leaving};
        respond(OperatorResponse{200, "application/json",
                                 statusDocument(self, *view, now->configuration.get(), *m_homes)
                                     .dump(2, ' ', false, nlohmann::json::error_handler_t::replace)});
    } else if (request.path == "/drain" && request.method == "POST") {
        respond(OperatorResponse{202, "application/json", R"({"draining":true})"});
        beginStop();
    } else if (request.path == "/switchover" && request.method == "POST") {
        m_switchovers->onOperator(request.body, respond);
    } else {
        respond(OperatorResponse{
            404, "application/json",
            R"({"error":"invalid_input","message":"No such command; see docs/OPERATIONS.md.","retryAfterMs":0})"});
    }
}

void HostDaemon::Impl::respondMetrics(const OperatorResponder &respond)
{
    m_homes->stats([this, respond](const std::vector<UpstreamHomeStats> &homes) {
        const auto now = routes();
        MetricsRegistry gauges;
        addStoreMetrics(gauges, m_store->callCounts());
        addHomeMetrics(gauges, homes);
        gauges.set("callers", {}, static_cast<double>(m_front->openConnections()));
        gauges.set("configuration_version", {}, static_cast<double>(now->configuration ? now->configuration->version : 0));
        gauges.set("hosts_live", {}, static_cast<double>(now->view->placementHosts().size()));
        gauges.set("control_cpu_seconds", {}, threadCpuSeconds());
        // The links belong to their own thread.
        asio::post(m_link, [this, gauges, respond]() mutable {
            addPeerMetrics(gauges, m_network->traffic(), m_network->linkCount());
            respond(OperatorResponse{200, "text/plain; version=0.0.4", m_metrics.render(gauges)});
        });
    });
}

// Changed settings.

void HostDaemon::Impl::reload(const Settings &next)
{
    asio::post(m_control, [this, next] {
        const SettingsDifference difference = differenceBetween(m_settings, next);
        for (const std::string &name : difference.applied) {
            log::info("setting_applied", {{"setting", name}});
        }
        for (const std::string &name : difference.needRestart) {
            log::warning("setting_needs_restart", {{"setting", name}});
        }
        applyLive(m_settings, next);
        log::setLevel(log::levelNamed(m_settings.logLevel));
        // Their form has been checked with the file.
        if (const auto store = parseEndpoint(m_settings.platformAddress)) {
            m_store->moveTo(*store);
        }
        const auto orders = parseEndpoint(m_settings.ordersAddress);
        if (orders && m_dialect->moveOrders) {
            m_dialect->moveOrders(*orders);
        }
        log::info("settings_reloaded",
                  {{"applied", static_cast<int>(difference.applied.size())},
                   {"need_restart", static_cast<int>(difference.needRestart.size())}});
    });
}

// Stopping.

void HostDaemon::Impl::beginStop()
{
    if (m_leaving.exchange(true)) {
        return;
    }
    asio::post(m_control, [this] {
        log::info("stop_begun", {{"callers", m_front->openConnections()}});
        m_membership->leave();
        const TimePoint begun = Clock::now();
        m_drainTimer->expires_at(begun + m_settings.balancerNotice);
        m_drainTimer->async_wait([this, begun](const boost::system::error_code &failure) {
            if (!failure) {
                m_front->beginDrain();
                drainCallers(begun + m_settings.stopBound);
            }
        });
    });
}

void HostDaemon::Impl::drainCallers(TimePoint deadline)
{
    if (m_front->openConnections() == 0 || Clock::now() >= deadline) {
        drainHomes(deadline);
        return;
    }
    m_drainTimer->expires_after(drainPoll);
    m_drainTimer->async_wait([this, deadline](const boost::system::error_code &failure) {
        if (!failure) {
            drainCallers(deadline);
        }
    });
}

void HostDaemon::Impl::drainHomes(TimePoint deadline)
{
    auto done = std::make_shared<bool>(false);
    const auto once = [this, done] {
        if (!std::exchange(*done, true)) {
            m_drainTimer->cancel();
            departAndStop();
        }
    };
    m_drainTimer->expires_at(deadline);
    m_drainTimer->async_wait([once](const boost::system::error_code &failure) {
        if (!failure) {
            log::warning("drain_cut_short", {});
            once();
        }
    });
    m_homes->drain(once);
}

void HostDaemon::Impl::departAndStop()
{
    m_membership->depart();
    auto timer = std::make_shared<asio::steady_timer>(m_control, farewell);
    timer->async_wait([this, timer](const boost::system::error_code &) {
        log::info("stop_complete", {});
        stopNow();
    });
}

void HostDaemon::Impl::stopNow()
{
    const std::lock_guard<std::mutex> lock(m_stopMutex);
    m_stopped = true;
    m_stopChanged.notify_all();
}

void HostDaemon::Impl::wait()
{
    {
        std::unique_lock<std::mutex> lock(m_stopMutex);
        m_stopChanged.wait(lock, [this] { return m_stopped; });
    }
    join();
}

void HostDaemon::Impl::join()
{
    if (m_threads.empty()) {
        return;
    }
    m_front->stop();
    m_homes->stop();
    m_guards.clear();
    m_control.stop();
    m_link.stop();
    for (const auto &context : m_traffic) {
        context->stop();
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
    finishPosted();
}

// What goes wrong without it: work that was posted to a context is destroyed with the
// context. What it holds may be the last to hold a connection of another context that
// is gone by then, and the process ends by a signal at its very end.
void HostDaemon::Impl::finishPosted()
{
    for (const auto &context : m_traffic) {
        context->restart();
        context->poll();
    }
    m_control.restart();
    m_control.poll();
}

HostDaemon::HostDaemon(Settings settings, HostParts parts) : m_impl(std::make_unique<Impl>(std::move(settings), std::move(parts)))
{
}

HostDaemon::~HostDaemon() = default;

tl::expected<HostAddresses, Error> HostDaemon::start()
{
    return m_impl->start();
}

void HostDaemon::beginStop()
{
    m_impl->beginStop();
}

void HostDaemon::reload(const Settings &settings)
{
    m_impl->reload(settings);
}

void HostDaemon::stopNow()
{
    m_impl->stopNow();
}

void HostDaemon::wait()
{
    m_impl->wait();
}

} // namespace egrettide
