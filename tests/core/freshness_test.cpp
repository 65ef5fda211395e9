// Proves what reads are promised: random histories of a naive group, in which
// primaries change, logs diverge and probe answers come late, against the real
// observer, gate and session state. For each mechanism there is a mutation that
// switches it off, and the proof has to notice.

#define BOOST_TEST_MODULE Freshness
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "groupmodel.h"

#include "egrettide/core/freshnessgate.h"
#include "egrettide/core/groupmonitor.h"
#include "egrettide/core/sessionstate.h"

#include <memory>
#include <random>
#include <sstream>

using namespace egrettide;
using model::Instant;

namespace
{

// What a mutation switches off.
struct Mutation {
    GateChecks gate;
    GroupMonitorFaults monitor;
    // An arrival without a token counts as one with an empty floor.
    bool forgetArrival = false;
    // The floor rises to what the gate knew, not to a mark taken behind the read.
    bool floorFromLowerBound = false;
    // Arrivals may use confirmations from before they arrived.
    bool arrivalFromThePast = false;
};

// One step of a schedule; what the numbers mean depends on the operation.
struct Command {
    std::uint8_t op = 0;
    std::uint8_t a = 0;
    std::uint8_t b = 0;
    std::uint8_t c = 0;
};

std::ostream &operator<<(std::ostream &out, const Command &command)
{
    return out << "{" << int(command.op) << "," << int(command.a) << "," << int(command.b) << "," << int(command.c) << "}";
}

using Schedule = std::vector<Command>;

enum class Claim { ReadYourWrites, MonotonicReads, MaxAge, Latest, History };

std::ostream &operator<<(std::ostream &out, Claim claim)
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
};

// A probe on its way: the member is asked at `takeAt`, its answer is in at `answerAt`.
struct Probe {
    std::size_t host = 0;
    RoundId round = 0;
    std::size_t member = 0;
    Instant takeAt = 0;
    Instant answerAt = 0;
    bool lost = false;
    std::optional<MemberStatus> status;
};

// One host: an observer whose clock differs from everyone else's.
struct Host {
    std::unique_ptr<GroupMonitor> monitor;
    std::chrono::hours offset{0};
    // By member: its probes get lost.
    std::array<bool, model::Group::size> cutOff{};

    TimePoint local(Instant now) const
    {
        return TimePoint(std::chrono::hours(1000) + offset + milliseconds(now));
    }
};

struct PendingRead {
    std::string upstream;
    FreshnessRequest request;
    Instant receivedAt = 0;
    // Set once the gate let it go: when it runs.
    std::optional<Instant> runAt;
    Instant decidedAt = 0;
    LogMark lowerBound;
    Term term = 0;
};

// A caller: what it was promised, and what it really did and saw.
struct Caller {
    std::size_t host = 0;
    std::unique_ptr<SessionState> state;
    Instant arrivedAt = 0;
    std::optional<PendingRead> read;
    std::optional<model::EntryId> write;
    // The mark taken behind the pending write.
    LogMark writeMark;
    std::set<model::EntryId> written;
    std::set<model::EntryId> seen;
};

class World
{
public:
    explicit World(const Mutation &mutation) : m_mutation(mutation), m_gate(gateOptions(mutation))
    {
        m_codec = std::make_shared<const SessionTokenCodec>(std::vector<std::string>{"key"});
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            m_hosts[i].offset = std::chrono::hours(37 * i);
            GroupMonitorOptions options;
            options.faults = mutation.monitor;
            m_hosts[i].monitor = std::make_unique<GroupMonitor>(
                "db", std::vector<MemberSpec>{{"a", "east", false}, {"b", "west", false}, {"c", "north", false}}, options);
        }
        for (std::size_t i = 0; i < m_callers.size(); ++i) {
            arrive(m_callers[i], i % m_hosts.size(), {});
        }
    }

    // Runs the schedule up to the first broken promise.
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

