// Login, batches and cancel requests of a connection to an upstream.

#include "runtime/upstreams/upstreamconnection.h"

#include "runtime/group/sqlcontrol.h"
#include "runtime/host/socketoptions.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>

namespace egrettide
{

namespace asio = boost::asio;
using boost::asio::ip::tcp;

namespace
{

constexpr std::string_view statusQuery = "SELECT * FROM group_status()";
// A connection with more prepared statements is replaced: upstreams keep each of them
// in memory until the connection is closed.
constexpr std::size_t maxPreparedStatements = 2000;
constexpr std::string_view unknownStatementState = "26000";
constexpr std::string_view readOnlyState = "25006";
constexpr std::string_view tooManyConnectionsState = "53300";
// A cancel request that has not been sent by then is dropped.
constexpr milliseconds cancelTimeout{1000};

tl::expected<tcp::endpoint, Error> endpointOf(const std::string &address)
{
    const auto colon = address.rfind(':');
    const std::string_view portText =
        colon == std::string::npos ? std::string_view{} : std::string_view(address).substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    boost::system::error_code failed;
    const auto ip = asio::ip::make_address(address.substr(0, colon == std::string::npos ? 0 : colon), failed);
    if (failed || portText.empty() || parsed.ec != std::errc{}) {
        return tl::unexpected(Error{ErrorKind::InvalidInput,
                                    "The upstream address '" + address + "' is not IP:port; correct it in the configuration."});
    }
    return tcp::endpoint(ip, port);
}

// A cancel request; it keeps itself alive until it is written or times out.
struct CancelAttempt {
    explicit CancelAttempt(asio::io_context &context) : socket(context), timer(context)
    {
    }
    tcp::socket socket;
    Timer timer;
    std::string bytes;
};

void closeAttempt(const std::shared_ptr<CancelAttempt> &attempt)
{
    boost::system::error_code ignored;
    attempt->socket.close(ignored);
    attempt->timer.cancel();
}

std::vector<std::string> columnsOf(std::string_view rowDescription)
{
    constexpr std::size_t fieldTailBytes = 18;
    std::vector<std::string> columns;
    pg::PayloadReader reader(rowDescription);
    const auto count = reader.uint16();
    for (int i = 0; count && i < *count; ++i) {
        const auto name = reader.cString();
        if (!name || !reader.bytes(fieldTailBytes)) {
            break;
        }
        columns.emplace_back(*name);
    }
    return columns;
}

} // namespace

std::shared_ptr<UpstreamConnection> UpstreamConnection::create(asio::io_context &context, ConnectionSettings settings)
{
    return std::shared_ptr<UpstreamConnection>(new UpstreamConnection(context, std::move(settings)));
}

UpstreamConnection::UpstreamConnection(asio::io_context &context, ConnectionSettings settings)
    : m_context(context), m_settings(std::move(settings)), m_socket(context), m_timer(context)
{
}

UpstreamConnection::~UpstreamConnection() = default;

void UpstreamConnection::open(TimePoint deadline, OpenHandler handler)
{
    m_state = State::Opening;
    m_openHandler = std::move(handler);
    armTimer(deadline);
    const auto endpoint = endpointOf(m_settings.address);
    if (!endpoint) {
        asio::post(m_context, [self = shared_from_this(), error = endpoint.error()] { self->finishOpen(tl::unexpected(error)); });
        return;
    }
    m_socket.async_connect(*endpoint, [self = shared_from_this()](const boost::system::error_code &failed) {
        if (self->m_state != State::Opening) {
            return;
        }
        if (failed) {
            self->m_lossKind = ProbeFailure::Refused;
            self->fail(BatchFailure::Reason::Lost, "cannot be connected to (" + failed.message() + ")");
            return;
        }
        self->startLogin();
    });
}

void UpstreamConnection::startLogin()
{
    setLongLivedOptions(m_socket);
    std::string startup;
    pg::appendStartup(startup, {{"user", m_settings.user}, {"database", m_settings.database}, {"application_name", "egrettide"}});
    enqueueWrite(std::move(startup));
    readSome();
}

void UpstreamConnection::armTimer(TimePoint deadline)
{
    m_deadline = deadline;
    m_timer.expires_at(deadline);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self) {
            self->onTimer();
        }
    });
}

