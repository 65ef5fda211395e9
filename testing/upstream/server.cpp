// Listener, fault injection, replay and the functions callable from SQL.

#include "testing/upstream/server.h"

#include "testing/upstream/replicator.h"
#include "testing/upstream/session.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>

namespace egrettide::testing
{

namespace
{

using boost::asio::ip::tcp;

constexpr milliseconds tickInterval{500};
constexpr int listenBacklog = 512;

const std::vector<ResultColumn> &statusColumns()
{
    static const std::vector<ResultColumn> columns = {{"name"},          {"role"},          {"promised_term"},
                                                      {"promised_to"},   {"received_term"}, {"received"},
                                                      {"replayed_term"}, {"replayed"},      {"following_term"}};
    return columns;
}

std::string roleName(UpstreamRole role)
{
    switch (role) {
    case UpstreamRole::Primary:
        return "primary";
    case UpstreamRole::Replica:
        return "replica";
    case UpstreamRole::Fenced:
        break;
    }
    return "fenced";
}

using Setting = std::function<void(UpstreamOptions &, std::int64_t)>;

// The options that standin_set() can change.
const std::map<std::string, Setting> &settings()
{
    static const std::map<std::string, Setting> settings = {
        {"lag_ms", [](UpstreamOptions &options, std::int64_t value) { options.replicationLag = milliseconds(value); }},
        {"receive_delay_ms", [](UpstreamOptions &options, std::int64_t value) { options.receiveDelay = milliseconds(value); }},
        {"service_us",
         [](UpstreamOptions &options, std::int64_t value) { options.serviceTime = std::chrono::microseconds(value); }},
        {"connection_delay_ms",
         [](UpstreamOptions &options, std::int64_t value) { options.connectionDelay = milliseconds(value); }},
        {"refuse_connections", [](UpstreamOptions &options, std::int64_t value) { options.refusesConnections = value != 0; }},
        {"connections", [](UpstreamOptions &options, std::int64_t value) { options.connections = static_cast<int>(value); }},
        {"slots", [](UpstreamOptions &options, std::int64_t value) { options.slots = static_cast<int>(value); }},
    };
    return settings;
}

bool isGranting(const std::string &function)
{
    return function == "group_fence" || function == "group_promote" || function == "group_follow";
}

const Value &argumentAt(const std::vector<Value> &arguments, std::size_t index)
{
    if (index >= arguments.size() || isNull(arguments[index])) {
        throw SqlError("42883", "the function needs argument " + std::to_string(index + 1));
    }
    return arguments[index];
}

std::int64_t integerAt(const std::vector<Value> &arguments, std::size_t index)
{
    return std::get<std::int64_t>(coerced(argumentAt(arguments, index), ColumnType::Int8));
}

Term termAt(const std::vector<Value> &arguments, std::size_t index)
{
    const std::int64_t number = integerAt(arguments, index);
    if (number < 0) {
        throw SqlError("22003", "terms and positions must not be negative");
    }
    return static_cast<Term>(number);
}

std::string textAt(const std::vector<Value> &arguments, std::size_t index)
{
    return *textOf(argumentAt(arguments, index));
}

tcp::endpoint endpointOf(const UpstreamOptions &options)
{
    return {boost::asio::ip::make_address(options.address), options.port};
}

} // namespace

Server::Server(UpstreamOptions options)
    : m_options(std::move(options))
    , m_acceptor(m_io)
    , m_tickTimer(m_io)
    , m_replayTimer(m_io)
    , m_rejoinTimer(m_io)
    , m_member(m_options.name, m_options.faults)
    , m_slots(m_io, m_options.slots)
    , m_random(m_options.seed)
    , m_replicator(std::make_unique<Replicator>(*this))
{
    const tcp::endpoint endpoint = endpointOf(m_options);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen(listenBacklog);
    m_member.onAppend([this] { boost::asio::post(m_io, [this] { wakeWaiters(); }); });
    m_member.onFollow([this] {
        boost::asio::post(m_io, [this] {
            wakeWaiters();
            m_replicator->restart();
        });
    });
    if (m_options.primaryTerm > 0) {
        m_member.startAsPrimary(m_options.primaryTerm);
    } else if (!m_options.follow.empty()) {
        m_member.startAsReplica(m_options.followTerm, m_options.follow);
    }
}

Server::~Server()
{
    stop(false);
}

void Server::run()
{
    accept();
    tick();
    m_thread = std::thread([this] { m_io.run(); });
}

void Server::stop(bool reset)
{
    {
        const std::lock_guard lock(m_freezeMutex);
        m_isStopping = true;
    }
    m_freezeChanged.notify_all();
    m_io.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
    const auto sessions = m_sessions;
    for (const auto &entry : sessions) {
        if (const auto session = entry.second.lock()) {
            session->close(reset);
        }
    }
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

std::uint16_t Server::port() const
{
    return m_acceptor.local_endpoint().port();
}

UpstreamStatistics Server::statistics() const
{
    UpstreamStatistics statistics = m_counters;
    statistics.queue = m_slots.queue();
    statistics.maxQueue = m_slots.maxQueue();
    return statistics;
}

void Server::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
            return;
        }
        if (!error && m_isCut) {
            m_heldSockets.push_back(std::move(socket));
        } else if (!error) {
            startSession(std::move(socket));
        }
        accept();
    });
}

