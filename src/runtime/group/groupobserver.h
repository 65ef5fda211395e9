// Watches one database group on the control thread: probes all members in
// rounds, publishes what the rounds prove, confirms commits, and, when the
// primary is lost, takes the group through a promotion. The decisions are those
// of GroupMonitor, CommitGate, Promoter and Switchover; this part gives them
// time and answers, and carries their actions out.

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

// What one home asks another one before it promotes: do you, too, hold that the
// group needs a new primary?
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
// thread. An unset hook counts as one that never answers.
struct GroupObserverHooks {
    // A new snapshot.
    std::function<void(std::shared_ptr<const GroupSnapshot>)> published;
    // Asks the home of `question.home` on another host. The handler need not be
    // called when no answer comes by `deadline`.
    std::function<void(const OpinionQuestion &question, TimePoint deadline, std::function<void(bool agrees)> handler)> askOpinion;
    // Reads the group's record; nothing when the store did not answer by
    // `deadline`, an empty record of version 0 when there is none.
    std::function<void(const std::string &database, TimePoint deadline,
                       std::function<void(const std::optional<VersionedRecord> &)> handler)>
        readRecord;
    // Writes the record if it still has `expectedVersion`.
    std::function<void(const std::string &database, std::uint64_t expectedVersion, const GroupRecord &record, TimePoint deadline,
                       std::function<void(const ClaimAnswer &)> handler)>
        claimRecord;
    // Writes down a finished promotion unless a record of a higher term stands
    // there (see RecordInStore), best effort.
    std::function<void(const std::string &database, const GroupRecord &record)> writeRecord;
    // Tells the other hosts of a finished promotion, best effort.
    std::function<void(const std::string &database, Term term, const std::string &primary)> announce;
    // Holds back new writes at the home of `upstream` on this host. `progress`
    // gets the number of writes and transactions in progress, now and whenever it
    // changes, until writes are resumed.
    std::function<void(const std::string &upstream, std::function<void(std::size_t open)> progress)> pauseWrites;
    std::function<void(const std::string &upstream)> resumeWrites;
    // The clock of this process had a gap.
    std::function<void()> clockGap;
};

struct GroupObserverSettings {
    // Unique among hosts and among starts of one host; see PromoterIdentity.
    std::string incarnation;
    // The user of control connections.
    std::string upstreamUser = "egrettide";
    // After which a probe counts as lost, whatever the monitor says.
    milliseconds probeTimeout{1000};
    // The bound on one fence, promote or follow call.
    milliseconds controlTimeout{500};
    // The bounds on answers of the store and of other homes.
    milliseconds storeTimeout{200};
    milliseconds opinionTimeout{300};
    // A timer that fires this much late means that the process stood still.
    milliseconds clockGap{500};
    std::uint64_t seed = 1;
    // Never null.
    std::shared_ptr<const UpstreamDialect> dialect = postgresDialect();
    GroupMonitorOptions monitor;
    PromoterOptions promoter;
    SwitchoverOptions switchover;
    CommitGateFaults commitFaults;
};

// Used from the control thread, but for the calls that say otherwise.
class GroupObserver
{
public:
    using CommitHandler = std::function<void(CommitOutcome)>;
    using DoneHandler = std::function<void(tl::expected<void, Error>)>;

    // `homes` are the upstreams of the group whose home this host is; not empty.
    GroupObserver(boost::asio::io_context &control, const DatabaseSpec &database, const std::set<std::string> &homes,
                  const GroupObserverSettings &settings, GroupObserverHooks hooks);
    ~GroupObserver();
    GroupObserver(const GroupObserver &) = delete;
    GroupObserver &operator=(const GroupObserver &) = delete;

    void start();
    // Ends all rounds; commits that wait are answered LostPrimary, as unknown.
    void stop();
    void update(const DatabaseSpec &database, const std::set<std::string> &homes);

    // From any thread: holds an answer, see CommitGate::add. `handler` is called
    // once on the control thread, at the latest shortly after `deadline`.
    void awaitCommit(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler);
    // From any thread: somebody waits for a newer view until then.
    void requestRounds(TimePoint until);
    // From any thread: an upstream of this host answered a statement.
    void onStatementAnswer(const StatementProof &proof);
    // From any thread: the newest snapshot, never null.
    std::shared_ptr<const GroupSnapshot> snapshot() const;

    // This host's own opinion, for other homes that ask.
    bool agrees(const OpinionQuestion &question);
    // Another host finished a promotion: writes go there at once, and a round
    // starts that proves it or not.
    void onAnnounce(Term term, const std::string &primary);
    // Moves the primary to `to` without a failed write; refused with Moved unless
    // this host is the primary's home, which alone can hold its writes back.
    void switchover(const std::string &to, DoneHandler handler);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace egrettide
