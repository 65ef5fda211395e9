// Tests of the platform's store client over HTTP: what each answer, and each lost answer, means
// for an object.

#define BOOST_TEST_MODULE PlatformObjectStore
#include <boost/test/unit_test.hpp>

#include "platform/objectstore.h"
#include "platform/text.h"
#include "testing/platform/platformstandin.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace egrettide;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

// Generous, as it only determines how long a broken test takes to fail.
constexpr auto callBound = 20s;

class Fixture
{
public:
    using Answer = tl::expected<VersionedObject, StoreError>;

    template <typename Result, typename Start> Result await(Start start)
    {
        std::optional<Result> result;
        start([&result](Result answer) { result = std::move(answer); });
        const TimePoint bound = Clock::now() + 2 * callBound;
        while (!result && Clock::now() < bound) {
            m_context.restart();
            m_context.run_for(5ms);
        }
        BOOST_TEST_REQUIRE(result.has_value(), "a call to the store was never answered");
        return *result;
    }

    Answer read(const std::string &key)
    {
        return await<Answer>([&](auto done) { store.read(key, Clock::now() + callBound, done); });
    }

    Answer write(const std::string &key, const json &value, std::optional<std::uint64_t> expected)
    {
        return await<Answer>([&](auto done) { store.write(key, value, expected, Clock::now() + callBound, done); });
    }

    using Page = tl::expected<CollectionPage, CollectionFailure>;
    using Changes = tl::expected<CollectionChanges, CollectionFailure>;

    // All parts of the list together.
    Page list(const std::string &kind)
    {
        Page whole = await<Page>([&](auto done) { store.collection(kind).list(Clock::now() + callBound, done); });
        while (whole && whole->more) {
            const auto more = std::exchange(whole->more, {});
            Page part = await<Page>([&](auto done) { more(Clock::now() + callBound, done); });
            if (!part) {
                return part;
            }
            whole->objects.insert(whole->objects.end(), part->objects.begin(), part->objects.end());
            whole->more = std::move(part->more);
        }
        return whole;
    }

    Changes changes(const std::string &kind, std::uint64_t since, std::chrono::milliseconds bound = callBound)
    {
        return await<Changes>([&](auto done) { store.collection(kind).changes(since, Clock::now() + bound, done); });
    }

    standin::PlatformStandIn platform;

private:
    boost::asio::io_context m_context{1};

public:
    platform::ObjectStore store{m_context, platform.endpoint()};
};

