// Runs one request of a caller until it has exactly one answer.

#include "runtime/callers/requestrunner.h"

#include <boost/asio/dispatch.hpp>

#include <algorithm>
#include <variant>

namespace egrettide::detail
{

RequestRunner::RequestRunner(std::shared_ptr<TrafficShard> shard, StatementRequest request, DoneHandler done)
    : m_shard(std::move(shard))
    , m_request(std::move(request))
    , m_done(std::move(done))
    , m_startedAt(m_shard->now())
    , m_timer(m_shard->context)
{
}

bool RequestRunner::isPinned() const
{
    return m_request.transaction != 0;
}

void RequestRunner::start()
{
    if (isPinned()) {
        send();
        return;
    }
    admit([this] { choose(); });
}

// Checks the quota of the workspace for one more request. A transaction counts once, at its
// start. A retry of a request that may have run counts again.
void RequestRunner::admit(std::function<void()> admitted)
{
    if (m_request.tenant.empty()) {
        admitted();
        return;
    }
    const TimePoint until = std::min(m_request.deadline, m_shard->now() + m_shard->common->options.quotaTimeout);
    m_shard->common->hooks.admit(
        m_request.tenant, until, [self = shared_from_this(), admitted = std::move(admitted)](tl::expected<void, Error> granted) {
            boost::asio::dispatch(self->m_shard->context, [self, admitted, granted = std::move(granted)] {
                if (self->m_finished) {
                    return;
                }
                if (granted) {
                    admitted();
                } else {
                    self->finishWith(granted.error());
                }
            });
        });
}

void RequestRunner::choose()
{
    auto route = m_shard->router.choose(m_request, m_attempts, m_shard->now(), m_shard->random);
    if (route) {
        m_route = std::move(*route);
        m_request.upstream = m_route.upstream;
        send();
        return;
    }
    StatementReply refusal;
    refusal.error = std::move(route.error());
    if (mayWaitForPrimary(*refusal.error, false)) {
        waitForPrimary(std::move(refusal));
        return;
    }
    finish(std::move(refusal));
}

void RequestRunner::send()
{
    // Each execution has its own id, so that a late reply to an earlier one is not used as
    // the reply to this one.
    const std::uint64_t id = m_shard->common->nextRequestId.fetch_add(1);
    m_request.id = id;
    m_outstanding = id;
    ++m_sends;
    auto self = shared_from_this();
    m_timer.expires_at(m_request.deadline + m_shard->common->options.answerGrace);
    m_timer.async_wait([self, id](const boost::system::error_code &error) {
        if (!error) {
            self->onOverdue(id);
        }
    });
    auto handler = [self, id](StatementReply reply) {
        boost::asio::dispatch(self->m_shard->context,
                              [self, id, reply = std::move(reply)]() mutable { self->onReply(id, std::move(reply)); });
    };
    m_shard->common->hooks.execute(m_request, std::move(handler));
}

void RequestRunner::onReply(std::uint64_t id, StatementReply reply)
{
    if (id != m_outstanding && !m_shard->common->options.faults.acceptsLateReplies) {
        onLateReply(reply);
        return;
    }
    m_outstanding = 0;
    m_timer.cancel();
    if (isPinned()) {
        m_shard->router.learn(reply.hint, m_request.upstream, m_shard->now());
        if (m_request.kind == StatementKind::Read && !reply.error) {
            m_shard->router.countPinnedRead(m_request.database, m_request.upstream);
        }
        finish(std::move(reply));
        return;
    }
    const TimePoint now = m_shard->now();
    RouteDecision decision = m_shard->router.afterReply(m_request, reply, m_attempts, now, m_shard->random);
    auto *next = std::get_if<Route>(&decision);
    if (next != nullptr && !m_canceled) {
        m_route = std::move(*next);
        m_request.upstream = m_route.upstream;
        if (reply.sent) {
            m_mayHaveRun = true;
            admit([this] { send(); });
        } else {
            send();
        }
        return;
    }
    const auto *last = std::get_if<Finish>(&decision);
    if (last != nullptr && last->replacementError && !m_shard->common->options.faults.acceptsLastRefusal) {
        reply.error = last->replacementError;
    }
    if (reply.error && mayWaitForPrimary(*reply.error, reply.sent)) {
        waitForPrimary(std::move(reply));
        return;
    }
    finish(std::move(reply));
}

// Rolls back a transaction that a late reply reports as open. The caller has already
// received an unknown outcome and will not end it, so a connection of the upstream would
// otherwise stay in the transaction.
void RequestRunner::onLateReply(const StatementReply &reply)
{
    if (reply.transaction == 0) {
        return;
    }
    StatementRequest request = m_request;
    request.transaction = reply.transaction;
    rollBackAtHome(*m_shard, std::move(request));
}

// The home answers every request by its deadline. A missing reply means that the home or
// the link to it failed without a report; without this timeout the caller would wait
// forever.
void RequestRunner::onOverdue(std::uint64_t id)
{
    if (id != m_outstanding) {
        return;
    }
    m_outstanding = 0;
    m_shard->common->hooks.cancel(id);
    StatementReply reply;
    reply.sent = true;
    reply.error = Error{ErrorKind::UnknownOutcome, "The upstream's home did not answer in time; check whether the request ran.",
                        milliseconds{0}};
    finish(std::move(reply));
}

bool RequestRunner::mayWaitForPrimary(const Error &error, bool sent) const
{
    const bool lacksPrimary = error.kind == ErrorKind::NoPrimary || error.kind == ErrorKind::Moved;
    const bool mayRunTwice = m_request.kind == StatementKind::Read || m_request.idempotent;
    if (m_canceled || !lacksPrimary || (sent && !mayRunTwice)) {
        return false;
    }
    return m_shard->now() + m_shard->common->options.primaryRetryDelay < m_request.deadline;
}

// At most half of the remaining time, so that the last attempt can still be answered.
milliseconds RequestRunner::nextRetryDelay() const
{
    const FrontOptions &options = m_shard->common->options;
    milliseconds pause = options.primaryRetryDelay;
    for (std::size_t i = 0; i < m_attempts.extraRounds() && pause < options.maximumPrimaryRetryDelay; ++i) {
        pause *= 2;
    }
    const auto left = std::chrono::duration_cast<milliseconds>(m_request.deadline - m_shard->now());
    return std::clamp(left / 2, options.primaryRetryDelay, std::max(pause, options.primaryRetryDelay));
}

void RequestRunner::waitForPrimary(StatementReply refusal)
{
    const std::size_t wait = ++m_waitCount;
    m_shard->awaitPrimary(m_request.database, weak_from_this(), [weak = weak_from_this(), wait] {
        const auto self = weak.lock();
        if (self && self->m_waitCount == wait && self->m_waiting) {
            self->m_timer.cancel();
            self->retryAfterWait();
        }
    });
    m_waiting = true;
    m_timer.expires_after(nextRetryDelay());
    m_timer.async_wait(
        [self = shared_from_this(), wait, refusal = std::move(refusal)](const boost::system::error_code &error) mutable {
            if (self->m_finished || self->m_waitCount != wait || !self->m_waiting) {
                return;
            }
            if (error) {
                self->finish(std::move(refusal));
                return;
            }
            self->retryAfterWait();
        });
}

void RequestRunner::retryAfterWait()
{
    m_waiting = false;
    if (m_finished) {
        return;
    }
    m_attempts.startOver();
    choose();
}

void RequestRunner::cancel()
{
    m_canceled = true;
    if (m_outstanding != 0) {
        m_shard->common->hooks.cancel(m_outstanding);
        return;
    }
    finishWith(Error{ErrorKind::DeadlineExceeded, "The caller canceled the request before it was sent; send it again if needed.",
                     milliseconds{0}});
}

void RequestRunner::finishWith(Error error)
{
    StatementReply reply;
    reply.sent = m_mayHaveRun;
    reply.error = std::move(error);
    finish(std::move(reply));
}

void RequestRunner::finish(StatementReply reply)
{
    if (m_finished) {
        return;
    }
    m_finished = true;
    m_timer.cancel();
    // "Not run" may be reported only for a request that was never sent; for reads it makes
    // no difference.
    const bool claimsNotRun = reply.error && outcomeOf(reply.error->kind) == Outcome::NotRun;
    const bool trusts = m_shard->common->options.faults.acceptsLastRefusal;
    if (claimsNotRun && reply.sent && m_request.kind != StatementKind::Read && !trusts) {
        reply.error->kind = ErrorKind::UnknownOutcome;
    }
    reply.attempts = m_sends;
    if (reply.error) {
        reply.attemptHistory = m_attempts.history();
    }
    observe(reply);
    const DoneHandler done = std::move(m_done);
    m_done = nullptr;
    done(std::move(reply), m_request.upstream);
}

void RequestRunner::observe(const StatementReply &reply) const
{
    RequestObservation observation;
    observation.className = m_request.className;
    observation.tenant = m_request.tenant;
    observation.database = m_request.database;
    observation.kind = m_request.kind;
    if (reply.error) {
        observation.error = reply.error->kind;
    } else {
        observation.upstream = m_request.upstream;
    }
    observation.latency = std::chrono::duration_cast<std::chrono::microseconds>(m_shard->now() - m_startedAt);
    // Read after the reply, which may have been the first to name the primary.
    observation.byPrimary = m_shard->router.primary(m_request.database) == m_request.upstream;
    const bool reads = m_request.kind == StatementKind::Read || m_request.kind == StatementKind::BeginReadOnly;
    if (reads && observation.byPrimary) {
        const auto reason = isPinned() ? std::optional(PrimaryReason::Transaction) : m_route.reason;
        // A route without a reason was meant for a replica: this front had no information
        // yet that the upstream is the primary.
        observation.primaryReason = reason ? nameOf(*reason) : std::string_view("unlearned");
    }
    observation.attempts = m_sends;
    m_shard->common->hooks.observe(observation);
}

void rollBackAtHome(TrafficShard &shard, StatementRequest request)
{
    request.id = shard.common->nextRequestId.fetch_add(1);
    request.kind = StatementKind::Rollback;
    request.deadline = shard.now() + std::chrono::seconds(5);
    request.prepared.clear();
    request.batch = shard.common->options.rollback;
    shard.common->hooks.execute(std::move(request), [](const StatementReply &) {});
}

} // namespace egrettide::detail