void Server::startSession(tcp::socket socket)
{
    const std::uint32_t processId = m_nextProcessId++;
    const auto secretKey = static_cast<std::uint32_t>(m_random());
    const auto session = std::make_shared<Session>(*this, std::move(socket), processId, secretKey);
    m_sessions.emplace(processId, session);
    session->start();
}

void Server::addConnection()
{
    // The limit is checked before the delay, as PostgreSQL checks it before it forks.
    if (m_options.refusesConnections) {
        ++m_counters.refusedConnections;
        throw SqlError("57P03", "the database system is not accepting connections");
    }
    if (m_counters.connections >= m_options.connections) {
        ++m_counters.refusedConnections;
        throw SqlError("53300", "sorry, too many clients already");
    }
    ++m_counters.connections;
    m_counters.maxConnections = std::max(m_counters.maxConnections, m_counters.connections);
}

void Server::removeConnection()
{
    --m_counters.connections;
}

void Server::removeSession(std::uint32_t processId)
{
    m_sessions.erase(processId);
}

void Server::cancel(std::uint32_t processId, std::uint32_t secretKey)
{
    const auto found = m_sessions.find(processId);
    const auto session = found == m_sessions.end() ? nullptr : found->second.lock();
    if (session) {
        session->cancel(secretKey);
    }
}

void Server::waitForEntries(std::function<void()> wake)
{
    m_waiters.push_back(std::move(wake));
}

void Server::wakeWaiters()
{
    std::vector<std::function<void()>> waiters;
    waiters.swap(m_waiters);
    for (const auto &wake : waiters) {
        wake();
    }
}

void Server::tick()
{
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        // Releases waiting sessions whose caller has disconnected.
        wakeWaiters();
        tick();
    });
}

milliseconds Server::currentLag(TimePoint now)
{
    if (m_options.burstEvery == milliseconds{0}) {
        return m_options.replicationLag;
    }
    if (m_nextBurst == TimePoint::max() || now >= m_nextBurst) {
        const bool isDue = m_nextBurst != TimePoint::max();
        m_burstUntil = isDue ? now + m_options.burstLength : now;
        std::exponential_distribution<double> gap(1.0 / static_cast<double>(m_options.burstEvery.count()));
        m_nextBurst = m_burstUntil + milliseconds(static_cast<std::int64_t>(gap(m_random)));
    }
    return now < m_burstUntil ? std::max(m_options.burstLag, m_options.replicationLag) : m_options.replicationLag;
}

void Server::scheduleReplay()
{
    replay();
}

