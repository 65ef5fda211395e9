// The transitions of requests. Every transition to a final state goes through close(),
// which removes the request, so a second final answer is impossible.

#include "egrettide/core/requestledger.h"

#include <string>
#include <utility>

namespace egrettide
{

namespace
{

Error invalidInput(std::string message)
{
    return {ErrorKind::InvalidInput, std::move(message), milliseconds{0}};
}

Error unknownOutcomeError(const RequestFacts &facts, std::string_view cause)
{
    Error error;
    error.kind = ErrorKind::UnknownOutcome;
    error.message = "The request was sent and its answer was lost: " + std::string(cause) + ". ";
    const bool harmless = facts.idempotent || facts.kind == StatementKind::Read;
    error.message += harmless ? "Running it again is harmless." : "Check whether it took effect before you retry.";
    return error;
}

Error notSentError(milliseconds retryAfter)
{
    Error error;
    error.kind = ErrorKind::Moved;
    error.message = "Not run: the connection to the upstream is gone. Retry in " + std::to_string(retryAfter.count()) + " ms.";
    error.retryAfter = retryAfter;
    return error;
}

RequestState finalState(const std::optional<Error> &error)
{
    if (!error) {
        return RequestState::Confirmed;
    }
    return outcomeOf(error->kind) == Outcome::NotRun ? RequestState::Refused : RequestState::Unknown;
}

} // namespace

RequestLedger::RequestLedger(const LedgerFaults &faults) : m_faults(faults)
{
}

tl::expected<void, Error> RequestLedger::open(const RequestFacts &facts)
{
    const bool isNew = m_entries.try_emplace(facts.id, Entry{facts, RequestState::Queued, 0, 0, false}).second;
    if (!isNew) {
        return tl::unexpected(invalidInput("The request is open already; give each request a unique id."));
    }
    m_deadlines.emplace(std::make_pair(facts.deadline, facts.id), true);
    return {};
}

tl::expected<AttemptId, Error> RequestLedger::send(std::uint64_t id, HopId hop)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.state != RequestState::Queued) {
        return tl::unexpected(invalidInput("Only a queued request can be sent; this one was sent already or is closed."));
    }
    Entry &entry = found->second;
    entry.state = RequestState::Sent;
    entry.attempt = m_nextAttempt++;
    entry.hop = hop;
    m_attempts.emplace(entry.attempt, id);
    m_hops[hop].emplace(entry.attempt, id);
    return entry.attempt;
}

RequestLedger::Entry *RequestLedger::current(AttemptId attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        return nullptr;
    }
    const auto entry = m_entries.find(found->second);
    return entry == m_entries.end() ? nullptr : &entry->second;
}

LedgerAction RequestLedger::drop()
{
    ++m_dropped;
    return {};
}

void RequestLedger::detach(Entry &entry)
{
    if (!m_faults.acceptAnyAttempt) {
        m_attempts.erase(entry.attempt);
    }
    const auto hop = m_hops.find(entry.hop);
    if (hop == m_hops.end()) {
        return;
    }
    hop->second.erase(entry.attempt);
    if (hop->second.empty()) {
        m_hops.erase(hop);
    }
}

LedgerAction RequestLedger::close(Entry &entry, LedgerAction::Kind kind, std::optional<Error> error)
{
    LedgerAction action;
    action.kind = kind;
    action.id = entry.facts.id;
    action.state = finalState(error);
    action.error = std::move(error);
    m_deadlines.erase(std::make_pair(entry.facts.deadline, action.id));
    m_entries.erase(action.id);
    return action;
}

LedgerAction RequestLedger::requeue(Entry &entry)
{
    entry.state = RequestState::Queued;
    return {LedgerAction::Kind::Retry, entry.facts.id, entry.state, std::nullopt, std::nullopt};
}

bool RequestLedger::mayRunTwice(const RequestFacts &facts)
{
    // Within a transaction even a read can't be repeated elsewhere: the snapshot and the
    // locks of the transaction were lost with its connection.
    return !facts.inTransaction && (facts.idempotent || facts.kind == StatementKind::Read);
}

bool RequestLedger::mayResend(const Entry &entry, TimePoint now) const
{
    if (m_faults.resendSent) {
        return true;
    }
    return mayRunTwice(entry.facts) && now < entry.facts.deadline;
}

LedgerAction RequestLedger::answered(AttemptId attempt, bool needsConfirmation)
{
    Entry *entry = current(attempt);
    if (entry == nullptr || entry->state != RequestState::Sent) {
        return drop();
    }
    detach(*entry);
    if (needsConfirmation) {
        entry->state = RequestState::Answered;
        return {LedgerAction::Kind::Hold, entry->facts.id, entry->state, std::nullopt, std::nullopt};
    }
    return close(*entry, LedgerAction::Kind::Deliver, std::nullopt);
}

