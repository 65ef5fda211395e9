// Callers and hosts around the group model of groupmodel.h, driven by schedules. Each host
// has the real observer, gate, router and session state and its own clock; probes may be
// late or lost. Every read that the gate serves is compared with what the group actually
// acknowledged.

#pragma once

#include "groupmodel.h"

#include "egrettide/core/freshnessgate.h"
#include "egrettide/core/groupmonitor.h"
#include "egrettide/core/router.h"
#include "egrettide/core/sessionstate.h"

#include <memory>
#include <random>
#include <sstream>
#include <utility>

namespace egrettide::model
{

constexpr milliseconds replicaWait{20};

// The routing and wait policies, and whether observers start their rounds themselves.
struct Policy {
    RoutingPolicy routing = RoutingPolicy::Replicas;
    WaitPolicy wait = WaitPolicy::Predict;
    bool ownRounds = false;
};

// The mechanisms that a mutation switches off.
struct Mutation {
    GateChecks gate;
    GroupMonitorFaults monitor;
    // An arrival without a token counts as one with an empty floor.
    bool arrivalHasEmptyFloor = false;
    // The floor rises to the gate's lower bound instead of a mark taken after the read.
    bool floorFromLowerBound = false;
    // Arrivals may use confirmations from before they arrived.
    bool useEarlierConfirmations = false;
    // Confirmations since the receipt of a read replace its floor, even when the read was
    // pipelined after a write.
    bool floorSinceReceipt = false;
};

enum class Op {
    Round,
    Pass,
    Replicate,
    Replay,
    Write,
    WriteByOthers,
    Confirm,
    Acknowledge,
    Read,
    RoutedRead,
    Move,
    StartPromotion,
    Fence,
    Promote,
    Failover,
    Follow,
    Cut,
    Gap,
};

// The relative frequency of each operation in a schedule.
constexpr std::pair<Op, int> weights[] = {
    {Op::Round, 16},  {Op::Pass, 16},       {Op::Replicate, 16}, {Op::Replay, 16},    {Op::Write, 4}, {Op::WriteByOthers, 4},
    {Op::Confirm, 8}, {Op::Acknowledge, 8}, {Op::Read, 16},      {Op::RoutedRead, 8}, {Op::Move, 3},  {Op::StartPromotion, 1},
    {Op::Fence, 3},   {Op::Promote, 1},     {Op::Failover, 1},   {Op::Follow, 6},     {Op::Cut, 2},   {Op::Gap, 1}};

inline Op opAt(std::uint32_t number)
{
    int all = 0;
    for (const auto &[op, weight] : weights) {
        all += weight;
    }
    int left = static_cast<int>(number % static_cast<std::uint32_t>(all));
    for (const auto &[op, weight] : weights) {
        left -= weight;
        if (left < 0) {
            return op;
        }
    }
    return Op::Pass;
}

// One step of a schedule; the meaning of the numbers depends on the operation.
struct Command {
    Op op = Op::Pass;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
    std::uint8_t c = 0;
};

inline std::ostream &operator<<(std::ostream &out, const Command &command)
{
    return out << "{" << int(command.op) << "," << int(command.a) << "," << int(command.b) << "," << int(command.c) << "}";
}

using Schedule = std::vector<Command>;

enum class Claim { ReadYourWrites, MonotonicReads, MaxAge, Latest, History };

inline std::ostream &operator<<(std::ostream &out, Claim claim)
{
    constexpr std::string_view names[] = {"read-your-writes", "monotonic reads", "max age", "latest", "history"};
    return out << names[static_cast<std::size_t>(claim)];
}

struct Violation {
    Claim claim = Claim::History;
    std::string details;
};

struct Counts {
    std::size_t reads = 0;
    std::size_t byReplica = 0;
    std::size_t aged = 0;
    std::size_t latest = 0;
    std::size_t moves = 0;
    std::size_t acknowledged = 0;
    std::size_t terms = 0;
    // Sum over all reads of the time from hand-over to the gate until it serves them.
    Instant waited = 0;
};

// An outstanding probe: the member's status is taken at `takeAt`, its answer arrives at
// `answerAt`.
struct Probe {
    std::size_t host = 0;
    RoundId round = 0;
    std::size_t member = 0;
    Instant takeAt = 0;
    Instant answerAt = 0;
    bool lost = false;
    std::optional<MemberStatus> status;
};

// One host: an observer with its own clock.
struct Host {
    std::unique_ptr<GroupMonitor> monitor;
    std::unique_ptr<Router> router;
    std::chrono::hours offset{0};
    // Time that its clock did not count while the host was suspended.
    milliseconds lost{0};
    bool suspended = false;
    // By member: whether its probes are lost.
    std::array<bool, Group::size> cutOff{};

