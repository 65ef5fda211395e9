// Schedules of promotions that a third party carries out: orders that are answered late or never and
// carried out seconds later, members that join, hosts that are cut off, and a store that loses answers.

#define BOOST_TEST_MODULE PromotionOrders
#include <boost/test/unit_test.hpp>

#include "egrettide/core/promoter.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace egrettide;

namespace
{

constexpr milliseconds hop{2};
constexpr milliseconds storeLatency{4};
constexpr milliseconds promotionTime{600};
constexpr milliseconds viewInterval{50};
constexpr milliseconds suspicionTime{400};
constexpr std::chrono::seconds scheduleLength{40};
constexpr int schedules = 300;

// One promotion that was carried out.
struct CarriedOut {
    std::string upstream;
    Term over = 0;
    // Whether the promoted log holds entries that an earlier promotion had rolled back.
    bool bringsBackEntries = false;
    // Whether it lacks entries that had been acknowledged.
    bool lacksAcknowledged = false;
};

// An entry of a log, unique in its schedule.
struct Entry {
    Term term = 0;
    std::uint32_t id = 0;

    friend bool operator==(const Entry &, const Entry &) = default;
};

class Schedule
{
public:
    // With `acknowledging` replicas, 0 or 1, the group has a fourth member, which leaves; none joins, as a
    // replica that joins acknowledges before any host knows it.
    Schedule(std::uint64_t seed, const PromoterFaults &faults, std::size_t acknowledging = 0)
        : m_random(seed), m_acknowledging(acknowledging)
    {
        for (const char *name : {"a", "b", "c"}) {
            m_members[name] = Member{};
        }
        if (acknowledging > 0) {
            m_members["d"] = Member{};
        }
        for (std::size_t i = 0; i < 3; ++i) {
            PromoterOptions options;
            options.promoteBy = PromoteBy::ThirdParty;
            options.promoteTimeout = milliseconds{2500};
            options.faults = faults;
            const std::string home(1, static_cast<char>('a' + i));
            m_hosts.push_back(std::make_unique<Host>());
            m_hosts.back()->promoter =
                std::make_unique<Promoter>(PromoterIdentity{"bookings", home, "host-" + home}, specs(), seed + i, options);
            m_hosts.back()->promoter->setAcknowledgingReplicas(acknowledging);
            at(milliseconds(1 + 7 * static_cast<int>(i)), [this, i] { look(i); });
        }
        write();
        disturb();
    }

    // The promotions in their order.
    std::vector<CarriedOut> run()
    {
        while (!m_events.empty() && m_events.begin()->first < m_start + scheduleLength) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key();
            node.mapped()();
        }
        return m_promotions;
    }

private:
    struct Member {
        Term term = 1;
        std::vector<Entry> log;
        Term held = 0;
        bool receives = true;

        LogMark received() const
        {
            return LogMark{log.empty() ? Term{1} : log.back().term, log.size()};
        }
    };

    struct Host {
        std::unique_ptr<Promoter> promoter;
        TimePoint nextTimer = TimePoint::max();
        TimePoint missingSince = TimePoint::max();
        // Members that it does not reach.
        std::set<std::string> cut;
        // The latest term that it has seen or learnt.
        Term knownTerm = 0;
        // The last primary that it has seen, and its term.
        std::string seenPrimary;
        Term seenTerm = 0;
    };

    bool chance(double share)
    {
        return std::uniform_real_distribution<>(0, 1)(m_random) < share;
    }
    milliseconds between(int low, int high)
    {
        return milliseconds(std::uniform_int_distribution<>(low, high)(m_random));
    }
    void at(milliseconds delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }

    std::vector<MemberSpec> specs() const
    {
        std::vector<MemberSpec> specs;
        for (const auto &[name, member] : m_members) {
            specs.push_back(MemberSpec{name, "zone-" + name, m_acknowledging > 0 && name == "d"});
        }
        return specs;
    }