StoreFailure failureOf(const Fixture::Answer &answer)
{
    BOOST_TEST_REQUIRE(!answer.has_value(), "the call succeeded; it had to fail");
    return answer.error().failure;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(Objects, Fixture)

BOOST_AUTO_TEST_CASE(AreCreatedOnceAndReplacedAtTheirVersionOnly)
{
    const auto created = write("egrettide/groups/a", {{"term", 1}}, 0);
    BOOST_TEST_REQUIRE(created.has_value());
    BOOST_TEST((failureOf(write("egrettide/groups/a", {{"term", 2}}, 0)) == StoreFailure::Conflict));
    const auto replaced = write("egrettide/groups/a", {{"term", 2}}, created->version);
    BOOST_TEST_REQUIRE(replaced.has_value());
    BOOST_TEST(replaced->version > created->version, "versions serve as fencing tokens and have to rise");
    BOOST_TEST((failureOf(write("egrettide/groups/a", {{"term", 3}}, created->version)) == StoreFailure::Conflict));
    BOOST_TEST(read("egrettide/groups/a")->value == json({{"term", 2}}));
}

BOOST_AUTO_TEST_CASE(ThatAreMissingAreToldApartFromAnOutage)
{
    BOOST_TEST((failureOf(read("egrettide/groups/none")) == StoreFailure::NotFound));
    platform.setDown(true);
    BOOST_TEST((failureOf(read("egrettide/groups/none")) == StoreFailure::Unavailable));
}

BOOST_AUTO_TEST_CASE(RefusedWith503Or429HaveNotChanged)
{
    platform.failNextCalls(1);
    BOOST_TEST((failureOf(write("egrettide/groups/a", 1, 0)) == StoreFailure::Unavailable));
    platform.refuseNextCalls(1);
    BOOST_TEST((failureOf(write("egrettide/groups/a", 1, 0)) == StoreFailure::Unavailable));
    BOOST_TEST((failureOf(read("egrettide/groups/a")) == StoreFailure::NotFound));
}

BOOST_AUTO_TEST_CASE(WhoseAnswerIsLostMayHaveChanged)
{
    // Guards against two hosts that hold the same claim. The answer to a claim's write is lost and
    // the write is still applied, immediately or seconds later, so the writer must not treat the
    // lost answer as a refusal.
    platform.loseNextAnswers(1);
    BOOST_TEST((failureOf(write("egrettide/groups/a", 1, 0)) == StoreFailure::OutcomeUnknown));
    BOOST_TEST(read("egrettide/groups/a").has_value());
    platform.delayNextChanges(1);
    BOOST_TEST((failureOf(write("egrettide/groups/b", 1, 0)) == StoreFailure::OutcomeUnknown));
    BOOST_TEST((failureOf(read("egrettide/groups/b")) == StoreFailure::NotFound));
    platform.applyLate();
    BOOST_TEST(read("egrettide/groups/b").has_value());
}

BOOST_AUTO_TEST_CASE(OfHostsAreListedAsTheyRegistered)
{
    using Done = tl::expected<void, StoreError>;
    const auto registered = [this](const std::string &address) {
        return await<Done>([&](auto done) { store.registerHost({"h1", "a", address, false}, Clock::now() + callBound, done); });
    };
    BOOST_TEST(registered("10.0.0.1:7440").has_value());
    BOOST_TEST(registered("10.0.0.2:7440").has_value(), "a host that returned at another address was refused");
    const auto hosts =
        await<tl::expected<std::vector<ListedHost>, StoreError>>([&](auto done) { store.hosts(Clock::now() + callBound, done); });
    BOOST_TEST_REQUIRE((hosts.has_value() && hosts->size() == 1U));
    BOOST_TEST(hosts->front().address == "10.0.0.2:7440");
    BOOST_TEST(hosts->front().zone == "a");
    BOOST_TEST(await<Done>([&](auto done) { store.removeHost("h1", Clock::now() + callBound, done); }).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Collections, Fixture)

BOOST_AUTO_TEST_CASE(AreListedOverAllPages)
{
    platform.setPageSize(2);
    for (const char *name : {"a", "b", "c", "d", "e"}) {
        platform.putObject("servers", name, {{"zone", name}});
    }
    const auto page = list("servers");
    BOOST_TEST_REQUIRE(page.has_value());
    BOOST_TEST(page->objects.size() == 5U);
}

// Guards against hosts of which the others, and a starting host's zone, never hear because they are
// not on the first page.
BOOST_AUTO_TEST_CASE(OfTheHostListAreReadOverAllPages)
{
    for (const std::size_t hosts : {3U, 12U}) {
        platform.setPageSize(2);
        for (std::size_t i = 0; i < hosts; ++i) {
            const std::string name = "host-" + std::to_string(i);
            platform.putObject("egrettide-hosts", name, {{"zone", "zone-a"}, {"peer", "10.0.0.1:" + std::to_string(7000 + i)}});
        }
        using Hosts = tl::expected<std::vector<ListedHost>, StoreError>;
        const auto listed = await<Hosts>([&](auto done) { store.hosts(Clock::now() + callBound, done); });
        BOOST_TEST_REQUIRE(listed.has_value());
        BOOST_TEST(listed->size() == hosts);
    }
}

BOOST_AUTO_TEST_CASE(ReportChangesAndRemovalsInOrder)
{
    platform.putObject("servers", "a", 1);
    const auto page = list("servers");
    BOOST_TEST_REQUIRE(page.has_value());
    platform.putObject("servers", "b", 2);
    platform.removeObject("servers", "a");
    const auto seen = changes("servers", page->revision);
    BOOST_TEST_REQUIRE((seen.has_value() && seen->changes.size() == 2U));
    BOOST_TEST(seen->changes[0].object.name == "b");
    BOOST_TEST(seen->changes[1].object.name == "a");
    BOOST_TEST(seen->changes[1].removed);
}

BOOST_AUTO_TEST_CASE(WithoutChangesEndQuietly)
{
    const auto seen = changes("servers", list("servers")->revision, 600ms);
    BOOST_TEST_REQUIRE(seen.has_value(), "the end of a watch without changes was treated as an outage");
    BOOST_TEST(seen->changes.empty());
}

BOOST_AUTO_TEST_CASE(WhoseHistoryIsGoneHaveToBeListedAnew)
{
    platform.putObject("servers", "a", 1);
    const std::uint64_t before = list("servers")->revision;
    platform.putObject("servers", "b", 1);
    platform.forgetHistory();
    const auto seen = changes("servers", before);
    BOOST_TEST_REQUIRE(!seen.has_value());
    BOOST_TEST((seen.error() == CollectionFailure::HistoryGone));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(RestoredFromACopy, Fixture)

// Guards against promotions under the same fencing token by two claims of different epochs.
BOOST_AUTO_TEST_CASE(ObjectsGetVersionsThatRoseBeforeAndAreNeverUsedTwice)
{
    platform.setEpoch("1");
    const auto first = write("egrettide/groups/a", {{"claim", 1}}, 0);
    BOOST_TEST_REQUIRE(first.has_value());
    platform.takeCopy();
    const auto lost = write("egrettide/groups/a", {{"claim", 2}}, first->version);
    BOOST_TEST_REQUIRE(lost.has_value());
    platform.restoreCopy();
    const auto standing = read("egrettide/groups/a");
    BOOST_TEST_REQUIRE(standing.has_value());
    BOOST_TEST(standing->value == json({{"claim", 1}}));
    const auto next = write("egrettide/groups/a", {{"claim", 3}}, standing->version);
    BOOST_TEST_REQUIRE(next.has_value());
    BOOST_TEST(next->version > lost->version, "a claim after the restore has no higher token than one before it");
}

// Guards against a condition that matches another state of the object with the same revision.
BOOST_AUTO_TEST_CASE(ObjectsAreNotWrittenOnAConditionFromBefore)
{
    platform.setEpoch("1");
    platform.takeCopy();
    const auto known = write("egrettide/groups/a", {{"claim", 1}}, 0);
    BOOST_TEST_REQUIRE(known.has_value());
    platform.restoreCopy();
    platform.putObject("egrettide-groups", "a", {{"claim", "another host's"}});
    // The client detects the restore only by this answer.
    BOOST_TEST((failureOf(write("egrettide/groups/a", {{"claim", 2}}, known->version)) == StoreFailure::OutcomeUnknown));
    platform.putObject("egrettide-groups", "a", {{"claim", "another host's again"}});
    BOOST_TEST((failureOf(write("egrettide/groups/a", {{"claim", 3}}, known->version)) == StoreFailure::Conflict));
    BOOST_TEST(read("egrettide/groups/a")->value == json({{"claim", "another host's again"}}));
}

// Guards against applying changes of the new history as a continuation of the old one.
BOOST_AUTO_TEST_CASE(CollectionsAreListedAnewWhateverNumbersTheStoreHasReached)
{
    platform.setEpoch("1");
    platform.takeCopy();
    platform.putObject("servers", "lost", 1);
    const auto before = list("servers");
    BOOST_TEST_REQUIRE(before.has_value());
    platform.restoreCopy();
    for (const char *name : {"a", "b", "c"}) {
        platform.putObject("servers", name, 1);
    }
    const auto changed = changes("servers", before->revision);
    BOOST_TEST_REQUIRE(!changed.has_value(), "changes of another history were accepted");
    BOOST_TEST((changed.error() == CollectionFailure::HistoryGone));
    const auto after = list("servers");
    BOOST_TEST_REQUIRE(after.has_value());
    BOOST_TEST(after->revision > before->revision);
    BOOST_TEST(after->objects.size() == 3U);
    BOOST_TEST(changes("servers", after->revision, 600ms).has_value());
}

// Guards against a list of which one part dates from before a restore.
BOOST_AUTO_TEST_CASE(PagesOfTwoEpochsAreNoList)
{
    platform.setEpoch("1");
    platform.setPageSize(1);
    platform.putObject("servers", "a", 1);
    platform.putObject("servers", "b", 1);
    platform.takeCopy();
    platform.restoreBeforeNextPage();
    const auto page = list("servers");
    BOOST_TEST_REQUIRE(!page.has_value());
    BOOST_TEST((page.error() == CollectionFailure::Unavailable));
    BOOST_TEST(list("servers").has_value());
}

BOOST_AUTO_TEST_CASE(AnswersThatNameAnEarlierEpochAreRejected)
{
    platform.setEpoch("3");
    platform.putObject("servers", "a", 1);
    BOOST_TEST_REQUIRE(list("servers").has_value());
    platform.setEpoch("2");
    BOOST_TEST(!list("servers").has_value());
    BOOST_TEST((failureOf(write("egrettide/groups/a", 1, 0)) == StoreFailure::OutcomeUnknown));
    platform.setEpoch("no number");
    const auto page = list("servers");
    BOOST_TEST_REQUIRE(page.has_value());
    BOOST_TEST(StoreRevision::fromOrdered(page->revision).epoch == 3U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Pages)

// Guards against losing all upstreams on every host because one object of the list contains
// undecodable bytes and the page is rejected as a whole.
BOOST_AUTO_TEST_CASE(WithUnreadableBytesLoseOnlyTheirObject)
{
    const std::string page = "{\"items\":[{\"meta\":{\"name\":\"i-1\"},\"spec\":{\"zone\":\"a\"}},\n"
                             "{\"meta\":{\"name\":\"i-2\"},\"spec\":{\"zone\":\"\xff\xfe\x01\"}}]}";
    const auto read = platform::parsedJson(page);
    BOOST_TEST_REQUIRE((read && read->is_object()));
    BOOST_TEST(read->at("items")[0]["spec"]["zone"] == "a");
    BOOST_TEST(read->at("items")[1]["meta"]["name"] == "i-2");
    BOOST_TEST(!platform::parsedJson("{\"half").has_value());
    BOOST_TEST((platform::parsedJson("\"\xc3\xa9\"") == json("\xc3\xa9")), "a valid text was changed");
}

BOOST_FIXTURE_TEST_CASE(OfOddObjectsAreReadAndThrowNothing, Fixture)
{
    for (const json &odd : {json(), json(5), json("text"), json::array({1}), json{{"zone", 4}, {"peer", json::array()}}}) {
        platform.putObject("egrettide-hosts", "odd", odd);
        platform.putObject("servers", "odd", odd);
        BOOST_TEST(list("servers").has_value());
        using Hosts = tl::expected<std::vector<ListedHost>, StoreError>;
        const auto hosts = await<Hosts>([&](auto done) { store.hosts(Clock::now() + callBound, done); });
        BOOST_TEST_REQUIRE(hosts.has_value());
        BOOST_TEST(hosts->empty(), "an object that names no host was accepted as one");
    }
}

BOOST_AUTO_TEST_SUITE_END()
