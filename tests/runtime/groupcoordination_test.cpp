// Tests claims and records of promotions against the platform stand-in and its injected faults.

#define BOOST_TEST_MODULE GroupCoordination
#include <boost/test/unit_test.hpp>

#include "runtime/group/groupcoordination.h"
#include "tests/runtime/controlplane.h"

#include <nlohmann/json.hpp>

using namespace egrettide;
using namespace std::chrono_literals;

namespace
{

struct Sent {
    std::string host;
    hop::HopMessage message;
};

struct Fixture : test::ControlPlane {
    std::vector<Sent> sent;
    GroupCoordination coordination{
        store,
        GroupCoordinationHooks{[this](const std::string &host, hop::HopMessage message) {
                                   sent.push_back(Sent{host, std::move(message)});
                               },
                               [](const std::string &, const std::string &upstream) { return "host-" + upstream; },
                               [] {
                                   return std::vector<std::string>{"host-x", "host-y"};
                               }}};
    GroupObserverHooks hooks = coordination.observerHooks();

    ClaimAnswer claim(std::uint64_t expectedVersion, const std::string &token)
    {
        std::optional<ClaimAnswer> result;
        GroupRecord record;
        record.claimToken = token;
        record.claimedOver = 3;
        hooks.claimRecord("d", expectedVersion, record, Clock::now() + 30s, [&](const ClaimAnswer &answer) { result = answer; });
        BOOST_TEST_REQUIRE(runUntil([&] { return result.has_value(); }), "no answer to a claim; every claim must be answered");
        return *result;
    }

