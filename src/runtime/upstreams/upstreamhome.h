// The home of one upstream: the only component that holds connections to it. It assigns
// the upstream's slots, delays reads until the upstream is fresh enough, keeps each
// transaction on its own connection, and holds back the answer to a write until the
// commit is confirmed. It runs on one traffic thread.

#pragma once

#include "egrettide/core/commitgate.h"
#include "egrettide/core/configuration.h"
#include "egrettide/core/connectionbudget.h"
#include "egrettide/core/freshnessgate.h"
#include "egrettide/core/groupmonitor.h"
#include "egrettide/core/request.h"
#include "egrettide/core/requestledger.h"
#include "egrettide/core/slotscheduler.h"
#include "egrettide/core/types.h"
#include "runtime/host/timer.h"
#include "runtime/upstreams/homerequest.h"
#include "runtime/upstreams/transactionids.h"
#include "runtime/upstreams/upstreamdialect.h"
#include "runtime/upstreams/upstreampool.h"
#include "runtime/upstreams/upstreamview.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace egrettide
{

// Disables mechanisms, so that tests can show that each one is needed. All false in
// production.
struct UpstreamHomeFaults {
    // Acknowledges a write without confirmation by a majority.
    bool skipConfirmation = false;
    // Runs reads without checking that the upstream is fresh enough.
    bool skipFreshness = false;
};

// Limits and timeouts of a home.
struct UpstreamHomeSettings {
    std::string upstreamUser = "egrettide";
    // Shared by all homes of a process, also by those created later. Never null.
    std::shared_ptr<TransactionIds> transactionIds = std::make_shared<TransactionIds>();
    // A transaction without a request for this long is rolled back, since it holds locks
    // and a connection.
    milliseconds idleTransactionTimeout{60000};
    milliseconds openTimeout{2000};
    // How long the home waits for outstanding writes of a replaced primary.
    milliseconds replacedPrimaryTimeout{300};
    ConnectionBudgetOptions budget;
    // The dialect determines whether connections have owners.
    ConnectionPlanOptions connections;
    SlotSchedulerOptions scheduler;
    GateOptions gate;
    // Never null.
    std::shared_ptr<const UpstreamDialect> dialect = postgresDialect();
    UpstreamHomeFaults faults;
};

using CommitHandler = std::function<void(CommitOutcome)>;

struct UpstreamHomeHooks {
    // Confirms a commit that was sent in the term `sentUnder` and after which the upstream
    // reported the status `after`. The handler may be called from any thread.
    std::function<void(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler)> awaitCommit;
    // An answer of the upstream, reported at most once per interval; see StatementProof.
    std::function<void(const StatementProof &proof)> answered;
    // A request waits for a newer snapshot until then: asks for frequent rounds.
    std::function<void(TimePoint until)> requestRounds;
    // Tells the successor that this drained home holds no data connection any more: the
    // successor may use all connections.
    std::function<void(const HandBack &handBack)> sendHandBack;
};

// Counters since the start, and the resources in use now.
struct UpstreamHomeStats {
    std::string database;
    std::string upstream;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknownOutcomes = 0;
    std::uint64_t notFresh = 0;
    std::uint64_t connectionsOpened = 0;
    std::size_t connections = 0;
    std::size_t busyConnections = 0;
    std::size_t waiting = 0;
    std::size_t transactions = 0;
};

// Owned by shared_ptr; used only from the thread of its io_context.
class UpstreamHome : public std::enable_shared_from_this<UpstreamHome>
{
public:
    UpstreamHome(boost::asio::io_context &context, std::shared_ptr<const Configuration> configuration,
                 const DatabaseSpec &database, const UpstreamSpec &upstream, const UpstreamHomeSettings &settings,
                 UpstreamHomeHooks hooks);
    ~UpstreamHome();
    UpstreamHome(const UpstreamHome &) = delete;
    UpstreamHome &operator=(const UpstreamHome &) = delete;

    // Runs a request. `handler` is called exactly once, at the latest shortly after the
    // request's deadline. `frontKey` identifies the front (the part of a host that serves
    // callers) that sent it, for cancel and abandonFront.
    void execute(StatementRequest request, const std::string &frontKey, ReplyHandler handler);
    // Gives up a request. One that was not sent yet is answered as not run. For one that
    // was sent, the upstream is asked to cancel it, and the outcome is unknown (reads:
    // not run).
    void cancel(const std::string &frontKey, std::uint64_t id);
    // The front has disconnected: gives up its requests and rolls back its transactions.
    void abandonFront(const std::string &frontKey);

    void onSnapshot(const std::shared_ptr<const GroupSnapshot> &snapshot);
    // Applies a configuration. If it no longer contains the upstream, the home ends its work.
    void update(std::shared_ptr<const Configuration> configuration);
    // An upstream that leaves gets no new request from then on, also while it is the primary. One that
    // is promoted while it leaves gets none at all. Unset for an upstream that stays.
    void endNewWorkAt(std::optional<TimePoint> end);

    // Queues new writes until resumeWrites. `progress` receives the number of writes and
    // transactions still in progress, now and after each change.
    void pauseWrites(std::function<void(std::size_t open)> progress);
    // Runs the queued writes, or answers them with Moved when the primary has changed.
    void resumeWrites();

    // Accepts only batches of open transactions from now on. `drained` is called once
    // nothing is in progress and the connections are closed.
    void drain(std::function<void()> drained);
    // Cancels a drain: this host is the home again.
    void takeBack();
    // Gives up all requests and closes all connections at once.
    void close();

    // Reports of other hosts about where the home is placed; see ConnectionBudget.
    void onHomeConfirmed(TimePoint askedAt);
    void onHandedBack(const HandBack &handBack);
    void onClockGap();

    UpstreamHomeStats stats() const;

private:
    using Connection = UpstreamPool::Connection;
    using RequestMap = std::unordered_map<Ticket, HomeRequest>;

    // Admission.
    std::optional<Error> refusalOf(const StatementRequest &request) const;
    std::optional<Error> transactionRefusal(const StatementRequest &request, const std::string &frontKey) const;
    std::optional<Error> primaryRefusal() const;
    std::optional<Error> leavingRefusal(const StatementRequest &request) const;
    void decideFreshness(Ticket ticket);
    GateDecision gateDecision(const HomeRequest &pending, TimePoint now) const;
    void awaitFreshness(Ticket ticket, TimePoint until);
    void enqueue(Ticket ticket);
    void apply(const SlotActions &actions);

    // Sending.
    void sendReady();
    bool sendOne(Ticket ticket);
    bool maySendNow(Ticket ticket);
    bool awaitsProofOfPrimary(const HomeRequest &pending) const;
    void start(Ticket ticket, const Connection &connection);
    void onAnswer(Ticket ticket, tl::expected<BatchAnswer, BatchFailure> answer);
    void askStatusAgain(Ticket ticket, BatchAnswer answer);

    // Answers.
    bool needsConfirmation(const HomeRequest &pending, const BatchAnswer &answer) const;
    void reportAnswer(const HomeRequest &pending, const BatchAnswer &answer);
    bool provesPrimary(const HomeRequest &pending) const;
    std::optional<Error> refusalIn(const HomeRequest &pending, const BatchAnswer &answer) const;
    void onWholeAnswer(Ticket ticket, BatchAnswer answer);
    void returnConnection(Ticket ticket, char state);
    void bindTransaction(HomeRequest &pending);
    void confirm(Ticket ticket, const std::optional<MemberStatus> &status);
    void onCommitOutcome(Ticket ticket, CommitOutcome outcome);
    void onLost(Ticket ticket, const BatchFailure &failure);
    std::optional<LogMark> seenBy(const HomeRequest &pending, const std::optional<MemberStatus> &status) const;

    // Ends of requests.
    void refuse(Ticket ticket, const Error &error);
    void giveUp(Ticket ticket, const Error &reason);
    void finish(Ticket ticket, std::optional<Error> error);
    void release(Ticket ticket, HomeRequest &pending, std::chrono::nanoseconds serviceTime);
    void keepTransaction(StatementReply &reply, std::uint64_t id, const std::string &frontKey) const;
    void replyTo(ReplyHandler handler, StatementReply reply, const std::string &className);
    void countReply(const StatementReply &reply);
    GroupHint hint(const std::string &className) const;

    // Transactions.
    milliseconds transactionIdleTimeout() const;
    void endTransaction(std::uint64_t id);
    void abandonTransaction(std::uint64_t id);

    // Progress, timers and limits.
    void makeProgress();
    std::size_t freeSlots() const;
    std::string ownerOf(const StatementRequest &request) const;
    std::vector<std::string_view> ownersWaiting() const;
    void flushOutbox();
    void onTimer();
    void giveUpOverdue(TimePoint now);
    void giveUpOnReplacedPrimary(TimePoint now);
    void applyAllowance(TimePoint now);
    void closeSurplus(TimePoint now);
    void closeTransaction(std::uint64_t id);
    void recheckFreshness(TimePoint now);
    void dropIdleTransactions(TimePoint now);
    TimePoint nextEventAt(TimePoint now) const;
    void armTimer();
    void reportProgress();
    std::size_t openWrites() const;
    void leaveReplacedPrimary();
    void refuseQueued(const Error &error, bool writesOnly);
    void finishDrain();
    SlotSchedulerOptions schedulerOptions() const;

    boost::asio::io_context &m_context;
    std::shared_ptr<const Configuration> m_configuration;
    DatabaseSpec m_database;
    UpstreamSpec m_upstream;
    const UpstreamHomeSettings m_settings;
    UpstreamHomeHooks m_hooks;

    UpstreamView m_view;
    RequestLedger m_ledger;
    UpstreamPool m_pool;
    // The number of transactions that was last set as the scheduler's limit.
    int m_transactionLimit = 1;
    SlotScheduler m_scheduler;

    Ticket m_lastTicket = 0;
    RequestMap m_pending;
    // Tickets that hold a slot and wait to be sent, in order of admission. May contain
    // tickets of requests that have ended.
    std::deque<Ticket> m_ready;
    // Invariant: exactly the tickets in AwaitingFreshness, ordered by recheckAt.
    std::set<std::pair<TimePoint, Ticket>> m_rechecks;
    std::map<std::uint64_t, HomeTransaction> m_transactions;
    // Replies to deliver once the state is consistent: handlers may call back into this
    // home.
    std::vector<std::pair<ReplyHandler, StatementReply>> m_outbox;
    // Invariant while makeProgress() runs: true when its loop has to run once more.
    bool m_mayProgress = false;
    bool m_makingProgress = false;

    Timer m_timer;
    TimePoint m_armedFor = TimePoint::max();
    // When the outstanding writes of a replaced primary are given up.
    TimePoint m_replacedPrimaryDeadline = TimePoint::max();
    // Set while the upstream is leaving.
    std::optional<TimePoint> m_newWorkEndsAt;
    // Set while writes are paused.
    std::function<void(std::size_t)> m_progress;
    std::optional<std::size_t> m_reportedOpen;
    // Set while draining.
    std::function<void()> m_drained;
    bool m_draining = false;
    bool m_closed = false;
    // Rollbacks of abandoned transactions that are still running.
    std::size_t m_rollbacks = 0;

    // When the next answer is reported to the group's observer, and the next one that
    // proves that the upstream is the primary.
    TimePoint m_nextAnswerReportAt;
    TimePoint m_nextPrimaryReportAt;
    std::uint64_t m_sent = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_unknown = 0;
    std::uint64_t m_notFresh = 0;
};

} // namespace egrettide
