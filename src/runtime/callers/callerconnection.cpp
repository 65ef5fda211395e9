// Startup, authentication and batches of one caller's connection.

#include "runtime/callers/callerconnection.h"

#include "runtime/host/socketoptions.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>

namespace egrettide::detail
{

namespace
{

constexpr int maxEncryptionRequests = 2;
constexpr std::uint32_t protocolMajor = 3;
constexpr std::uint32_t protocolMinorMask = 0xffffU;
// Limit of unsent answer bytes; no further batch starts above it.
constexpr std::size_t maxUnsentBytes = std::size_t{1024} * 1024;
// A larger write buffer is released once it is empty: with thousands of callers,
// buffers of the largest answer that each has received would add up.
constexpr std::size_t retainedBufferBytes = std::size_t{16} * 1024;
// How long the caller may take to read the final error and close.
constexpr milliseconds lingerTime{1000};

std::array<unsigned char, EVP_MAX_MD_SIZE> digestOf(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return digest;
}

// Compares in constant time, whatever the position of the first difference and the
// lengths: otherwise a caller could guess a password byte by byte.
bool isSamePassword(std::string_view given, std::string_view expected)
{
    const auto left = digestOf(given);
    const auto right = digestOf(expected);
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

// Accepts the tenant's password or any of its keys. All are compared, so that the
// time taken reveals nothing.
bool isAuthorized(const TenantSpec &tenant, std::string_view given)
{
    bool isKnown = !tenant.password.empty() && isSamePassword(given, tenant.password);
    for (const std::string &key : tenant.keys) {
        isKnown = isSamePassword(given, key) || isKnown;
    }
    return isKnown;
}

std::string parameter(const pg::StartupMessage &startup, std::string_view name)
{
    for (const auto &[key, value] : startup.parameters) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

Error leavingError()
{
    return Error{ErrorKind::Leaving, "Nothing unanswered has run; connect again; egrettide host leaving.", milliseconds{1}};
}

// A caller may choose any class whose priority and reserved share do not exceed those
// of its tenant's own class.
std::vector<std::string> allowedClasses(const Configuration &configuration, const std::string &own)
{
    std::vector<std::string> allowed{own};
    const ClassSpec *ownClass = configuration.classNamed(own);
    for (const ClassSpec &other : configuration.classes) {
        const int priority = ownClass != nullptr ? ownClass->priority : 0;
        const double share = ownClass != nullptr ? ownClass->reservedShare : 0;
        if (other.name != own && other.priority <= priority && other.reservedShare <= share) {
            allowed.push_back(other.name);
        }
    }
    return allowed;
}

SessionDefaults defaultsFor(const Configuration &configuration, const DatabaseSpec &database, const std::string &tenantName)
{
    SessionDefaults defaults;
    defaults.database = database.name;
    defaults.tenant = tenantName;
    defaults.maxAge = database.maxAge;
    if (const TenantSpec *tenant = configuration.tenant(tenantName)) {
        defaults.className = tenant->className;
    }
    if (const ClassSpec *ownClass = configuration.classNamed(defaults.className)) {
        defaults.timeout = ownClass->timeout;
    }
    defaults.allowedClasses = allowedClasses(configuration, defaults.className);
    return defaults;
}

} // namespace

CallerConnection::CallerConnection(std::shared_ptr<TrafficShard> shard, boost::asio::ip::tcp::socket socket,
                                   std::optional<Error> refusal, std::function<void()> closed)
    : m_shard(std::move(shard))
    , m_socket(std::move(socket))
    , m_refusal(std::move(refusal))
    , m_closed(std::move(closed))
    , m_timer(m_shard->context)
    , m_assembler(m_shard->common->options.maxBatchBytes)
{
}

void CallerConnection::post(std::function<void()> action)
{
    boost::asio::post(m_shard->context, std::move(action));
}

void CallerConnection::start()
{
    setSocketOptions();
    m_draining = m_shard->common->draining.load();
    armTimer(m_shard->common->options.startupTimeout);
    read();
}

void CallerConnection::setSocketOptions()
{
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    setCallerOptions(m_socket);
}

void CallerConnection::armTimer(milliseconds timeout)
{
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->close();
        }
    });
}

bool CallerConnection::mayRead() const
{
    if (m_phase == Phase::Closed || m_phase == Phase::Held || m_isReading || m_inputEnded) {
        return false;
    }
    if (m_phase == Phase::Closing) {
        return true;
    }
    const FrontOptions &options = m_shard->common->options;
    return !m_streamError && m_queue.size() < options.maxQueuedBatches && m_queuedBytes < options.maxBatchBytes;
}

