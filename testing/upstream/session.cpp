// The server side of PostgreSQL v3, one message at a time.

#include "testing/upstream/session.h"

#include "testing/upstream/evaluation.h"
#include "testing/upstream/server.h"
#include "testing/upstream/valuecodec.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace egrettide::testing
{

namespace
{

constexpr double maxSleepSeconds = 3600;

[[noreturn]] void malformed()
{
    throw SqlError("08P01", "invalid message format");
}

template <typename Type> Type required(const std::optional<Type> &value)
{
    if (!value) {
        malformed();
    }
    return *value;
}

std::string textField(pg::PayloadReader &payload)
{
    return std::string(required(payload.cString()));
}

std::vector<std::uint16_t> uint16List(pg::PayloadReader &payload)
{
    std::vector<std::uint16_t> list(required(payload.uint16()));
    for (std::uint16_t &item : list) {
        item = required(payload.uint16());
    }
    return list;
}

} // namespace

Session::Session(Server &server, boost::asio::ip::tcp::socket socket, std::uint32_t processId, std::uint32_t secretKey)
    : m_server(server), m_socket(std::move(socket)), m_openTimer(server.io()), m_processId(processId), m_secretKey(secretKey)
{
}

void Session::start()
{
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    read();
}

void Session::read()
{
    m_socket.async_read_some(
        boost::asio::buffer(m_buffer),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) { self->onRead(error, bytes); });
}

void Session::onRead(const boost::system::error_code &error, std::size_t bytes)
{
    if (m_isClosed) {
        return;
    }
    if (m_server.isCut()) {
        m_heldRead.emplace(error, bytes);
        m_heldSelf = shared_from_this();
        return;
    }
    if (error) {
        m_hasReachedEnd = true;
    } else {
        m_reader.feed(std::string_view(m_buffer.data(), bytes));
        read();
    }
    processMessages();
}

void Session::resume()
{
    if (m_isClosed) {
        return;
    }
    flush();
    if (m_heldRead) {
        const auto [error, bytes] = *m_heldRead;
        m_heldRead.reset();
        const auto keepAlive = std::exchange(m_heldSelf, nullptr);
        onRead(error, bytes);
    }
}

void Session::flush()
{
    if (m_isWriting || m_isClosed || m_server.isCut()) {
        return;
    }
    if (m_output.empty()) {
        if (m_isClosing) {
            close(false);
        }
        return;
    }
    m_isWriting = true;
    m_writing.swap(m_output);
    m_output.clear();
    boost::asio::async_write(
        m_socket, boost::asio::buffer(m_writing),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) { self->onWritten(error); });
}

void Session::onWritten(const boost::system::error_code &error)
{
    m_isWriting = false;
    if (error) {
        // The caller has disconnected; statements it sent still run, as in PostgreSQL.
        m_output.clear();
    }
    flush();
    m_server.runDeferred();
}

void Session::close(bool reset)
{
    if (m_isClosed) {
        return;
    }
    const auto keepAlive = std::exchange(m_heldSelf, nullptr);
    m_isClosed = true;
    m_transaction.reset();
    m_openTimer.cancel();
    if (m_isCounted) {
        m_server.removeConnection();
    }
    m_server.removeSession(m_processId);
    boost::system::error_code ignored;
    if (reset) {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    m_socket.close(ignored);
}

void Session::readStartup()
{
    while (!m_isOpen && !m_isBusy && !m_isClosing) {
        const auto startup = m_reader.nextStartup();
        if (!startup) {
            refuse(SqlError("08P01", startup.error().message));
            return;
        }
        if (!*startup) {
            return;
        }
        onStartup(**startup);
    }
}

void Session::onStartup(const pg::StartupMessage &startup)
{
    if (startup.code == pg::sslRequestCode || startup.code == pg::gssRequestCode) {
        m_output.push_back('N');
        return;
    }
    if (startup.code == pg::cancelRequestCode) {
        m_server.cancel(startup.processId, startup.secretKey);
        m_isClosing = true;
        return;
    }
    if (startup.code != pg::protocolVersion3) {
        refuse(SqlError("0A000", "unsupported frontend protocol"));
        return;
    }
    for (const auto &[name, value] : startup.parameters) {
        m_settings[name] = value;
    }
    try {
        if (m_settings["application_name"] != replicationName) {
            m_server.addConnection();
            m_isCounted = true;
        }
        openAfterDelay();
    } catch (const SqlError &error) {
        refuse(error);
    }
}

void Session::openAfterDelay()
{
    const milliseconds delay = m_server.options().connectionDelay;
    if (delay == milliseconds{0}) {
        completeStartup();
        return;
    }
    m_isBusy = true;
    m_openTimer.expires_after(delay);
    m_openTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (error || self->m_isClosed) {
            return;
        }
        self->m_isBusy = false;
        self->completeStartup();
        self->processMessages();
    });
}

