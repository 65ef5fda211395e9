// Splits streams into batches, plans batches and composes their answers.

#include "wire/batchassembler.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

namespace egrettide::pg
{

namespace
{

// Bounds the memory that the statements of one session use in the front.
constexpr std::size_t maxStatements = 4096;
constexpr std::size_t maxIdleBufferBytes = std::size_t{16} * 1024;
constexpr std::size_t contentNameBytes = 16;
constexpr std::string_view contentPrefix = "egr_";
constexpr std::string_view probePortal = "egr_probe";
constexpr std::string_view missingPortal = "egr_missing";
constexpr std::string_view unknownStatementSqlState = "26000";

Error invalid(std::string text)
{
    return Error{ErrorKind::InvalidInput, std::move(text), milliseconds{0}};
}

Error unsupported(std::string text)
{
    return Error{ErrorKind::Unsupported, std::move(text), milliseconds{0}};
}

bool isExtended(char type)
{
    return type == 'P' || type == 'B' || type == 'D' || type == 'E' || type == 'C';
}

// True for COPY data outside a COPY. As in PostgreSQL it is ignored, since a failed COPY
// leaves it in the stream.
bool isStrayCopyData(char type)
{
    return type == 'd' || type == 'c' || type == 'f';
}

// Uses a cryptographic hash, because tenants share connections: with forgeable
// collisions, one tenant could make another run a different text.
std::string contentNameOf(std::string_view text, std::string_view parameterTypes)
{
    std::string input;
    input.reserve(text.size() + 1 + parameterTypes.size());
    appendCString(input, text);
    input.append(parameterTypes);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(input.data(), input.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string name(contentPrefix);
    for (std::size_t i = 0; i < contentNameBytes; ++i) {
        name.push_back(digits[digest[i] >> 4U]);
        name.push_back(digits[digest[i] & 0xfU]);
    }
    return name;
}

std::string message(char type, std::string_view payload = {})
{
    std::string out;
    appendMessage(out, type, payload);
    return out;
}

std::function<std::string()> constantAnswer(char type)
{
    return [type] { return message(type); };
}

std::string describeLocal(const LocalStatement &statement, bool withParameters)
{
    std::string out;
    if (withParameters) {
        std::string none;
        appendUint16(none, 0);
        appendMessage(out, 't', none);
    }
    if (statement.columns.empty()) {
        appendMessage(out, 'n', {});
    } else {
        appendRowDescription(out, statement.columns);
    }
    return out;
}

} // namespace

BatchAssembler::BatchAssembler(std::size_t maxBatchBytes) : m_maxBatchBytes(maxBatchBytes)
{
}

void BatchAssembler::feed(std::string_view bytes)
{
    m_fedBytes += bytes.size();
    m_reader.feed(bytes);
}

tl::expected<std::optional<StartupMessage>, Error> BatchAssembler::nextStartup()
{
    return m_reader.nextStartup();
}

tl::expected<std::optional<Message>, Error> BatchAssembler::nextMessage()
{
    return m_reader.next();
}

bool BatchAssembler::isMidBatch() const
{
    return pendingBytes() > 0;
}

std::size_t BatchAssembler::pendingBytes() const
{
    return m_reader.buffered() + m_current.bytes;
}

tl::expected<std::optional<CallerBatch>, Error> BatchAssembler::next()
{
    while (true) {
        auto read = m_reader.next();
        if (!read) {
            return tl::unexpected(read.error());
        }
        if (!*read) {
            releaseBuffer();
            return std::nullopt;
        }
        auto batch = addMessage(std::move(**read));
        if (!batch || *batch) {
            return batch;
        }
    }
}

// Frees the reader's buffer, which otherwise keeps the size of the largest batch so far.
void BatchAssembler::releaseBuffer()
{
    if (m_reader.buffered() > 0) {
        return;
    }
    if (m_fedBytes > maxIdleBufferBytes) {
        m_reader = FrameReader();
    }
    m_fedBytes = 0;
}

tl::expected<std::optional<CallerBatch>, Error> BatchAssembler::addMessage(Message message)
{
    const char type = message.type;
    if (isStrayCopyData(type)) {
        return std::nullopt;
    }
    if (type == 'S') {
        return finishBatch(BatchEnd::Sync);
    }
    if (type == 'H') {
        return m_current.messages.empty() ? std::optional<CallerBatch>() : *finishBatch(BatchEnd::Flush);
    }
    if (type == 'X') {
        // Messages that no Sync follows are not run.
        m_current = {};
        return finishBatch(BatchEnd::Terminate);
    }
    if ((type == 'Q' || type == 'F') && !m_current.messages.empty()) {
        return tl::unexpected(
            invalid("A simple query or function call was received before the Sync of an extended batch; send Sync first."));
    }
    if (type != 'Q' && type != 'F' && !isExtended(type)) {
        return tl::unexpected(invalid("A message of an unknown type was received; connect with a PostgreSQL v3 driver."));
    }
    m_current.bytes += message.payload.size() + sizeof(Message);
    if (m_current.bytes > m_maxBatchBytes) {
        return tl::unexpected(invalid("A batch is larger than this host accepts; send Sync more often or smaller values."));
    }
    m_current.messages.push_back(std::move(message));
    if (type == 'Q') {
        return finishBatch(BatchEnd::Query);
    }
    if (type == 'F') {
        return finishBatch(BatchEnd::FunctionCall);
    }
    return std::nullopt;
}

tl::expected<std::optional<CallerBatch>, Error> BatchAssembler::finishBatch(BatchEnd end)
{
    std::optional<CallerBatch> batch(std::move(m_current));
    m_current = {};
    batch->end = end;
    return batch;
}

// Builds one plan, during a call of `SessionStatements::plan`.
class PlanBuilder
{
public:
    PlanBuilder(const SessionStatements &session, const LocalHook &localHook) : m_session(session), m_localHook(localHook)
    {
    }