void CallerConnection::read()
{
    if (!mayRead()) {
        return;
    }
    m_isReading = true;
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code &) { self->onReadable(); });
}

// Waits for readability first and then reads into the shard's buffer, so that an idle
// connection needs no buffer.
void CallerConnection::onReadable()
{
    m_isReading = false;
    if (m_phase == Phase::Closed) {
        return;
    }
    boost::system::error_code error;
    const std::size_t count = m_socket.read_some(boost::asio::buffer(m_shard->receiveBuffer), error);
    if (error == boost::asio::error::would_block) {
        read();
        return;
    }
    if (error == boost::asio::error::eof) {
        onInputEnd();
        return;
    }
    if (error) {
        end(true);
        return;
    }
    if (m_phase != Phase::Closing) {
        m_assembler.feed(std::string_view(m_shard->receiveBuffer.data(), count));
        process();
    }
    read();
}

// Batches that were received completely still run: a caller may send them and then
// close its sending side.
void CallerConnection::onInputEnd()
{
    m_inputEnded = true;
    if (m_phase != Phase::Ready) {
        end(true);
        return;
    }
    pump();
}

void CallerConnection::process()
{
    bool goesOn = true;
    while (goesOn && m_phase == Phase::Startup) {
        goesOn = processStartup();
    }
    if (m_phase == Phase::Password) {
        goesOn = processPassword();
    }
    if (m_phase == Phase::Ready) {
        pump();
    }
}

bool CallerConnection::processStartup()
{
    auto startup = m_assembler.nextStartup();
    if (!startup) {
        sendFinalError(sqlStateOf(startup.error().kind), startup.error());
        return false;
    }
    return *startup && onStartup(**startup);
}

// Returns true to parse a further startup message.
bool CallerConnection::onStartup(const pg::StartupMessage &startup)
{
    if (startup.code == pg::sslRequestCode || startup.code == pg::gssRequestCode) {
        if (++m_encryptionRequests > maxEncryptionRequests) {
            end(false);
            return false;
        }
        write("N");
        return true;
    }
    if (startup.code == pg::cancelRequestCode) {
        m_shard->common->cancels.cancel({startup.processId, startup.secretKey});
        end(false);
        return false;
    }
    if (startup.code >> 16U != protocolMajor) {
        sendFinalError("0A000",
                       Error{ErrorKind::Unsupported, "Only PostgreSQL protocol version 3 is supported; use a newer driver.",
                             milliseconds{0}});
        return false;
    }
    return beginSession(startup);
}

bool CallerConnection::beginSession(pg::StartupMessage startup)
{
    m_startup = std::move(startup);
    if (m_refusal) {
        sendFinalError(sqlStateOf(m_refusal->kind), *m_refusal);
        return false;
    }
    if (m_draining) {
        sendFinalError(sqlStateOf(ErrorKind::Leaving), leavingError());
        return false;
    }
    negotiateVersion(m_startup);
    if (m_shard->configuration() || !hold()) {
        checkStartup();
    }
    return false;
}

// Waits for the first configuration. Returns false when the caller cannot be held.
bool CallerConnection::hold()
{
    m_hold = m_shard->holdStartup([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->endHold();
        }
    });
    if (m_hold) {
        m_phase = Phase::Held;
    }
    return m_hold != nullptr;
}

void CallerConnection::endHold()
{
    m_hold.reset();
    if (m_phase != Phase::Held) {
        return;
    }
    m_phase = Phase::Startup;
    checkStartup();
    process();
    read();
}

void CallerConnection::checkStartup()
{
    m_configuration = m_shard->configuration();
    if (!m_configuration) {
        const Error error{ErrorKind::NoConfiguration, "This host has no configuration yet; connect again later.",
                          m_shard->common->options.noConfigurationRetry};
        sendFinalError(sqlStateOf(error.kind), error);
        return;
    }
    if (parameter(m_startup, "user").empty()) {
        sendFinalError(
            "28000",
            Error{ErrorKind::AuthenticationFailed, "The startup message has no user; connect as a tenant.", milliseconds{0}});
        return;
    }
    if (!parameter(m_startup, "replication").empty()) {
        sendFinalError("0A000",
                       Error{ErrorKind::Unsupported, "Replication connections are not supported; connect to the upstream.",
                             milliseconds{0}});
        return;
    }
    authenticate();
}