void Session::completeStartup()
{
    m_isOpen = true;
    pg::appendAuthenticationOk(m_output);
    pg::appendParameterStatus(m_output, "server_version", "15.0");
    pg::appendParameterStatus(m_output, "server_encoding", "UTF8");
    pg::appendParameterStatus(m_output, "client_encoding", "UTF8");
    pg::appendParameterStatus(m_output, "DateStyle", "ISO, MDY");
    pg::appendParameterStatus(m_output, "integer_datetimes", "on");
    pg::appendParameterStatus(m_output, "standard_conforming_strings", "on");
    pg::appendBackendKeyData(m_output, m_processId, m_secretKey);
    writeReady();
}

void Session::refuse(const SqlError &error)
{
    pg::appendErrorResponse(m_output, error.sqlState(), error.what(), {}, true);
    m_isClosing = true;
}

void Session::processMessages()
{
    readStartup();
    while (m_isOpen && !m_isBusy && !m_isClosing && !m_isClosed) {
        if (m_query) {
            runNextStatement();
            continue;
        }
        const auto message = m_reader.next();
        if (!message) {
            refuse(SqlError("08P01", message.error().message));
            break;
        }
        if (!*message) {
            m_isClosing = m_hasReachedEnd;
            break;
        }
        handle(**message);
    }
    m_isClosing = m_isClosing || (m_hasReachedEnd && !m_isOpen && !m_isBusy);
    flush();
}

void Session::handle(const pg::Message &message)
{
    if (m_skipsToSync && message.type != 'S' && message.type != 'X') {
        return;
    }
    try {
        const pg::PayloadReader payload(message.payload);
        switch (message.type) {
        case 'Q':
            return onQuery(message.payload);
        case 'P':
            return onParse(payload);
        case 'B':
            return onBind(payload);
        case 'D':
            return onDescribe(payload);
        case 'E':
            return onExecute(payload);
        case 'C':
            return onClose(payload);
        case 'S':
            return onSync();
        case 'H':
            return;
        case 'X':
            m_isClosing = true;
            return;
        default:
            throw SqlError("08P01", "the stand-in does not support this message type");
        }
    } catch (const SqlError &error) {
        fail(error);
    }
}

void Session::onQuery(const std::string &payload)
{
    m_query = SimpleQuery{};
    const std::string sql(payload.c_str());
    m_query->text = m_server.statements().parsed(sql);
    if (m_query->text->statements.empty()) {
        pg::appendMessage(m_output, 'I', {});
    }
}

void Session::runNextStatement()
{
    const auto text = m_query->text;
    if (m_query->next == text->statements.size()) {
        endQuery();
        return;
    }
    const Statement &statement = text->statements[m_query->next];
    run({text, &statement, {}, [this](const StatementResult &result) {
             ++m_query->next;
             if (m_query->next == m_query->text->statements.size()) {
                 // Commits before the answer: CommandComplete promises it to the caller.
                 commitImplicit();
             }
             if (!result.columns.empty()) {
                 appendTypedRowDescription(m_output, result.columns, {});
             }
             writeRows(result, {});
         }});
}

void Session::endQuery()
{
    m_query.reset();
    writeReady();
}

void Session::onParse(pg::PayloadReader payload)
{
    const std::string name = textField(payload);
    const std::string sql = textField(payload);
    Prepared prepared;
    prepared.declaredTypes.resize(required(payload.uint16()));
    for (std::uint32_t &type : prepared.declaredTypes) {
        type = required(payload.uint32());
    }
    if (!name.empty() && m_prepared.contains(name)) {
        throw SqlError("42P05", "prepared statement \"" + name + "\" already exists");
    }
    prepared.text = m_server.statements().parsed(sql);
    if (prepared.text->statements.size() > 1) {
        throw SqlError("42601", "cannot insert multiple commands into a prepared statement");
    }
    m_prepared[name] = std::move(prepared);
    pg::appendMessage(m_output, '1', {});
}

