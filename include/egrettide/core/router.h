// Chooses the upstream for each request at a front, the part of a host that serves
// callers, and the next upstream after a refusal. Its choices rest on hints, the state of
// a group's members that homes attach to their replies; the homes decide by the actual
// state whether they accept a request. It also counts where reads went and why.

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
    // The statement is not known to be read-only.
    NotRead,
    // BEGIN without READ ONLY, or a read inside such a transaction.
    Transaction,
    // No replica had reached the floor, the log position that the session's reads must
    // see, or was predicted to reach it in time.
    Floor,
    // No replica had a state within the accepted age.
    Age,
    // No replica had a state confirmed since the request was received.
    Latest,
    // No replica had a free slot in time.
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
    // Reads go to replicas that meet their freshness requirement now or, as predicted,
    // after a short wait.
    Replicas,
    // The baseline for comparisons: reads that require `latest`, such as those of unknown
    // sessions, and reads whose floor or age no hint already satisfies go to the primary.
    Baseline,
};

struct RouterOptions {
    // The availability zone of this host.
    std::string zone;
    RoutingPolicy policy = RoutingPolicy::Replicas;
    // Added to the expected wait of upstreams in other zones.
    std::chrono::microseconds crossZoneCost{2000};
    // Upstreams of the own zone are preferred up to this expected wait; beyond it, they
    // compete with those of other zones.
    milliseconds localWaitLimit{2};
    // A replica gets no reads for this long after its home refused or lost one.
    milliseconds failureBackoff{200};
    // A hint of an upstream's own home takes precedence over hints of other homes for this
    // long: a home that is cut off reports all other upstreams as unreachable.
    milliseconds ownHintPrecedence{1000};
    // Exponential backoff for a replica that refused a read as not fresh: it gets no such
    // reads for the first of these durations; each further refusal doubles it, up to the
    // second. An answer to such a read ends the backoff.
    //
    // Without it, while all replicas are seconds behind and the primary is overloaded,
    // every read tries all three, and its caller gets NotFresh instead of Overloaded with
    // a time to retry: 1,200 such refusals in 16 s at 150 reads a second.
    milliseconds notFreshBackoff{20};
    milliseconds maximumNotFreshBackoff{640};
    // A hint older than this no longer excludes a replica for its floor or age, since the
    // replica may have caught up.
    milliseconds hintValidity{500};
    // The maximum number of upstreams that one request is sent to.
    int maxAttempts = 6;
};

// Requests by the upstream that served them. Each read counts once, by its first answer
// that is no refusal, or else by its last refusal.
struct RoutingCounters {
    std::uint64_t readsByReplica = 0;
    // Indexed by PrimaryReason.
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

// The last reply goes to the caller: no upstream is left to try, or another attempt could
// run the request twice.
struct Finish {
    // The error to return in place of the reply's own. Set if an idempotent request was
    // lost at one upstream and refused by the next: the refusal alone would report "not
    // run" although the first upstream may have run it.
    std::optional<Error> replacementError;
};

using RouteDecision = std::variant<Route, Finish>;

// The attempts of one request so far. The front keeps this with the request and passes it
// to each call of the router.
class RouteAttempts
{
public:
    struct Try {
        std::string upstream;
        // The term of the group that was known at the time of the attempt; in a higher
        // term, that is after a change of primary, an upstream may be tried again.
        Term term = 0;
        bool primary = false;
        // Set after a refusal or an unknown outcome.
        std::optional<ErrorKind> refusal;
    };

    // The upstream of the latest attempt; empty before the first.
    std::string_view current() const;
    bool tried(std::string_view upstream, Term term) const;
    // Begins a new round of attempts, for a request that has waited for a primary. Keeps
    // whether an attempt ended with an unknown outcome; otherwise a later refusal could
    // report that the request did not run.
    //
    // While the primary is unknown, the first round asks all homes and each further round
    // only one, a different one each time, since each attempt costs a hop and processor
    // time of the home.
    void startOver();
    // The number of rounds after the first.
    std::size_t extraRounds() const;
    // The upstreams tried in the current round with their refusals, such as
    // "m1:not_fresh m2:overloaded"; for logs.
    std::string history() const;

private:
    friend class Router;