    // The primary acknowledges on its own, or once a replica has received; others receive while they are neither fenced nor cut
    // off, each with some lag.
    void write()
    {
        Member &primary = m_members.at(m_primary);
        primary.log.push_back(Entry{m_term, ++m_lastEntry});
        for (auto &[name, member] : m_members) {
            if (name != m_primary && member.receives && member.held <= m_term && chance(0.7)) {
                follow(member, primary);
                m_acknowledged = m_acknowledging > 0 ? primary.log.size() : 0;
            }
        }
        at(milliseconds{10}, [this] { write(); });
    }

    // Rolls back what the primary does not have, and copies the rest.
    void follow(Member &member, const Member &primary) const
    {
        while (!member.log.empty()
               && (member.log.size() > primary.log.size() || member.log.back() != primary.log[member.log.size() - 1])) {
            member.log.pop_back();
        }
        member.log.insert(member.log.end(), primary.log.begin() + static_cast<std::ptrdiff_t>(member.log.size()),
                          primary.log.end());
        member.term = m_term;
    }

    // Every few seconds, cuts the primary off from some hosts and members, or lets a member join.
    void disturb()
    {
        const std::string lost = m_primary;
        for (const auto &host : m_hosts) {
            if (chance(0.7)) {
                host->cut.insert(lost);
            }
            for (const auto &[name, member] : m_members) {
                if (name != lost && chance(0.2)) {
                    host->cut.insert(name);
                }
            }
        }
        for (auto &[name, member] : m_members) {
            member.receives = chance(0.6);
        }
        if (m_acknowledging == 0 && m_members.size() < 5 && chance(0.6)) {
            at(between(300, 1500), [this] { join(); });
        }
        at(between(2000, 7000), [this] { heal(); });
        at(between(4000, 9000), [this] { disturb(); });
    }

    void heal()
    {
        for (const auto &host : m_hosts) {
            host->cut.clear();
        }
        for (auto &[name, member] : m_members) {
            member.receives = true;
            // Some members start again, which ends their fence.
            member.held = m_acknowledging > 0 ? member.held : 0;
        }
    }

    // The new primary is lost soon, its replicas receive nothing, and the hosts reach the former one.
    void loseSoon(const std::string &primary)
    {
        for (auto &[name, member] : m_members) {
            member.receives = false;
        }
        at(between(300, 1500), [this, primary] {
            for (const auto &host : m_hosts) {
                host->cut = {primary};
            }
        });
        at(milliseconds{5000}, [this] { heal(); });
    }

