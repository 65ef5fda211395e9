// Takes one request of a caller to its one answer: chooses upstreams, hands the
// request to their homes, tries again where that cannot run it twice, and waits
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
    // Gets the reply and the name of the upstream that it came from, on the thread
    // of the shard and possibly before `start` has returned.
    using DoneHandler = std::function<void(StatementReply reply, const std::string &upstream)>;

    // `request.upstream` is set for a request of an open transaction and for no other.
    RequestRunner(std::shared_ptr<TrafficShard> shard, StatementRequest request, DoneHandler done);
    RequestRunner(const RequestRunner &) = delete;
    RequestRunner &operator=(const RequestRunner &) = delete;

    void start();
    // Ends a wait at once and asks the home to stop what it has. The answer still comes.
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
    milliseconds pauseBeforeNextLook() const;
    void waitForPrimary(StatementReply refusal);
    void lookAgain();
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
    // with another id is late and must not be taken for the answer.
    std::uint64_t m_outstanding = 0;
    int m_sends = 0;
    // Counts waits for a primary, so that the news that ended one do not end the next.
    std::size_t m_waits = 0;
    bool m_waiting = false;
    // True once a sending has ended without the proof that nothing ran: whatever ends the
    // request later must not be told as "not run".
    bool m_mayHaveRun = false;
    bool m_canceled = false;
    bool m_finished = false;
    // Runs the wait for a primary, or guards an outstanding execution.
    Timer m_timer;
};

// Ends a transaction that its caller can no longer end: the home would otherwise
// keep a connection and the transaction's locks until its own timeout.
void rollBackAtHome(TrafficShard &shard, StatementRequest request);

} // namespace egrettide::detail