const Session::Prepared &Session::preparedNamed(const std::string &name) const
{
    const auto found = m_prepared.find(name);
    if (found == m_prepared.end()) {
        throw SqlError("26000", "prepared statement \"" + name + "\" does not exist");
    }
    return found->second;
}

const Session::Portal &Session::portalNamed(const std::string &name) const
{
    const auto found = m_portals.find(name);
    if (found == m_portals.end()) {
        throw SqlError("34000", "portal \"" + name + "\" does not exist");
    }
    return found->second;
}

// The types that the caller declared, or the inferred ones where it declared none.
std::vector<std::uint32_t> Session::typesOf(const Prepared &prepared) const
{
    const ParsedText &text = *prepared.text;
    if (text.parameterCount == 0) {
        return {};
    }
    std::vector<std::uint32_t> types;
    const auto &tables = m_server.member().tables();
    for (const ColumnType type : parameterTypes(text.statements.front(), text.parameterCount, tables, visibleTransaction())) {
        types.push_back(static_cast<std::uint32_t>(type));
    }
    for (std::size_t i = 0; i < std::min(types.size(), prepared.declaredTypes.size()); ++i) {
        types[i] = prepared.declaredTypes[i] == 0 ? types[i] : prepared.declaredTypes[i];
    }
    return types;
}

void Session::onBind(pg::PayloadReader payload)
{
    const std::string portalName = textField(payload);
    const Prepared &prepared = preparedNamed(textField(payload));
    const std::vector<std::uint16_t> formats = uint16List(payload);
    const std::vector<std::uint32_t> types = typesOf(prepared);
    if (required(payload.uint16()) != types.size()) {
        throw SqlError("08P01", "the prepared statement requires " + std::to_string(types.size()) + " parameters");
    }
    Portal portal{prepared.text, {}, {}};
    for (std::size_t i = 0; i < types.size(); ++i) {
        const std::uint32_t length = required(payload.uint32());
        const bool isMissing = length == nullLength;
        portal.parameters.push_back(isMissing ? Value()
                                              : parameterOf(required(payload.bytes(length)), formatAt(formats, i), types[i]));
    }
    portal.resultFormats = uint16List(payload);
    m_portals[portalName] = std::move(portal);
    pg::appendMessage(m_output, '2', {});
}

void Session::onDescribe(pg::PayloadReader payload)
{
    const bool isStatement = required(payload.bytes(1)) == "S";
    const std::string name = textField(payload);
    if (!isStatement) {
        describeColumns(*portalNamed(name).text, portalNamed(name).resultFormats);
        return;
    }
    const Prepared &prepared = preparedNamed(name);
    const std::vector<std::uint32_t> types = typesOf(prepared);
    std::string description;
    pg::appendUint16(description, static_cast<std::uint16_t>(types.size()));
    for (const std::uint32_t type : types) {
        pg::appendUint32(description, type);
    }
    pg::appendMessage(m_output, 't', description);
    describeColumns(*prepared.text, {});
}

void Session::describeColumns(const ParsedText &text, const std::vector<std::uint16_t> &formats)
{
    const auto columns = text.statements.empty() ? std::vector<ResultColumn>() : columnsOf(text.statements.front());
    if (columns.empty()) {
        pg::appendMessage(m_output, 'n', {});
        return;
    }
    appendTypedRowDescription(m_output, columns, formats);
}

void Session::onExecute(pg::PayloadReader payload)
{
    const Portal &portal = portalNamed(textField(payload));
    if (portal.text->statements.empty()) {
        pg::appendMessage(m_output, 'I', {});
        return;
    }
    run({portal.text, &portal.text->statements.front(), portal.parameters,
         [this, formats = portal.resultFormats](const StatementResult &result) { writeRows(result, formats); }});
}

void Session::onClose(pg::PayloadReader payload)
{
    const bool isStatement = required(payload.bytes(1)) == "S";
    const std::string name = textField(payload);
    if (isStatement) {
        m_prepared.erase(name);
    } else {
        m_portals.erase(name);
    }
    pg::appendMessage(m_output, '3', {});
}

void Session::onSync()
{
    m_skipsToSync = false;
    try {
        commitImplicit();
    } catch (const SqlError &error) {
        pg::appendErrorResponse(m_output, error.sqlState(), error.what(), {});
    }
    writeReady();
}