    void join()
    {
        const std::string name(1, static_cast<char>('a' + m_members.size()));
        Member joined = m_members.at(m_primary);
        joined.held = 0;
        m_members[name] = joined;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            perform(i, m_hosts[i]->promoter->setMembers(specs(), m_now));
        }
    }

    MemberStatus statusOf(const std::string &name) const
    {
        const Member &member = m_members.at(name);
        MemberStatus status;
        status.upstream = name;
        status.role = name == m_primary ? UpstreamRole::Primary : UpstreamRole::Replica;
        status.received = member.received();
        status.replayed = status.received;
        status.followingTerm = member.term;
        status.promisedTerm = std::max(member.term, member.held);
        return status;
    }

    void look(std::size_t index)
    {
        Host &host = *m_hosts[index];
        GroupSnapshot view;
        std::vector<MemberStatus> statuses;
        Term promised = 0;
        for (const auto &[name, member] : m_members) {
            if (host.cut.contains(name)) {
                continue;
            }
            statuses.push_back(statusOf(name));
            view.term = std::max(view.term, member.term);
            promised = std::max(promised, statuses.back().promisedTerm);
        }
        const bool sees = !host.cut.contains(m_primary);
        host.knownTerm = std::max({host.knownTerm, view.term, sees ? m_term : Term{0}});
        view.term = host.knownTerm;
        view.primary = sees ? m_primary : std::string();
        view.primaryConfirmed = sees;
        if (sees) {
            host.seenPrimary = m_primary;
            host.seenTerm = m_term;
        }
        host.missingSince = sees ? TimePoint::max() : std::min(host.missingSince, m_now);
        perform(index, host.promoter->onGroup(view, statuses, m_now));
        if (!sees && m_now - host.missingSince >= suspicionTime) {
            const bool names = m_acknowledging > 0 && host.seenTerm == view.term;
            const Suspicion suspicion{names ? SuspicionReason::PrimarySilent : SuspicionReason::NoPrimary,
                                      names ? host.seenPrimary : std::string(), view.term};
            perform(index, host.promoter->onSuspicion(suspicion, promised, m_now));
        }
        at(viewInterval, [this, index] { look(index); });
    }

    void perform(std::size_t index, const PromoterActions &actions)
    {
        for (const PromoterAction &action : actions) {
            std::visit([this, index](const auto &each) { act(index, each); }, action);
        }
        const auto next = m_hosts[index]->promoter->nextTimerAt();
        if (next && *next < m_hosts[index]->nextTimer) {
            m_hosts[index]->nextTimer = *next;
            m_events.emplace(std::max(*next, m_now), [this, index] {
                m_hosts[index]->nextTimer = TimePoint::max();
                perform(index, m_hosts[index]->promoter->onTimer(m_now));
            });
        }
    }

    void act(std::size_t index, const AskOpinions &question)
    {
        for (std::size_t other = 0; other < m_hosts.size(); ++other) {
            const std::string home(1, static_cast<char>('a' + other));
            const bool agrees = m_hosts[other]->missingSince != TimePoint::max();
            if (other != index) {
                at(hop, [this, index, home, agrees, attempt = question.attempt] {
                    perform(index, m_hosts[index]->promoter->onOpinion(attempt, home, agrees, m_now));
                });
            }
        }
    }

    void act(std::size_t index, const ReadRecord &read)
    {
        at(storeLatency, [this, index, attempt = read.attempt] {
            perform(index, m_hosts[index]->promoter->onRecordRead(attempt, m_store, m_now));
        });
    }

    void act(std::size_t index, const ClaimInStore &claim)
    {
        at(storeLatency, [this, index, claim] {
            const bool matches = claim.expectedVersion == m_store.version;
            if (matches) {
                m_store = VersionedRecord{m_store.version + 1, claim.record};
                m_overOf[m_store.version] = claim.record.order ? claim.record.order->over : claim.record.claimedOver;
            }
            const ClaimResult result = chance(0.05) ? ClaimResult::LostAnswer
                : matches                           ? ClaimResult::Claimed
                                                    : ClaimResult::Conflict;
            perform(index, m_hosts[index]->promoter->onClaim(claim.attempt, ClaimAnswer{result, m_store}, m_now));
        });
    }

    void act(std::size_t index, const SendFence &fence)
    {
        if (m_hosts[index]->cut.contains(fence.upstream) || !m_members.contains(fence.upstream)) {
            return;
        }
        at(hop, [this, index, fence] {
            Member &member = m_members.at(fence.upstream);
            ControlAnswer answer;
            answer.granted = fence.upstream != m_primary && fence.term > std::max(member.term, member.held);
            member.held = answer.granted ? fence.term : member.held;
            answer.status = statusOf(fence.upstream);
            answer.status.promisedTo = answer.granted ? fence.token : std::string();
            perform(index, m_hosts[index]->promoter->onFence(fence.attempt, answer, m_now));
        });
    }

    // Half of the orders get no answer and are carried out 2 to 12 s later, when the fence is checked.
    void act(std::size_t index, const SendPromote &order)
    {
        if (chance(0.5)) {
            at(between(2000, 12'000), [this, order] { accepts(order); });
            return;
        }
        at(hop, [this, index, order] {
            ControlAnswer answer;
            answer.granted = accepts(order);
            answer.status.upstream = order.upstream;
            perform(index, m_hosts[index]->promoter->onPromote(order.attempt, answer, m_now));
        });
    }

    bool accepts(const SendPromote &order)
    {
        if (order.fencingToken < m_highestToken) {
            return false;
        }
        m_highestToken = order.fencingToken;
        if (order.upstream != m_primary) {
            at(promotionTime, [this, order] { promote(order); });
        }
        return true;
    }

    void promote(const SendPromote &order)
    {
        if (order.upstream == m_primary) {
            return;
        }
        Member &member = m_members.at(order.upstream);
        const bool bringsBack =
            std::ranges::any_of(member.log, [this](const Entry &entry) { return m_rolledBack.contains(entry.id); });
        const std::vector<Entry> &former = m_members.at(m_primary).log;
        const bool lacks = m_acknowledged > 0
            && (member.log.size() < m_acknowledged || member.log[m_acknowledged - 1] != former[m_acknowledged - 1]);
        m_acknowledged = lacks ? 0 : m_acknowledged;
        m_promotions.push_back(CarriedOut{order.upstream, m_overOf.at(order.fencingToken), bringsBack, lacks});
        noteRolledBack(member);
        ++m_term;
        m_primary = order.upstream;
        member.term = m_term;
        member.held = 0;
        for (const auto &host : m_hosts) {
            if (chance(0.7)) {
                host->cut.erase(m_primary);
            }
        }
        if (chance(0.3)) {
            loseSoon(m_primary);
        }
    }

    // What others hold and the promoted member does not is rolled back for good.
    void noteRolledBack(const Member &promoted)
    {
        for (const auto &[name, member] : m_members) {
            for (std::size_t i = 0; i < member.log.size(); ++i) {
                if (i >= promoted.log.size() || member.log[i] != promoted.log[i]) {
                    m_rolledBack.insert(member.log[i].id);
                }
            }
        }
    }

    void act(std::size_t index, const SendFollow &order)
    {
        if (const auto found = m_members.find(order.upstream); m_acknowledging > 0 && found != m_members.end()) {
            if (m_hosts[index]->cut.contains(order.upstream)) {
                return;
            }
            at(hop, [this, index, order] {
                m_members.at(order.upstream).held = 0;
                ControlAnswer answer{true, statusOf(order.upstream)};
                perform(index, m_hosts[index]->promoter->onFollow(answer, m_now));
            });
        } else if (found != m_members.end()) {
            found->second.held = 0;
        }
    }

    void act(std::size_t, const RecordInStore &outcome)
    {
        if (m_store.record.term < outcome.record.term) {
            const std::optional<PromotionOrder> order = m_store.record.order;
            TermHistory terms;
            terms.add(m_store.record.beginnings);
            terms.add(outcome.record.beginnings);
            m_store = VersionedRecord{m_store.version + 1, outcome.record};
            m_store.record.beginnings = terms.beginnings();
            if (order && order->over >= outcome.record.term) {
                m_store.record.order = order;
            }
        }
    }

    void act(std::size_t, const Announce &)
    {
    }
    void act(std::size_t index, const LearnTerm &learnt)
    {
        m_hosts[index]->knownTerm = std::max(m_hosts[index]->knownTerm, learnt.term);
    }
    void act(std::size_t, const GiveUp &)
    {
    }

    const TimePoint m_start{std::chrono::seconds(100)};
    TimePoint m_now = m_start;
    std::mt19937_64 m_random;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::map<std::string, Member> m_members;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::string m_primary = "a";
    Term m_term = 1;
    VersionedRecord m_store;
    // The term that the record of each version was meant to replace.
    std::map<std::uint64_t, Term> m_overOf;
    std::uint64_t m_highestToken = 0;
    std::vector<CarriedOut> m_promotions;
    std::uint32_t m_lastEntry = 0;
    const std::size_t m_acknowledging;
    // The length of the primary's log up to its last acknowledged entry; not counted without
    // acknowledging replicas.
    std::size_t m_acknowledged = 0;
    std::set<std::uint32_t> m_rolledBack;
};

struct Totals {
    std::size_t promotions = 0;
    std::size_t broken = 0;
    std::uint64_t firstBroken = 0;
    // Schedules in which a promotion brought back entries that an earlier one had rolled back.
    std::size_t returned = 0;
    std::uint64_t firstReturned = 0;
    // Schedules in which a promotion lacked acknowledged entries.
    std::size_t lost = 0;
    std::uint64_t firstLost = 0;
};

// A schedule is broken if two candidates were promoted over one term, or one over a term after which
// another had led.
bool isBroken(const std::vector<CarriedOut> &promotions)
{
    Term latest = 0;
    std::string leader;
    for (const CarriedOut &each : promotions) {
        if (each.over <= latest && each.upstream != leader && latest > 0) {
            return true;
        }
        latest = std::max(latest, each.over);
        leader = each.upstream;
    }
    return false;
}

Totals play(const PromoterFaults &faults, std::size_t acknowledging = 0)
{
    Totals totals;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        const auto promotions = Schedule(seed, faults, acknowledging).run();
        totals.promotions += promotions.size();
        if (isBroken(promotions)) {
            totals.firstBroken = totals.broken == 0 ? seed : totals.firstBroken;
            ++totals.broken;
        }
        if (std::ranges::any_of(promotions, &CarriedOut::bringsBackEntries)) {
            totals.firstReturned = totals.returned == 0 ? seed : totals.firstReturned;
            ++totals.returned;
        }
        if (std::ranges::any_of(promotions, &CarriedOut::lacksAcknowledged)) {
            totals.firstLost = totals.lost == 0 ? seed : totals.firstLost;
            ++totals.lost;
        }
    }
    BOOST_TEST_MESSAGE(totals.promotions << " promotions in " << schedules << " schedules, " << totals.broken
                                         << " broken, the first at seed " << totals.firstBroken << "; " << totals.returned
                                         << " brought back entries, the first at seed " << totals.firstReturned << "; "
                                         << totals.lost << " lost acknowledged entries, the first at seed " << totals.firstLost);
    return totals;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LateOrders)