void UpstreamConnection::onTimer()
{
    const bool waits = m_state == State::Opening || m_state == State::Busy;
    if (!waits || Clock::now() < m_deadline) {
        return;
    }
    if (m_state == State::Busy) {
        sendCancel();
    }
    m_lossKind = ProbeFailure::Timeout;
    m_refusalKind = ErrorKind::DeadlineExceeded;
    fail(BatchFailure::Reason::DeadlineExceeded, "did not answer in time");
}

void UpstreamConnection::readSome()
{
    m_socket.async_read_some(asio::buffer(m_input),
                             [self = shared_from_this()](const boost::system::error_code &failed, std::size_t count) {
                                 if (self->m_state == State::Closed) {
                                     return;
                                 }
                                 if (failed) {
                                     self->fail(BatchFailure::Reason::Lost, "closed the connection (" + failed.message() + ")");
                                     return;
                                 }
                                 self->onBytes(count);
                             });
}

void UpstreamConnection::onBytes(std::size_t count)
{
    m_reader.feed(std::string_view(m_input.data(), count));
    while (m_state != State::Closed) {
        auto next = m_reader.next();
        if (!next) {
            fail(BatchFailure::Reason::Protocol, next.error().message);
            return;
        }
        if (!next->has_value()) {
            break;
        }
        handleMessage(**next);
    }
    if (m_state == State::Closed) {
        return;
    }
    // The batch finishes only after all buffered messages are handled, so that none of
    // them becomes part of the next batch's answer.
    if (m_work && m_work->complete) {
        finishBatch();
    }
    if (m_state != State::Closed) {
        readSome();
    }
}

void UpstreamConnection::handleMessage(const pg::Message &message)
{
    if (m_state == State::Opening) {
        handleLoginMessage(message);
    } else if (m_work && !m_work->answered) {
        handleBatchMessage(message);
    } else if (m_work && !m_work->complete) {
        handleStatusMessage(message);
    } else {
        handleIdleMessage(message);
    }
}

void UpstreamConnection::handleLoginMessage(const pg::Message &message)
{
    pg::PayloadReader reader(message.payload);
    switch (message.type) {
    case 'R':
        if (reader.uint32().value_or(1) != 0) {
            fail(BatchFailure::Reason::Protocol, "asks for a password; configure it to admit egrettide without one");
        }
        break;
    case 'K':
        m_processId = reader.uint32().value_or(0);
        m_secretKey = reader.uint32().value_or(0);
        break;
    case 'E': {
        const auto fields = pg::parseErrorFields(message.payload);
        const bool full = fields.sqlState == tooManyConnectionsState;
        m_refusalKind = full ? ErrorKind::ConnectionLimit : ErrorKind::NoPrimary;
        m_lossKind = ProbeFailure::Refused;
        fail(BatchFailure::Reason::Lost, "refused the connection: " + fields.sqlState + " " + fields.text);
        break;
    }
    case 'Z':
        finishOpen({});
        break;
    default:
        break;
    }
}

void UpstreamConnection::handleIdleMessage(const pg::Message &message)
{
    const bool harmless = message.type == 'N' || message.type == 'S' || message.type == 'A';
    if (!harmless) {
        fail(BatchFailure::Reason::Protocol, "ended the connection or sent an unsolicited message");
    }
}

