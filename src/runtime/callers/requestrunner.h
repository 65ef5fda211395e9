// Runs one request of a caller until it has exactly one answer: chooses upstreams,
// sends the request to their homes, retries where this cannot run it twice, and waits
// for a new primary while there is none.

#pragma once

#include "egrettide/core/request.h"
#include "egrettide/core/router.h"
#include "runtime/callers/trafficshard.h"
#include "runtime/host/timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace egrettide::detail
{

// Lives on the thread of its shard; kept alive by its own outstanding work.
class RequestRunner : public std::enable_shared_from_this<RequestRunner>
{
public:
    // Receives the reply and the name of the upstream that answered, on the thread of
    // the shard and possibly before `start` has returned.
    using DoneHandler = std::function<void(StatementReply reply, const std::string &upstream)>;

    // `request.upstream` is set only for a request of an open transaction.
    RequestRunner(std::shared_ptr<TrafficShard> shard, StatementRequest request, DoneHandler done);
    RequestRunner(const RequestRunner &) = delete;
    RequestRunner &operator=(const RequestRunner &) = delete;

    void start();
    // Ends a wait for a primary immediately, or asks the home to cancel the outstanding
    // execution. `done` is still called.
    void cancel();

private:
    bool isPinned() const;
    void admit(std::function<void()> admitted);
    void choose();
    void send();
    void onReply(std::uint64_t id, StatementReply reply);
    void onLateReply(const StatementReply &reply);
    void onOverdue(std::uint64_t id);
    bool mayWaitForPrimary(const Error &error, bool sent) const;
    milliseconds nextRetryDelay() const;
    void waitForPrimary(StatementReply refusal);
    void retryAfterWait();
    void finishWith(Error error);
    void finish(StatementReply reply);
    void observe(const StatementReply &reply) const;

    std::shared_ptr<TrafficShard> m_shard;
    StatementRequest m_request;
    DoneHandler m_done;
    TimePoint m_startedAt;
    RouteAttempts m_attempts;
    Route m_route;
    // The id of the execution that is outstanding, 0 while there is none. A reply
    // with another id is late and must not be used as the answer.
    std::uint64_t m_outstanding = 0;
    int m_sends = 0;
    // Number of waits for a primary, so that a callback of an earlier wait does not end a
    // later one.
    std::size_t m_waitCount = 0;
    bool m_waiting = false;
    // True once an attempt ended without proof that nothing ran: a later failure of the
    // request must not be reported as "not run".
    bool m_mayHaveRun = false;
    bool m_canceled = false;
    bool m_finished = false;
    // Bounds the wait for a primary or for the reply to the outstanding execution.
    Timer m_timer;
};

// Rolls back a transaction that its caller can no longer end: the home would otherwise
// keep a connection and the transaction's locks until its own timeout.
void rollBackAtHome(TrafficShard &shard, StatementRequest request);

} // namespace egrettide::detail
