// Constructs and starts the parts of a host.

#include "runtime/host/hostdaemonimpl.h"

namespace egrettide
{

namespace asio = boost::asio;

namespace
{

// An accepted promotion order takes some hundred milliseconds, and one second at most. This
// leaves more than twice that time before the next attempt.
constexpr milliseconds orderedPromotionTimeout{2500};
// The interval of urgent rounds where a status call takes a slot. Rounds are urgent for 2 s
// after a lost connection: at an interval of 2 ms that is 1,000 calls to each member, and over
// 16,000 in a minute with one unreachable primary. This one delays a waiting read by at most 20 ms.
constexpr milliseconds slotBoundInterval{20};
// The interval between two log lines of totals; a killed process loses the totals of at most this time.
constexpr std::chrono::seconds recordSpacing{10};
// How long a host without a list of hosts leaves reading the store to others: all hosts of a fleet
// that starts together list each other within it.
constexpr std::chrono::seconds unlistedReaderDelay{5};
// The time after which upstreams close the connections of a host that has disappeared.
constexpr milliseconds upstreamLinger{3000};

// Connection shares for upstreams that close the connections of a lost home themselves.
// Both shares are one half, so that two homes fit at once and a new one need not wait. With a
// quarter for the first 5 s, only one transaction ran at a time after a restart: during a day
// with restarts 0.884 of the requests were served in time, with halves 0.937 (one run each).
ConnectionBudgetOptions lingeringBudget()
{
    ConnectionBudgetOptions budget;
    budget.settledShare = 0.5;
    budget.takeoverShare = 0.5;
    budget.shedBound = upstreamLinger;
    budget.takeoverBound = upstreamLinger + budget.confirmationBound;
    return budget;
}

// Half of the link: statements and heartbeats need bandwidth beside a large configuration.
// With the whole link, hosts on links of 2 Mbit/s considered each other dead.
std::uint64_t bulkBytesPerSecond(double linkMbps)
{
    constexpr double bytesPerMegabit = 1e6 / 8;
    return static_cast<std::uint64_t>(linkMbps * bytesPerMegabit / 2);
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

HostDaemon::Impl::Impl(Settings settings, HostParts parts)
    : m_settings(std::move(settings))
    , m_parts(std::move(parts))
    , m_mechanisms(m_settings.mechanismsOff)
    , m_incarnation(static_cast<std::uint64_t>(
          std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()))
    , m_random(randomNumber())
{
}

HostDaemon::Impl::~Impl()
{
    stopNow();
    join();
}

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
    m_drainTimer = std::make_unique<Timer>(m_control);
    m_joinTimer = std::make_unique<Timer>(m_control);
    m_routesTask = std::make_unique<PacedTask>(m_control, [this] { rebuildRoutes(); });
    m_recordTimer = std::make_unique<Timer>(m_control);
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
    options.rollback = m_dialect->rollback;
    options.seed = m_random();
    m_mechanisms.applyTo(options);
    PeerNetworkHooks hooks;
    hooks.onRequest = [this](const PeerRef &from, StatementRequest request, ReplyHandler reply) {
        onPeerRequest(from, std::move(request), std::move(reply));
    };
    hooks.onMessage = [this](const PeerRef &from, hop::HopMessage message) { onPeerMessage(from, std::move(message)); };
    hooks.onLinkLost = [this](const PeerRef &from) { m_homes->abandonFront(detail::frontKeyOf(from)); };
    hooks.onUnreachable = [this](const std::string &host) {
        asio::post(m_control, [this, host] { m_membership->onUnreachable(host); });
    };
    m_network = std::make_unique<PeerNetwork>(m_link, std::move(options), std::move(hooks));
}

void HostDaemon::Impl::makeQuotas()
{
    QuotaKeeperOptions options;
    options.bounds = m_settings.quota;
    m_quotas = std::make_unique<QuotaService>(
        m_link, m_settings.host, options,
        QuotaServiceHooks{[this](std::size_t slot) { return routes()->quotaKeepers[slot]; },
                          [this](const std::string &host, hop::HopMessage message) { send(host, std::move(message)); }});
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
    hooks.observer.announce = [this, announceToOthers = hooks.observer.announce](const std::string &database, Term term,
                                                                                 const std::string &primary) {
        announceToOthers(database, term, primary);
        applyPrimary(database, term, primary);
    };
    hooks.sendHandBack = [this](const std::string &database, const std::string &upstream, const HandBack &handBack) {
        const std::string successor = homeOf(database, upstream);
        if (!successor.empty()) {
            send(successor, hop::Release{upstream, database, handBack.settled});
        }
    };
    HomeServiceSettings settings;
    // A restarted host must not be mistaken for the previous instance whose promises it reads.
    settings.observer.incarnation = m_settings.host + "/" + std::to_string(m_incarnation);
    settings.observer.upstreamUser = m_settings.upstreamUser;
    settings.observer.seed = m_random();
    settings.observer.monitor.idleInterval = m_settings.idleProbe;
    settings.observer.dialect = m_dialect;
    settings.observer.monitor.primaryProvesItself = m_dialect->primaryProvesItself;
    if (m_dialect->primaryProvesItself) {
        settings.observer.monitor.busyInterval = slotBoundInterval;
        settings.observer.monitor.urgentInterval = slotBoundInterval;
        settings.observer.monitor.probesOnlySilent = true;
    }
    if (m_dialect->control.promote) {
        settings.observer.promoter.promoteBy = PromoteBy::ThirdParty;
        settings.observer.promoter.promoteTimeout = orderedPromotionTimeout;
    }
    settings.home.dialect = m_dialect;
    settings.home.gate.upstreamChecksMarks = m_dialect->checksMarks;
    if (m_dialect->primaryProvesItself) {
        settings.home.budget = lingeringBudget();
    }
    if (m_dialect->slotsAreExact) {
        settings.home.scheduler.limitPolicy = LimitPolicy::Fixed;
    }
    settings.home.upstreamUser = m_settings.upstreamUser;
    settings.leavingBound = m_settings.leavingBound;
    settings.home.transactionIds = std::make_shared<TransactionIds>(m_random() >> 2U);
    m_mechanisms.applyTo(settings);
    m_homes = std::make_unique<HomeService>(m_control, trafficContexts(), settings, std::move(hooks));
    m_switchovers = std::make_unique<SwitchoverService>(
        m_control, *m_homes,
        SwitchoverServiceHooks{[this](const std::string &host, hop::HopMessage message) { send(host, std::move(message)); },
                               [this](const std::string &database) { return otherHomes(database); }});
}

void HostDaemon::Impl::makeFront()
{
    FrontOptions options;
    options.zone = m_settings.zone;
    options.maxConnections = static_cast<std::size_t>(m_settings.maxCallers);
    options.tokenKey = m_settings.sessionKey;
    options.baselineRouting = m_settings.routingPolicy == "baseline";
    m_mechanisms.applyTo(options.router);
    options.seed = m_random();
    options.makeCaller = m_parts.makeCaller;
    options.rollback = m_dialect->rollback;
    FrontHooks hooks;
    hooks.configuration = [this] { return routes()->configuration; };
    hooks.execute = [this](StatementRequest request, ReplyHandler handler) { execute(std::move(request), std::move(handler)); };
    hooks.cancel = [this](std::uint64_t id) { cancel(id); };
    hooks.admit = [this](const std::string &workspace, TimePoint until, QuotaService::AdmitHandler handler) {
        m_quotas->admit(workspace, until, std::move(handler));
    };
    hooks.takeRetry = [this] {
        const std::lock_guard<std::mutex> lock(m_retryMutex);
        return m_retries.takeRetry({});
    };
    hooks.observe = [this](const RequestObservation &observation) {
        m_metrics.observe(observation);
        m_record.observe(observation, Clock::now());
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
    makeQuotas();
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
    JoinOptions joining;
    m_mechanisms.applyTo(joining);
    PartitionOptions partition;
    partition.balancerNotice = m_settings.balancerNotice;
    partition.balancerMisses = m_settings.balancerMisses;
    m_mechanisms.applyTo(partition);
    m_partition = std::make_unique<PartitionDriver>(m_control, *m_store, partition,
                                                    PartitionDriverHooks{[this] { m_front->moveCallers(); },
                                                                         [this] { notifyZoneOfPartition(); },
                                                                         [this] { return m_network->lastHeardElsewhere(); }});
    m_readsUnlistedAt = Clock::now() + unlistedReaderDelay;
    m_joinGate = std::make_unique<JoinGate>(m_settings.zone, joining, Clock::now());
    m_membership = std::make_unique<MembershipDriver>(
        m_control, *m_store, std::move(self), m_random(),
        MembershipDriverHooks{[this](const std::string &host, const std::string &address, hop::HopMessage message) {
                                  sendTo(host, address, std::move(message));
                              },
                              [this](const std::shared_ptr<const MembershipView> &view) { onView(view); },
                              [this](const HostReach &reach) { m_partition->onReach(reach); },
                              [this](std::size_t unanswered) { m_partition->onHeartbeat(unanswered); },
                              [this](const std::string &host, const CatalogVersion &version) {
                                  m_configurationSource->noteKnownVersion(host, version);
                              },
                              [this] { return isStoreReader(); },
                              [this](const std::vector<ListedHost> &hosts, bool isCurrent) { onZoneListed(hosts, isCurrent); }});
    ReaderSelectionOptions reader;
    m_mechanisms.applyTo(reader);
    m_configurationSource = m_parts.makeConfiguration(
        m_control, *m_store,
        ConfigurationKeeperHooks{
            [this](const std::shared_ptr<const Configuration> &) { onConfiguration(); },
            [this](const std::string &host, hop::HopMessage message) { sendToListed(host, std::move(message)); },
            [this](std::size_t count) { return someHosts(count); }, [this] { return isStoreReader(); },
            [this] { return zoneHosts(); }, [this] { m_membership->registerAgain(); }, reader,
            bulkBytesPerSecond(m_settings.linkMbps)});
    rebuildRoutes();
    startThreads();
    return addresses;
}

void HostDaemon::Impl::startThreads()
{
    asio::post(m_control, [this] {
        m_membership->start();
        m_configurationSource->start();
        joinWhenDue();
        scheduleRecordLog();
    });
    const auto startThread = [this](const char *name, asio::io_context &context) {
        m_threads.emplace_back([name, &context] {
            const crash::ThreadCover cover(name);
            context.run();
        });
    };
    startThread("control", m_control);
    startThread("link", m_link);
    for (const auto &context : m_traffic) {
        startThread("traffic", *context);
    }
}

void HostDaemon::Impl::scheduleRecordLog()
{
    m_recordTimer->expires_after(recordSpacing);
    m_recordTimer->async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            m_record.log("running");
            scheduleRecordLog();
        }
    });
}

void HostDaemon::Impl::joinWhenDue()
{
    if (m_joined) {
        return;
    }
    m_joinTimer->expires_at(m_joinGate->joinsAt());
    m_joinTimer->async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            m_joined = true;
            m_routesTask->runNow();
            m_configurationSource->onZoneChanged();
        }
    });
}

// Public interface.

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
