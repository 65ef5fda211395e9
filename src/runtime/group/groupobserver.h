// Observes one database group on the control thread: probes all members in
// rounds, publishes what the rounds prove, confirms commits and, when the primary
// is lost, runs a promotion. GroupMonitor, CommitGate, Promoter and Switchover make
// the decisions; the observer passes timer events and answers to them and executes
// their actions.

#pragma once

#include "egrettide/core/commitgate.h"
#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"
#include "egrettide/core/groupmonitor.h"
#include "egrettide/core/promoter.h"
#include "egrettide/core/switchover.h"
#include "egrettide/core/types.h"
#include "runtime/group/groupcontrol.h"
#include "runtime/upstreams/upstreamdialect.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace egrettide
{

// The question that a home sends to another home before a promotion: does that home
// suspect the primary too?
struct OpinionQuestion {
    std::string database;
    // The upstream whose home is asked.
    std::string home;
    // The suspected primary, empty when there is none, and its term.
    std::string primary;
    Term term = 0;
};

// What the observer needs from the rest of the daemon. All hooks are called on
// the control thread and must not block; their handlers may be called from any
// thread. An unset hook is treated as one that never answers.
struct GroupObserverHooks {
    // Called with every new snapshot.
    std::function<void(std::shared_ptr<const GroupSnapshot>)> published;
    // Asks the home of `question.home` on another host. The handler may remain uncalled
    // when no answer arrives by `deadline`.
    std::function<void(const OpinionQuestion &question, TimePoint deadline, std::function<void(bool agrees)> handler)> askOpinion;
    // Reads the group's record. The handler gets nothing when the store did not answer
    // by `deadline`, and an empty record of version 0 when there is no record.
    std::function<void(const std::string &database, TimePoint deadline,
                       std::function<void(const std::optional<VersionedRecord> &)> handler)>
        readRecord;
    // Writes the record if it still has `expectedVersion`.
    std::function<void(const std::string &database, std::uint64_t expectedVersion, const GroupRecord &record, TimePoint deadline,
                       std::function<void(const ClaimAnswer &)> handler)>
        claimRecord;
    // Stores a completed promotion unless the store holds a record of a higher term
    // (see RecordInStore); best effort.
    std::function<void(const std::string &database, const GroupRecord &record)> writeRecord;
    // Announces a completed promotion to the other hosts; best effort.
    std::function<void(const std::string &database, Term term, const std::string &primary)> announce;
    // Pauses new writes at the home of `upstream` on this host. `progress` receives the
    // number of writes and transactions in progress, at once and on every change, until
    // writes are resumed.
    std::function<void(const std::string &upstream, std::function<void(std::size_t open)> progress)> pauseWrites;
    std::function<void(const std::string &upstream)> resumeWrites;
    // Called when the clock of this process had a gap.
    std::function<void()> clockGap;
};

struct GroupObserverSettings {
    // Unique for each start of each host; see PromoterIdentity.
    std::string incarnation;
    // The database user of control connections.
    std::string upstreamUser = "egrettide";
    // The upper bound on one probe, independent of the monitor.
    milliseconds probeTimeout{1000};
    // The upper bound on one fence, promote or follow call.
    milliseconds controlTimeout{500};
    // The upper bounds on answers of the store and of other homes.
    milliseconds storeTimeout{200};
    milliseconds opinionTimeout{300};
    // A timer that fires later than this after its time shows that the process was suspended.
    milliseconds clockGap{500};
    std::uint64_t seed = 1;
    // Never null.
    std::shared_ptr<const UpstreamDialect> dialect = postgresDialect();
    GroupMonitorOptions monitor;
    PromoterOptions promoter;
    SwitchoverOptions switchover;
    CommitGateFaults commitFaults;
};

// Used from the control thread only, except for functions marked "from any thread".
class GroupObserver
{
public:
    using CommitHandler = std::function<void(CommitOutcome)>;
    using DoneHandler = std::function<void(tl::expected<void, Error>)>;

    // `homes` are the group's upstreams that this host is the home of; not empty.
    GroupObserver(boost::asio::io_context &control, const DatabaseSpec &database, const std::set<std::string> &homes,
                  const GroupObserverSettings &settings, GroupObserverHooks hooks);
    ~GroupObserver();
    GroupObserver(const GroupObserver &) = delete;
    GroupObserver &operator=(const GroupObserver &) = delete;

    void start();
    // Ends all rounds. Waiting commits end with LostPrimary: their outcome is unknown.
    void stop();
    void update(const DatabaseSpec &database, const std::set<std::string> &homes);

    // From any thread: defers an answer until its commit is confirmed; see CommitGate::add.
    // `handler` is called once on the control thread, shortly after `deadline` at the latest.
    void awaitCommit(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler);
    // From any thread: requests frequent rounds until then, because a caller waits for a
    // newer view.
    void requestRounds(TimePoint until);
    // From any thread: an upstream of this host answered a statement.
    void onStatementAnswer(const StatementProof &proof);
    // From any thread: the newest snapshot, never null.
    std::shared_ptr<const GroupSnapshot> snapshot() const;

    // Returns whether this host suspects the primary too, as the answer to another home.
    bool agrees(const OpinionQuestion &question);
    // Another host completed a promotion: writes go to the new primary at once, and a round
    // starts that verifies it.
    void onAnnounce(Term term, const std::string &primary);
    // Moves the primary to `to` without failing a write. Fails with Moved unless this host
    // is the primary's home, the only host that can pause its writes.
    void switchover(const std::string &to, DoneHandler handler);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace egrettide
