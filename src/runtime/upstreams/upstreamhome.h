// The home of one upstream: it alone holds the upstream's connections, decides
// who gets a slot, makes reads wait until the upstream is fresh enough, keeps
// each transaction on its own connection, and holds a write's answer back until
// the commit is confirmed. It lives on one traffic thread.

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

// Switches mechanisms off so that tests can show that each one is needed. All
// false in production.
struct UpstreamHomeFaults {
    // Acknowledges a write on the upstream's own word.
    bool skipConfirmation = false;
    // Runs reads without asking whether the upstream is fresh enough.
    bool skipFreshness = false;
};

// Bounds of a home.
struct UpstreamHomeSettings {
    std::string upstreamUser = "egrettide";
    // Transaction ids of one run of a host must not match those of another: start
    // from a random number.
    std::uint64_t firstTransaction = 1;
    // A transaction that sends nothing for this long is rolled back: it holds
    // locks and one of few connections.
    milliseconds idleTransactionTimeout{60000};
    milliseconds openTimeout{2000};
    // How long a write that a replaced primary has not answered is still waited for.
    milliseconds replacedPrimaryPatience{300};
    ConnectionBudgetOptions budget;
    // Whether connections have owners follows from the dialect.
    ConnectionPlanOptions connections;
    SlotSchedulerOptions scheduler;
    GateOptions gate;
    // Never null.
    std::shared_ptr<const UpstreamDialect> dialect = postgresDialect();
    UpstreamHomeFaults faults;
};

using CommitHandler = std::function<void(CommitOutcome)>;

struct UpstreamHomeHooks {
    // Confirms a commit that was sent under a term and after which the upstream
    // gave this status; the handler may be called from any thread.
    std::function<void(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler)> awaitCommit;
    // An answer of the upstream, told now and then; see StatementProof.
    std::function<void(const StatementProof &proof)> answered;
    // Somebody waits for a newer snapshot until then.
    std::function<void(TimePoint until)> hurry;
    // A drained home holds no data connection any more: its successor may take
    // the whole share.
    std::function<void(const HandBack &handBack)> handedBack;
};

// Counters since the start, and what is in use now.
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

// Used from the thread of its io_context alone, by shared_ptr.
class UpstreamHome : public std::enable_shared_from_this<UpstreamHome>
{
public:
    UpstreamHome(boost::asio::io_context &context, std::shared_ptr<const Configuration> configuration,
                 const DatabaseSpec &database, const UpstreamSpec &upstream, const UpstreamHomeSettings &settings,
                 UpstreamHomeHooks hooks);
    ~UpstreamHome();
    UpstreamHome(const UpstreamHome &) = delete;
    UpstreamHome &operator=(const UpstreamHome &) = delete;

    // Runs a request. `handler` is called exactly once, at the latest shortly
    // after the request's deadline. `frontKey` names the front that sent it, for
    // cancel and abandonFront.
    void execute(StatementRequest request, const std::string &frontKey, ReplyHandler handler);
    // Gives a request up: not run when it was not sent yet, else the upstream is
    // asked to cancel it and the outcome is unknown (reads: not run).
    void cancel(const std::string &frontKey, std::uint64_t id);
    // The front is gone: its requests are given up, its transactions rolled back.
    void abandonFront(const std::string &frontKey);

    void onSnapshot(const std::shared_ptr<const GroupSnapshot> &snapshot);
    // Ends the home's work when the upstream is no longer configured.
    void update(std::shared_ptr<const Configuration> configuration);

    // New writes queue from now on; `progress` gets the number of writes and
    // transactions still in progress, now and whenever it changes.
    void pauseWrites(std::function<void(std::size_t open)> progress);
    // Queued writes run, or are answered Moved when the primary changed.
    void resumeWrites();

    // Takes nothing new but batches of open transactions; `drained` is called
    // once nothing is in progress and the connections are closed.
    void drain(std::function<void()> drained);
    // Ends a drain: this host is home again.
    void takeBack();
    // Gives everything up at once.
    void close();

    // What other hosts say about the place of home; see ConnectionBudget.
    void confirmedHome(TimePoint askedAt);
    void handedBack(const HandBack &handBack);
    void onClockGap();

    UpstreamHomeStats stats() const;

private:
    using Connection = UpstreamPool::Connection;
    using RequestMap = std::unordered_map<Ticket, HomeRequest>;

    // Admission.
    std::optional<Error> refusalOf(const StatementRequest &request) const;
    std::optional<Error> transactionRefusal(const StatementRequest &request, const std::string &frontKey) const;
    std::optional<Error> primaryRefusal() const;
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
    void tellAnswer(const HomeRequest &pending, const BatchAnswer &answer);
    bool provesLead(const HomeRequest &pending) const;
    std::optional<Error> refusalIn(const HomeRequest &pending, const BatchAnswer &answer) const;
    void onWholeAnswer(Ticket ticket, BatchAnswer answer);
    void settleConnection(Ticket ticket, char state);
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

    // Time.
    void settle();
    std::size_t freeSlots() const;
    std::string ownerOf(const StatementRequest &request) const;
    std::vector<std::string_view> ownersWaiting() const;
    void flushOutbox();
    void onTimer();
    void giveUpOverdue(TimePoint now);
    void giveUpOnReplacedPrimary(TimePoint now);
    void followAllowance(TimePoint now);
    void shedSurplus(TimePoint now);
    void shedTransaction(std::uint64_t id);
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
    // The number of transactions that the scheduler was last told to allow.
    int m_transactionPlaces = 1;
    SlotScheduler m_scheduler;

    Ticket m_lastTicket = 0;
    std::uint64_t m_nextTransaction = 1;
    RequestMap m_pending;
    // Tickets that have a slot and wait to be sent, in order of admission. May
    // name tickets that have ended meanwhile.
    std::deque<Ticket> m_ready;
    // Exactly the tickets in AwaitingFreshness, by recheckAt.
    std::set<std::pair<TimePoint, Ticket>> m_rechecks;
    std::map<std::uint64_t, HomeTransaction> m_transactions;
    // Answers to hand out once the state is consistent again: handlers may call
    // back into this home.
    std::vector<std::pair<ReplyHandler, StatementReply>> m_outbox;
    // Invariant while settle() runs: true when something may have become possible
    // since the last step of it.
    bool m_unsettled = false;
    bool m_settling = false;

    Timer m_timer;
    TimePoint m_armedFor = TimePoint::max();
    // Until when a replaced primary may still answer what it was sent.
    TimePoint m_patienceUntil = TimePoint::max();
    // Set while writes are paused.
    std::function<void(std::size_t)> m_progress;
    std::optional<std::size_t> m_reportedOpen;
    // Set while draining.
    std::function<void()> m_drained;
    bool m_draining = false;
    bool m_closed = false;
    // Rollbacks on behalf of lost fronts that still run.
    std::size_t m_rollbacks = 0;

    // When the group's observer is next told of an answer, and of one that proves the lead.
    TimePoint m_tellAt;
    TimePoint m_tellLeadAt;
    std::uint64_t m_sent = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_unknown = 0;
    std::uint64_t m_notFresh = 0;
};

} // namespace egrettide