    std::string storedToken() const
    {
        const auto object = platform.object(groupRecordKey("d"));
        return object ? object->value.value("claimToken", std::string()) : std::string();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(GroupCoordinationSuite)

BOOST_FIXTURE_TEST_CASE(OnlyOneOfTwoClaimsOnTheSameVersionWins, Fixture)
{
    BOOST_TEST((claim(0, "first").result == ClaimResult::Claimed));
    const ClaimAnswer second = claim(0, "second");
    BOOST_TEST((second.result == ClaimResult::Conflict));
    BOOST_TEST(second.current.record.claimToken == "first", "the answer to the losing claim must name the holder");
    BOOST_TEST(storedToken() == "first");
}

BOOST_FIXTURE_TEST_CASE(DistinguishesALostAnswerFromARefusal, Fixture)
{
    // If a lost answer is treated as a failure although the store applied the claim, two
    // promoters can both conclude that they lost the claim, or both that they hold it.
    platform.loseNextAnswers(1);
    BOOST_TEST((claim(0, "mine").result == ClaimResult::LostAnswer));
    std::optional<VersionedRecord> standing;
    hooks.readRecord("d", Clock::now() + 30s, [&](const std::optional<VersionedRecord> &record) { standing = record; });
    BOOST_TEST_REQUIRE(runUntil([&] { return standing.has_value(); }));
    BOOST_TEST(standing->record.claimToken == "mine", "reading back must show that the claim took effect");
}

BOOST_FIXTURE_TEST_CASE(NeverWritesOverARecordOfAHigherTerm, Fixture)
{
    // With an unconditional write, a slow promoter of term 4 overwrites the record of
    // term 5, and new hosts are directed to a primary that has been replaced.
    platform.put(groupRecordKey("d"), {{"term", 5}, {"primary", "newer"}});
    const auto callsBefore = platform.calls().reads;
    GroupRecord late;
    late.term = 4;
    late.primary = "older";
    hooks.writeRecord("d", late);
    BOOST_TEST_REQUIRE(runUntil([&] { return platform.calls().reads > callsBefore; }));
    runUntil([&, rounds = 0]() mutable { return ++rounds > 20; });
    BOOST_TEST(platform.object(groupRecordKey("d"))->value.at("primary") == "newer");
}

// Guards against the end of a promotion erasing the order that replaces its primary.
BOOST_FIXTURE_TEST_CASE(KeepsAnOrderAndItsClaimThatReplaceTheRecordedPrimary, Fixture)
{
    GroupRecord standing;
    standing.claimToken = "later";
    standing.claimedOver = 4;
    standing.order = PromotionOrder{"c", 4, {4, 11}, "later"};
    std::optional<VersionedRecord> seen;
    hooks.claimRecord("d", 0, standing, Clock::now() + 30s, [](const ClaimAnswer &) {});
    BOOST_TEST_REQUIRE(runUntil([&] { return platform.object(groupRecordKey("d")).has_value(); }));
    GroupRecord outcome;
    outcome.term = 4;
    outcome.primary = "p";
    hooks.writeRecord("d", outcome);
    BOOST_TEST_REQUIRE(runUntil([&] { return platform.object(groupRecordKey("d"))->value.at("primary") == "p"; }));
    hooks.readRecord("d", Clock::now() + 30s, [&](const std::optional<VersionedRecord> &record) { seen = record; });
    BOOST_TEST_REQUIRE(runUntil([&] { return seen.has_value(); }));
    BOOST_TEST((seen->record.order == standing.order));
    BOOST_TEST(seen->record.claimToken == "later");
    outcome.term = 5;
    hooks.writeRecord("d", outcome);
    BOOST_TEST(runUntil([&] { return !platform.object(groupRecordKey("d"))->value.contains("order"); }),
               "an order that a later term has ended stays in the record");
}

// Guards against a group that never promotes again because another writer left a number out of range.
BOOST_FIXTURE_TEST_CASE(RecordsWithNumbersOutOfRangeCountAsAbsent, Fixture)
{
    for (const char *const number : {"-1", "1e300", "1.5", "18446744073709551615", "\"7\""}) {
        for (const std::string &text : {std::string(R"({"primary":"m1","term":)") + number + "}",
                                        std::string(R"({"primary":"m1","term":2,"claimedOver":)") + number + "}",
                                        std::string(R"({"primary":"m1","beginnings":[[1,1,)") + number + ",true]]}",
                                        std::string(R"({"primary":"m1","order":{"over":)") + number + "}}"}) {
            platform.putRaw(groupRecordKey("d"), text);
            std::optional<VersionedRecord> seen;
            hooks.readRecord("d", Clock::now() + 30s, [&](const std::optional<VersionedRecord> &record) { seen = record; });
            BOOST_TEST_REQUIRE(runUntil([&] { return seen.has_value(); }));
            BOOST_TEST(seen->version > 0U, "a claim has to replace this record");
            BOOST_TEST(seen->record.primary.empty(), text << " was taken for a record");
            BOOST_TEST(seen->record.term == 0U);
        }
    }
}

// Guards against losing where earlier terms began when the outcome of a promotion is recorded.
BOOST_FIXTURE_TEST_CASE(KeepsTheBeginningsOfTermsThatTheOutcomeDoesNotName, Fixture)
{
    GroupRecord standing;
    standing.term = 4;
    standing.beginnings = {{3, {2, 8}, true}, {4, {3, 11}, false}};
    hooks.claimRecord("d", 0, standing, Clock::now() + 30s, [](const ClaimAnswer &) {});
    BOOST_TEST_REQUIRE(runUntil([&] { return platform.object(groupRecordKey("d")).has_value(); }));
    GroupRecord outcome;
    outcome.term = 5;
    outcome.beginnings = {{4, {3, 12}, true}, {5, {4, 20}, false}};
    hooks.writeRecord("d", outcome);
    BOOST_TEST_REQUIRE(runUntil([&] { return platform.object(groupRecordKey("d"))->value.at("term") == 5; }));
    std::optional<VersionedRecord> seen;
    hooks.readRecord("d", Clock::now() + 30s, [&](const std::optional<VersionedRecord> &record) { seen = record; });
    BOOST_TEST_REQUIRE(runUntil([&] { return seen.has_value(); }));
    const std::vector<TermBeginning> expected{{3, {2, 8}, true}, {4, {3, 12}, true}, {5, {4, 20}, false}};
    BOOST_TEST((seen->record.beginnings == expected));
}

BOOST_FIXTURE_TEST_CASE(WritesTheRecordOnceTheStoreIsBack, Fixture)
{
    platform.failNextCalls(2);
    GroupRecord done;
    done.term = 7;
    done.primary = "p";
    hooks.writeRecord("d", done);
    BOOST_TEST(runUntil([&] { return platform.object(groupRecordKey("d")).has_value(); }), "the record was given up too early");
}

BOOST_FIXTURE_TEST_CASE(TakesAnOpinionOnlyFromTheHostThatWasAsked, Fixture)
{
    std::optional<bool> agreed;
    hooks.askOpinion(OpinionQuestion{"d", "u2", "u1", 3}, Clock::now() + 30s, [&](bool agrees) { agreed = agrees; });
    BOOST_TEST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent[0].host == "host-u2");
    const auto &question = std::get<hop::Opinion>(sent[0].message);
    coordination.onOpinionReply("host-u3", hop::OpinionReply{question.id, true, false});
    BOOST_TEST(!agreed.has_value(), "an answer of a host that was not asked must not count");
    coordination.onOpinionReply("host-u2", hop::OpinionReply{question.id, true, false});
    BOOST_TEST_REQUIRE(agreed.has_value());
    BOOST_TEST(*agreed);
    agreed.reset();
    coordination.onOpinionReply("host-u2", hop::OpinionReply{question.id, true, false});
    BOOST_TEST(!agreed.has_value(), "a repeated answer must not count twice");
}

BOOST_FIXTURE_TEST_CASE(AnnouncesToAllOtherHosts, Fixture)
{
    hooks.announce("d", 9, "u2");
    BOOST_TEST_REQUIRE(sent.size() == 2U);
    BOOST_TEST(std::get<hop::Announce>(sent[1].message).term == 9U);
}

BOOST_AUTO_TEST_SUITE_END()
