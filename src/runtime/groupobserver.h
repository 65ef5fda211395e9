// Watches one database group on the control thread: probes all members in
// rounds, publishes what the rounds prove, confirms commits, and, when the
// primary is lost, takes the group through a promotion. The decisions are those
// of GroupMonitor, CommitGate, Promoter and Switchover; this part gives them
// time and answers, and carries their actions out.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"
#include "egrettide/core/request.h"
#include "egrettide/core/types.h"
#include "runtime/groupcontrol.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

// What became of a commit that waits for its confirmation.
enum class CommitResult {
    // A majority holds it under its own term: it survives any promotion.
    Confirmed,
    // The group moved to a higher term first; the commit may or may not survive.
    LostPrimary,
    // No majority was heard of in time.
    Expired,
};

// The store's record of a group: a hint that lasts, never the proof.
struct GroupRecord {
    Term term = 0;
    std::string primary;
    // Who holds or held the claim to promote at `term`.
    std::string token;
};

// What the observer needs from the rest of the daemon. All hooks are called on
// the control thread and must not block; their handlers may be called from any
// thread, once each. Unset hooks count as "no answer".
struct GroupObserverHooks {
    // A new snapshot; called on the control thread.
    std::function<void(std::shared_ptr<const GroupSnapshot>)> published;
    // Asks the other homes of the group whether they suspect `upstream` too. The
    // handler gets how many of the `asked` others agree; `asked` includes homes
    // that did not answer.
    std::function<void(const std::string &database, const std::string &upstream, TimePoint deadline,
                       std::function<void(std::size_t agreeing, std::size_t asked)>)>
        askOpinions;
    // Writes the claim to promote at `claim.term` by compare-and-set. The handler
    // gets the record now in force (the claim itself when it won), or an error
    // when the store did not answer.
    std::function<void(const std::string &database, const GroupRecord &claim, TimePoint deadline,
                       std::function<void(tl::expected<GroupRecord, Error>)>)>
        claim;
    // Writes down a finished promotion, best effort.
    std::function<void(const std::string &database, const GroupRecord &record)> record;
    // Tells the other hosts of a finished promotion, best effort.
    std::function<void(const std::string &database, Term term, const std::string &primary)> announce;
    // Pauses or resumes new writes at the home of the group's primary; `paused`
    // is followed by a call of the handler once no write is in progress.
    std::function<void(const std::string &upstream, std::function<void()> quiet)> pauseWrites;
    std::function<void(const std::string &upstream)> resumeWrites;
};

// Rhythm of an observer.
struct GroupObserverSettings {
    // Names this host in promises; must be unique among running hosts.
    std::string hostName;
    // Between rounds while nobody waits for one.
    milliseconds idleInterval{100};
    // Between rounds while commits or reads wait.
    milliseconds busyInterval{2};
    // After which a probe counts as lost.
    milliseconds probeTimeout{1000};
    // A timer that fires this much later than asked means that the host slept.
    milliseconds clockGap{500};
    std::uint32_t seed = 1;
};

// Used from the control thread, but for the calls that say otherwise.
class GroupObserver : public std::enable_shared_from_this<GroupObserver>
{
public:
    using CommitHandler = std::function<void(CommitResult)>;

    static std::shared_ptr<GroupObserver> create(boost::asio::io_context &control, DatabaseSpec database,
                                                 GroupObserverSettings settings, GroupObserverHooks hooks);
    ~GroupObserver();
    GroupObserver(const GroupObserver &) = delete;
    GroupObserver &operator=(const GroupObserver &) = delete;

    void start();
    // Ends all rounds; commits that wait are answered Expired.
    void stop();
    void update(const DatabaseSpec &database);

    // From any thread: `handler` is called once on the control thread, at the
    // latest shortly after `deadline`.
    void awaitCommit(LogMark mark, TimePoint deadline, CommitHandler handler);
    // From any thread: somebody waits for a newer view until `deadline`.
    void hurry(TimePoint deadline);

    // This host's own opinion, for other homes that ask.
    bool suspects(const std::string &upstream) const;
    // Another host finished a promotion: a round starts at once.
    void onAnnounce(Term term, const std::string &primary);
    // Moves the primary to `to` with no failed write; only the primary's home may
    // be asked, since it alone can hold its writes back.
    void switchover(const std::string &to, std::function<void(tl::expected<void, Error>)> handler);

    // The newest snapshot; from any thread.
    std::shared_ptr<const GroupSnapshot> snapshot() const;

private:
    class Impl;
    explicit GroupObserver(std::unique_ptr<Impl> impl);

    std::unique_ptr<Impl> m_impl;
};

// The hint that fronts get with every answer.
GroupHint hintOf(const GroupSnapshot &snapshot, TimePoint now);

} // namespace egrettide