    std::vector<Try> m_tries;
    // Why the last upstream refused the request.
    std::optional<PrimaryReason> m_refusal;
    // The reason of the current route.
    std::optional<PrimaryReason> m_routeReason;
    // True while homes of other members may be asked for the primary.
    bool m_askOthers = true;
    // True once an attempt ended with an unknown outcome; never reset.
    bool m_outcomeUnknown = false;
    std::size_t m_extraRounds = 0;
};

// Consumes one retry of the budget; returns false if there is none.
using SpendRetryHook = std::function<bool(TimePoint now)>;

using PrimaryLearnedHook = std::function<void(const std::string &database)>;

class Router
{
public:
    // Without `spendRetry` every retry is allowed. learn() calls `learned` when the primary of
    // a database becomes known or changes.
    explicit Router(RouterOptions options, SpendRetryHook spendRetry = {}, PrimaryLearnedHook learned = {});
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    // Applies zones, upstreams and leaving flags; removes upstreams that are not configured.
    void configure(const Configuration &configuration);

    // Applies a hint from a reply of the home of `upstream`. Only that home knows the queue
    // of the upstream, so `expectedWait` is ignored for other members. Hints of a lower term
    // are dropped, since they would route writes to a replaced primary.
    void learn(const GroupHint &hint, std::string_view upstream, TimePoint now);

    // The upstream for the first attempt. Not for requests inside a transaction, which stay
    // at the upstream of the transaction. NoPrimary or UnknownDatabase if there is no
    // upstream to send to.
    tl::expected<Route, Error> choose(const StatementRequest &request, RouteAttempts &attempts, TimePoint now,
                                      std::mt19937_64 &random);

    // Applies the hint of a reply and decides what follows: after a refusal, the next
    // upstream if the request may be retried. A request that reached an upstream is retried
    // only if it is read-only or idempotent; a request of an open transaction never is.
    RouteDecision afterReply(const StatementRequest &request, const StatementReply &reply, RouteAttempts &attempts, TimePoint now,
                             std::mt19937_64 &random);

    // Counts a read inside a transaction, for which choose() is not called.
    void countPinnedRead(std::string_view database, std::string_view upstream);

    // The primary by the latest hint; empty if unknown.
    std::string primary(std::string_view database) const;
    Term term(std::string_view database) const;
    const RoutingCounters &counters() const;

private:
    // The backoff of a replica after NotFresh refusals; see RouterOptions.
    struct NotFreshBackoff {
        TimePoint until;
        // The latest duration; 0 after an answer to such a read.
        milliseconds duration{0};
    };
    struct Member {
        std::string zone;
        // By the configuration.
        bool leaving = false;
        MemberHint hint;
        TimePoint learnedAt;
        bool known = false;
        // When the last hint of its own home was applied.
        std::optional<TimePoint> ownHintAt;
        // It gets no reads before this time.
        TimePoint avoidUntil;
        // Separate backoffs for reads with a floor and for reads with a maximum age, since a
        // replica may be too far behind for one kind and not for the other.
        NotFreshBackoff floorBackoff;
        NotFreshBackoff ageBackoff;
        // Log entries replayed a second, smoothed over hints; 0 if unknown.
        double replayRate = 0;
    };
    struct Group {
        // Invariant: never decreases.
        Term term = 0;
        std::string primary;
        milliseconds replicaWait{0};
        // By name of the upstream.
        absl::flat_hash_map<std::string, Member> members;
        // Names in configuration order, so that choices are reproducible.
        std::vector<std::string> order;
    };
    struct Candidate {
        std::string upstream;
        std::chrono::microseconds wait{0};
        bool local = false;
    };

    // The inputs of one choice.
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