    TimePoint local(Instant now) const
    {
        return TimePoint(std::chrono::hours(1000) + offset - lost + milliseconds(now));
    }
};

struct PendingRead {
    StatementRequest request;
    RouteAttempts attempts;
    // False for reads that a schedule sends to a member of its choice.
    bool routed = false;
    TimePoint replicaWaitUntil;
    TimePoint floorSince;
    Instant handedOnAt = 0;
    Instant receivedAt = 0;
    // When the read runs; set once the gate serves it.
    std::optional<Instant> runAt;
    Instant decidedAt = 0;
    LogMark lowerBound;
    Term term = 0;
};

// A caller: its session state, and what it actually wrote and saw.
struct Caller {
    std::size_t host = 0;
    std::unique_ptr<SessionState> state;
    Instant arrivedAt = 0;
    std::optional<PendingRead> read;
    std::optional<EntryId> write;
    // The mark taken after the pending write.
    LogMark writeMark;
    std::set<EntryId> written;
    std::set<EntryId> seen;
};

class World
{
public:
    explicit World(const Mutation &mutation, const Policy &policy = {})
        : m_mutation(mutation), m_policy(policy), m_gate(gateOptions(mutation, policy))
    {
        m_codec = std::make_shared<const SessionTokenCodec>(std::vector<std::string>{"key"});
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            m_hosts[i].offset = std::chrono::hours(37 * i);
            GroupMonitorOptions options;
            options.faults = mutation.monitor;
            m_hosts[i].monitor = std::make_unique<GroupMonitor>(
                "db", std::vector<MemberSpec>{{"a", "east", false}, {"b", "west", false}, {"c", "north", false}}, options);
            m_hosts[i].router = std::make_unique<Router>(RouterOptions{i == 0       ? "east"
                                                                           : i == 1 ? "west"
                                                                                    : "north",
                                                                       policy.routing});
            m_hosts[i].router->configure(configuration());
        }
        for (std::size_t i = 0; i < m_callers.size(); ++i) {
            arrive(m_callers[i], i % m_hosts.size(), {});
        }
    }

    // Runs the schedule up to the first violation.
    std::optional<Violation> run(const Schedule &schedule)
    {
        for (const Command &command : schedule) {
            step(command);
            if (m_violation) {
                break;
            }
        }
        m_counts.acknowledged = m_group.acknowledged().size();
        m_counts.terms = m_group.histories().size();
        return m_violation;
    }

    const Counts &counts() const
    {
        return m_counts;
    }

    // The routing counters, summed over all hosts.
    RoutingCounters routing() const
    {
        RoutingCounters sum;
        for (const Host &host : m_hosts) {
            const RoutingCounters &one = host.router->counters();
            sum.readsByReplica += one.readsByReplica;
            for (std::size_t i = 0; i < primaryReasonCount; ++i) {
                sum.readsByPrimary[i] += one.readsByPrimary[i];
            }
        }
        return sum;
    }

private:
    static Configuration configuration()
    {
        DatabaseSpec database;
        database.name = "db";
        database.replicaWait = replicaWait;
        database.upstreams = {{"a", "", "east", 5, 30, false}, {"b", "", "west", 5, 30, false}, {"c", "", "north", 5, 30, false}};
        Configuration result;
        result.databases = {database};
        return result;
    }

    static GateOptions gateOptions(const Mutation &mutation, const Policy &policy)
    {
        GateOptions options;
        options.waitPolicy = policy.wait;
        options.checks = mutation.gate;
        return options;
    }