LedgerAction RequestLedger::notRun(AttemptId attempt, const Error &error, bool mayRetryElsewhere, TimePoint now)
{
    Entry *entry = current(attempt);
    if (entry == nullptr || entry->state != RequestState::Sent) {
        return drop();
    }
    detach(*entry);
    if (mayRetryElsewhere && !entry->facts.inTransaction && now < entry->facts.deadline) {
        return requeue(*entry);
    }
    return close(*entry, LedgerAction::Kind::Fail, finalError(*entry, error));
}

LedgerAction RequestLedger::lost(AttemptId attempt, const Error &error, TimePoint now)
{
    Entry *entry = current(attempt);
    if (entry == nullptr || entry->state != RequestState::Sent) {
        return drop();
    }
    detach(*entry);
    entry->mayHaveRun = true;
    if (mayResend(*entry, now)) {
        return requeue(*entry);
    }
    return close(*entry, LedgerAction::Kind::Fail, finalError(*entry, error));
}

Error RequestLedger::finalError(const Entry &entry, const Error &error)
{
    // If an earlier attempt may have run, a refusal of the last one must not report that
    // the request did not run: the caller would retry and the effect be applied twice.
    if (entry.mayHaveRun && outcomeOf(error.kind) == Outcome::NotRun) {
        Error unknown = unknownOutcomeError(entry.facts, error.message);
        unknown.retryAfter = error.retryAfter;
        return unknown;
    }
    return error;
}

LedgerAction RequestLedger::confirmed(std::uint64_t id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.state != RequestState::Answered) {
        return drop();
    }
    return close(found->second, LedgerAction::Kind::Deliver, std::nullopt);
}

LedgerAction RequestLedger::unconfirmed(std::uint64_t id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.state != RequestState::Answered) {
        return drop();
    }
    Error error = unknownOutcomeError(found->second.facts, "no majority confirmed the commit in time");
    return close(found->second, LedgerAction::Kind::Fail, std::move(error));
}

std::vector<LedgerAction> RequestLedger::hopBroken(HopId hop, milliseconds retryAfter, TimePoint now)
{
    std::vector<LedgerAction> actions;
    const auto found = m_hops.find(hop);
    if (found == m_hops.end()) {
        return actions;
    }
    const auto attempts = found->second;
    for (const auto &[attempt, id] : attempts) {
        Error error = unknownOutcomeError(m_entries.find(id)->second.facts, "the connection broke");
        error.retryAfter = retryAfter;
        actions.push_back(lost(attempt, error, now));
    }
    return actions;
}

LedgerAction RequestLedger::notSent(AttemptId attempt, milliseconds retryAfter, TimePoint now)
{
    return notRun(attempt, notSentError(retryAfter), true, now);
}

LedgerAction RequestLedger::refuse(std::uint64_t id, const Error &error)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.state != RequestState::Queued) {
        return drop();
    }
    return close(found->second, LedgerAction::Kind::Fail, finalError(found->second, error));
}

LedgerAction RequestLedger::giveUp(std::uint64_t id, const Error &reason)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return drop();
    }
    Entry &entry = found->second;
    if (entry.state == RequestState::Queued) {
        return close(entry, LedgerAction::Kind::Fail, finalError(entry, reason));
    }
    // The answer may still arrive, and the next request on this connection would receive
    // it, so the connection must be closed.
    std::optional<HopId> hopToClose;
    if (entry.state == RequestState::Sent) {
        detach(entry);
        if (!m_faults.keepConnection) {
            hopToClose = entry.hop;
        }
    }
    Error error = unknownOutcomeError(entry.facts, reason.message);
    error.retryAfter = reason.retryAfter;
    LedgerAction action = close(entry, LedgerAction::Kind::Fail, std::move(error));
    action.hopToClose = hopToClose;
    return action;
}

std::vector<std::uint64_t> RequestLedger::overdue(TimePoint now) const
{
    std::vector<std::uint64_t> ids;
    for (const auto &[key, unused] : m_deadlines) {
        if (key.first > now) {
            break;
        }
        ids.push_back(key.second);
    }
    return ids;
}

TimePoint RequestLedger::nextDeadline() const
{
    return m_deadlines.empty() ? TimePoint::max() : m_deadlines.begin()->first.first;
}

std::optional<RequestState> RequestLedger::state(std::uint64_t id) const
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return found->second.state;
}

std::size_t RequestLedger::size() const
{
    return m_entries.size();
}

std::uint64_t RequestLedger::dropped() const
{
    return m_dropped;
}

} // namespace egrettide