private:
    static GateOptions gateOptions(const Mutation &mutation)
    {
        GateOptions options;
        options.checks = mutation.gate;
        return options;
    }

    void step(const Command &command)
    {
        const std::size_t member = command.a % model::Group::size;
        Caller &caller = m_callers[command.b % m_callers.size()];
        switch (command.op % 16) {
        case 0:
        case 1:
            return beginRound(command);
        case 2:
        case 3:
            return pass(1 + command.a % 20);
        case 4:
        case 5:
            return m_group.replicate(member, 1 + command.b % 4);
        case 6:
        case 7:
            return m_group.replay(member, 1 + command.b % 4);
        case 8:
            return command.c % 2 == 0 ? write(caller, member) : writeByOthers(member, 1 + command.c % 3);
        case 9:
            m_group.confirm(member);
            return m_group.confirm((member + 1) % model::Group::size);
        case 10:
            return acknowledge();
        case 11:
        case 12:
        case 13:
            return read(caller, command);
        case 14:
            return command.c % 3 == 0 ? move(caller, command) : promotion(command);
        default:
            return command.c % 4 == 0 ? cut(command) : m_group.follow(member);
        }
    }

    void promotion(const Command &command)
    {
        const std::size_t member = command.a % model::Group::size;
        switch (command.b % 8) {
        case 0:
            return m_group.startPromotion();
        case 1:
            return m_group.promote();
        case 2:
        case 3:
            // All at once, past one member that goes on as it was.
            m_group.startPromotion();
            m_group.fence(member);
            m_group.fence((member + 1) % model::Group::size);
            return m_group.promote();
        default:
            return m_group.fence(member);
        }
    }

    // Leaves a host with one member, as in a zone that is cut off, or heals that.
    void cut(const Command &command)
    {
        const std::size_t member = command.b % model::Group::size;
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
            // One member a round may be slow or silent.
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
            carryProbes();
            for (Caller &caller : m_callers) {
                carryRead(caller);
            }
        }
    }

    void carryProbes()
    {
        for (Probe &probe : m_probes) {
            if (!probe.status && probe.takeAt <= m_now) {
                probe.status = m_group.member(probe.member).status();
            }
            if (probe.answerAt <= m_now) {
                GroupMonitor &monitor = *m_hosts[probe.host].monitor;
                const TimePoint now = m_hosts[probe.host].local(m_now);
                if (probe.lost) {
                    monitor.onProbeFailed(probe.round, probe.status->upstream, ProbeFailure::Timeout, now);
                } else {
                    monitor.onStatus(probe.round, *probe.status, now);
                }
            }
        }
        std::erase_if(m_probes, [this](const Probe &probe) { return probe.answerAt <= m_now; });
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
        } else if (m_mutation.forgetArrival) {
            (void)caller.state->set("egrettide.session", m_codec->encode(SessionFloor{"db", LogMark{}}));
        }
    }

    void move(Caller &caller, const Command &command)
    {
        ++m_counts.moves;
        std::string token = command.b % 2 == 0 ? caller.state->token() : std::string();
        if (command.b % 8 == 1) {
            // From before a restored backup: beyond everything that the group has.
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
        const TimePoint now = m_hosts[caller.host].local(m_now);
        PendingRead read;
        read.upstream = m_group.member(command.a % model::Group::size).name;
        read.receivedAt = m_now;
        read.request.freshness = caller.state->freshnessFor(StatementKind::Read);
        read.request.receivedAt = caller.state->freshSince(now) - milliseconds(m_mutation.arrivalFromThePast ? 40 : 0);
        read.request.deadline = now + milliseconds(300);
        read.request.replicaWaitUntil = now + milliseconds(40);
        caller.read = read;
        carryRead(caller);
    }

    void carryRead(Caller &caller)
    {
        if (!caller.read) {
            return;
        }
        if (caller.read->runAt) {
            if (*caller.read->runAt <= m_now) {
                finishRead(caller);
            }
            return;
        }
        PendingRead &read = *caller.read;
        const Host &host = m_hosts[caller.host];
        const auto snapshot = host.monitor->snapshot();
        const GateDecision decision = m_gate.decide(read.request, *snapshot, read.upstream, host.local(m_now));
        if (const auto *serve = std::get_if<Serve>(&decision)) {
            read.decidedAt = m_now;
            // Within the margin when an age counts; the network may take longer.
            read.runAt = m_now + (serve->shown.position % 3 == 0 ? 4 : 0);
            read.lowerBound = serve->shown;
            read.term = snapshot->term;
            return;
        }
        if (std::holds_alternative<GoElsewhere>(decision)) {
            const bool primaryLeft = !snapshot->primary.empty() && read.upstream != snapshot->primary;
            if (!primaryLeft) {
                caller.read.reset();
                return;
            }
            read.upstream = snapshot->primary;
        }
    }

    void finishRead(Caller &caller)
    {
        const PendingRead read = *caller.read;
        caller.read.reset();
        const model::Member &member = m_group.member(m_group.indexOf(read.upstream));
        const model::Log shown = member.shown();
        check(caller, read, shown);
        ++m_counts.reads;
        m_counts.byReplica += member.role == UpstreamRole::Primary ? 0 : 1;
        m_counts.aged += read.request.freshness.maxAge ? 1 : 0;
        m_counts.latest += read.request.freshness.latest ? 1 : 0;
        for (const model::Entry &entry : shown) {
            caller.seen.insert(entry.id);
        }
        const LogMark mark = m_mutation.floorFromLowerBound ? read.lowerBound : member.status().replayed;
        caller.state->onSeen(mark, read.request.freshness, StatementKind::Read);
    }

    void check(const Caller &caller, const PendingRead &read, const model::Log &shown)
    {
        std::set<model::EntryId> ids;
        for (const model::Entry &entry : shown) {
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
                                       [&shown](const auto &history) { return model::isPrefix(shown, history.second); });
        if (!known) {
            violated(Claim::History, read, 0, 0);
        }
    }

    void violated(Claim claim, const PendingRead &read, model::EntryId id, Instant when)
    {
        std::ostringstream out;
        out << claim << " broken at " << m_now << " ms on " << read.upstream << ": received " << read.receivedAt << ", decided "
            << read.decidedAt << " in term " << read.term << "; entry " << id << " acknowledged at " << when << " is missing";
        m_violation = Violation{claim, out.str()};
    }

    Mutation m_mutation;
    FreshnessGate m_gate;
    std::shared_ptr<const SessionTokenCodec> m_codec;
    model::Group m_group;
    std::array<Host, 3> m_hosts;
    std::array<Caller, 4> m_callers;
    std::vector<Probe> m_probes;
    Instant m_now = 0;
    Counts m_counts;
    std::optional<Violation> m_violation;
};