void Server::replay()
{
    const TimePoint now = Clock::now();
    const milliseconds lag = currentLag(now);
    m_member.replay(now - lag);
    const auto oldest = m_member.oldestUnreplayed();
    if (!oldest) {
        return;
    }
    TimePoint due = *oldest + lag;
    if (now < m_burstUntil) {
        due = std::min(due, m_burstUntil);
    }
    m_replayTimer.expires_at(due);
    m_replayTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            replay();
        }
    });
}

std::vector<ResultColumn> Server::functionColumns(const std::string &name) const
{
    if (name == "group_status") {
        return statusColumns();
    }
    if (isGranting(name)) {
        std::vector<ResultColumn> columns = {{"granted"}};
        columns.insert(columns.end(), statusColumns().begin(), statusColumns().end());
        return columns;
    }
    if (name == "group_log") {
        return logColumns();
    }
    if (name == "standin_stats") {
        return {{"key"}, {"value"}};
    }
    if (name == "standin_set" || name == "pg_sleep" || name == "pg_is_in_recovery" || name == "version") {
        return {{name}};
    }
    throw SqlError("42883", "function " + name + "() does not exist");
}

StatementResult Server::callFunction(const std::string &name, const std::vector<Value> &arguments)
{
    if (name == "group_status") {
        return groupAnswer(name, std::nullopt);
    }
    if (isGranting(name)) {
        return groupAnswer(name, callGroup(name, arguments));
    }
    if (name == "group_log") {
        return logAnswer(arguments);
    }
    StatementResult result{functionColumns(name), {}, "SELECT 1"};
    if (name == "standin_stats") {
        result.rows = statisticsRows();
        result.tag = "SELECT " + std::to_string(result.rows.size());
        return result;
    }
    if (name == "standin_set") {
        set(textAt(arguments, 0), integerAt(arguments, 1));
    }
    std::string value;
    if (name == "pg_is_in_recovery") {
        value = m_member.isPrimary() ? "f" : "t";
    } else if (name == "version") {
        value = "PostgreSQL 15.0 (stand-in)";
    }
    result.rows.push_back({value});
    return result;
}

bool Server::callGroup(const std::string &name, const std::vector<Value> &arguments)
{
    const Term term = termAt(arguments, 0);
    const std::string token = textAt(arguments, 1);
    if (name == "group_fence") {
        return m_member.fence(term, token);
    }
    if (name == "group_promote") {
        return m_member.promote(term, token);
    }
    return m_member.follow(term, token, textAt(arguments, 2));
}

StatementResult Server::groupAnswer(const std::string &name, std::optional<bool> granted) const
{
    StatementResult result{functionColumns(name), {statusRow()}, "SELECT 1"};
    if (granted) {
        Row &row = result.rows.front();
        row.insert(row.begin(), std::string(*granted ? "t" : "f"));
    }
    return result;
}

Row Server::statusRow() const
{
    const MemberStatus status = m_member.status();
    return {status.upstream,
            roleName(status.role),
            std::to_string(status.promisedTerm),
            status.promisedTo,
            std::to_string(status.received.term),
            std::to_string(status.received.position),
            std::to_string(status.replayed.term),
            std::to_string(status.replayed.position),
            std::to_string(status.followingTerm)};
}

StatementResult Server::logAnswer(const std::vector<Value> &arguments) const
{
    const LogMark after{termAt(arguments, 1), termAt(arguments, 2)};
    const LogAnswer answer = m_member.logAfter(termAt(arguments, 0), after, termAt(arguments, 3));
    StatementResult result{logColumns(), logRows(answer), {}};
    result.tag = "SELECT " + std::to_string(result.rows.size());
    return result;
}