    tl::expected<BatchPlan, Error> build(const CallerBatch &batch)
    {
        m_plan.end = batch.end;
        if (preparesAny(batch)) {
            addProbe();
        }
        for (const Message &message : batch.messages) {
            auto added = add(message);
            if (!added) {
                return tl::unexpected(added.error());
            }
        }
        removeUnneededProbe();
        const bool isLocal = m_plan.batch.empty() && m_plan.prepared.empty();
        if (!isLocal && batch.end != BatchEnd::Query) {
            // A Flush is sent to the upstream as a Sync; its ReadyForQuery is dropped later.
            appendMessage(m_plan.batch, 'S', {});
        }
        return std::move(m_plan);
    }

private:
    using Added = tl::expected<void, Error>;

    static bool preparesAny(const CallerBatch &batch)
    {
        return std::any_of(batch.messages.begin(), batch.messages.end(),
                           [](const Message &message) { return message.type == 'P' && !message.payload.starts_with('\0'); });
    }

    void addProbe()
    {
        ReplyStep step;
        step.kind = ReplyStep::Kind::Probe;
        m_plan.steps.push_back(std::move(step));
        std::string payload(1, 'P');
        appendCString(payload, probePortal);
        appendMessage(m_plan.batch, 'C', payload);
    }

    // Removes the probe when it is the only message for the upstream.
    void removeUnneededProbe()
    {
        const bool hasProbe = !m_plan.steps.empty() && m_plan.steps.front().kind == ReplyStep::Kind::Probe;
        const auto isUpstreamStep = [](const ReplyStep &step) {
            return step.kind != ReplyStep::Kind::Local && step.kind != ReplyStep::Kind::Probe;
        };
        if (!hasProbe || !m_plan.prepared.empty() || std::any_of(m_plan.steps.begin(), m_plan.steps.end(), isUpstreamStep)) {
            return;
        }
        m_plan.steps.erase(m_plan.steps.begin());
        m_plan.batch.clear();
    }

    Added add(const Message &message)
    {
        switch (message.type) {
        case 'Q':
            return addQuery(message);
        case 'P':
            return addParse(message);
        case 'B':
            return addBind(message);
        case 'D':
            return addDescribe(message);
        case 'E':
            return addExecute(message);
        default:
            return addClose(message);
        }
    }