// A driver that requests a newer minor version or protocol options receives
// NegotiateProtocolVersion with the supported version and continues with that.
void CallerConnection::negotiateVersion(const pg::StartupMessage &startup)
{
    std::vector<std::string_view> unknown;
    for (const auto &[name, value] : startup.parameters) {
        if (name.starts_with("_pq_.")) {
            unknown.push_back(name);
        }
    }
    if ((startup.code & protocolMinorMask) == 0 && unknown.empty()) {
        return;
    }
    std::string payload;
    pg::appendUint32(payload, pg::protocolVersion3);
    pg::appendUint32(payload, static_cast<std::uint32_t>(unknown.size()));
    for (const std::string_view name : unknown) {
        pg::appendCString(payload, name);
    }
    write(pg::Message{'v', payload}.bytes());
}

void CallerConnection::authenticate()
{
    const TenantSpec *tenant = m_configuration->tenant(parameter(m_startup, "user"));
    if (tenant == nullptr || (tenant->password.empty() && tenant->keys.empty())) {
        openSession();
        return;
    }
    m_phase = Phase::Password;
    std::string request;
    pg::appendAuthenticationCleartext(request);
    write(request);
}

bool CallerConnection::processPassword()
{
    auto message = m_assembler.nextMessage();
    if (!message) {
        sendFinalError(sqlStateOf(message.error().kind), message.error());
        return false;
    }
    if (!*message) {
        return false;
    }
    if ((*message)->type != 'p') {
        sendFinalError("08P01",
                       Error{ErrorKind::InvalidInput, "Expected a password message; authenticate first.", milliseconds{0}});
        return false;
    }
    pg::PayloadReader reader((*message)->payload);
    const auto given = reader.cString();
    const TenantSpec *tenant = m_configuration->tenant(parameter(m_startup, "user"));
    if (!given || !isAuthorized(*tenant, *given)) {
        sendFinalError("28P01",
                       Error{ErrorKind::AuthenticationFailed, "The password of this tenant is wrong; use the correct one.",
                             milliseconds{0}});
        return false;
    }
    openSession();
    return true;
}

void CallerConnection::openSession()
{
    const std::string tenant = parameter(m_startup, "user");
    const std::string named = parameter(m_startup, "database");
    const std::string &databaseName = named.empty() ? tenant : named;
    const DatabaseSpec *database = m_configuration->database(databaseName);
    if (database == nullptr) {
        sendFinalError("3D000",
                       Error{ErrorKind::UnknownDatabase,
                             "There is no database service \"" + databaseName
                                 + "\"; check the name or apply a configuration that defines it.",
                             milliseconds{0}});
        return;
    }
    SessionState state(defaultsFor(*m_configuration, *database, tenant), m_shard->common->tokens, m_shard->now());
    auto session = std::make_shared<CallerSession>(m_shard, std::move(state));
    if (auto applied = session->applyStartup(m_startup.parameters); !applied) {
        sendFinalError(sqlStateOf(applied.error().kind), applied.error());
        return;
    }
    m_session = std::move(session);
    m_configuration.reset();
    m_startup = {};
    const std::weak_ptr<CallerConnection> weakSelf = weak_from_this();
    boost::asio::io_context &context = m_shard->context;
    m_cancelKey = m_shard->common->cancels.add([weakSelf, &context] {
        boost::asio::dispatch(context, [weakSelf] {
            const auto self = weakSelf.lock();
            if (self && self->m_phase == Phase::Ready) {
                self->m_session->cancel();
            }
        });
    });
    std::string greeting;
    pg::appendAuthenticationOk(greeting);
    greeting.append(m_session->startupStatus());
    pg::appendBackendKeyData(greeting, m_cancelKey.processId, m_cancelKey.secretKey);
    pg::appendReadyForQuery(greeting, 'I');
    m_phase = Phase::Ready;
    m_timer.cancel();
    write(greeting);
}

void CallerConnection::takeBatches()
{
    const FrontOptions &options = m_shard->common->options;
    while (!m_streamError && m_queue.size() < options.maxQueuedBatches && m_queuedBytes < options.maxBatchBytes) {
        auto batch = m_assembler.next();
        if (!batch) {
            m_streamError = batch.error();
            return;
        }
        if (!*batch) {
            return;
        }
        m_queuedBytes += (*batch)->bytes;
        m_queue.push_back({std::move(**batch), m_shard->now()});
    }
}