Schedule randomSchedule(std::uint32_t seed, std::size_t length)
{
    std::mt19937 random(seed);
    Schedule schedule(length);
    for (Command &command : schedule) {
        const std::uint32_t bits = random();
        command = {static_cast<std::uint8_t>(bits), static_cast<std::uint8_t>(bits >> 8U), static_cast<std::uint8_t>(bits >> 16U),
                   static_cast<std::uint8_t>(bits >> 24U)};
    }
    return schedule;
}

constexpr std::size_t scheduleLength = 600;
constexpr std::uint32_t mutationSeeds = 3000;

// The first violation of one of the claims that seeded schedules provoke.
std::optional<Violation> findViolation(const Mutation &mutation, const std::set<Claim> &claims)
{
    for (std::uint32_t seed = 0; seed < mutationSeeds; ++seed) {
        const auto violation = World(mutation).run(randomSchedule(seed, scheduleLength));
        if (violation && claims.contains(violation->claim)) {
            BOOST_TEST_MESSAGE("seed " << seed << ": " << violation->details);
            return violation;
        }
    }
    return std::nullopt;
}

void expectCaught(const Mutation &mutation, const std::set<Claim> &claims)
{
    BOOST_TEST(findViolation(mutation, claims).has_value(),
               "no schedule out of " << mutationSeeds
                                     << " noticed the missing mechanism; the proof is too weak, widen its schedules");
}

} // namespace

namespace rc
{
template <> struct Arbitrary<Command> {
    static Gen<Command> arbitrary()
    {
        return gen::build<Command>(
            gen::set(&Command::op, gen::arbitrary<std::uint8_t>()), gen::set(&Command::a, gen::arbitrary<std::uint8_t>()),
            gen::set(&Command::b, gen::arbitrary<std::uint8_t>()), gen::set(&Command::c, gen::arbitrary<std::uint8_t>()));
    }
};
} // namespace rc

BOOST_AUTO_TEST_SUITE(FreshnessProof)

BOOST_AUTO_TEST_CASE(EveryServedReadKeepsItsPromises)
{
    BOOST_TEST(rc::check("no schedule breaks a promise", [] {
        // Numbers of full width: RapidCheck's own sizes would hardly reach the late operations.
        const auto schedule =
            *rc::gen::scale(5.0, rc::gen::container<Schedule>(rc::gen::scale(20.0, rc::gen::arbitrary<Command>())));
        const auto violation = World(Mutation{}).run(schedule);
        if (violation) {
            RC_FAIL(violation->details);
        }
    }));
}