    Added addQuery(const Message &message)
    {
        PayloadReader reader(message.payload);
        const auto sql = reader.cString();
        if (!sql || !reader.rest().empty()) {
            return malformed("Query");
        }
        m_plan.executed.emplace_back(*sql);
        m_plan.batch = message.bytes();
        return {};
    }

    Added addParse(const Message &message)
    {
        PayloadReader reader(message.payload);
        const auto name = reader.cString();
        const auto sql = reader.cString();
        if (!name || !sql) {
            return malformed("Parse");
        }
        if (m_session.size() >= maxStatements) {
            return tl::unexpected(Error{ErrorKind::Overloaded,
                                        "The session holds 4096 prepared statements; close some before preparing more.",
                                        milliseconds{0}});
        }
        BoundStatement prepared;
        prepared.statement = prepare(*sql, reader.rest());
        auto value = resolveLocal(std::move(prepared));
        if (!value) {
            return tl::unexpected(value.error());
        }
        ReplyStep step = localStep(constantAnswer('1'));
        const bool sentInBatch = name->empty() && !value->local;
        if (sentInBatch) {
            step.kind = ReplyStep::Kind::Parse;
            appendMessage(m_plan.batch, 'P', message.payload);
        } else if (!value->local) {
            addPrepared(*value->statement);
        }
        if (name->empty()) {
            m_unnamedInBatch = sentInBatch;
        }
        step.definesStatement = true;
        step.name = *name;
        step.value = std::move(*value);
        m_plan.steps.push_back(std::move(step));
        return {};
    }

    Added addBind(const Message &message)
    {
        PayloadReader reader(message.payload);
        const auto portal = reader.cString();
        const auto name = reader.cString();
        if (!portal || !name) {
            return malformed("Bind");
        }
        auto found = resolveLocal(statementNamed(*name));
        if (!found) {
            return tl::unexpected(found.error());
        }
        BoundStatement value = std::move(*found);
        ReplyStep step;
        if (value.local) {
            step = localStep(constantAnswer('2'));
        } else if (!value.statement) {
            step = missingStatementStep(*name);
        } else {
            step.kind = ReplyStep::Kind::Bind;
            std::string payload;
            appendCString(payload, *portal);
            appendCString(payload, upstreamName(value, *name));
            payload.append(reader.rest());
            appendMessage(m_plan.batch, 'B', payload);
        }
        step.definesPortal = true;
        step.name = *portal;
        step.value = std::move(value);
        m_plan.steps.push_back(std::move(step));
        return {};
    }

    Added addDescribe(const Message &message)
    {
        const auto target = targetOf(message);
        if (!target) {
            return malformed("Describe");
        }
        const bool isStatement = target->first == 'S';
        const auto found = isStatement ? resolveLocal(statementNamed(target->second))
                                       : tl::expected<BoundStatement, Error>(portalNamed(target->second));
        if (!found) {
            return tl::unexpected(found.error());
        }
        const BoundStatement &value = *found;
        if (value.local) {
            m_plan.steps.push_back(localStep([local = value.local, isStatement] { return describeLocal(*local, isStatement); }));
            return {};
        }
        if (isStatement && !value.statement) {
            m_plan.steps.push_back(missingStatementStep(target->second));
            return {};
        }
        ReplyStep step;
        step.kind = isStatement ? ReplyStep::Kind::DescribeStatement : ReplyStep::Kind::DescribePortal;
        std::string payload(1, target->first);
        appendCString(payload, isStatement ? upstreamName(value, target->second) : target->second);
        appendMessage(m_plan.batch, 'D', payload);
        m_plan.steps.push_back(std::move(step));
        return {};
    }

    Added addExecute(const Message &message)
    {
        PayloadReader reader(message.payload);
        const auto portal = reader.cString();
        const auto rows = reader.uint32();
        if (!portal || !rows) {
            return malformed("Execute");
        }
        const BoundStatement value = portalNamed(*portal);
        if (value.local) {
            m_plan.steps.push_back(localStep([local = value.local] { return local->execute(); }));
            return {};
        }
        if (value.statement) {
            m_plan.executed.push_back(value.statement->text);
        } else {
            m_plan.executesUnknownStatement = true;
        }
        ReplyStep step;
        step.kind = ReplyStep::Kind::Execute;
        appendMessage(m_plan.batch, 'E', message.payload);
        m_plan.steps.push_back(std::move(step));
        return {};
    }

