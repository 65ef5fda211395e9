// The home of one upstream: it alone holds the upstream's connections, decides
// who gets a slot, makes reads wait until the upstream is fresh enough, keeps
// each transaction on its own connection, and holds a write's answer back until
// the commit is confirmed. It lives on one traffic thread.

#pragma once

#include "egrettide/core/commitgate.h"
#include "egrettide/core/configuration.h"
#include "egrettide/core/connectionbudget.h"
#include "egrettide/core/freshnessgate.h"
#include "egrettide/core/request.h"
#include "egrettide/core/slotscheduler.h"
#include "egrettide/core/types.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

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
    SlotSchedulerOptions scheduler;
    GateOptions gate;
    UpstreamHomeFaults faults;
};

using CommitHandler = std::function<void(CommitOutcome)>;

struct UpstreamHomeHooks {
    // Confirms a commit that was sent under a term and after which the upstream
    // gave this status; the handler may be called from any thread.
    std::function<void(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler)> awaitCommit;
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

// Used from the thread of its io_context alone.
class UpstreamHome
{
public:
    UpstreamHome(boost::asio::io_context &context, std::shared_ptr<const Configuration> configuration,
                 const std::string &database, const std::string &upstream, const UpstreamHomeSettings &settings,
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
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace egrettide