    void step(const Command &command)
    {
        const std::size_t member = command.a % Group::size;
        const std::size_t next = (member + 1) % Group::size;
        Caller &caller = m_callers[command.b % m_callers.size()];
        switch (command.op) {
        case Op::Round:
            return beginRound(command);
        case Op::Pass:
            return pass(1 + command.a % 20);
        case Op::Replicate:
            return m_group.replicate(member, 1 + command.b % 4);
        case Op::Replay:
            return m_group.replay(member, 1 + command.b % 4);
        case Op::Write:
            return write(caller, member);
        case Op::WriteByOthers:
            return writeByOthers(member, 1 + command.c % 3);
        case Op::Confirm:
            m_group.confirm(member);
            return m_group.confirm(next);
        case Op::Acknowledge:
            return acknowledge();
        case Op::Read:
        case Op::RoutedRead:
            return read(caller, command);
        case Op::Move:
            return move(caller, command);
        case Op::StartPromotion:
            return m_group.startPromotion();
        case Op::Fence:
            return m_group.fence(member);
        case Op::Promote:
            return m_group.promote();
        case Op::Failover:
            // A whole failover in one step; one member is not fenced and continues as
            // before.
            m_group.startPromotion();
            m_group.fence(member);
            m_group.fence(next);
            return m_group.promote();
        case Op::Follow:
            return m_group.follow(member);
        case Op::Cut:
            return cut(command);
        case Op::Gap:
            return suspendHost(m_hosts[command.a % m_hosts.size()], 1 + command.c % 64);
        }
    }

    // Leaves a host with one reachable member, as in a zone that is cut off, or heals the
    // cut.
    void cut(const Command &command)
    {
        const std::size_t member = command.b % Group::size;
        auto &cutOff = m_hosts[command.a % m_hosts.size()].cutOff;
        cutOff.fill(command.b >= 96);
        cutOff[member] = false;
    }

    void beginRound(const Command &command)
    {
        const std::size_t host = command.a % m_hosts.size();
        const ProbeRound round = m_hosts[host].monitor->beginRound(m_hosts[host].local(m_now));
        for (const std::string &upstream : round.upstreams) {
            const std::size_t member = m_group.indexOf(upstream);
            Probe probe;
            probe.host = host;
            probe.round = round.id;
            probe.member = member;
            // One member per round may be slow or silent.
            const bool odd = command.b % 4 == member;
            probe.takeAt = m_now + (odd ? command.c % 32 : command.c % 3);
            probe.answerAt = probe.takeAt + (odd ? command.c % 64 : command.c % 4);
            probe.lost = (odd && command.c % 5 == 0) || m_hosts[host].cutOff[member];
            m_probes.push_back(std::move(probe));
        }
        carryProbes();
    }

    void pass(Instant time)
    {
        for (; time > 0 && !m_violation; --time) {
            ++m_now;
            if (m_policy.ownRounds) {
                beginDueRounds();
            }
            carryProbes();
            for (Caller &caller : m_callers) {
                if (!m_hosts[caller.host].suspended) {
                    carryRead(caller);
                }
            }
        }
    }