    Added addClose(const Message &message)
    {
        const auto target = targetOf(message);
        if (!target) {
            return malformed("Close");
        }
        ReplyStep step;
        step.name = target->second;
        if (target->first == 'S') {
            m_unnamedInBatch = m_unnamedInBatch && !step.name.empty();
            // The shared statement stays with the upstream's connections.
            step.local = constantAnswer('3');
            step.definesStatement = true;
        } else if (portalNamed(target->second).local) {
            step.local = constantAnswer('3');
            step.definesPortal = true;
        } else {
            step.kind = ReplyStep::Kind::Close;
            step.definesPortal = true;
            appendMessage(m_plan.batch, 'C', message.payload);
        }
        m_plan.steps.push_back(std::move(step));
        return {};
    }

    // Asks the hook again whether the front answers a statement itself. That may have
    // changed since it was prepared, as for the COMMIT of a transaction that was lost.
    tl::expected<BoundStatement, Error> resolveLocal(BoundStatement value) const
    {
        if (!value.statement) {
            return value;
        }
        value.local.reset();
        auto local = m_localHook(value.statement->text);
        if (!local) {
            return tl::unexpected(local.error());
        }
        if (*local) {
            value.local = std::make_shared<LocalStatement>(std::move(**local));
        }
        return value;
    }

    static Added malformed(std::string_view what)
    {
        return tl::unexpected(
            invalid("The " + std::string(what) + " message is cut short or too long; connect with a PostgreSQL v3 driver."));
    }

    static ReplyStep localStep(std::function<std::string()> answer)
    {
        ReplyStep step;
        step.local = std::move(answer);
        return step;
    }

    static std::optional<std::pair<char, std::string>> targetOf(const Message &message)
    {
        PayloadReader reader(message.payload);
        const auto kind = reader.bytes(1);
        const auto name = reader.cString();
        if (!kind || !name || (kind->front() != 'S' && kind->front() != 'P')) {
            return std::nullopt;
        }
        return std::pair(kind->front(), std::string(*name));
    }

    static std::shared_ptr<const CallerStatement> prepare(std::string_view sql, std::string_view parameterTypes)
    {
        auto statement = std::make_shared<CallerStatement>();
        statement->text = sql;
        statement->contentName = contentNameOf(sql, parameterTypes);
        appendParse(statement->parseMessage, statement->contentName, sql, parameterTypes);
        return statement;
    }

    // A step for a statement that the caller has not prepared. It fails at the upstream,
    // so that the error has its place in the answer and its effect on the transaction.
    // The caller's name is not sent: it could equal a name derived from another text.
    ReplyStep missingStatementStep(std::string_view callerName)
    {
        ReplyStep step;
        step.kind = ReplyStep::Kind::DescribePortal;
        std::string payload(1, 'P');
        appendCString(payload, missingPortal);
        appendMessage(m_plan.batch, 'D', payload);
        const std::string name(callerName);
        appendErrorResponse(step.errorOverride, unknownStatementSqlState, "prepared statement \"" + name + "\" does not exist",
                            "Prepare it in this session first.");
        return step;
    }

    // The name of the statement to send to the upstream.
    std::string upstreamName(const BoundStatement &value, std::string_view callerName)
    {
        if (callerName.empty() && m_unnamedInBatch) {
            return {};
        }
        addPrepared(*value.statement);
        return value.statement->contentName;
    }

    void addPrepared(const CallerStatement &statement)
    {
        const auto isSame = [&](const PreparedStatement &other) { return other.name == statement.contentName; };
        if (std::none_of(m_plan.prepared.begin(), m_plan.prepared.end(), isSame)) {
            m_plan.prepared.push_back({statement.contentName, statement.parseMessage});
        }
    }