// Guards against two candidates that lead one after the other over one term.
BOOST_AUTO_TEST_CASE(PromoteOneCandidateForEachTerm)
{
    const Totals totals = play({});
    BOOST_TEST(totals.broken == 0U, "seed " << totals.firstBroken);
    BOOST_TEST(totals.promotions > static_cast<std::size_t>(schedules), "the schedules promoted too rarely to show anything");
}

BOOST_AUTO_TEST_CASE(WouldPromoteTwoIfTheOrderOfTheFirstDidNotBind)
{
    PromoterFaults faults;
    faults.ignorePendingOrder = true;
    BOOST_TEST(play(faults).broken > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AbandonedEntries)

// Guards against a promotion of a former primary with commits that reads of a later term missed.
BOOST_AUTO_TEST_CASE(NeverComeBack)
{
    const Totals totals = play({});
    BOOST_TEST(totals.returned == 0U, "seed " << totals.firstReturned);
}

BOOST_AUTO_TEST_CASE(WouldComeBackIfPositionsAloneWereCompared)
{
    PromoterFaults faults;
    faults.ignoreBranches = true;
    BOOST_TEST(play(faults).returned > 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AcknowledgedEntries)

// Guards against a promotion without commits that a replica alone had received and acknowledged.
BOOST_AUTO_TEST_CASE(AreInThePromotedLog)
{
    const Totals totals = play({}, 1);
    BOOST_TEST(totals.lost == 0U, "seed " << totals.firstLost);
    BOOST_TEST(totals.broken == 0U, "seed " << totals.firstBroken);
    BOOST_TEST(totals.promotions > static_cast<std::size_t>(schedules) / 2, "the schedules promoted too rarely to show anything");
}

BOOST_AUTO_TEST_CASE(WouldBeLostIfSilentReplicasDidNotCount)
{
    PromoterFaults faults;
    faults.ignoreSilentReplicas = true;
    BOOST_TEST(play(faults, 1).lost > 0U);
}

BOOST_AUTO_TEST_CASE(WouldBeLostIfAllWereReleasedBeforeTheOrderEnds)
{
    PromoterFaults faults;
    faults.releaseBeforeOrderEnds = true;
    BOOST_TEST(play(faults, 1).lost > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
