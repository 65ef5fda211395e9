// Simulates homes, members, the store and the links between them under one seeded schedule
// of faults. It runs the real GroupMonitor, CommitGate, Promoter and Switchover against
// FakeMember and checks the invariants at every step that could violate them. One world is
// one schedule: the same seed gives the same run.

#pragma once

#include "egrettide/core/commitgate.h"
#include "egrettide/core/groupmonitor.h"
#include "egrettide/core/promoter.h"
#include "egrettide/core/switchover.h"
#include "testing/support/fakegroup.h"

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

namespace egrettide::testing
{

using std::chrono::microseconds;

// The faults that a schedule may contain, and the mechanisms that are switched off.
struct WorldOptions {
    std::uint64_t seed = 0;
    std::size_t members = 3;
    // The maximum number of faults in one schedule; 0 gives a steady run.
    std::size_t faults = 6;
    microseconds faultSpan{800'000};
    // The time after healing all faults within which writes must be confirmed again.
    microseconds recoverySpan{6'000'000};
    microseconds writeSpacing{12'000};
    // The maximum ordinary one-way delay of a message, beyond a base of 300 us.
    microseconds jitter{1500};
    // One in this many messages is lost, duplicated or delayed for long; 0: none.
    std::uint64_t lossOneIn = 80;
    std::uint64_t duplicateOneIn = 40;
    std::uint64_t delayOneIn = 60;
    microseconds longDelay{120'000};
    // Whether a member that promised a higher term continues to replicate.
    bool fencedKeepsCopying = true;
    // One in this many promotions coincides with a fault of its candidate or the loss of
    // its answers, and one in this many fences with a pause of the promoter: most failures
    // need a fault within a window of milliseconds.
    std::uint64_t promotionFaultOneIn = 4;
    std::uint64_t fencePauseOneIn = 40;
    // The store is unavailable for the whole schedule.
    bool storeOut = false;
    // The share of planned changes among the faults, in percent.
    std::uint64_t plannedPercent = 15;
    bool planned = false; // planned changes only, no faults
    // Only the home of the primary writes, as in production; otherwise every home writes to
    // the member that it considers the primary, which exercises more error cases.
    bool writesAtHomeOnly = false;
    Durability durability = Durability::Majority;
    // When only the link between the first primary and its home fails; 0: never.
    microseconds ownHomeCutAt{0};
    bool naive = false; // a simple lease-based home instead of egrettide's decisions
    GroupMonitorOptions monitor;
    PromoterOptions promoter;
    CommitGateFaults gate;
};

// Settings with shorter times than in production, so that one schedule takes one or two
// seconds of model time. Their proportions are those of the defaults.
inline WorldOptions quickWorld(std::uint64_t seed)
{
    WorldOptions options;
    options.seed = seed;
    options.monitor.idleInterval = milliseconds(20);
    options.monitor.busyInterval = milliseconds(10);
    options.monitor.noPrimaryTimeout = milliseconds(120);
    options.monitor.splitPromisesTimeout = milliseconds(300);
    options.monitor.detector.floor = milliseconds(50);
    options.monitor.detector.ceiling = milliseconds(200);
    options.promoter.opinionTimeout = milliseconds(60);
    options.promoter.loneHomeDelay = milliseconds(300);
    options.promoter.claimTimeout = milliseconds(40);
    options.promoter.fenceTimeout = milliseconds(100);
    options.promoter.promoteTimeout = milliseconds(60);
    options.promoter.resendInterval = milliseconds(15);
    options.promoter.foreignClaimTimeout = milliseconds(200);
    options.promoter.backoffFloor = milliseconds(20);
    options.promoter.backoffCeiling = milliseconds(300);
    options.promoter.followInterval = milliseconds(40);
    options.promoter.strandedTimeout = milliseconds(300);
    return options;
}

class World
{
public:
    explicit World(const WorldOptions &options) : m_options(options), m_random(options.seed * 0x9E3779B97F4A7C15ULL + 1)
    {
        for (std::size_t i = 0; i < options.members; ++i) {
            FakeMember member;
            member.name = std::string(1, static_cast<char>('a' + i));
            member.promisedTerm = 1;
            member.promisedTo = "initial";
            member.followingTerm = 1;
            member.leader = i == 0 ? "" : "a";
            member.role = i == 0 ? UpstreamRole::Primary : UpstreamRole::Replica;
            member.log.push_back({1, 0});
            member.replayed = 1;
            m_members.push_back(std::move(member));
        }
        m_promoted[1] = 0;
        m_store.available = !options.storeOut;
        const std::size_t n = options.members;
        m_homeMemberCut.assign(n * n, 0);
        m_homeHomeCut.assign(n * n, 0);
        m_memberMemberCut.assign(n * n, 0);
        m_homeStoreCut.assign(n, 0);
        for (std::size_t i = 0; i < n; ++i) {
            m_homes.push_back(std::make_unique<Home>());
            startHome(i);
        }
    }

    // Runs the schedule to its end and returns the first violation, empty if none.
    std::string run()
    {
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            after(microseconds(below(5000)), [this, i] { tickHome(i); });
            after(microseconds(below(5000)), [this, i] { tickReplica(i); });
        }
        planFaults();
        const microseconds healAt = m_options.faultSpan;
        at(healAt, [this] { healAll(); });
        const microseconds end = healAt + m_options.recoverySpan;
        while (!m_events.empty() && m_violation.empty() && m_now < end) {
            Event event = std::move(const_cast<Event &>(m_events.top()));
            m_events.pop();
            m_now = event.at;
            event.act();
            if (m_healed && recovered()) {
                break;
            }
        }
        if (m_violation.empty() && !recovered()) {
            violate("no write was confirmed after all faults had healed");
        }
        return m_violation;
    }

    // Adds a crash of the primary to the schedule; `refuses` says whether its host still
    // refuses connections.
    void planPrimaryCrash(microseconds when, microseconds length, bool refuses)
    {
        at(when, [this, length, refuses] {
            kill(primaryIndex().value_or(0), length);
            m_refuses = refuses;
        });
    }

    // Statistics of the run, for tests that check more than violations.
    std::size_t acknowledged() const
    {
        return m_acks.size();
    }
    std::size_t promotions() const
    {
        return m_promoted.size() - 1;
    }
    std::size_t unknownOutcomes() const
    {
        return m_unknown;
    }
    std::size_t watermarks() const
    {
        return m_watermarkCount;
    }
    std::size_t provenReads() const
    {
        return m_reads;
    }
    std::size_t plannedDone() const
    {
        return m_plannedDone;
    }
    std::size_t lostAcknowledged() const
    {
        return m_lostAcks;
    }
    microseconds longestWriteGap() const
    {
        return m_longestGap;
    }
    microseconds modelTime() const
    {
        return m_now;
    }
    std::string eventLog() const
    {
        return m_eventLog.str();
    }

private:
    struct Event {
        microseconds at{0};
        std::uint64_t order = 0;
        std::function<void()> act;

        friend bool operator<(const Event &left, const Event &right)
        {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };

    struct Home {
        std::unique_ptr<GroupMonitor> monitor;
        std::unique_ptr<CommitGate> gate;
        std::unique_ptr<Promoter> promoter;
        std::unique_ptr<Switchover> switchover;
        std::map<RoundId, TimePoint> roundSentAt;
        // Rises with every restart; messages to an earlier incarnation are dropped.
        std::uint64_t incarnation = 0;
        bool paused = false;
        bool clockStopped = false;
        microseconds pausedAt{0};
        // Time that its own clock did not count.
        microseconds lostTime{0};
        std::deque<std::function<void()>> deferred;
        std::size_t openWrites = 0;
        std::uint64_t ticks = 0;
        TimePoint checkedWatermark;
        microseconds nextWriteAt{0};
        // Writes of this home by id, until resolved.
        std::map<std::uint64_t, LogMark> writes;
        // The state of the naive home.
        std::string naivePrimary = "a";
        Term naiveTerm = 1;
        microseconds naiveLastAnswer{0};
    };

    struct Ack {
        microseconds at{0};
        LogMark mark;
        std::uint64_t write = 0;
        // Missing from a later primary: a violation, or accepted under PrimaryOnly.
        bool lost = false;
    };

    // --- time, links and randomness ---------------------------------------

    std::uint64_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : m_random() % bound;
    }

    bool oneIn(std::uint64_t n)
    {
        return n != 0 && !m_quiet && below(n) == 0;
    }

    void at(microseconds when, std::function<void()> act)
    {
        m_events.push(Event{when, ++m_order, std::move(act)});
    }

    void after(microseconds delay, std::function<void()> act)
    {
        at(m_now + delay, std::move(act));
    }

    microseconds delay()
    {
        const microseconds usual(300 + below(static_cast<std::uint64_t>(m_options.jitter.count())));
        const microseconds spike = m_spikeUntil > m_now ? microseconds(below(40'000)) : microseconds(0);
        const microseconds rare = oneIn(m_options.delayOneIn)
            ? microseconds(below(static_cast<std::uint64_t>(m_options.longDelay.count())))
            : microseconds(0);
        return usual + spike + rare;
    }

    // Carries a message over a link that may lose, duplicate or delay it.
    void carry(bool cut, std::function<void()> deliver)
    {
        if (cut || oneIn(m_options.lossOneIn)) {
            return;
        }
        if (oneIn(m_options.duplicateOneIn)) {
            after(delay(), deliver);
        }
        after(delay(), std::move(deliver));
    }

    bool memberCut(std::size_t home, std::size_t member) const
    {
        return m_homeMemberCut[home * m_members.size() + member] > 0;
    }

    bool homeCut(std::size_t from, std::size_t to) const
    {
        return m_homeHomeCut[from * m_members.size() + to] > 0;
    }

    std::size_t indexOf(const std::string &name) const
    {
        return static_cast<std::size_t>(name[0] - 'a');
    }

    TimePoint localNow(std::size_t home) const
    {
        return TimePoint(m_now - m_homes[home]->lostTime);
    }

    // Runs `act` at a home, immediately or when it resumes, unless the home has been
    // restarted since.
    template <typename Act> void atHome(std::size_t index, std::uint64_t incarnation, Act act)
    {
        Home &home = *m_homes[index];
        if (home.incarnation != incarnation) {
            return;
        }
        if (home.paused) {
            home.deferred.emplace_back(std::move(act));
            return;
        }
        act();
    }

    using Operation = std::function<void(FakeMember &)>;

    // One request of a home to a member: `operation` runs at the member when the request
    // arrives, then `answered` at the home, or `refused` when the member is down.
    template <typename Answer> struct Request {
        std::size_t home = 0;
        std::uint64_t incarnation = 0;
        std::size_t member = 0;
        std::function<Answer(FakeMember &)> operation;
        std::function<void(const Answer &)> answered;
        std::function<void()> refused;
    };

    template <typename Answer>
    void ask(std::size_t home, std::size_t member, std::function<Answer(FakeMember &)> operation,
             std::function<void(const Answer &)> answered, std::function<void()> refused)
    {
        auto request = std::make_shared<const Request<Answer>>(Request<Answer>{
            home, m_homes[home]->incarnation, member, std::move(operation), std::move(answered), std::move(refused)});
        carry(memberCut(home, member), [this, request] { arrive(request); });
    }

    template <typename Answer> void arrive(const std::shared_ptr<const Request<Answer>> &request)
    {
        FakeMember &target = m_members[request->member];
        if (target.frozen) {
            after(microseconds(5000), [this, request] { arrive(request); });
            return;
        }
        const bool cut = memberCut(request->home, request->member);
        if (!target.alive) {
            if (m_refuses) {
                carry(cut, [this, request] { atHome(request->home, request->incarnation, request->refused); });
            }
            return;
        }
        auto answer = std::make_shared<const Answer>(request->operation(target));
        carry(cut, [this, request, answer] {
            atHome(request->home, request->incarnation, [request, answer] { request->answered(*answer); });
        });
    }

    // --- members ----------------------------------------------------------

    void tickReplica(std::size_t index)
    {
        FakeMember &replica = m_members[index];
        const bool fenced = replica.promisedTerm > replica.followingTerm;
        const bool copies = replica.role == UpstreamRole::Replica && !replica.leader.empty() && replica.alive && !replica.frozen
            && !(fenced && !m_options.fencedKeepsCopying) && m_laggingUntil[index] <= m_now;
        if (copies) {
            const std::size_t leader = indexOf(replica.leader);
            const FakeMember &source = m_members[leader];
            const bool cut = m_memberMemberCut[index * m_members.size() + leader] > 0;
            if (source.alive && !source.frozen && !cut) {
                replica.copyFrom(source, 1 + below(8));
            }
            const std::size_t behind = replica.log.size() - replica.replayed;
            replica.replayed += below(behind + 1);
        }
        after(microseconds(1000 + below(5000)), [this, index] { tickReplica(index); });
    }

    void onPromoted(std::size_t member)
    {
        const FakeMember &primary = m_members[member];
        const auto [known, fresh] = m_promoted.emplace(primary.followingTerm, member);
        if (!fresh) {
            if (known->second != member) {
                violate("term " + std::to_string(primary.followingTerm) + " has two primaries");
            }
            return;
        }
        note("promoted " + primary.name + " in term " + std::to_string(primary.followingTerm));
        m_logsAtPromotion[primary.followingTerm] = primary.log;
        m_promotedAt[primary.followingTerm] = m_now;
        // A late order may still promote a primary of a term that is already over; it does
        // not have to hold writes of later terms.
        for (Ack &ack : m_acks) {
            if (ack.mark.term < primary.followingTerm && !primary.holds(ack.mark, ack.write)) {
                ++m_lostAcks;
                ack.lost = true;
                violateDurability("the primary " + primary.name + " of term " + std::to_string(primary.followingTerm)
                                  + " lacks the acknowledged write " + std::to_string(ack.write));
            }
        }
    }

    // --- writes -----------------------------------------------------------

    void submitWrite(std::size_t index)
    {
        Home &home = *m_homes[index];
        const auto snapshot = home.monitor->snapshot();
        const std::string target = m_options.naive ? home.naivePrimary : snapshot->primary;
        const bool elsewhere = m_options.writesAtHomeOnly && target != m_members[index].name;
        if (target.empty() || elsewhere || home.switchover->writesPaused()) {
            return;
        }
        const std::uint64_t id = ++m_lastWrite;
        const Term sentUnder = snapshot->term;
        ++home.openWrites;
        auto open = std::make_shared<bool>(true);
        const auto closed = [this, index, open] {
            if (*open) {
                *open = false;
                --m_homes[index]->openWrites;
            }
        };
        using Answer = std::optional<MemberStatus>;
        ask<Answer>(
            index, indexOf(target), [this, id](FakeMember &member) { return write(member, id); },
            [=, this](const Answer &answer) {
                if (!*open) {
                    return; // a duplicated message, or the request has timed out
                }
                closed();
                if (answer) {
                    onWritten(index, id, sentUnder, *answer);
                }
            },
            closed);
        const std::uint64_t incarnation = home.incarnation;
        after(microseconds(300'000), [=, this] {
            if (m_homes[index]->incarnation == incarnation && *open) {
                ++m_unknown;
                closed();
            }
        });
    }

    std::optional<MemberStatus> write(FakeMember &member, std::uint64_t id)
    {
        std::optional<MemberStatus> status = member.write(id);
        if (status && m_options.durability == Durability::PrimaryOnly) {
            m_writtenAt[status->received] = m_now;
        }
        return status;
    }

    void onWritten(std::size_t index, std::uint64_t id, Term sentUnder, const MemberStatus &status)
    {
        Home &home = *m_homes[index];
        home.writes[id] = status.received;
        if (m_options.naive) {
            acknowledge(index, id);
            return;
        }
        const TimePoint now = localNow(index);
        resolve(index, home.gate->add(id, sentUnder, status, now + milliseconds(300), now));
    }

    void resolve(std::size_t index, const std::vector<CommitResolution> &resolutions)
    {
        Home &home = *m_homes[index];
        for (const CommitResolution &resolution : resolutions) {
            if (resolution.outcome == CommitOutcome::Confirmed) {
                acknowledge(index, resolution.id);
            } else {
                ++m_unknown;
            }
            home.writes.erase(resolution.id);
        }
    }

    void acknowledge(std::size_t index, std::uint64_t id)
    {
        // The position of the write itself: in this model the mark of its answer is exact,
        // since the status is taken together with the write.
        const LogMark mark = m_homes[index]->writes[id];
        m_acks.push_back({m_now, mark, id, false});
        if (m_acks.size() > 1) {
            m_longestGap = std::max(m_longestGap, m_now - m_acks[m_acks.size() - 2].at);
        }
        if (m_healed) {
            ++m_acksAfterHealing;
        }
        for (auto later = m_logsAtPromotion.upper_bound(mark.term); later != m_logsAtPromotion.end(); ++later) {
            const auto &log = later->second;
            if (mark.position > log.size() || log[mark.position - 1] != LogEntry{mark.term, id}) {
                ++m_lostAcks;
                m_acks.back().lost = true;
                violateDurability("write " + std::to_string(id) + " of term " + std::to_string(mark.term)
                                  + " was acknowledged after a primary of term " + std::to_string(later->first)
                                  + " began without it");
            }
            if (m_options.durability == Durability::PrimaryOnly) {
                checkNotReplaced(mark, later->first);
            }
        }
    }

    // Majority durability is checked by the contents of the logs. For PrimaryOnly the rule
    // is that the term had not ended when the write was made.
    void checkNotReplaced(const LogMark &mark, Term later)
    {
        const auto began = m_promotedAt.find(later);
        const auto written = m_writtenAt.find(mark);
        if (began != m_promotedAt.end() && written != m_writtenAt.end() && written->second > began->second) {
            violate("a replaced primary's write was acknowledged");
        }
    }

    // --- homes ------------------------------------------------------------

    std::vector<MemberSpec> specs() const
    {
        std::vector<MemberSpec> specs;
        for (const FakeMember &member : m_members) {
            specs.push_back({member.name, "zone-" + member.name, false});
        }
        return specs;
    }

    void startHome(std::size_t index)
    {
        Home &home = *m_homes[index];
        ++home.incarnation;
        home.paused = false;
        home.deferred.clear();
        home.openWrites = 0;
        home.writes.clear();
        home.roundSentAt.clear();
        std::vector<std::string> names;
        for (const FakeMember &member : m_members) {
            names.push_back(member.name);
        }
        const std::string incarnation = std::to_string(index) + "." + std::to_string(home.incarnation);
        home.monitor = std::make_unique<GroupMonitor>("db", specs(), m_options.monitor);
        home.gate = std::make_unique<CommitGate>(std::move(names), m_options.durability, m_options.gate);
        home.promoter = std::make_unique<Promoter>(PromoterIdentity{"db", m_members[index].name, incarnation}, specs(),
                                                   m_random(), m_options.promoter);
        SwitchoverOptions switchover;
        switchover.drainTimeout = milliseconds(400);
        switchover.catchUpTimeout = milliseconds(200);
        switchover.promotionTimeout = milliseconds(300);
        home.switchover = std::make_unique<Switchover>(switchover);
    }

    void tickHome(std::size_t index)
    {
        after(microseconds(5000), [this, index] { tickHome(index); });
        Home &home = *m_homes[index];
        if (home.paused) {
            return;
        }
        const TimePoint now = localNow(index);
        if (m_now >= home.nextWriteAt) {
            home.nextWriteAt = m_now + m_options.writeSpacing / 2
                + microseconds(below(static_cast<std::uint64_t>(m_options.writeSpacing.count())));
            submitWrite(index);
        }
        if (m_options.naive) {
            tickNaive(index);
            return;
        }
        home.monitor->onTimer(now);
        resolve(index, home.gate->onTimer(now));
        const bool waits = home.gate->waiting() > 0 || home.switchover->running() || home.promoter->running();
        if (home.monitor->nextProbeAt(now, waits) <= now) {
            probe(index, now);
        }
        if (const auto suspicion = home.monitor->suspicion(now)) {
            perform(index, home.promoter->onSuspicion(*suspicion, home.monitor->highestPromised(), now));
        }
        const auto snapshot = home.monitor->snapshot();
        perform(index, home.promoter->onGroup(*snapshot, home.monitor->statuses(), now));
        perform(index, home.promoter->onTimer(now));
        performSwitch(index, home.switchover->onSnapshot(*snapshot, now));
        performSwitch(index, home.switchover->onOpenTransactions(home.openWrites + home.gate->waiting(), now));
        performSwitch(index, home.switchover->onTimer(now));
        if (home.promoter->needsRenewal() && snapshot->primary == m_members[index].name) {
            performSwitch(index,
                          home.switchover->start(*snapshot, snapshot->primary, home.openWrites + home.gate->waiting(), now));
        }
        if (++home.ticks % 16 == 0) {
            checkWatermarks(index);
            checkRead(index);
        }
    }

    void probe(std::size_t index, TimePoint now)
    {
        Home &home = *m_homes[index];
        const ProbeRound round = home.monitor->beginRound(now);
        home.roundSentAt[round.id] = now;
        if (home.roundSentAt.size() > 64) {
            home.roundSentAt.erase(home.roundSentAt.begin());
        }
        for (const std::string &upstream : round.upstreams) {
            ask<MemberStatus>(
                index, indexOf(upstream), [](FakeMember &member) { return member.status(); },
                [this, index, id = round.id](const MemberStatus &status) { onStatus(index, id, status); },
                [this, index, upstream, id = round.id] {
                    m_homes[index]->monitor->onProbeFailed(id, upstream, ProbeFailure::Refused, localNow(index));
                });
        }
    }

    void onStatus(std::size_t index, RoundId round, const MemberStatus &status)
    {
        Home &home = *m_homes[index];
        const TimePoint now = localNow(index);
        home.monitor->onStatus(round, status, now);
        const auto sentAt = home.roundSentAt.find(round);
        if (sentAt != home.roundSentAt.end()) {
            resolve(index, home.gate->onMemberStatus(status, sentAt->second));
        }
        checkNewestWatermark(index);
    }

    void perform(std::size_t index, const PromoterActions &actions)
    {
        for (const PromoterAction &action : actions) {
            std::visit([this, index](const auto &each) { act(index, each); }, action);
        }
    }

    void act(std::size_t index, const AskOpinions &question)
    {
        const std::uint64_t incarnation = m_homes[index]->incarnation;
        for (std::size_t other = 0; other < m_homes.size(); ++other) {
            if (other == index) {
                continue;
            }
            carry(homeCut(index, other), [=, this] {
                atHome(other, m_homes[other]->incarnation, [=, this] {
                    const bool agrees = m_homes[other]->monitor->agrees(question.primary, question.term, localNow(other));
                    carry(homeCut(other, index), [=, this] {
                        atHome(index, incarnation, [=, this] {
                            perform(index,
                                    m_homes[index]->promoter->onOpinion(question.attempt, m_members[other].name, agrees,
                                                                        localNow(index)));
                        });
                    });
                });
            });
        }
    }

    void act(std::size_t index, const ReadRecord &request)
    {
        const std::uint64_t incarnation = m_homes[index]->incarnation;
        carry(m_homeStoreCut[index] > 0, [=, this] {
            const auto record = m_store.available ? std::optional(m_store.object) : std::nullopt;
            carry(m_homeStoreCut[index] > 0 || oneIn(m_storeLosesOneIn), [=, this] {
                atHome(index, incarnation, [=, this] {
                    perform(index, m_homes[index]->promoter->onRecordRead(request.attempt, record, localNow(index)));
                });
            });
        });
    }

    void act(std::size_t index, const ClaimInStore &claim)
    {
        const std::uint64_t incarnation = m_homes[index]->incarnation;
        carry(m_homeStoreCut[index] > 0, [=, this] {
            ClaimAnswer answer = m_store.replace(claim.expectedVersion, claim.record);
            if (oneIn(m_storeLosesOneIn)) {
                answer = {ClaimResult::LostAnswer, {}};
            }
            carry(m_homeStoreCut[index] > 0, [=, this] {
                atHome(index, incarnation,
                       [=, this] { perform(index, m_homes[index]->promoter->onClaim(claim.attempt, answer, localNow(index))); });
            });
        });
    }

    void act(std::size_t index, const SendFence &order)
    {
        if (oneIn(m_options.fencePauseOneIn)) {
            pauseHome(index, microseconds(5000 + below(200'000)));
        }
        ask<ControlAnswer>(
            index, indexOf(order.upstream), [order](FakeMember &member) { return member.fence(order.term, order.token); },
            [this, index, order](const ControlAnswer &answer) {
                perform(index, m_homes[index]->promoter->onFence(order.attempt, answer, localNow(index)));
            },
            [this, index, order] { failed(index, order.attempt, order.upstream); });
    }

    void act(std::size_t index, const SendPromote &order)
    {
        const std::size_t target = indexOf(order.upstream);
        if (oneIn(m_options.promotionFaultOneIn)) {
            injectPromotionFault(index, target);
        }
        ask<ControlAnswer>(
            index, target,
            [this, order, target](FakeMember &member) {
                ControlAnswer answer = member.promote(order.term, order.token);
                if (answer.granted) {
                    onPromoted(target);
                }
                return answer;
            },
            [this, index, order](const ControlAnswer &answer) {
                perform(index, m_homes[index]->promoter->onPromote(order.attempt, answer, localNow(index)));
            },
            [this, index, order] { failed(index, order.attempt, order.upstream); });
    }

    void act(std::size_t index, const SendFollow &order)
    {
        ask<ControlAnswer>(
            index, indexOf(order.upstream),
            [order](FakeMember &member) { return member.follow(order.term, order.token, order.primary); },
            [this, index](const ControlAnswer &answer) {
                perform(index, m_homes[index]->promoter->onFollow(answer, localNow(index)));
            },
            [] {});
    }

    void act(std::size_t index, const Announce &announcement)
    {
        onAnnounced(index, announcement);
        for (std::size_t other = 0; other < m_homes.size(); ++other) {
            if (other != index) {
                carry(homeCut(index, other),
                      [=, this] { atHome(other, m_homes[other]->incarnation, [=, this] { onAnnounced(other, announcement); }); });
            }
        }
    }

    void onAnnounced(std::size_t index, const Announce &announcement)
    {
        Home &home = *m_homes[index];
        const TimePoint now = localNow(index);
        home.monitor->onAnnounced(announcement.term, announcement.primary, now);
        performSwitch(index, home.switchover->onAnnounced(announcement.term, announcement.primary, now));
    }

    void act(std::size_t index, const LearnTerm &learnt)
    {
        m_homes[index]->monitor->onTermLearned(learnt.term, learnt.primary, localNow(index));
    }

    void act(std::size_t index, const RecordInStore &outcome)
    {
        carry(m_homeStoreCut[index] > 0, [=, this] {
            if (m_store.available && m_store.object.record.term < outcome.record.term) {
                m_store.replace(m_store.object.version, outcome.record);
            }
        });
    }

    void act(std::size_t index, const GiveUp &)
    {
        performSwitch(index, m_homes[index]->switchover->onPromotionGaveUp(localNow(index)));
    }

    void failed(std::size_t index, AttemptId attempt, const std::string &upstream)
    {
        perform(index, m_homes[index]->promoter->onMemberFailed(attempt, upstream, localNow(index)));
    }

    void performSwitch(std::size_t index, const SwitchoverActions &actions)
    {
        Home &home = *m_homes[index];
        for (const SwitchoverAction &action : actions) {
            if (const auto *start = std::get_if<StartPromotion>(&action)) {
                perform(index, home.promoter->startPlanned(start->successor, home.monitor->highestPromised(), localNow(index)));
            }
            if (const auto *done = std::get_if<SwitchoverDone>(&action)) {
                m_plannedDone += done->failure ? 0 : 1;
            }
        }
    }

    // --- the lease-based version -------------------------------------------

    // A common proxy design: it takes a lease in the store when the primary has not
    // answered for a while, promotes any replica that answers, and acknowledges a write on
    // the primary's own answer.
    void tickNaive(std::size_t index)
    {
        Home &home = *m_homes[index];
        ask<MemberStatus>(
            index, indexOf(home.naivePrimary), [](FakeMember &member) { return member.status(); },
            [this, index](const MemberStatus &status) {
                Home &asking = *m_homes[index];
                if (status.upstream == asking.naivePrimary) {
                    asking.naiveLastAnswer = m_now;
                }
            },
            [] {});
        if (m_now - home.naiveLastAnswer < microseconds(80'000)) {
            return;
        }
        home.naiveLastAnswer = m_now;
        if (m_homeStoreCut[index] > 0 || !m_store.available) {
            return;
        }
        const Term next = std::max(m_store.object.record.term, home.naiveTerm) + 1;
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            FakeMember &replica = m_members[i];
            if (replica.name != home.naivePrimary && replica.alive && !replica.frozen && !memberCut(index, i)) {
                GroupRecord lease;
                lease.term = next;
                lease.primary = replica.name;
                m_store.replace(m_store.object.version, lease);
                replica.fence(next, "lease");
                replica.promote(next, "lease");
                onPromoted(i);
                break;
            }
        }
        if (!m_store.object.record.primary.empty()) {
            home.naiveTerm = m_store.object.record.term;
            home.naivePrimary = m_store.object.record.primary;
        }
    }

    // --- faults -----------------------------------------------------------

    void planFaults()
    {
        if (m_options.ownHomeCutAt > microseconds(0)) {
            at(m_options.ownHomeCutAt, [this] { cut("home-member", m_homeMemberCut, 0, m_options.faultSpan); });
        }
        if (m_options.faults == 0) {
            return;
        }
        const std::size_t count = 1 + below(m_options.faults);
        for (std::size_t i = 0; i < count; ++i) {
            const auto span = static_cast<std::uint64_t>(m_options.faultSpan.count());
            const microseconds begin(below(span * 3 / 4));
            const microseconds length(10'000 + below(span / 2));
            at(begin, [this, length] { fault(length); });
        }
    }

    void fault(microseconds length)
    {
        const std::size_t n = m_members.size();
        const std::size_t one = below(n);
        const std::size_t other = below(n);
        if (m_options.planned || below(100) < m_options.plannedPercent) {
            startPlanned();
            return;
        }
        switch (below(14)) {
        case 0:
            return kill(one, length);
        case 1:
            return kill(primaryIndex().value_or(one), length);
        case 2:
            return freeze(one, length);
        case 3:
            return cutZone(one, length);
        case 4:
            return cut("home-member", m_homeMemberCut, one * n + other, length);
        case 5:
            return cutBoth("home-home", m_homeHomeCut, one, other, length);
        case 6:
            return cutBoth("member-member", m_memberMemberCut, one, other, length);
        case 7:
            return cut("home-store", m_homeStoreCut, one, length);
        case 8:
            note("store out");
            m_store.available = false;
            return after(length, [this] { m_store.available = !m_options.storeOut; });
        case 9:
            note("store loses answers");
            m_storeLosesOneIn = 2;
            return after(length, [this] { m_storeLosesOneIn = 0; });
        case 10:
            return pauseHome(one, length);
        case 11:
            note("home restarts " + m_members[one].name);
            return startHome(one);
        case 12:
            return cutFromOthers(primaryIndex().value_or(one), length);
        default:
            if (below(2) == 0) {
                note("replica lags " + m_members[one].name);
                m_laggingUntil[one] = m_now + length;
            } else {
                note("latency spike");
                m_spikeUntil = m_now + length;
            }
        }
    }

    void startPlanned()
    {
        for (std::size_t i = 0; i < m_homes.size(); ++i) {
            Home &home = *m_homes[i];
            const auto snapshot = home.monitor->snapshot();
            if (snapshot->primary != m_members[i].name || home.paused || m_options.naive) {
                continue;
            }
            const std::string successor = m_members[below(m_members.size())].name;
            note("planned change to " + successor);
            performSwitch(i, home.switchover->start(*snapshot, successor, home.openWrites + home.gate->waiting(), localNow(i)));
            return;
        }
    }

    void kill(std::size_t index, microseconds length)
    {
        note("kill " + m_members[index].name);
        m_refuses = below(3) != 0;
        m_members[index].alive = false;
        after(length, [this, index] { m_members[index].alive = true; });
    }

    // The primary of the highest term.
    std::optional<std::size_t> primaryIndex() const
    {
        std::optional<std::size_t> index;
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            const bool leads = m_members[i].role == UpstreamRole::Primary;
            if (leads && (!index || m_members[i].followingTerm > m_members[*index].followingTerm)) {
                index = i;
            }
        }
        return index;
    }

    // Injects a fault at a candidate while the order to promote it is being sent.
    void injectPromotionFault(std::size_t home, std::size_t member)
    {
        const microseconds length(20'000 + below(150'000));
        switch (below(3)) {
        case 0:
            return freeze(member, length);
        case 1:
            return kill(member, length);
        default:
            // The order arrives, its answer is lost.
            after(microseconds(200), [=, this] { cut("answers", m_homeMemberCut, home * m_members.size() + member, length); });
        }
    }

    // All homes but its own lose the link to one member: they replace it while it continues
    // to write and its replicas continue to replicate.
    void cutFromOthers(std::size_t member, microseconds length)
    {
        for (std::size_t home = 0; home < m_homes.size(); ++home) {
            if (home != member) {
                cut("home-member", m_homeMemberCut, home * m_members.size() + member, length);
            }
        }
    }

    void freeze(std::size_t index, microseconds length)
    {
        note("freeze " + m_members[index].name);
        m_members[index].frozen = true;
        after(length, [this, index] { m_members[index].frozen = false; });
    }

    void cut(const std::string &kind, std::vector<int> &links, std::size_t link, microseconds length)
    {
        note("cut " + kind + " " + std::to_string(link));
        ++links[link];
        after(length, [&links, link] { --links[link]; });
    }

    void cutBoth(const std::string &kind, std::vector<int> &links, std::size_t one, std::size_t other, microseconds length)
    {
        if (one != other) {
            cut(kind, links, one * m_members.size() + other, length);
            cut(kind, links, other * m_members.size() + one, length);
        }
    }

    // Cuts one zone, with its home and its member, off from all others.
    void cutZone(std::size_t zone, microseconds length)
    {
        const std::size_t n = m_members.size();
        for (std::size_t other = 0; other < n; ++other) {
            if (other != zone) {
                cut("zone", m_homeMemberCut, zone * n + other, length);
                cut("zone", m_homeMemberCut, other * n + zone, length);
                cutBoth("zone", m_homeHomeCut, zone, other, length);
                cutBoth("zone", m_memberMemberCut, zone, other, length);
            }
        }
        cut("zone", m_homeStoreCut, zone, length);
    }

    void pauseHome(std::size_t index, microseconds length)
    {
        Home &home = *m_homes[index];
        if (home.paused) {
            return;
        }
        home.paused = true;
        home.pausedAt = m_now;
        home.clockStopped = below(2) == 0;
        note("pause home " + m_members[index].name + (home.clockStopped ? ", its clock stops" : ""));
        const std::uint64_t incarnation = home.incarnation;
        after(length, [this, index, incarnation] {
            if (m_homes[index]->incarnation == incarnation) {
                resumeHome(index);
            }
        });
    }

    void resumeHome(std::size_t index)
    {
        Home &home = *m_homes[index];
        if (!home.paused) {
            return;
        }
        note("home resumes " + m_members[index].name);
        home.paused = false;
        if (home.clockStopped) {
            home.lostTime += m_now - home.pausedAt;
        }
        const TimePoint now = localNow(index);
        home.monitor->onClockGap(now);
        perform(index, home.promoter->onClockGap(now));
        performSwitch(index, home.switchover->onClockGap(now));
        std::deque<std::function<void()>> deferred = std::move(home.deferred);
        home.deferred.clear();
        for (const auto &act : deferred) {
            act();
        }
        checkWatermarks(index);
    }

    void healAll()
    {
        note("all faults heal");
        m_healed = true;
        m_quiet = true;
        m_spikeUntil = microseconds(0);
        m_laggingUntil.fill(microseconds(0));
        m_storeLosesOneIn = 0;
        m_store.available = !m_options.storeOut;
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            m_members[i].alive = true;
            m_members[i].frozen = false;
            resumeHome(i);
        }
        for (std::vector<int> *links : {&m_homeMemberCut, &m_homeHomeCut, &m_memberMemberCut, &m_homeStoreCut}) {
            std::ranges::fill(*links, -1'000'000);
        }
    }

    bool recovered() const
    {
        return m_acksAfterHealing >= 5;
    }

    // --- invariants -------------------------------------------------------

    // A watermark dated t proves that nothing acknowledged before t lies beyond its mark.
    // The check uses its age, so a clock that was suspended is detected here.
    void checkWatermark(std::size_t index, const Watermark &watermark)
    {
        const microseconds age = std::chrono::duration_cast<microseconds>(localNow(index) - watermark.sentAt);
        const microseconds claimed = m_now - age;
        const auto beyond = std::ranges::lower_bound(m_acks, claimed, {}, &Ack::at);
        if (beyond == m_acks.begin()) {
            return;
        }
        if (beyond - m_acks.begin() > 8) { // marks rise nearly in order, so the last few suffice
            for (auto ack = beyond - 8; ack != beyond; ++ack) {
                checkWithin(index, *ack, watermark);
            }
            return;
        }
        for (auto ack = m_acks.begin(); ack != beyond; ++ack) {
            checkWithin(index, *ack, watermark);
        }
    }

    void checkWithin(std::size_t index, const Ack &ack, const Watermark &watermark)
    {
        if (ack.mark > watermark.mark) {
            std::ostringstream text;
            text << "home " << m_members[index].name << " holds a watermark at " << watermark.mark << " dated after the write at "
                 << ack.mark << " was acknowledged";
            violate(text.str());
        }
    }

    // A read that is sent to a member because it has replayed a watermark's mark must see
    // everything that was acknowledged before the date of the watermark.
    void checkRead(std::size_t index)
    {
        const auto snapshot = m_homes[index]->monitor->snapshot();
        if (snapshot->watermarks.empty()) {
            return;
        }
        const FakeMember &member = m_members[below(m_members.size())];
        const Watermark &watermark = snapshot->watermarks[below(snapshot->watermarks.size())];
        if (member.markAt(member.replayed) < watermark.mark) {
            return;
        }
        const microseconds claimed = m_now - std::chrono::duration_cast<microseconds>(localNow(index) - watermark.sentAt);
        for (const Ack &ack : m_acks) {
            const bool shown = ack.mark.position <= member.replayed && member.holds(ack.mark, ack.write);
            if (ack.at < claimed && !shown && !ack.lost) {
                return violate("a read of " + member.name + " misses write " + std::to_string(ack.write)
                               + ", which was acknowledged before the date it was proven to show");
            }
        }
        ++m_reads;
    }

    void checkNewestWatermark(std::size_t index)
    {
        Home &home = *m_homes[index];
        const auto newest = home.monitor->newestWatermark();
        if (newest && newest->sentAt != home.checkedWatermark) {
            home.checkedWatermark = newest->sentAt;
            ++m_watermarkCount;
            checkWatermark(index, *newest);
        }
    }

    void checkWatermarks(std::size_t index)
    {
        const auto snapshot = m_homes[index]->monitor->snapshot();
        for (const Watermark &watermark : snapshot->watermarks) {
            checkWatermark(index, watermark);
        }
    }

    void violateDurability(const std::string &what)
    {
        if (m_options.durability == Durability::Majority) {
            violate(what);
        }
    }

    void violate(const std::string &what)
    {
        if (m_violation.empty()) {
            std::ostringstream text;
            text << "seed " << m_options.seed << " at " << m_now.count() << " us: " << what;
            m_violation = text.str();
            noteState();
        }
    }

    // Logs the state of all members and homes, for the analysis of a failed schedule.
    void noteState()
    {
        for (const FakeMember &member : m_members) {
            std::ostringstream text;
            text << "member " << member.name << " role " << static_cast<int>(member.role) << " promised " << member.promisedTerm
                 << " to " << member.promisedTo << " follows " << member.followingTerm << " of " << member.leader << " at "
                 << member.markAt(member.log.size());
            note(text.str());
        }
        for (std::size_t i = 0; i < m_homes.size(); ++i) {
            const auto snapshot = m_homes[i]->monitor->snapshot();
            std::ostringstream text;
            text << "home " << m_members[i].name << " term " << snapshot->term << " primary " << snapshot->primary
                 << " confirmed " << snapshot->primaryConfirmed << " attempt " << m_homes[i]->promoter->running() << " renewal "
                 << m_homes[i]->promoter->needsRenewal() << " paused " << m_homes[i]->paused << " writes paused "
                 << m_homes[i]->switchover->writesPaused();
            note(text.str());
        }
    }

    void note(const std::string &what)
    {
        m_eventLog << m_now.count() << " us: " << what << '\n';
    }

    WorldOptions m_options;
    std::mt19937_64 m_random;
    microseconds m_now{0};
    std::uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<FakeMember> m_members;
    std::vector<std::unique_ptr<Home>> m_homes;
    FakeStore m_store;
    // The number of active faults that cut each link; a link works at 0 or below.
    std::vector<int> m_homeMemberCut;
    std::vector<int> m_homeHomeCut;
    std::vector<int> m_memberMemberCut;
    std::vector<int> m_homeStoreCut;
    std::uint64_t m_storeLosesOneIn = 0;
    bool m_refuses = true;
    bool m_healed = false;
    bool m_quiet = false;
    microseconds m_spikeUntil{0};
    std::array<microseconds, 8> m_laggingUntil{};
    std::uint64_t m_lastWrite = 0;
    // In the order of acknowledgement.
    std::vector<Ack> m_acks;
    std::map<Term, std::size_t> m_promoted;
    std::map<Term, microseconds> m_promotedAt;
    std::map<LogMark, microseconds> m_writtenAt;
    // The log of each primary as its term began.
    std::map<Term, std::vector<LogEntry>> m_logsAtPromotion;
    std::size_t m_acksAfterHealing = 0;
    std::size_t m_unknown = 0;
    std::size_t m_watermarkCount = 0;
    std::size_t m_reads = 0;
    std::size_t m_plannedDone = 0;
    std::size_t m_lostAcks = 0;
    microseconds m_longestGap{0};
    std::string m_violation;
    std::ostringstream m_eventLog;
};

} // namespace egrettide::testing