// Runs the queued batches that can start now. An answer may arrive synchronously, so
// m_isPumping prevents reentry.
void CallerConnection::pump()
{
    if (m_isPumping) {
        return;
    }
    m_isPumping = true;
    takeBatches();
    while (m_phase == Phase::Ready && !m_isBusy && !m_queue.empty() && m_outgoing.size() < maxUnsentBytes) {
        runNext();
        takeBatches();
    }
    m_isPumping = false;
    if (m_phase == Phase::Ready && !m_isBusy && m_queue.empty()) {
        onIdle();
    }
    read();
}

void CallerConnection::runNext()
{
    const QueuedBatch next = std::move(m_queue.front());
    m_queue.pop_front();
    m_queuedBytes -= next.batch.bytes;
    if (next.batch.end == pg::BatchEnd::Terminate) {
        m_inputEnded = true;
        endAfterOutput();
        return;
    }
    m_isBusy = true;
    m_session->run(next.batch, next.receivedAt,
                   [self = shared_from_this()](const std::string &answer) { self->onAnswer(answer); });
}

void CallerConnection::onAnswer(std::string_view answer)
{
    m_isBusy = false;
    if (m_phase != Phase::Ready) {
        return;
    }
    write(answer);
    pump();
}

void CallerConnection::onIdle()
{
    if (m_streamError) {
        sendFinalError(sqlStateOf(m_streamError->kind), *m_streamError);
        return;
    }
    if (m_inputEnded) {
        endAfterOutput();
        return;
    }
    if (m_draining && m_session->isIdle() && !m_assembler.isMidBatch()) {
        sendFinalError(sqlStateOf(ErrorKind::Leaving), leavingError());
    }
}

void CallerConnection::drain()
{
    m_draining = true;
    if (m_phase == Phase::Ready) {
        pump();
    }
}

void CallerConnection::write(std::string_view bytes)
{
    m_outgoing.append(bytes);
    flush();
}

void CallerConnection::flush()
{
    if (!m_writing.empty() || m_outgoing.empty() || m_phase == Phase::Closed) {
        return;
    }
    m_writing.swap(m_outgoing);
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_writing),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) { self->onWritten(error); });
}

void CallerConnection::onWritten(const boost::system::error_code &error)
{
    m_writing.clear();
    if (m_writing.capacity() > retainedBufferBytes) {
        m_writing = {};
    }
    if (m_phase == Phase::Closed) {
        return;
    }
    if (error) {
        end(true);
        return;
    }
    flush();
    if (m_phase == Phase::Closing && m_writing.empty()) {
        linger();
        return;
    }
    if (m_phase == Phase::Ready) {
        pump();
    }
}

void CallerConnection::sendFinalError(std::string_view sqlState, const Error &error)
{
    if (m_phase == Phase::Closing || m_phase == Phase::Closed) {
        return;
    }
    m_phase = Phase::Closing;
    armTimer(m_shard->common->options.startupTimeout);
    if (m_session) {
        m_session->abandon(false);
    }
    std::string finalMessage;
    pg::appendErrorResponse(finalMessage, sqlState, error.message, hintOf(error), true);
    write(finalMessage);
    read();
}

// Writes the pending answers before it closes.
void CallerConnection::endAfterOutput()
{
    if (m_writing.empty()) {
        end(false);
        return;
    }
    m_phase = Phase::Closing;
    armTimer(m_shard->common->options.startupTimeout);
    m_session->abandon(false);
}

// Reads and discards the caller's input until it closes too, at most for lingerTime.
// Closing a socket with unread input makes the kernel reset the connection, and the
// caller would see the reset instead of the final error.
void CallerConnection::linger()
{
    if (m_inputEnded) {
        end(false);
        return;
    }
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    armTimer(lingerTime);
}

void CallerConnection::close()
{
    end(true);
}

void CallerConnection::end(bool stopRequest)
{
    if (m_phase == Phase::Closed) {
        return;
    }
    m_phase = Phase::Closed;
    m_queue.clear();
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    if (m_cancelKey.processId != 0) {
        m_shard->common->cancels.remove(m_cancelKey.processId);
    }
    if (m_session) {
        m_session->abandon(stopRequest);
    }
    const auto closed = std::move(m_closed);
    m_closed = nullptr;
    closed();
}

} // namespace egrettide::detail

namespace egrettide
{

CallerLinkFactory postgresCallers()
{
    return [](std::shared_ptr<detail::TrafficShard> shard, boost::asio::ip::tcp::socket socket, std::optional<Error> refusal,
              std::function<void()> closed) -> std::shared_ptr<detail::CallerLink> {
        return std::make_shared<detail::CallerConnection>(std::move(shard), std::move(socket), std::move(refusal),
                                                          std::move(closed));
    };
}

} // namespace egrettide
