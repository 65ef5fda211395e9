// Chooses, at a front, the upstream for each request from the newest hints that
// homes sent, and the next one after a refusal. It guesses; homes decide. It
// counts where reads went and why.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"
#include "egrettide/core/request.h"
#include "egrettide/core/types.h"

#include <absl/container/flat_hash_map.h>
#include <tl/expected.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace egrettide
{

// Why a request went to the primary.
enum class PrimaryReason {
    // Not proven to read.
    NotRead,
    // BEGIN without READ ONLY, or inside such a transaction.
    Transaction,
    // No replica had replayed the floor, or was predicted to in time.
    Floor,
    // No replica could show a state within the accepted age.
    Age,
    // No replica could show a state confirmed since the receipt.
    Latest,
    // The replicas had no slot in time.
    Capacity,
    // The replicas do not answer, are leaving, or follow another term.
    Health,
    // The database has no replica.
    NoReplica,
};
constexpr std::size_t primaryReasonCount = 8;

std::string_view nameOf(PrimaryReason reason);
std::ostream &operator<<(std::ostream &out, PrimaryReason reason);

enum class RoutingPolicy {
    // Replicas serve whatever they can prove, waiting briefly if that pays.
    Replicas,
    // The naive policy to measure against: reads that ask for `latest` (unknown
    // sessions among them), and reads whose floor or age no hint already proves,
    // go to the primary at once.
    Baseline,
};

struct RouterOptions {
    // The availability zone of this host.
    std::string zone;
    RoutingPolicy policy = RoutingPolicy::Replicas;
    // The cost of another zone, added to its upstreams' expected waits.
    std::chrono::microseconds crossZoneCost{2000};
    // An upstream of the own zone with a longer wait competes with other zones.
    milliseconds localWaitLimit{2};
    // A replica whose home refused or lost a read is left out for this long.
    milliseconds avoidFor{200};
    // What an upstream's own home says of its health outweighs other homes' for
    // this long: a cut-off home calls everybody else unreachable.
    milliseconds ownHintPrecedence{1000};
    // A replica that turned a read away for its position is left out of such reads for
    // this long, twice as long each time it does so again, up to the second; its next
    // answer ends it.
    //
    // What goes wrong without: both replicas are seconds behind and the primary is full.
    // Every read asks all three in vain, and is told that no state is fresh enough instead
    // of when to come back: 1,200 such refusals in 16 s at 150 reads a second.
    milliseconds behindFor{20};
    milliseconds behindForLongest{640};
    // What another home says of a replica, or its own said long ago, may be old news: from
    // this age on it is not held against the replica.
    milliseconds hintValidity{500};
    // The most upstreams that one request is sent to.
    int maxAttempts = 6;
};

// Reads by where they went. Each read counts once, for its first answer that was
// not a refusal or for its last refusal.
struct RoutingCounters {
    std::uint64_t readsByReplica = 0;
    // By PrimaryReason.
    std::array<std::uint64_t, primaryReasonCount> readsByPrimary{};
    std::uint64_t writes = 0;
    std::uint64_t retries = 0;

    std::uint64_t readsByPrimaryTotal() const;
    // Between 0 and 1; 0 before the first read.
    double replicaShare() const;
};

// Where to send a request.
struct Route {
    std::string upstream;
    bool primary = false;
    // Set for requests that go to the primary.
    std::optional<PrimaryReason> reason;
};

// The last reply goes to the caller: nothing is left to try, or trying again
// could run the request twice.
//
// What goes wrong without `instead`: an idempotent request is lost on its way to
// one upstream and refused by the next one. Its caller would read "not run" from
// the refusal although the first upstream may have run it.
struct Finish {
    // The error to give in place of the reply's own.
    std::optional<Error> instead;
};

using RouteDecision = std::variant<Route, Finish>;

// What one request has tried so far; the front keeps it beside the request and
// hands it back.
class RouteAttempts
{
public:
    struct Try {
        std::string upstream;
        // The group's term as known when it was tried: after a change of primary an
        // upstream may be tried once more.
        Term term = 0;
        bool primary = false;
        // Set once it was refused or lost.
        std::optional<ErrorKind> refusal;
    };

    // The upstream that holds the request now; empty before the first.
    std::string_view current() const;
    bool tried(std::string_view upstream, Term term) const;
    // Forgets what was tried, for a request that waits for a primary and then goes
    // round again. Keeps whether an attempt ended without a known outcome: a plain
    // new object would let a later refusal claim that nothing ran.
    //
    // The new round asks one home only for a primary that is still unknown, another one in
    // each round: all of them were asked in the first, and each asking is a hop and a turn
    // of its home's processor.
    void startOver();
    // Rounds begun after the first.
    std::size_t roundsBegunAgain() const;
    // Each upstream tried since the request last started over and what became of it,
    // such as "m1:not_fresh m2:overloaded"; for logs.
    std::string history() const;

private:
    friend class Router;

    std::vector<Try> m_tries;
    // Why the last upstream refused it.
    std::optional<PrimaryReason> m_refusal;
    // The reason of the current route.
    std::optional<PrimaryReason> m_routeReason;
    // True while other members' homes may be asked for the primary.
    bool m_askOthers = true;
    // True once an attempt ended without a known outcome; never false again.
    bool m_outcomeUnknown = false;
    std::size_t m_roundsBegunAgain = 0;
};

// Takes one retry from the budget; false when it is used up.
using SpendRetryHook = std::function<bool(TimePoint now)>;

using PrimaryLearnedHook = std::function<void(const std::string &database)>;

class Router
{
public:
    // Without a hook every retry is allowed. `learned` is called, from within learn(), when a
    // database's primary has become known or another one.
    explicit Router(RouterOptions options, SpendRetryHook spendRetry = {}, PrimaryLearnedHook learned = {});
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    // Takes zones, upstreams and leaving flags; forgets what left.
    void configure(const Configuration &configuration);

    // Takes a hint that came with an answer of the home of `upstream`; only that
    // home knows the upstream's queue, so `expectedWait` of others is not taken.
    // A hint of a lower term is dropped: it would send writes to a replaced primary.
    void learn(const GroupHint &hint, std::string_view upstream, TimePoint now);

    // The first upstream for a request. Inside a transaction the front does not
    // ask: the request stays where the transaction is. NoPrimary or UnknownDatabase
    // when there is nobody to send to.
    tl::expected<Route, Error> choose(const StatementRequest &request, RouteAttempts &attempts, TimePoint now,
                                      std::mt19937_64 &random);

    // What to do with a reply: learns its hint, and after a refusal names the next
    // upstream if the request may run again. A request that left for an upstream is
    // never sent again unless it is proven to read or idempotent, and a request of
    // an open transaction never.
    RouteDecision afterReply(const StatementRequest &request, const StatementReply &reply, RouteAttempts &attempts, TimePoint now,
                             std::mt19937_64 &random);

    // Counts a read inside a transaction, which the router did not route.
    void countPinnedRead(std::string_view database, std::string_view upstream);

    // The primary as last heard of; empty when unknown.
    std::string primary(std::string_view database) const;
    Term term(std::string_view database) const;
    const RoutingCounters &counters() const;

private:
    // See RouterOptions::behindFor.
    struct NotFreshBackoff {
        TimePoint until;
        // How long it was last left out; 0 since its last answer to such a read.
        milliseconds duration{0};
    };
    struct Member {
        std::string zone;
        // As the configuration says.
        bool leaving = false;
        MemberHint hint;
        TimePoint learnedAt;
        bool known = false;
        // When its own home last answered for it.
        std::optional<TimePoint> ownHintAt;
        // Reads leave it out before this moment.
        TimePoint avoidUntil;
        // Reads of a session's own writes turned it away, or reads of any young state:
        // a replica may be too far behind for the ones and not for the others.
        NotFreshBackoff floorBackoff;
        NotFreshBackoff ageBackoff;
        // Entries replayed a second, smoothed over hints; 0 when unknown.
        double replayRate = 0;
    };
    struct Group {
        // Never falls.
        Term term = 0;
        std::string primary;
        milliseconds replicaWait{0};
        // By name of the upstream.
        absl::flat_hash_map<std::string, Member> members;
        // Names in the order of the configuration, so that choices are reproducible.
        std::vector<std::string> order;
    };
    struct Candidate {
        std::string upstream;
        std::chrono::microseconds wait{0};
        bool local = false;
    };

    // One choice's inputs.
    struct ChoiceContext {
        const Group &group;
        const StatementRequest &request;
        const RouteAttempts &attempts;
        TimePoint now;
    };

    static bool readsOnly(StatementKind kind);
    const Group *group(std::string_view database) const;
    void learnMember(Member &member, const MemberHint &hint, bool fromOwnHome, TimePoint now) const;
    void extendBackoff(NotFreshBackoff &backoff, TimePoint now) const;
    void noteRefusal(const StatementRequest &request, const StatementReply &reply, const std::string &upstream, TimePoint now);
    static bool isBackedOff(const StatementRequest &request, const Member &member, TimePoint now);
    static bool isHealthy(const Member &member, TimePoint now);
    Route route(const Group &group, RouteAttempts &attempts, std::string upstream, std::optional<PrimaryReason> reason) const;
    std::optional<Route> replicaRoute(const ChoiceContext &context, RouteAttempts &attempts, std::mt19937_64 &random,
                                      PrimaryReason &reason) const;
    std::optional<Route> primaryRoute(const ChoiceContext &context, RouteAttempts &attempts,
                                      std::optional<PrimaryReason> reason) const;
    std::optional<Route> untriedReplicaRoute(const ChoiceContext &context, RouteAttempts &attempts) const;
    std::optional<PrimaryReason> exclusionReason(const ChoiceContext &context, const Member &member) const;
    std::optional<PrimaryReason> baselineExclusionReason(const ChoiceContext &context, const Member &member) const;
    static std::chrono::microseconds floorWait(const ChoiceContext &context, const Member &member);
    Candidate candidate(const ChoiceContext &context, const std::string &upstream, const Member &member) const;
    const Candidate &pick(const std::vector<Candidate> &all, std::mt19937_64 &random) const;
    static bool consumesRetryBudget(ErrorKind kind);
    static bool mayRunAgain(const StatementRequest &request, const StatementReply &reply, TimePoint now);
    PrimaryReason refusalReason(const StatementRequest &request, const StatementReply &reply, std::string_view upstream) const;
    Finish finish(const StatementRequest &request, const StatementReply &reply, const RouteAttempts &attempts);

    RouterOptions m_options;
    SpendRetryHook m_spendRetry;
    PrimaryLearnedHook m_learned;
    absl::flat_hash_map<std::string, Group> m_groups;
    RoutingCounters m_counters;
};

} // namespace egrettide