std::vector<Row> Server::statisticsRows() const
{
    const UpstreamStatistics now = statistics();
    const std::vector<std::pair<std::string, std::uint64_t>> pairs = {
        {"connections", now.connections},
        {"max_connections", now.maxConnections},
        {"refused_connections", now.refusedConnections},
        {"queue", now.queue},
        {"max_queue", now.maxQueue},
        {"statements", now.statements},
        {"commits", now.commits},
        {"conflicts", now.conflicts},
        {"cancels", now.cancels},
    };
    std::vector<Row> rows;
    rows.reserve(pairs.size());
    for (const auto &[key, value] : pairs) {
        rows.push_back({key, std::to_string(value)});
    }
    return rows;
}

void Server::set(const std::string &key, std::int64_t value)
{
    if (value < 0) {
        throw SqlError("22023", "a setting must not be negative");
    }
    if (key == "frozen_ms") {
        m_deferred.emplace_back([this, value] { freezeFor(milliseconds(value)); });
        return;
    }
    if (key == "cut_ms") {
        m_deferred.emplace_back([this, value] { cutFor(milliseconds(value)); });
        return;
    }
    const auto found = settings().find(key);
    if (found == settings().end()) {
        throw SqlError("42704", "the stand-in has no setting \"" + key + "\"");
    }
    change([&](UpstreamOptions &options) { found->second(options, value); });
}

void Server::change(const std::function<void(UpstreamOptions &)> &edit)
{
    edit(m_options);
    m_slots.setSlots(m_options.slots);
    replay();
}

void Server::runDeferred()
{
    std::vector<std::function<void()>> deferred;
    deferred.swap(m_deferred);
    for (const auto &action : deferred) {
        action();
    }
}

void Server::setCut(bool isCut)
{
    if (m_isCut == isCut) {
        return;
    }
    m_isCut = isCut;
    m_replicator->restart();
    if (isCut) {
        return;
    }
    std::vector<tcp::socket> held;
    held.swap(m_heldSockets);
    for (tcp::socket &socket : held) {
        startSession(std::move(socket));
    }
    const auto sessions = m_sessions;
    for (const auto &entry : sessions) {
        if (const auto session = entry.second.lock()) {
            session->resume();
        }
    }
}

void Server::cutFor(milliseconds duration)
{
    setCut(true);
    m_rejoinTimer.expires_after(duration);
    m_rejoinTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            setCut(false);
        }
    });
}

void Server::freeze(bool frozen)
{
    std::unique_lock lock(m_freezeMutex);
    if (!frozen) {
        m_isFrozen = false;
        m_freezeChanged.notify_all();
        return;
    }
    m_frozenUntil = TimePoint::max();
    if (m_isFrozen) {
        return;
    }
    m_isFrozen = true;
    boost::asio::post(m_io, [this] { blockWhileFrozen(); });
    m_freezeChanged.wait(lock, [this] { return m_isBlocked || m_isStopping; });
}

void Server::freezeFor(milliseconds duration)
{
    {
        const std::lock_guard lock(m_freezeMutex);
        m_isFrozen = true;
        m_frozenUntil = Clock::now() + duration;
    }
    blockWhileFrozen();
}

void Server::blockWhileFrozen()
{
    std::unique_lock lock(m_freezeMutex);
    m_isBlocked = true;
    m_freezeChanged.notify_all();
    while (m_isFrozen && !m_isStopping) {
        if (m_frozenUntil == TimePoint::max()) {
            m_freezeChanged.wait(lock);
        } else if (m_freezeChanged.wait_until(lock, m_frozenUntil) == std::cv_status::timeout) {
            m_isFrozen = Clock::now() < m_frozenUntil;
        }
    }
    m_isBlocked = false;
}

void Server::apply(std::function<void(Server &)> action)
{
    {
        const std::lock_guard lock(m_freezeMutex);
        if (m_isFrozen) {
            boost::asio::post(m_io, [this, action = std::move(action)] { action(*this); });
            return;
        }
    }
    call(action);
}

void Server::call(const std::function<void(Server &)> &action)
{
    std::promise<void> done;
    boost::asio::post(m_io, [&] {
        action(*this);
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace egrettide::testing