void Session::run(Running running)
{
    m_running = std::move(running);
    if (waitsForLog(m_running)) {
        return;
    }
    if (!needsSlot(*m_running.statement)) {
        finishRunning();
        return;
    }
    ++m_server.counters().statements;
    m_isBusy = true;
    m_ticket = m_server.slots().submit(durationOf(m_running), [self = shared_from_this()] {
        self->m_isBusy = false;
        self->finishRunning();
        self->processMessages();
    });
}

// Sends errors to the caller here, since a statement often ends outside handle().
void Session::finishRunning()
{
    const Running running = std::move(m_running);
    m_running = Running();
    try {
        checkState(*running.statement);
        running.done(execute(running));
    } catch (const SqlError &error) {
        fail(error);
    }
}

void Session::checkState(const Statement &statement) const
{
    const auto *transaction = std::get_if<TransactionStatement>(&statement);
    const bool endsTransaction = transaction != nullptr && transaction->kind != TransactionStatement::Kind::Begin;
    if (m_state == 'E' && !endsTransaction) {
        throw SqlError("25P02", "current transaction is aborted, commands ignored until end of transaction block");
    }
}

bool Session::needsSlot(const Statement &statement) const
{
    if (m_state == 'E') {
        return false;
    }
    if (const auto *function = std::get_if<FunctionStatement>(&statement)) {
        return function->name == "pg_sleep";
    }
    if (const auto *transaction = std::get_if<TransactionStatement>(&statement)) {
        const bool hasWrites = m_transaction && m_transaction->hasWrites();
        return transaction->kind == TransactionStatement::Kind::Commit && hasWrites;
    }
    return isWrite(statement) || std::holds_alternative<SelectStatement>(statement);
}

// Delays the answer to a replica that has the whole log until there are new entries.
bool Session::waitsForLog(const Running &running)
{
    const auto *function = std::get_if<FunctionStatement>(running.statement);
    if (function == nullptr || function->name != "group_log" || m_state == 'E') {
        return false;
    }
    try {
        const StatementResult now = executeFunction(*function, running.parameters);
        const bool isAnswerDue = now.rows.size() > 1 || now.rows.front()[1] != Value(std::string("t"));
        if (isAnswerDue) {
            return false;
        }
    } catch (const SqlError &) {
        return false;
    }
    m_isBusy = true;
    m_server.waitForEntries([self = shared_from_this()] {
        if (self->m_isClosed) {
            return;
        }
        self->m_isBusy = false;
        self->finishRunning();
        self->processMessages();
    });
    return true;
}

std::chrono::microseconds Session::durationOf(const Running &running) const
{
    const auto serviceTime = m_server.options().serviceTime;
    const auto *function = std::get_if<FunctionStatement>(running.statement);
    if (function == nullptr || function->arguments.empty()) {
        return serviceTime;
    }
    std::optional<std::string> text;
    try {
        text = textOf(evaluateConstant(function->arguments.front(), running.parameters));
    } catch (const SqlError &) {
        // Reported when the statement runs.
        return serviceTime;
    }
    const double seconds = std::strtod(text.value_or("0").c_str(), nullptr);
    const double bounded = std::isfinite(seconds) ? std::min(std::max(seconds, 0.0), maxSleepSeconds) : 0.0;
    return serviceTime + std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(bounded));
}

StatementResult Session::execute(const Running &running)
{
    const Statement &statement = *running.statement;
    if (const auto *transaction = std::get_if<TransactionStatement>(&statement)) {
        return executeTransaction(*transaction);
    }
    if (const auto *function = std::get_if<FunctionStatement>(&statement)) {
        return executeFunction(*function, running.parameters);
    }
    if (const auto *set = std::get_if<SetStatement>(&statement)) {
        m_settings[set->name] = set->value;
        return {{}, {}, "SET"};
    }
    if (const auto *show = std::get_if<ShowStatement>(&statement)) {
        return executeShow(show->name);
    }
    if (const auto *deallocate = std::get_if<DeallocateStatement>(&statement)) {
        return executeDeallocate(*deallocate);
    }
    return executeInTransaction(running);
}