BOOST_AUTO_TEST_CASE(LongSchedulesKeepThePromisesAndExerciseThem)
{
    Counts total;
    for (std::uint32_t seed = 0; seed < mutationSeeds; ++seed) {
        World world{Mutation{}};
        const auto violation = world.run(randomSchedule(seed, scheduleLength));
        BOOST_REQUIRE_MESSAGE(!violation, "seed " << seed << ": " << violation->details);
        total.reads += world.counts().reads;
        total.byReplica += world.counts().byReplica;
        total.aged += world.counts().aged;
        total.latest += world.counts().latest;
        total.moves += world.counts().moves;
        total.acknowledged += world.counts().acknowledged;
        total.terms += world.counts().terms;
    }
    BOOST_TEST_MESSAGE("reads " << total.reads << ", by replicas " << total.byReplica << ", with an age " << total.aged
                                << ", latest " << total.latest << ", moves " << total.moves << ", acknowledged writes "
                                << total.acknowledged << ", terms " << total.terms);
    // A proof over schedules that do nothing would prove nothing.
    BOOST_TEST(total.byReplica > mutationSeeds);
    BOOST_TEST(total.aged > mutationSeeds);
    BOOST_TEST(total.latest > mutationSeeds);
    BOOST_TEST(total.acknowledged > mutationSeeds);
    BOOST_TEST(total.terms > 2 * mutationSeeds);
}

BOOST_AUTO_TEST_CASE(NoticesAnIgnoredFloor)
{
    Mutation mutation;
    mutation.gate.floor = false;
    expectCaught(mutation, {Claim::ReadYourWrites});
}

BOOST_AUTO_TEST_CASE(NoticesFloorsComparedWithoutTheirTerm)
{
    Mutation mutation;
    mutation.gate.floorTerm = false;
    expectCaught(mutation, {Claim::ReadYourWrites, Claim::MonotonicReads});
}

BOOST_AUTO_TEST_CASE(NoticesReadsFromMembersOfAnotherTerm)
{
    Mutation mutation;
    mutation.gate.following = false;
    expectCaught(mutation, {Claim::History});
}

BOOST_AUTO_TEST_CASE(NoticesAgesCountedFromTheAnswer)
{
    Mutation mutation;
    mutation.monitor.watermarkAtAnswer = true;
    expectCaught(mutation, {Claim::MaxAge, Claim::Latest});
}

BOOST_AUTO_TEST_CASE(NoticesAPrimaryThatConfirmsItself)
{
    Mutation mutation;
    mutation.monitor.confirmWithoutMajority = true;
    expectCaught(mutation, {Claim::MaxAge, Claim::Latest});
}

BOOST_AUTO_TEST_CASE(NoticesAPrimaryTakenForFreshUnasked)
{
    Mutation mutation;
    mutation.gate.confirmation = false;
    expectCaught(mutation, {Claim::MaxAge, Claim::Latest});
}

BOOST_AUTO_TEST_CASE(NoticesLatestReadsThatDoNotWait)
{
    Mutation mutation;
    mutation.gate.latest = false;
    expectCaught(mutation, {Claim::Latest});
}

// Symptom: a session that moved misses its own write, or time goes back for it.
// Sequence: it writes through one host, arrives at another without a token and reads a late replica.
// Cause: an unknown arrival counted as one that has seen nothing.
BOOST_AUTO_TEST_CASE(NoticesArrivalsTakenForNewSessions)
{
    Mutation mutation;
    mutation.forgetArrival = true;
    expectCaught(mutation, {Claim::ReadYourWrites, Claim::MonotonicReads});
}

BOOST_AUTO_TEST_CASE(NoticesArrivalsThatUseOldConfirmations)
{
    Mutation mutation;
    mutation.arrivalFromThePast = true;
    expectCaught(mutation, {Claim::ReadYourWrites, Claim::MonotonicReads, Claim::Latest});
}

// Symptom: a session sees a booking on one replica and not on the next.
// Sequence: replay goes on between the observer's probe and the read; the floor rises to the probe's mark alone.
// Cause: the floor took the lower bound of what the read showed.
BOOST_AUTO_TEST_CASE(NoticesFloorsTakenBeforeTheRead)
{
    Mutation mutation;
    mutation.floorFromLowerBound = true;
    expectCaught(mutation, {Claim::MonotonicReads});
}

BOOST_AUTO_TEST_SUITE_END()
