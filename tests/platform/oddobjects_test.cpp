// Objects of another writer that no JSON value of this release can hold: too deep, out of range, not
// decodable. Each concerns that object alone.

#define BOOST_TEST_MODULE OddObjects
#include <boost/test/unit_test.hpp>

#include "platform/objectstore.h"
#include "testing/platform/platformstandin.h"
#include "tests/platform/platformsite.h"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace egrettide;
using namespace egrettide::test;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

// Deep enough to overflow a stack of 8 MiB in a serializer that calls itself once a level.
constexpr std::size_t overflowDepth = 200'000;

std::string repeated(const std::string &part, std::size_t count)
{
    std::string text;
    text.reserve(part.size() * count);
    for (std::size_t i = 0; i < count; ++i) {
        text += part;
    }
    return text;
}

// Texts of an object's content, by what is odd about them.
std::map<std::string, std::string> oddTexts()
{
    const auto entryWith = [](const std::string &value) { return R"({"service":"service","note":)" + value + "}"; };
    return {{"deep arrays", entryWith(repeated("[", overflowDepth) + repeated("]", overflowDepth))},
            {"deep objects", entryWith(repeated(R"({"a":)", overflowDepth) + "1" + repeated("}", overflowDepth))},
            {"deep itself", repeated("[", overflowDepth) + repeated("]", overflowDepth)},
            {"number above range", entryWith("1e999")},
            {"number below range", entryWith("-1e400")},
            {"number of 400 digits", entryWith(std::string(400, '9'))},
            {"lone surrogate in a value", entryWith(R"("\ud800")")},
            {"lone surrogate in a key", R"({"service":"service","\udc00":1})"},
            {"undecodable bytes", entryWith("\"\xff\xfe\"")},
            {"brackets and quotes in a text", entryWith(R"("]}\"[{\\")")},
            {"number of one long field", entryWith('"' + std::string(900'000, 'x') + '"')}};
}

class Fixture
{
public:
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

    using Page = tl::expected<CollectionPage, CollectionFailure>;
    using Changes = tl::expected<CollectionChanges, CollectionFailure>;
    using Hosts = tl::expected<std::vector<ListedHost>, StoreError>;
    using Object = tl::expected<VersionedObject, StoreError>;

    Page list(const std::string &kind)
    {
        return await<Page>([&](auto done) { store.collection(kind).list(Clock::now() + callBound, done); });
    }

    Changes changes(const std::string &kind, std::uint64_t since)
    {
        return await<Changes>([&](auto done) { store.collection(kind).changes(since, Clock::now() + callBound, done); });
    }

    Object read(const std::string &key)
    {
        return await<Object>([&](auto done) { store.read(key, Clock::now() + callBound, done); });
    }

    // Generous, as it only determines how long a broken test takes to fail.
    static constexpr auto callBound = 20s;
    standin::PlatformStandIn platform;

private:
    boost::asio::io_context m_context{1};

public:
    platform::ObjectStore store{m_context, platform.endpoint()};
};

const json plain{{"zone", "a"}, {"peer", "10.0.0.1:7440"}};

bool holdsPlain(const std::vector<CollectedObject> &objects, const std::string &name)
{
    const auto found = std::ranges::find(objects, name, &CollectedObject::name);
    return found != objects.end() && found->text == plain.dump();
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnOddObject, Fixture)

// Guards against a process that ends, or loses the whole list, by one object of it.
BOOST_AUTO_TEST_CASE(LeavesTheOthersOfItsListReadable)
{
    for (const auto &[what, text] : oddTexts()) {
        BOOST_TEST_CONTEXT(what)
        {
            platform.putObject("servers", "a", plain);
            platform.putRawObject("servers", "odd", text);
            platform.putObject("servers", "z", plain);
            const Page page = list("servers");
            BOOST_TEST_REQUIRE(page.has_value());
            BOOST_TEST(holdsPlain(page->objects, "a"));
            BOOST_TEST(holdsPlain(page->objects, "z"));
            platform.removeObject("servers", "odd");
        }
    }
}

// Guards against a follower that never hears of a change again, since one event of the answer is odd.
BOOST_AUTO_TEST_CASE(LeavesTheOthersOfItsChangesReadable)
{
    for (const auto &[what, text] : oddTexts()) {
        BOOST_TEST_CONTEXT(what)
        {
            platform.removeObject("servers", "a");
            const Page page = list("servers");
            BOOST_TEST_REQUIRE(page.has_value());
            platform.putRawObject("servers", "odd", text);
            platform.removeObject("servers", "odd");
            platform.putObject("servers", "a", plain);
            const Changes seen = changes("servers", page->revision);
            BOOST_TEST_REQUIRE(seen.has_value());
            BOOST_TEST_REQUIRE(seen->changes.size() == 3U);
            BOOST_TEST(seen->changes[0].object.name == "odd");
            BOOST_TEST(!seen->changes[0].removed);
            BOOST_TEST(seen->changes[1].removed);
            BOOST_TEST(seen->changes[2].object.text == plain.dump());
        }
    }
}

// Guards against a follower that asks again and again for changes that are longer than it accepts.
BOOST_AUTO_TEST_CASE(OfManyIsListedWhenTheChangesAreTooLong)
{
    const Page before = list("servers");
    BOOST_TEST_REQUIRE(before.has_value());
    const std::string text = '"' + std::string(1'000'000, 'x') + '"';
    for (int i = 0; i < 10; ++i) {
        platform.putRawObject("servers", "odd", text);
    }
    const Changes seen = changes("servers", before->revision);
    BOOST_TEST_REQUIRE(!seen.has_value());
    BOOST_TEST((seen.error() == CollectionFailure::HistoryGone));
    BOOST_TEST(list("servers").has_value());
}

// Guards against a list that ends at a name which is no valid part of a request.
BOOST_AUTO_TEST_CASE(OfAnyNameIsPassedWhenAListGoesOn)
{
    const std::vector<std::string> names{"a b", "c&d", "e#f", "g%h", "i\r\nj", "\xc4\x9f", "z"};
    platform.setPageSize(1);
    for (const std::string &name : names) {
        platform.putObject("servers", name, plain);
    }
    std::vector<std::string> listed;
    Page page = list("servers");
    while (page) {
        BOOST_TEST_REQUIRE(page->objects.size() == 1U);
        listed.push_back(page->objects.front().name);
        if (!page->more) {
            break;
        }
        const auto more = std::exchange(page->more, {});
        page = await<Page>([&](auto done) { more(Clock::now() + callBound, done); });
    }
    BOOST_TEST(std::ranges::is_permutation(listed, names));
}

// Guards against hosts that no other host hears of because of one odd entry beside theirs.
BOOST_AUTO_TEST_CASE(LeavesTheOthersOfTheHostListReadable)
{
    for (const auto &[what, text] : oddTexts()) {
        BOOST_TEST_CONTEXT(what)
        {
            platform.putRawObject("egrettide-hosts", "h0", text);
            platform.putObject("egrettide-hosts", "h1", plain);
            const Hosts hosts = await<Hosts>([&](auto done) { store.hosts(Clock::now() + callBound, done); });
            BOOST_TEST_REQUIRE(hosts.has_value());
            BOOST_TEST_REQUIRE(hosts->size() == 1U);
            BOOST_TEST(hosts->front().name == "h1");
        }
    }
}

// Guards against a host that ends by the answer to its own registration, which holds the entry that
// stands in its place.
BOOST_AUTO_TEST_CASE(InPlaceOfAHostsEntryIsReplaced)
{
    using Done = tl::expected<void, StoreError>;
    for (const auto &[what, text] : oddTexts()) {
        BOOST_TEST_CONTEXT(what)
        {
            platform.putRawObject("egrettide-hosts", "h1", text);
            const Done done = await<Done>([&](auto handler) {
                store.registerHost({"h1", "a", "10.0.0.1:7440", false}, Clock::now() + callBound, handler);
            });
            BOOST_TEST(done.has_value());
            BOOST_TEST((platform.objectOfKind("egrettide-hosts", "h1") == plain));
        }
    }
}

// Guards against a promotion that ends its host, or never begins, by an odd record of the group.
BOOST_AUTO_TEST_CASE(IsReadAsOneWithoutContent)
{
    for (const auto &[what, text] : oddTexts()) {
        BOOST_TEST_CONTEXT(what)
        {
            platform.putRawObject("egrettide-groups", "odd", text);
            const Object object = read("egrettide/groups/odd");
            BOOST_TEST_REQUIRE(object.has_value());
            BOOST_TEST(object->version > 0U);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Hosts)

// Guards against hosts that end, or stop following their upstreams, by one odd registration: hosts that
// live when it is written, and one that starts while it stands.
BOOST_AUTO_TEST_CASE(FollowAllOthersBesideAnOddRegistration)
{
    for (const auto &[what, text] : oddTexts()) {
        BOOST_TEST_CONTEXT(what)
        {
            PlatformSite site(2);
            site.platform.putRawObject("servers", "odd", text);
            site.platform.putRawObject("config", "odd", text);
            json leaving = site.group.registration("m3");
            leaving["state"] = "draining";
            site.platform.putObject("servers", "m3", leaving);
            site.configure(2, {"added"});
            site.startHost("h3", "c");
            for (const std::string &address : site.addresses) {
                BOOST_TEST(eventually([&] {
                               LineClient client(address);
                               return client.start("added").state == 'I' && client.run("WRITE item x").succeeded();
                           }),
                           "the host at " << address << " does not follow the configuration");
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