StatementResult Session::executeTransaction(const TransactionStatement &statement)
{
    if (statement.kind == TransactionStatement::Kind::Begin) {
        if (m_state == 'T') {
            pg::appendNotice(m_output, "25001", "there is already a transaction in progress");
        } else if (!m_transaction) {
            m_transaction = m_server.member().begin(statement.readOnly);
        }
        m_state = 'T';
        return {{}, {}, "BEGIN"};
    }
    if (m_state == 'I') {
        pg::appendNotice(m_output, "25P01", "there is no transaction in progress");
    }
    const bool commits = statement.kind == TransactionStatement::Kind::Commit && m_state != 'E';
    const std::optional<Transaction> transaction = std::move(m_transaction);
    m_transaction.reset();
    m_state = 'I';
    if (commits && transaction) {
        m_server.member().commit(*transaction);
        m_server.counters().commits += transaction->hasWrites() ? 1 : 0;
    }
    return {{}, {}, commits ? "COMMIT" : "ROLLBACK"};
}

StatementResult Session::executeFunction(const FunctionStatement &function, const std::vector<Value> &parameters)
{
    std::vector<Value> arguments;
    for (const Expression &argument : function.arguments) {
        arguments.push_back(evaluateConstant(argument, parameters));
    }
    return m_server.callFunction(function.name, arguments);
}

StatementResult Session::executeShow(const std::string &name) const
{
    StatementResult result{{{name}}, {}, "SHOW"};
    const auto found = m_settings.find(name);
    std::string value = found == m_settings.end() ? "" : found->second;
    if (name == "transaction_read_only") {
        const bool isReadOnly = !m_server.member().isPrimary() || (m_transaction && m_transaction->readOnly);
        value = isReadOnly ? "on" : "off";
    }
    result.rows.push_back({value});
    return result;
}

StatementResult Session::executeDeallocate(const DeallocateStatement &statement)
{
    if (statement.tag == "DISCARD ALL" && m_state == 'T') {
        throw SqlError("25001", "DISCARD ALL cannot run inside a transaction block");
    }
    if (statement.name.empty()) {
        m_prepared.clear();
    } else {
        m_prepared.erase(statement.name);
    }
    return {{}, {}, statement.tag};
}

StatementResult Session::executeInTransaction(const Running &running)
{
    if (!m_transaction) {
        m_transaction = m_server.member().begin(false);
    }
    return executeStatement(*running.statement, running.parameters, m_server.member(), *m_transaction);
}

std::vector<ResultColumn> Session::columnsOf(const Statement &statement) const
{
    if (const auto *function = std::get_if<FunctionStatement>(&statement)) {
        return m_server.functionColumns(function->name);
    }
    if (const auto *show = std::get_if<ShowStatement>(&statement)) {
        return {{show->name}};
    }
    return resultColumns(statement, m_server.member().tables(), visibleTransaction());
}

const Transaction &Session::visibleTransaction() const
{
    static const Transaction none;
    return m_transaction ? *m_transaction : none;
}

void Session::commitImplicit()
{
    if (m_state != 'I' || !m_transaction) {
        return;
    }
    const Transaction transaction = std::move(*m_transaction);
    m_transaction.reset();
    m_server.member().commit(transaction);
    m_server.counters().commits += transaction.hasWrites() ? 1 : 0;
}

void Session::fail(const SqlError &error)
{
    if (error.sqlState() == "40001") {
        ++m_server.counters().conflicts;
    }
    pg::appendErrorResponse(m_output, error.sqlState(), error.what(), {});
    m_transaction.reset();
    m_state = m_state == 'I' ? 'I' : 'E';
    if (m_query) {
        endQuery();
    } else {
        m_skipsToSync = true;
    }
}

void Session::cancel(std::uint32_t secretKey)
{
    if (secretKey != m_secretKey || !m_isBusy || !m_server.slots().cancel(m_ticket)) {
        return;
    }
    ++m_server.counters().cancels;
    m_isBusy = false;
    m_running = Running();
    fail(SqlError("57014", "canceling statement due to user request"));
    processMessages();
}

void Session::writeRows(const StatementResult &result, const std::vector<std::uint16_t> &formats)
{
    for (const Row &row : result.rows) {
        std::string payload;
        pg::appendUint16(payload, static_cast<std::uint16_t>(row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            appendValue(payload, row[i], result.columns[i].type, formatAt(formats, i));
        }
        pg::appendMessage(m_output, 'D', payload);
    }
    pg::appendCommandComplete(m_output, result.tag);
}

void Session::writeReady()
{
    pg::appendReadyForQuery(m_output, m_state);
}

} // namespace egrettide::testing