    BoundStatement statementNamed(std::string_view name) const
    {
        return lookUp(&ReplyStep::definesStatement, m_session.m_statements, name);
    }

    BoundStatement portalNamed(std::string_view name) const
    {
        return lookUp(&ReplyStep::definesPortal, m_session.m_portals, name);
    }

    // Names that this batch defines take precedence over those of earlier batches.
    BoundStatement lookUp(bool ReplyStep::*defines, const std::map<std::string, BoundStatement, std::less<>> &known,
                          std::string_view name) const
    {
        const auto matches = [&](const ReplyStep &step) { return step.*defines && step.name == name; };
        const auto step = std::find_if(m_plan.steps.rbegin(), m_plan.steps.rend(), matches);
        if (step != m_plan.steps.rend()) {
            return step->value;
        }
        const auto it = known.find(name);
        return it == known.end() ? BoundStatement() : it->second;
    }

    const SessionStatements &m_session;
    const LocalHook &m_localHook;
    BatchPlan m_plan;
    // True while the unnamed statement is one that this batch parses.
    bool m_unnamedInBatch = false;
};

tl::expected<BatchPlan, Error> SessionStatements::plan(const CallerBatch &batch, const LocalHook &localHook) const
{
    if (batch.end == BatchEnd::FunctionCall) {
        return tl::unexpected(unsupported("The FunctionCall message is not supported; call the function in a SELECT."));
    }
    return PlanBuilder(*this, localHook).build(batch);
}

void SessionStatements::commit(const BatchPlan &plan, std::size_t answeredSteps, bool transactionOpen)
{
    for (std::size_t i = 0; i < std::min(answeredSteps, plan.steps.size()); ++i) {
        const ReplyStep &step = plan.steps[i];
        if (!step.definesStatement && !step.definesPortal) {
            continue;
        }
        auto &names = step.definesStatement ? m_statements : m_portals;
        if (step.value.isKnown()) {
            names[step.name] = step.value;
        } else {
            names.erase(step.name);
        }
    }
    if (!transactionOpen) {
        m_portals.clear();
    }
}

void SessionStatements::forget(std::string_view name)
{
    const auto it = m_statements.find(name);
    if (it != m_statements.end()) {
        m_statements.erase(it);
    }
}

void SessionStatements::clear()
{
    m_statements.clear();
    m_portals.clear();
}

std::size_t SessionStatements::size() const
{
    return m_statements.size();
}

namespace
{

// Matches the messages of the upstream's answer with the steps of the plan.
class AnswerComposer
{
public:
    AnswerComposer(const BatchPlan &plan, const std::function<char()> &transactionState)
        : m_plan(plan), m_transactionState(transactionState)
    {
    }

    tl::expected<ComposedAnswer, Error> compose(std::string_view answer)
    {
        m_reader.feed(answer);
        while (true) {
            auto read = m_reader.next();
            if (!read) {
                return tl::unexpected(read.error());
            }
            if (!*read) {
                break;
            }
            if (!handleMessage(**read)) {
                return tl::unexpected(invalid("The upstream's answer does not match the batch; check the upstream's version."));
            }
        }
        return end(answer.empty());
    }

private:
    tl::expected<ComposedAnswer, Error> end(bool isLocal)
    {
        if (isLocal) {
            answerLocalSteps();
            finish(m_transactionState());
        }
        if (!m_isFinished || m_reader.buffered() > 0) {
            return tl::unexpected(invalid("The upstream's answer is cut short; check the upstream's version."));
        }
        return std::move(m_answer);
    }

    // Returns false when the message cannot be part of the expected answer.
    bool handleMessage(const Message &message)
    {
        if (m_isFinished) {
            return false;
        }
        switch (message.type) {
        case 'N':
        case 'A':
        case 'S':
            forward(message);
            return true;
        case 'E':
            handleError(message);
            return true;
        case 'Z':
            return handleReady(message);
        default:
            return handleStepAnswer(message);
        }
    }

