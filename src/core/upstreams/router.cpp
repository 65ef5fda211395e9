// Router: the choice of an upstream, and the decision after a refusal. The state of each
// upstream is kept in routermembers.cpp.

#include "egrettide/core/router.h"

#include <algorithm>
#include <numeric>
#include <ostream>

namespace egrettide
{

namespace
{

using std::chrono::microseconds;

constexpr milliseconds noPrimaryRetryAfter{200};
// Waits that differ by less count as equal, since hints are older than that.
constexpr microseconds equalWaitMargin{1000};

std::string keyOf(std::string_view name)
{
    return std::string(name);
}

Error noPrimary(std::string_view database)
{
    return Error{ErrorKind::NoPrimary,
                 "No upstream of " + std::string(database) + " is known that accepts this request; it did not run, try again.",
                 noPrimaryRetryAfter};
}

} // namespace

bool Router::readsOnly(StatementKind kind)
{
    return kind == StatementKind::Read || kind == StatementKind::BeginReadOnly;
}

std::string_view nameOf(PrimaryReason reason)
{
    switch (reason) {
    case PrimaryReason::NotRead:
        return "not_read";
    case PrimaryReason::Transaction:
        return "transaction";
    case PrimaryReason::Floor:
        return "floor";
    case PrimaryReason::Age:
        return "age";
    case PrimaryReason::Latest:
        return "latest";
    case PrimaryReason::Capacity:
        return "capacity";
    case PrimaryReason::Health:
        return "health";
    case PrimaryReason::NoReplica:
        break;
    }
    return "no_replica";
}

std::ostream &operator<<(std::ostream &out, PrimaryReason reason)
{
    return out << nameOf(reason);
}

std::uint64_t RoutingCounters::readsByPrimaryTotal() const
{
    return std::accumulate(readsByPrimary.begin(), readsByPrimary.end(), std::uint64_t{0});
}

double RoutingCounters::replicaShare() const
{
    const std::uint64_t all = readsByReplica + readsByPrimaryTotal();
    return all == 0 ? 0 : static_cast<double>(readsByReplica) / static_cast<double>(all);
}

std::string_view RouteAttempts::current() const
{
    return m_tries.empty() ? std::string_view() : std::string_view(m_tries.back().upstream);
}

bool RouteAttempts::tried(std::string_view upstream, Term term) const
{
    return std::any_of(m_tries.begin(), m_tries.end(),
                       [&](const Try &each) { return each.upstream == upstream && each.term >= term; });
}

void RouteAttempts::startOver()
{
    m_tries.clear();
    m_refusal.reset();
    m_routeReason.reset();
    m_askOthers = true;
    ++m_extraRounds;
}

std::size_t RouteAttempts::extraRounds() const
{
    return m_extraRounds;
}

std::string RouteAttempts::history() const
{
    std::string text;
    for (const Try &each : m_tries) {
        text += text.empty() ? "" : " ";
        text += each.upstream;
        if (each.refusal) {
            text += ':';
            text += nameOf(*each.refusal);
        }
    }
    return text;
}

Router::Router(RouterOptions options, SpendRetryHook spendRetry, PrimaryLearnedHook learned)
    : m_options(std::move(options)), m_spendRetry(std::move(spendRetry)), m_learned(std::move(learned))
{
}

void Router::configure(const Configuration &configuration)
{
    absl::flat_hash_map<std::string, Group> groups;
    for (const DatabaseSpec &spec : configuration.databases) {
        Group &next = groups[spec.name];
        if (const Group *known = group(spec.name)) {
            next = *known;
        }
        next.replicaWait = spec.replicaWait;
        next.order.clear();
        absl::flat_hash_map<std::string, Member> members;
        for (const UpstreamSpec &upstream : spec.upstreams) {
            Member &member = members[upstream.name];
            member = next.members[upstream.name];
            member.zone = upstream.zone;
            member.leaving = upstream.leaving;
            next.order.push_back(upstream.name);
        }
        next.members = std::move(members);
        if (!next.members.contains(next.primary)) {
            next.primary.clear();
        }
    }
    m_groups = std::move(groups);
}

const Router::Group *Router::group(std::string_view database) const
{
    const auto found = m_groups.find(keyOf(database));
    return found == m_groups.end() ? nullptr : &found->second;
}

tl::expected<Route, Error> Router::choose(const StatementRequest &request, RouteAttempts &attempts, TimePoint now,
                                          std::mt19937_64 &random)
{
    const Group *found = group(request.database);
    if (found == nullptr) {
        return tl::unexpected(Error{ErrorKind::UnknownDatabase,
                                    "There is no database service " + request.database + "; check the name.", milliseconds{0}});
    }
    const ChoiceContext context{*found, request, attempts, now};
    std::optional<Route> route;
    if (readsOnly(request.kind) && !request.needsPrimary) {
        PrimaryReason reason = PrimaryReason::NoReplica;
        route = replicaRoute(context, attempts, random, reason);
        route = route ? route : primaryRoute(context, attempts, reason);
        route = route ? route : untriedReplicaRoute(context, attempts);
    } else {
        const bool begins = request.kind == StatementKind::Begin;
        const bool reads = readsOnly(request.kind);
        const PrimaryReason reason = begins ? PrimaryReason::Transaction : PrimaryReason::NotRead;
        route = primaryRoute(context, attempts, reads ? PrimaryReason::Latest : reason);
    }
    if (!route) {
        return tl::unexpected(noPrimary(request.database));
    }
    return *route;
}

Route Router::route(const Group &group, RouteAttempts &attempts, std::string upstream, std::optional<PrimaryReason> reason) const
{
    const bool primary = upstream == group.primary;
    attempts.m_tries.push_back(RouteAttempts::Try{upstream, group.term, primary, std::nullopt});
    attempts.m_routeReason = reason;
    return Route{std::move(upstream), primary, reason};
}

// A replica that is expected to serve the read in time. If there is none, sets `reason`.
std::optional<Route> Router::replicaRoute(const ChoiceContext &context, RouteAttempts &attempts, std::mt19937_64 &random,
                                          PrimaryReason &reason) const
{
    std::vector<Candidate> fit;
    std::optional<PrimaryReason> why = context.attempts.m_refusal;
    for (const std::string &name : context.group.order) {
        if (name == context.group.primary) {
            continue;
        }
        if (context.attempts.tried(name, context.group.term)) {
            continue;
        }
        const Member &member = context.group.members.at(name);
        if (const auto obstacle = exclusionReason(context, member)) {
            // Any other reason takes precedence over Health: it tells more about why the
            // read went to the primary.
            why = why && *why != PrimaryReason::Health ? why : obstacle;
            continue;
        }
        fit.push_back(candidate(context, name, member));
    }
    reason = why.value_or(PrimaryReason::NoReplica);
    if (fit.empty()) {
        return std::nullopt;
    }
    return route(context.group, attempts, pick(fit, random).upstream, std::nullopt);
}

std::optional<Route> Router::primaryRoute(const ChoiceContext &context, RouteAttempts &attempts,
                                          std::optional<PrimaryReason> reason) const
{
    const Group &group = context.group;
    if (!group.primary.empty() && !context.attempts.tried(group.primary, group.term)) {
        return route(group, attempts, group.primary, reason);
    }
    const bool mayBeReplica = readsOnly(context.request.kind) && !context.request.needsPrimary;
    if (!context.attempts.m_askOthers || mayBeReplica) {
        return std::nullopt;
    }
    // Any home of the group may know the primary and name it in the hint of its refusal.
    const std::size_t round = context.attempts.extraRounds();
    if (round > 0 && !context.attempts.m_tries.empty()) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < group.order.size(); ++i) {
        const std::string &name = group.order[(round + i) % group.order.size()];
        if (!context.attempts.tried(name, group.term)) {
            return route(group, attempts, name, reason);
        }
    }
    return std::nullopt;
}

