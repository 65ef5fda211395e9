// Tests the group rules of the upstream stand-in without sockets: random schedules of
// writes, replication and promotions must keep the property that egrettide relies on,
// that every later primary has every confirmed commit.

#define BOOST_TEST_MODULE GroupMember
#include <boost/test/unit_test.hpp>

#include "testing/upstream/executor.h"
#include "testing/upstream/groupmember.h"

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace
{

using egrettide::LogMark;
using egrettide::MemberStatus;
using egrettide::Position;
using egrettide::Term;
using egrettide::TimePoint;
using egrettide::testing::executeStatement;
using egrettide::testing::GroupFaults;
using egrettide::testing::GroupMember;
using egrettide::testing::LogAnswer;
using egrettide::testing::LogEntry;
using egrettide::testing::ParsedText;
using egrettide::testing::parseStatements;
using egrettide::testing::Row;
using egrettide::testing::SqlError;
using egrettide::testing::Transaction;
using egrettide::testing::Value;

constexpr std::size_t memberCount = 3;
constexpr std::size_t majority = 2;
constexpr std::size_t promoterCount = 2;
constexpr std::size_t pullEntries = 2;

// The kind of a step and two numbers that select the member and the promoter.
using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;

// The state of one promoter's promotion, which may stop after any step.
struct Promoter {
    std::string token;
    Term term = 0;
    std::vector<std::size_t> promisers;
    bool isDone = false;
    // The promoted member; the others receive the announcement one by one, or never.
    std::optional<std::size_t> chosen;
};

// A commit that a home would acknowledge.
struct Confirmed {
    LogMark mark;
    Row written;
};

// Three members and the promoters that compete to promote one of them.
class Group
{
public:
    explicit Group(GroupFaults faults)
    {
        for (std::size_t i = 0; i < memberCount; ++i) {
            m_members.push_back(std::make_unique<GroupMember>(std::to_string(i), faults));
        }
        m_members[0]->startAsPrimary(1);
        m_members[1]->startAsReplica(1, "0");
        m_members[2]->startAsReplica(1, "0");
        for (std::size_t i = 0; i < promoterCount; ++i) {
            m_promoters[i].token = "promoter " + std::to_string(i);
        }
        write(0, parseStatements("CREATE TABLE booking (slot int8 PRIMARY KEY)"), {});
    }

    void step(const Step &step)
    {
        const auto [kind, first, second] = step;
        const std::size_t member = first % memberCount;
        Promoter &promoter = m_promoters[second % promoterCount];
        switch (kind % 12) {
        case 0:
        case 1:
            return write(member, m_insertBooking, {Value(++m_slots)});
        case 2:
        case 3:
        case 4:
            return pull(member, second % memberCount);
        case 5:
            return confirm(member);
        case 6:
        case 7:
            return fence(promoter, member);
        case 8:
            return promote(promoter);
        case 9:
        case 10:
            return announce(promoter, member);
        default:
            // A promotion in progress is rarely abandoned; otherwise few promotions would complete.
            if (promoter.term == 0 || promoter.isDone || first % 8 == 0) {
                beginPromotion(promoter);
            }
        }
    }

    // Describes the violated property; empty when the property holds.
    std::string violation() const
    {
        const GroupMember *leader = highestPrimary();
        for (const Confirmed &commit : m_confirmed) {
            if (leader != nullptr && leader->followingTerm() >= commit.mark.term && !holds(*leader, commit)) {
                return "the primary of term " + std::to_string(leader->followingTerm()) + " lacks a confirmed commit";
            }
            const auto holders =
                std::count_if(m_members.begin(), m_members.end(), [&](const auto &member) { return holds(*member, commit); });
            if (static_cast<std::size_t>(holders) < majority) {
                return "a confirmed commit is left on " + std::to_string(holders) + " member";
            }
        }
        return {};
    }

private:
    void write(std::size_t member, const ParsedText &text, const std::vector<Value> &parameters)
    {
        GroupMember &target = *m_members[member];
        Transaction transaction = target.begin(false);
        try {
            executeStatement(text.statements.front(), parameters, target, transaction);
            target.commit(transaction);
        } catch (const SqlError &) {
            // The write is refused: the member is not a primary, or lacks the table.
        }
    }

    // A replica pulls from any member, as it may still hold a connection to an old primary.
    void pull(std::size_t member, std::size_t source)
    {
        GroupMember &replica = *m_members[member];
        LogMark after = replica.received();
        while (member != source) {
            const LogAnswer answer = m_members[source]->logAfter(m_members[source]->followingTerm(), after, pullEntries);
            const bool isTaken = replica.receive(after, answer, TimePoint());
            if (!isTaken || answer.matched) {
                break;
            }
            after = replica.markAt(answer.resumeAfter);
        }
        replica.replay(TimePoint());
    }

    // Checks what a home checks before it acknowledges the last write of a primary.
    void confirm(std::size_t primary)
    {
        const GroupMember &leader = *m_members[primary];
        if (!leader.isPrimary()) {
            return;
        }
        const LogMark mark = leader.received();
        const auto confirming = std::count_if(m_members.begin(), m_members.end(), [&](const auto &member) {
            const MemberStatus status = member->status();
            return status.promisedTerm == leader.followingTerm() && status.received >= mark;
        });
        const bool isKnown = !m_confirmed.empty() && m_confirmed.back().mark == mark;
        if (static_cast<std::size_t>(confirming) >= majority && !isKnown) {
            m_confirmed.push_back({mark, writtenBy(leader.log().back())});
        }
    }

    void beginPromotion(Promoter &promoter)
    {
        Term promised = 0;
        for (const auto &member : m_members) {
            promised = std::max(promised, member->status().promisedTerm);
        }
        promoter.term = promised + 1;
        promoter.promisers.clear();
        promoter.isDone = false;
        promoter.chosen.reset();
    }

    void fence(Promoter &promoter, std::size_t member)
    {
        const bool isNew = std::count(promoter.promisers.begin(), promoter.promisers.end(), member) == 0;
        if (promoter.term > 0 && !promoter.isDone && isNew && m_members[member]->fence(promoter.term, promoter.token)) {
            promoter.promisers.push_back(member);
        }
    }

    void promote(Promoter &promoter)
    {
        if (promoter.isDone || promoter.promisers.size() < majority) {
            return;
        }
        promoter.isDone = true;
        const auto chosen =
            *std::max_element(promoter.promisers.begin(), promoter.promisers.end(), [this](std::size_t a, std::size_t b) {
                return m_members[a]->received() < m_members[b]->received();
            });
        if (m_members[chosen]->promote(promoter.term, promoter.token)) {
            promoter.chosen = chosen;
        }
    }

    void announce(const Promoter &promoter, std::size_t member)
    {
        if (promoter.chosen && *promoter.chosen != member) {
            m_members[member]->follow(promoter.term, promoter.token, std::to_string(*promoter.chosen));
        }
    }

    const GroupMember *highestPrimary() const
    {
        const GroupMember *highest = nullptr;
        for (const auto &member : m_members) {
            const bool isHigher = highest == nullptr || member->followingTerm() > highest->followingTerm();
            highest = member->isPrimary() && isHigher ? member.get() : highest;
        }
        return highest;
    }

    // The row that identifies a write; empty for the entry that starts a term.
    static Row writtenBy(const LogEntry &entry)
    {
        return entry.changes.empty() ? Row() : entry.changes.front().values;
    }

    static bool holds(const GroupMember &member, const Confirmed &commit)
    {
        const auto &log = member.log();
        const Position position = commit.mark.position;
        return position <= log.size() && log[position - 1].mark == commit.mark && writtenBy(log[position - 1]) == commit.written;
    }

    std::vector<std::unique_ptr<GroupMember>> m_members;
    std::array<Promoter, promoterCount> m_promoters;
    std::vector<Confirmed> m_confirmed;
    const ParsedText m_insertBooking = parseStatements("INSERT INTO booking VALUES ($1)");
    std::int64_t m_slots = 0;
};

std::string violationOf(const std::vector<Step> &steps, GroupFaults faults)
{
    Group group(faults);
    for (const Step &step : steps) {
        group.step(step);
        std::string violation = group.violation();
        if (!violation.empty()) {
            return violation;
        }
    }
    return {};
}

std::vector<Step> randomSteps(std::uint64_t seed)
{
    constexpr std::size_t count = 600;
    std::mt19937_64 random(seed);
    std::vector<Step> steps(count);
    std::generate(steps.begin(), steps.end(), [&random] {
        const auto byte = [&random] { return static_cast<std::uint8_t>(random()); };
        return Step{byte(), byte(), byte()};
    });
    return steps;
}

// Counts the seeded schedules that violate the property.
int violations(GroupFaults faults)
{
    constexpr std::uint64_t schedules = 500;
    int count = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        count += violationOf(randomSteps(seed), faults).empty() ? 0 : 1;
    }
    BOOST_TEST_MESSAGE(count << " of " << schedules << " schedules lose a confirmed commit.");
    return count;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GroupRules)