void UpstreamConnection::handleBatchMessage(const pg::Message &message)
{
    Work &work = *m_work;
    if (message.type == 'A') {
        return;
    }
    if (message.type == 'G' || message.type == 'W') {
        fail(BatchFailure::Reason::Protocol, "started COPY FROM STDIN, which is not supported; use INSERT");
        return;
    }
    if (message.type == '1' && !work.injectedNames.empty()) {
        m_prepared.insert(work.injectedNames.front());
        work.injectedNames.pop_front();
        return;
    }
    if (work.order.keepRow) {
        keepRow(message);
    }
    const std::string bytes = message.bytes();
    if (work.answer.bytes.size() + bytes.size() > m_settings.maxAnswerBytes) {
        sendCancel();
        fail(BatchFailure::Reason::TooLarge, "sent an answer larger than this host buffers; ask for fewer rows at a time");
        return;
    }
    work.answer.bytes += bytes;
    noteBatchMessage(message);
}

void UpstreamConnection::keepRow(const pg::Message &message)
{
    BatchAnswer &answer = m_work->answer;
    if (message.type == 'T') {
        answer.columns = columnsOf(message.payload);
    } else if (message.type == 'D') {
        answer.row = pg::parseDataRow(message.payload).value_or(std::vector<std::optional<std::string>>{});
    }
}

void UpstreamConnection::noteBatchMessage(const pg::Message &message)
{
    Work &work = *m_work;
    if (message.type == 'E') {
        // After an error the upstream skips all messages up to the Sync, including
        // injected Parse messages.
        work.injectedNames.clear();
        if (work.answer.errorCode.empty()) {
            work.answer.errorCode = pg::parseErrorFields(message.payload).sqlState;
        }
        if (work.answer.errorCode == unknownStatementState) {
            m_prepared.clear();
        }
    } else if (message.type == 'C' && work.answer.errorCode.empty()) {
        ++work.answer.completedStatements;
    } else if (message.type == 'Z') {
        m_transactionState = message.payload.empty() ? 'I' : message.payload.front();
        work.answer.state = m_transactionState;
        // A fenced upstream refuses a write with "read-only transaction". If no statement
        // completed before, nothing ran.
        if (work.answer.errorCode == readOnlyState && work.answer.completedStatements == 0) {
            work.answer.refusal = ErrorKind::Moved;
        }
        work.answered = true;
        work.complete = !work.order.askStatus;
    }
}

void UpstreamConnection::handleStatusMessage(const pg::Message &message)
{
    Work &work = *m_work;
    if (message.type == 'T') {
        work.statusColumns = columnsOf(message.payload);
    } else if (message.type == 'D') {
        const auto values = pg::parseDataRow(message.payload);
        work.answer.status = values ? memberStatusFromRow(work.statusColumns, *values) : std::nullopt;
    } else if (message.type == 'Z') {
        m_transactionState = message.payload.empty() ? 'I' : message.payload.front();
        work.complete = true;
    }
}

void UpstreamConnection::finishOpen(tl::expected<void, Error> result)
{
    m_timer.cancel();
    if (result) {
        m_state = State::Idle;
    }
    const OpenHandler handler = std::exchange(m_openHandler, nullptr);
    if (!result) {
        close();
    }
    if (handler) {
        handler(std::move(result));
    }
}

void UpstreamConnection::run(BatchOrder order, BatchHandler handler)
{
    if (!usable()) {
        asio::post(m_context, [handler = std::move(handler)] {
            handler(tl::unexpected(BatchFailure{BatchFailure::Reason::Lost, false, "has no open connection"}));
        });
        return;
    }
    m_state = State::Busy;
    m_work = std::make_unique<Work>();
    m_work->order = std::move(order);
    m_work->handler = std::move(handler);
    std::string out;
    for (const PreparedStatement &statement : m_work->order.prepared) {
        if (!m_prepared.contains(statement.name)) {
            out += statement.parseMessage;
            m_work->injectedNames.push_back(statement.name);
        }
    }
    out += m_work->order.batch;
    m_work->answered = m_work->order.batch.empty();
    if (m_work->order.askStatus) {
        pg::appendQuery(out, statusQuery);
    }
    armTimer(m_work->order.deadline);
    enqueueWrite(std::move(out));
}

void UpstreamConnection::finishBatch()
{
    m_timer.cancel();
    m_state = State::Idle;
    const std::unique_ptr<Work> work = std::move(m_work);
    work->handler(std::move(work->answer));
}