    // Each host probes when its monitor requests it, and more often while reads wait.
    void beginDueRounds()
    {
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (m_hosts[i].suspended) {
                continue;
            }
            const bool waiters = std::any_of(m_callers.begin(), m_callers.end(), [i](const Caller &caller) {
                return caller.host == i && caller.read && !caller.read->runAt;
            });
            const TimePoint now = m_hosts[i].local(m_now);
            if (m_hosts[i].monitor->nextProbeAt(now, waiters) <= now) {
                const auto host = static_cast<std::uint8_t>(i);
                beginRound(Command{Op::Round, host, 3, 1});
            }
        }
    }

    void carryProbes()
    {
        for (Probe &probe : m_probes) {
            if (!probe.status && probe.takeAt <= m_now) {
                probe.status = m_group.member(probe.member).status();
            }
            if (isIn(probe)) {
                GroupMonitor &monitor = *m_hosts[probe.host].monitor;
                const TimePoint now = m_hosts[probe.host].local(m_now);
                if (probe.lost) {
                    monitor.onProbeFailed(probe.round, probe.status->upstream, ProbeFailure::Timeout, now);
                } else {
                    monitor.onStatus(probe.round, *probe.status, now);
                }
            }
        }
        std::erase_if(m_probes, [this](const Probe &probe) { return isIn(probe); });
    }

    bool isIn(const Probe &probe) const
    {
        return probe.answerAt <= m_now && !m_hosts[probe.host].suspended;
    }

    void arrive(Caller &caller, std::size_t host, const std::string &token)
    {
        caller.host = host;
        caller.arrivedAt = m_now;
        caller.read.reset();
        caller.write.reset();
        SessionDefaults defaults;
        defaults.database = "db";
        caller.state = std::make_unique<SessionState>(defaults, m_codec, m_hosts[host].local(m_now));
        if (!token.empty()) {
            (void)caller.state->applyStartup({{"egrettide.session", token}});
        } else if (m_mutation.arrivalHasEmptyFloor) {
            (void)caller.state->set("egrettide.session", m_codec->encode(SessionFloor{"db", LogMark{}}));
        }
    }

    void move(Caller &caller, const Command &command)
    {
        ++m_counts.moves;
        std::string token = command.b % 2 == 0 ? caller.state->token() : std::string();
        if (command.b % 8 == 1) {
            // From before a backup was restored: a floor beyond all entries of the group.
            token = m_codec->encode(SessionFloor{"db", LogMark{Term{1} << 40U, 7}});
        }
        arrive(caller, command.a % m_hosts.size(), token);
    }

    void write(Caller &caller, std::size_t member)
    {
        if (caller.read || caller.write) {
            return;
        }
        if (const auto entry = m_group.write(member)) {
            caller.write = entry->id;
            caller.writeMark = m_group.member(member).status().received;
        }
    }

    // Suspends a host and its clock, like a suspended virtual machine, while the others
    // continue. Messages that arrived meanwhile are processed after the host has detected
    // the gap.
    void suspendHost(Host &host, Instant time)
    {
        host.suspended = true;
        pass(time);
        host.suspended = false;
        host.lost += milliseconds(time);
        host.monitor->onClockGap(host.local(m_now));
    }

    void writeByOthers(std::size_t member, int count)
    {
        for (; count > 0; --count) {
            (void)m_group.write(member);
        }
    }

    void acknowledge()
    {
        m_group.acknowledge(m_now);
        for (Caller &caller : m_callers) {
            if (caller.write && m_group.acknowledged().contains(*caller.write)) {
                caller.written.insert(*caller.write);
                caller.state->onSeen(caller.writeMark, Freshness{}, StatementKind::Write);
                caller.write.reset();
            }
        }
    }

    void read(Caller &caller, const Command &command)
    {
        if (caller.read || caller.write) {
            return;
        }
        const std::string freshness[] = {"session", "session", "latest", "3ms", "15ms", "60ms"};
        (void)caller.state->set("egrettide.freshness", freshness[command.c % 6]);
        const Host &host = m_hosts[caller.host];
        const TimePoint now = host.local(m_now);
        PendingRead read;
        read.routed = command.op == Op::RoutedRead;
        // A pipelined read is received before the answer to the preceding statement.
        const Instant pipelined = command.c % 4 == 0 ? command.b % 64 : 0;
        read.receivedAt = std::max(caller.arrivedAt, m_now - pipelined);
        read.replicaWaitUntil = now + replicaWait;
        read.handedOnAt = m_now;
        read.floorSince = m_mutation.floorSinceReceipt ? host.local(read.receivedAt) : now;
        read.request.database = "db";
        read.request.kind = StatementKind::Read;
        read.request.freshness = caller.state->freshnessFor(StatementKind::Read);
        read.request.receivedAt =
            caller.state->freshSince(host.local(read.receivedAt)) - milliseconds(m_mutation.useEarlierConfirmations ? 40 : 0);
        read.request.deadline = now + milliseconds(300);
        read.request.upstream = m_group.member(command.a % Group::size).name;
        if (read.routed) {
            host.router->learn(hintOf(host), {}, now);
            const auto route = host.router->choose(read.request, read.attempts, now, m_random);
            if (!route) {
                return;
            }
            read.request.upstream = route->upstream;
        }
        caller.read = std::move(read);
        carryRead(caller);
    }

    // The hint that the homes would send; here the front's host is the home of every
    // upstream.
    GroupHint hintOf(const Host &host) const
    {
        const auto snapshot = host.monitor->snapshot();
        GroupHint hint;
        hint.database = "db";
        hint.term = snapshot->term;
        hint.primary = snapshot->primary;
        for (const MemberView &member : snapshot->members) {
            const auto age = m_gate.provenAge(*snapshot, member, host.local(m_now));
            hint.members.push_back({member.upstream, member.replayed, age.value_or(std::chrono::hours(1)), milliseconds(0),
                                    member.reachable, false});
        }
        return hint;
    }

    void carryRead(Caller &caller)
    {
        if (!caller.read) {
            return;
        }
        PendingRead &read = *caller.read;
        if (read.runAt) {
            if (*read.runAt <= m_now) {
                finishRead(caller);
            }
            return;
        }
        const Host &host = m_hosts[caller.host];
        const auto snapshot = host.monitor->snapshot();
        const FreshnessRequest asked{read.request.freshness, read.request.receivedAt, read.request.deadline,
                                     read.replicaWaitUntil, read.floorSince};
        const GateDecision decision = m_gate.decide(asked, *snapshot, read.request.upstream, host.local(m_now));
        if (const auto *serve = std::get_if<Serve>(&decision)) {
            read.decidedAt = m_now;
            // A served read may run up to 4 ms later than decided, as on a slow network.
            read.runAt = m_now + (serve->shown.position % 3 == 0 ? 4 : 0);
            read.lowerBound = serve->shown;
            read.term = snapshot->term;
        } else if (std::holds_alternative<GoElsewhere>(decision) && !reroute(read, host, snapshot->primary)) {
            caller.read.reset();
        }
    }

    // Sends a refused read to another upstream; false when none is left.
    bool reroute(PendingRead &read, const Host &host, const std::string &primary)
    {
        read.replicaWaitUntil = host.local(m_now) + replicaWait;
        if (!read.routed) {
            const bool primaryLeft = !primary.empty() && read.request.upstream != primary;
            read.request.upstream = primary;
            return primaryLeft;
        }
        StatementReply reply;
        reply.error = Error{ErrorKind::NotFresh, "", milliseconds(0)};
        reply.hint = hintOf(host);
        const auto decision = host.router->afterReply(read.request, reply, read.attempts, host.local(m_now), m_random);
        if (const auto *route = std::get_if<Route>(&decision)) {
            read.request.upstream = route->upstream;
            return true;
        }
        return false;
    }

    void finishRead(Caller &caller)
    {
        PendingRead read = std::move(*caller.read);
        caller.read.reset();
        const Host &host = m_hosts[caller.host];
        if (read.routed) {
            StatementReply reply;
            reply.hint = hintOf(host);
            (void)host.router->afterReply(read.request, reply, read.attempts, host.local(m_now), m_random);
        }
        const Member &member = m_group.member(m_group.indexOf(read.request.upstream));
        const Log shown = member.shown();
        check(caller, read, shown);
        ++m_counts.reads;
        m_counts.waited += read.decidedAt - read.handedOnAt;
        m_counts.byReplica += member.role == UpstreamRole::Primary ? 0 : 1;
        m_counts.aged += read.request.freshness.maxAge ? 1 : 0;
        m_counts.latest += read.request.freshness.latest ? 1 : 0;
        for (const Entry &entry : shown) {
            caller.seen.insert(entry.id);
        }
        const LogMark mark = m_mutation.floorFromLowerBound ? read.lowerBound : member.status().replayed;
        caller.state->onSeen(mark, read.request.freshness, StatementKind::Read);
    }

    void check(const Caller &caller, const PendingRead &read, const Log &shown)
    {
        std::set<EntryId> ids;
        for (const Entry &entry : shown) {
            ids.insert(entry.id);
        }
        for (const auto &[id, when] : m_group.acknowledged()) {
            if (ids.contains(id)) {
                continue;
            }
            const Freshness &asked = read.request.freshness;
            const Instant latestFrom =
                asked.latest && caller.state->mode() == FreshnessMode::Latest ? read.receivedAt : caller.arrivedAt;
            if (caller.written.contains(id)) {
                violated(Claim::ReadYourWrites, read, id, when);
            } else if (caller.seen.contains(id)) {
                violated(Claim::MonotonicReads, read, id, when);
            } else if (asked.latest && when < latestFrom) {
                violated(Claim::Latest, read, id, when);
            } else if (asked.maxAge && when < read.decidedAt - asked.maxAge->count()) {
                violated(Claim::MaxAge, read, id, when);
            }
        }
        const auto &histories = m_group.histories();
        const bool known = std::any_of(histories.lower_bound(read.term), histories.end(),
                                       [&shown](const auto &history) { return isPrefix(shown, history.second); });
        if (!known) {
            violated(Claim::History, read, 0, 0);
        }
    }

    void violated(Claim claim, const PendingRead &read, EntryId id, Instant when)
    {
        std::ostringstream out;
        out << claim << " broken at " << m_now << " ms on " << read.request.upstream << ": received " << read.receivedAt
            << ", decided " << read.decidedAt << " in term " << read.term << "; entry " << id << " acknowledged at " << when
            << " is missing";
        m_violation = Violation{claim, out.str()};
    }

    Mutation m_mutation;
    Policy m_policy;
    std::mt19937_64 m_random{11};
    FreshnessGate m_gate;
    std::shared_ptr<const SessionTokenCodec> m_codec;
    Group m_group;
    std::array<Host, 3> m_hosts;
    std::array<Caller, 4> m_callers;
    std::vector<Probe> m_probes;
    Instant m_now = 0;
    Counts m_counts;
    std::optional<Violation> m_violation;
};

} // namespace egrettide::model