BOOST_AUTO_TEST_CASE(AConfirmedCommitIsInEveryLaterPrimary)
{
    BOOST_TEST(rc::check("a confirmed commit is in every later primary",
                         [](const std::vector<Step> &steps) { RC_ASSERT(violationOf(steps, {}) == ""); }));
    BOOST_TEST(violations({}) == 0);
}

BOOST_AUTO_TEST_CASE(ATermGrantedTwiceLosesCommits)
{
    // If a promise does not record the token that it was granted to, two promoters can
    // obtain the same term and promote two members, which loses a confirmed commit.
    GroupFaults faults;
    faults.grantsTermTwice = true;
    BOOST_TEST(violations(faults) > 0, "No schedule shows the fault; the property proves nothing, widen its schedules.");
}

BOOST_AUTO_TEST_CASE(EntriesOfAnOldPrimaryLoseCommits)
{
    // If a replica does not compare the sender's term with the term that it follows, a
    // replica of term 2 that still pulls from the primary of term 1 truncates its log and
    // loses a confirmed commit although its primary is up.
    GroupFaults faults;
    faults.takesOldEntries = true;
    BOOST_TEST(violations(faults) > 0, "No schedule shows the fault; the property proves nothing, widen its schedules.");
}

BOOST_AUTO_TEST_CASE(AFenceStopsAPrimary)
{
    GroupFaults faults;
    faults.ignoresFence = true;
    GroupMember broken("broken", faults);
    GroupMember sound("sound");
    for (GroupMember *member : {&broken, &sound}) {
        member->startAsPrimary(1);
        BOOST_TEST(member->fence(2, "x"));
    }
    BOOST_TEST(broken.isPrimary());
    BOOST_TEST(!sound.isPrimary());
}

BOOST_AUTO_TEST_SUITE_END()