// The last option for a read: an untried replica that was excluded only by prediction or
// after a recent failure, and may be able to serve the read after all.
std::optional<Route> Router::untriedReplicaRoute(const ChoiceContext &context, RouteAttempts &attempts) const
{
    for (const std::string &name : context.group.order) {
        const Member &member = context.group.members.at(name);
        const bool usable = isHealthy(member, TimePoint::max()) && !isBackedOff(context.request, member, context.now);
        if (usable && name != context.group.primary && !context.attempts.tried(name, context.group.term)) {
            return route(context.group, attempts, name, std::nullopt);
        }
    }
    return std::nullopt;
}

Router::Candidate Router::candidate(const ChoiceContext &context, const std::string &upstream, const Member &member) const
{
    Candidate result;
    result.upstream = upstream;
    result.local = member.zone == m_options.zone;
    result.wait = member.hint.expectedWait + floorWait(context, member);
    if (!result.local) {
        result.wait += m_options.crossZoneCost;
    }
    return result;
}

// The better of two random candidates, from the own zone while one of its candidates is
// within localWaitLimit. If all fronts chose the best candidate, they would overload each
// upstream in turn.
const Router::Candidate &Router::pick(const std::vector<Candidate> &all, std::mt19937_64 &random) const
{
    std::vector<const Candidate *> pool;
    for (const Candidate &each : all) {
        if (each.local && each.wait <= m_options.localWaitLimit) {
            pool.push_back(&each);
        }
    }
    if (pool.empty()) {
        std::transform(all.begin(), all.end(), std::back_inserter(pool), [](const Candidate &each) { return &each; });
    }
    std::vector<const Candidate *> two;
    std::sample(pool.begin(), pool.end(), std::back_inserter(two), 2, random);
    std::shuffle(two.begin(), two.end(), random);
    if (two.size() == 2 && two[1]->wait + equalWaitMargin < two[0]->wait) {
        return *two[1];
    }
    return *two[0];
}

// The retry budget limits retries after overload or lost answers, which add load. Retries
// after refusals such as Moved are limited by the number of upstreams; charging them to
// the budget would fail requests after every change of primary.
bool Router::consumesRetryBudget(ErrorKind kind)
{
    return kind == ErrorKind::Overloaded || kind == ErrorKind::ConnectionLimit || kind == ErrorKind::UnknownOutcome;
}