    // The error belongs to the next step that the upstream answers, so the front's own
    // steps before it have succeeded, unless the home failed to prepare the statements.
    void handleError(const Message &message)
    {
        const bool hasNext = m_answer.answeredSteps < m_plan.steps.size();
        const bool failedToPrepare = hasNext && m_plan.steps[m_answer.answeredSteps].kind == ReplyStep::Kind::Probe;
        if (!m_answer.failed && !m_isWithinStep && !failedToPrepare) {
            answerLocalSteps();
        }
        const bool hasStep = m_answer.answeredSteps < m_plan.steps.size();
        if (!m_answer.failed && hasStep && !m_plan.steps[m_answer.answeredSteps].errorOverride.empty()) {
            m_answer.bytes.append(m_plan.steps[m_answer.answeredSteps].errorOverride);
        } else {
            forward(message);
        }
        m_answer.failed = true;
    }

    bool handleReady(const Message &message)
    {
        if (message.payload.size() != 1) {
            return false;
        }
        if (!m_answer.failed) {
            answerLocalSteps();
            if (m_answer.answeredSteps != m_plan.steps.size()) {
                return false;
            }
        }
        finish(message.payload.front());
        return true;
    }

    bool handleStepAnswer(const Message &message)
    {
        if (m_answer.failed) {
            return false;
        }
        if (!m_isWithinStep) {
            answerLocalSteps();
        }
        if (m_answer.answeredSteps == m_plan.steps.size()) {
            return false;
        }
        const ReplyStep::Kind kind = m_plan.steps[m_answer.answeredSteps].kind;
        const StepMatch match = matchOf(kind, message.type);
        if (match == StepMatch::No) {
            return false;
        }
        if (kind != ReplyStep::Kind::Probe) {
            forward(message);
        }
        m_isWithinStep = match == StepMatch::Part;
        m_answer.answeredSteps += match == StepMatch::End ? 1 : 0;
        return true;
    }

    enum class StepMatch { No, Part, End };

    static StepMatch matchOf(ReplyStep::Kind kind, char type)
    {
        const bool isDescription = type == 'T' || type == 'n';
        switch (kind) {
        case ReplyStep::Kind::Parse:
            return type == '1' ? StepMatch::End : StepMatch::No;
        case ReplyStep::Kind::Bind:
            return type == '2' ? StepMatch::End : StepMatch::No;
        case ReplyStep::Kind::Close:
        case ReplyStep::Kind::Probe:
            return type == '3' ? StepMatch::End : StepMatch::No;
        case ReplyStep::Kind::DescribeStatement:
            return type == 't' ? StepMatch::Part : isDescription ? StepMatch::End : StepMatch::No;
        case ReplyStep::Kind::DescribePortal:
            return isDescription ? StepMatch::End : StepMatch::No;
        case ReplyStep::Kind::Execute:
            if (type == 'D') {
                return StepMatch::Part;
            }
            return type == 'C' || type == 'I' || type == 's' ? StepMatch::End : StepMatch::No;
        case ReplyStep::Kind::Local:
            break;
        }
        return StepMatch::No;
    }

    void answerLocalSteps()
    {
        while (m_answer.answeredSteps < m_plan.steps.size()) {
            const ReplyStep &step = m_plan.steps[m_answer.answeredSteps];
            if (step.kind != ReplyStep::Kind::Local) {
                return;
            }
            m_answer.bytes.append(step.local());
            ++m_answer.answeredSteps;
        }
    }

    void forward(const Message &message)
    {
        appendMessage(m_answer.bytes, message.type, message.payload);
    }

    void finish(char state)
    {
        m_isFinished = true;
        if (m_plan.end != BatchEnd::Flush) {
            appendReadyForQuery(m_answer.bytes, state);
        }
    }

    const BatchPlan &m_plan;
    const std::function<char()> &m_transactionState;
    FrameReader m_reader;
    ComposedAnswer m_answer;
    // True between the first and the last message of the answer to one step.
    bool m_isWithinStep = false;
    bool m_isFinished = false;
};

} // namespace

tl::expected<ComposedAnswer, Error> composeAnswer(const BatchPlan &plan, std::string_view answer,
                                                  const std::function<char()> &transactionState)
{
    return AnswerComposer(plan, transactionState).compose(answer);
}

} // namespace egrettide::pg