void UpstreamConnection::fail(BatchFailure::Reason reason, const std::string &message)
{
    if (m_state == State::Closed) {
        return;
    }
    const bool wasIdle = m_state == State::Idle;
    const auto idleLoss = std::exchange(m_idleLoss, nullptr);
    const OpenHandler openHandler = std::exchange(m_openHandler, nullptr);
    const std::unique_ptr<Work> work = std::move(m_work);
    const auto keepAlive = shared_from_this();
    close();
    if (openHandler) {
        openHandler(tl::unexpected(Error{
            m_refusalKind, "The upstream at " + m_settings.address + " " + message + "; retry once it is available again."}));
    }
    if (work) {
        work->handler(tl::unexpected(BatchFailure{reason, true, message}));
    }
    if (wasIdle && idleLoss) {
        idleLoss();
    }
}

void UpstreamConnection::giveUp()
{
    if (m_state == State::Busy) {
        sendCancel();
    }
    fail(BatchFailure::Reason::GivenUp, "was given up");
}

void UpstreamConnection::close()
{
    if (m_state == State::Closed) {
        return;
    }
    // Every batch handler must be called, so closing a busy connection gives its
    // batch up.
    if (m_work) {
        giveUp();
        return;
    }
    abandon();
}

void UpstreamConnection::abandon()
{
    m_state = State::Closed;
    m_work.reset();
    m_openHandler = nullptr;
    m_idleLoss = nullptr;
    m_timer.cancel();
    boost::system::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

void UpstreamConnection::enqueueWrite(std::string bytes)
{
    m_output.push_back(std::move(bytes));
    if (m_output.size() == 1) {
        writeNext();
    }
}

void UpstreamConnection::writeNext()
{
    asio::async_write(m_socket, asio::buffer(m_output.front()),
                      [self = shared_from_this()](const boost::system::error_code &failed, std::size_t) {
                          if (self->m_state == State::Closed) {
                              return;
                          }
                          if (failed) {
                              self->fail(BatchFailure::Reason::Lost, "closed the connection (" + failed.message() + ")");
                              return;
                          }
                          self->m_output.pop_front();
                          if (!self->m_output.empty()) {
                              self->writeNext();
                          }
                      });
}

void UpstreamConnection::sendCancel()
{
    const auto endpoint = endpointOf(m_settings.address);
    if (!m_settings.sendsCancel || m_processId == 0 || !endpoint) {
        return;
    }
    const auto attempt = std::make_shared<CancelAttempt>(m_context);
    pg::appendCancelRequest(attempt->bytes, m_processId, m_secretKey);
    attempt->timer.expires_after(cancelTimeout);
    attempt->timer.async_wait([weak = std::weak_ptr<CancelAttempt>(attempt)](const boost::system::error_code &cancelled) {
        const auto late = weak.lock();
        if (!cancelled && late) {
            closeAttempt(late);
        }
    });
    attempt->socket.async_connect(*endpoint, [attempt](const boost::system::error_code &failed) {
        if (failed) {
            closeAttempt(attempt);
            return;
        }
        asio::async_write(attempt->socket, asio::buffer(attempt->bytes),
                          [attempt](const boost::system::error_code &, std::size_t) { closeAttempt(attempt); });
    });
}

bool UpstreamConnection::usable() const
{
    return m_state == State::Idle && m_prepared.size() < maxPreparedStatements;
}

ProbeFailure UpstreamConnection::lossKind() const
{
    return m_lossKind;
}

bool UpstreamConnection::busy() const
{
    return m_state == State::Busy;
}

bool UpstreamConnection::isOpen() const
{
    return m_state != State::Closed && m_state != State::New;
}

char UpstreamConnection::transactionState() const
{
    return m_transactionState;
}

void UpstreamConnection::onIdleLoss(std::function<void()> handler)
{
    m_idleLoss = std::move(handler);
}

} // namespace egrettide