bool Router::mayRunAgain(const StatementRequest &request, const StatementReply &reply, TimePoint now)
{
    const bool harmless = readsOnly(request.kind) || (request.idempotent && request.kind == StatementKind::Write);
    const bool sent = reply.sent || outcomeOf(reply.error->kind) != Outcome::NotRun;
    if (request.transaction != 0 || now >= request.deadline || (sent && !harmless)) {
        return false;
    }
    switch (reply.error->kind) {
    case ErrorKind::Moved:
    case ErrorKind::Leaving:
        return true;
    case ErrorKind::NoPrimary:
    case ErrorKind::NotFresh:
        return readsOnly(request.kind) || reply.error->kind == ErrorKind::NoPrimary;
    case ErrorKind::Overloaded:
    case ErrorKind::ConnectionLimit:
        return readsOnly(request.kind);
    case ErrorKind::UnknownOutcome:
        return true;
    default:
        return false;
    }
}

// A NotFresh reply does not carry its reason, so this derives it from the request.
PrimaryReason Router::refusalReason(const StatementRequest &request, const StatementReply &reply, std::string_view upstream) const
{
    switch (reply.error->kind) {
    case ErrorKind::Overloaded:
    case ErrorKind::ConnectionLimit:
        return PrimaryReason::Capacity;
    case ErrorKind::NotFresh:
        break;
    default:
        return PrimaryReason::Health;
    }
    const Group *found = group(request.database);
    const auto member = found->members.find(keyOf(upstream));
    const auto &floor = request.freshness.floor;
    if (floor && member != found->members.end() && member->second.hint.replayed < *floor) {
        return PrimaryReason::Floor;
    }
    if (request.freshness.latest) {
        return PrimaryReason::Latest;
    }
    return request.freshness.maxAge ? PrimaryReason::Age : PrimaryReason::Floor;
}

RouteDecision Router::afterReply(const StatementRequest &request, const StatementReply &reply, RouteAttempts &attempts,
                                 TimePoint now, std::mt19937_64 &random)
{
    const std::string upstream(attempts.current());
    learn(reply.hint, upstream, now);
    if (group(request.database) == nullptr) {
        return finish(request, reply, attempts);
    }
    noteRefusal(request, reply, upstream, now);
    if (!reply.error) {
        return finish(request, reply, attempts);
    }
    const ErrorKind kind = reply.error->kind;
    if (!attempts.m_tries.empty()) {
        attempts.m_tries.back().refusal = kind;
    }
    if (reply.sent || outcomeOf(kind) == Outcome::Unknown) {
        attempts.m_outcomeUnknown = true;
    }
    attempts.m_refusal = refusalReason(request, reply, upstream);
    attempts.m_askOthers = kind == ErrorKind::Moved || kind == ErrorKind::Leaving || kind == ErrorKind::NoPrimary;
    const bool full = attempts.m_tries.size() >= static_cast<std::size_t>(m_options.maxAttempts);
    if (full || !mayRunAgain(request, reply, now)) {
        return finish(request, reply, attempts);
    }
    RouteAttempts next = attempts;
    const auto chosen = choose(request, next, now, random);
    if (!chosen || (consumesRetryBudget(kind) && m_spendRetry && !m_spendRetry(now))) {
        return finish(request, reply, attempts);
    }
    attempts = std::move(next);
    ++m_counters.retries;
    return *chosen;
}

Finish Router::finish(const StatementRequest &request, const StatementReply &reply, const RouteAttempts &attempts)
{
    if (!readsOnly(request.kind)) {
        ++m_counters.writes;
    } else if (!attempts.m_tries.empty() && attempts.m_tries.back().primary) {
        const auto reason = attempts.m_routeReason.value_or(PrimaryReason::NoReplica);
        ++m_counters.readsByPrimary[static_cast<std::size_t>(reason)];
    } else {
        ++m_counters.readsByReplica;
    }
    const bool misleading = reply.error && attempts.m_outcomeUnknown && outcomeOf(reply.error->kind) == Outcome::NotRun;
    if (!misleading) {
        return Finish{};
    }
    return Finish{Error{ErrorKind::UnknownOutcome,
                        "An earlier attempt of this request was lost after it had been sent, and the next one was refused; check "
                        "whether it ran before you send it again.",
                        milliseconds{0}}};
}

void Router::countPinnedRead(std::string_view database, std::string_view upstream)
{
    if (primary(database) == upstream) {
        ++m_counters.readsByPrimary[static_cast<std::size_t>(PrimaryReason::Transaction)];
    } else {
        ++m_counters.readsByReplica;
    }
}

std::string Router::primary(std::string_view database) const
{
    const Group *found = group(database);
    return found == nullptr ? std::string() : found->primary;
}

Term Router::term(std::string_view database) const
{
    const Group *found = group(database);
    return found == nullptr ? 0 : found->term;
}

const RoutingCounters &Router::counters() const
{
    return m_counters;
}

} // namespace egrettide
