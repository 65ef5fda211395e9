// The store client against the platform stand-in, healthy and faulty: every call ends once, and
// reports correctly whether a change may have taken effect.

#define BOOST_TEST_MODULE StoreClient
#include <boost/test/unit_test.hpp>

#include "runtime/store/storeclient.h"
#include "testing/platform/platformstandin.h"

#include <optional>

using namespace egrettide;
using egrettide::standin::PlatformStandIn;
using nlohmann::json;

namespace
{

// For calls that should succeed; far above the time that any machine needs.
constexpr std::chrono::seconds Generous{30};
constexpr milliseconds Short{200};

using ObjectResult = tl::expected<VersionedObject, StoreError>;
using HostsResult = tl::expected<std::vector<ListedHost>, StoreError>;

// Calls the store and waits for the answer.
class Caller
{
public:
    explicit Caller(const PlatformStandIn &platform) : Caller(platform.endpoint())
    {
    }

    explicit Caller(const boost::asio::ip::tcp::endpoint &platform) : m_client(m_context, platform)
    {
    }

    ObjectResult read(const std::string &key, milliseconds bound = Generous)
    {
        return wait<ObjectResult>([&](auto handler) { m_client.read(key, Clock::now() + bound, handler); });
    }

    ObjectResult write(const std::string &key, const json &value, std::optional<std::uint64_t> expected,
                       milliseconds bound = Generous)
    {
        return wait<ObjectResult>([&](auto handler) { m_client.write(key, value, expected, Clock::now() + bound, handler); });
    }

    ObjectResult watch(const std::string &key, std::uint64_t after, milliseconds bound = Generous)
    {
        return wait<ObjectResult>([&](auto handler) { m_client.watch(key, after, Clock::now() + bound, handler); });
    }

    HostsResult hosts(milliseconds bound = Generous)
    {
        return wait<HostsResult>([&](auto handler) { m_client.hosts(Clock::now() + bound, handler); });
    }

    StoreClient &client()
    {
        return m_client;
    }

    // Runs the context until the condition holds.
    template <typename Condition> void runUntil(const Condition &condition)
    {
        m_context.restart();
        while (!condition()) {
            BOOST_REQUIRE_MESSAGE(m_context.run_one_for(Generous) > 0, "the client went quiet before what was awaited happened");
        }
    }

private:
    template <typename Result, typename Start> Result wait(const Start &start)
    {
        std::optional<Result> result;
        int runs = 0;
        start([&](Result answer) {
            ++runs;
            result.emplace(std::move(answer));
        });
        BOOST_TEST(runs == 0, "the handler ran inside the call");
        runUntil([&result] { return result.has_value(); });
        BOOST_TEST(runs == 1, "the handler ran " << runs << " times; it must run once");
        return std::move(*result);
    }

    boost::asio::io_context m_context;
    StoreClient m_client;
};

std::string nameOfFailure(const ObjectResult &result)
{
    static constexpr const char *Names[] = {"NotFound", "Unchanged", "Conflict", "Refused", "Unavailable", "OutcomeUnknown"};
    return result ? "none" : Names[static_cast<int>(result.error().failure)];
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreClientCalls)

BOOST_AUTO_TEST_CASE(WritesOnlyOverTheExpectedVersion)
{
    PlatformStandIn platform;
    Caller store(platform);
    BOOST_TEST(nameOfFailure(store.read("a/b")) == "NotFound");
    const auto created = store.write("a/b", {{"n", 1}}, 0);
    BOOST_REQUIRE(created.has_value());
    BOOST_TEST(created->value == json({{"n", 1}}));
    const auto lost = store.write("a/b", {{"n", 2}}, 0);
    BOOST_TEST(nameOfFailure(lost) == "Conflict");
    BOOST_TEST(lost.error().currentVersion == created->version);
    const auto changed = store.write("a/b", {{"n", 3}}, created->version);
    BOOST_REQUIRE(changed.has_value());
    BOOST_TEST(changed->version > created->version);
    BOOST_TEST(store.write("a/b", 4, std::nullopt).has_value());
    const auto found = store.read("a/b");
    BOOST_REQUIRE(found.has_value());
    BOOST_TEST(found->value == json(4));
}

BOOST_AUTO_TEST_CASE(TakesAnyKeyAndAnyValue)
{
    PlatformStandIn platform;
    Caller store(platform);
    const std::string key = "a/b c?d=e&f#%20/\xC3\xBC";
    const json value{{"text", "\xC3\xA9\n\"\\"}, {"null", nullptr}, {"list", {1, 2.5, true}}};
    BOOST_REQUIRE(store.write(key, value, 0).has_value());
    BOOST_TEST(store.read(key)->value == value);
    BOOST_TEST(platform.object(key).has_value());
}

BOOST_AUTO_TEST_CASE(WatchEndsWithTheChangeOrSaysThatThereWasNone)
{
    PlatformStandIn platform;
    Caller store(platform);
    const std::uint64_t first = platform.put("k", 1);
    BOOST_TEST(store.watch("k", 0)->version == first);
    BOOST_TEST(nameOfFailure(store.watch("k", first, Short + milliseconds(250))) == "Unchanged");

    std::optional<ObjectResult> seen;
    store.client().watch("k", first, Clock::now() + Generous, [&seen](ObjectResult answer) { seen.emplace(std::move(answer)); });
    // The platform counts the watch when it registers it.
    while (platform.calls().watches < 3) {
        store.read("k");
    }
    const std::uint64_t second = platform.put("k", 2);
    store.runUntil([&seen] { return seen.has_value(); });
    BOOST_REQUIRE(seen->has_value());
    BOOST_TEST((*seen)->version == second);
}

BOOST_AUTO_TEST_CASE(LostAnswerIsDistinguishedFromARefusal)
{
    // The store applies a write and the connection breaks before its answer. If the client
    // reports this like a refusal, an operator repeats a change that was made, or gives up one
    // that was not.
    PlatformStandIn platform;
    Caller store(platform);
    platform.loseNextAnswers(1);
    const auto lost = store.write("k", 1, 0);
    BOOST_TEST(nameOfFailure(lost) == "OutcomeUnknown");
    BOOST_TEST(lost.error().mayHaveApplied());
    BOOST_TEST((lost.error().error.kind == ErrorKind::UnknownOutcome));
    BOOST_TEST(platform.object("k").has_value());

    platform.failNextCalls(1);
    const auto refused = store.write("k", 2, std::nullopt);
    BOOST_TEST(nameOfFailure(refused) == "Unavailable");
    BOOST_TEST(!refused.error().mayHaveApplied());
    BOOST_TEST(platform.object("k")->value == json(1));
}

BOOST_AUTO_TEST_CASE(WriteThatTimesOutMayStillTakeEffect)
{
    // A slow store applies a write after the caller's deadline. If the timeout counts as a
    // refusal, the change appears after its writer received a failure.
    PlatformStandIn platform;
    Caller store(platform);
    platform.setDelay(Short * 2);
    const auto late = store.write("k", 1, 0, Short);
    BOOST_TEST(nameOfFailure(late) == "OutcomeUnknown");
    platform.setDelay(milliseconds(0));
    BOOST_TEST(store.watch("k", 0).has_value(), "the late write never took effect");
}

BOOST_AUTO_TEST_CASE(OutageIsUnavailableAndEndsWithIt)
{
    PlatformStandIn platform;
    Caller store(platform);
    platform.put("k", 1);
    BOOST_REQUIRE(store.read("k").has_value());
    platform.setDown(true);
    BOOST_TEST(nameOfFailure(store.read("k")) == "Unavailable");
    BOOST_TEST(!store.hosts().has_value());
    BOOST_TEST(nameOfFailure(store.watch("k", 99)) == "Unavailable");
    platform.setDown(false);
    BOOST_TEST(store.read("k").has_value());
}

BOOST_AUTO_TEST_CASE(OutageCutsWaitingWatches)
{
    PlatformStandIn platform;
    Caller store(platform);
    std::optional<ObjectResult> seen;
    store.client().watch("k", 0, Clock::now() + Generous, [&seen](ObjectResult answer) { seen.emplace(std::move(answer)); });
    while (platform.calls().watches == 0) {
        store.read("other");
    }
    platform.setDown(true);
    store.runUntil([&seen] { return seen.has_value(); });
    BOOST_TEST(nameOfFailure(*seen) == "Unavailable");
}

BOOST_AUTO_TEST_CASE(NothingWasSentWhenNoServerListens)
{
    std::optional<boost::asio::ip::tcp::endpoint> gone;
    {
        PlatformStandIn platform;
        gone = platform.endpoint();
    }
    Caller store(*gone);
    const auto refused = store.write("k", 1, 0);
    BOOST_TEST(nameOfFailure(refused) == "Unavailable", "a write that never left must not be an unknown outcome");
}

BOOST_AUTO_TEST_CASE(WriteAfterAPlatformRestartIsNotLost)
{
    // The platform closes an idle connection that the client keeps. If the client reuses it
    // without checking the socket, the next write is lost and has an unknown outcome.
    PlatformStandIn platform;
    Caller store(platform);
    BOOST_REQUIRE(store.write("k", 1, 0).has_value());
    platform.dropConnections();
    BOOST_TEST(nameOfFailure(store.write("k", 2, std::nullopt)) == "none");
}

BOOST_AUTO_TEST_CASE(ValuesOverAMegabyteAreRefused)
{
    PlatformStandIn platform;
    Caller store(platform);
    BOOST_TEST(store.write("k", std::string(1000 * 1000, 'x'), 0).has_value());
    const auto refused = store.write("k", std::string(1024 * 1024, 'x'), std::nullopt);
    BOOST_TEST(nameOfFailure(refused) == "Refused");
    BOOST_TEST((refused.error().error.kind == ErrorKind::InvalidInput));
    BOOST_TEST(platform.object("k")->value.get<std::string>().size() == 1000u * 1000u);
}

BOOST_AUTO_TEST_CASE(HostListShowsChangesWithADelay)
{
    PlatformStandIn platform;
    Caller store(platform);
    platform.setHosts({{"h1", "a", "10.0.0.1:7000", false}});
    const auto first = store.hosts();
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(first->size() == 1u);
    BOOST_TEST(first->front().address == "10.0.0.1:7000");
    platform.setHostListLag(std::chrono::hours(1));
    platform.setHosts({{"h1", "a", "10.0.0.1:7000", true}});
    BOOST_TEST(!store.hosts()->front().leaving, "the change shows before its lag is over");
    platform.setHostListLag(milliseconds(0));
    platform.setHosts({{"h2", "b", "10.0.0.2:7000", true}});
    BOOST_TEST(store.hosts()->front().name == "h1", "a later list overtook an earlier one");
}

// Guards against a host that ends, or never hears of a later version, by an object that it cannot read.
BOOST_AUTO_TEST_CASE(ReadsAnOddObjectAsOneWithoutValue)
{
    PlatformStandIn platform;
    Caller store(platform);
    const std::string deep = std::string(200'000, '[') + std::string(200'000, ']');
    for (const std::string &text : {deep, std::string("1e999"), std::string(R"("\ud800")")}) {
        const std::uint64_t version = platform.putRaw("k", text);
        for (const auto &object : {store.read("k"), store.watch("k", version - 1)}) {
            BOOST_TEST_REQUIRE(object.has_value());
            BOOST_TEST(object->version == version);
            BOOST_TEST(object->value.is_null());
        }
    }
}

BOOST_AUTO_TEST_CASE(CountsCallsAsThePlatformDoes)
{
    PlatformStandIn platform;
    Caller store(platform);
    store.read("k");
    store.read("k");
    store.write("k", 1, 0);
    store.watch("k", 0);
    store.hosts();
    const auto theirs = platform.calls();
    const StoreCallCounts &ours = store.client().callCounts();
    BOOST_TEST(ours.reads == theirs.reads);
    BOOST_TEST(ours.writes == theirs.writes);
    BOOST_TEST(ours.watches == theirs.watches);
    BOOST_TEST(ours.hostLists == theirs.hostLists);
    BOOST_TEST(ours.reads == 2u);
}

BOOST_AUTO_TEST_CASE(CallsRunAtTheSameTime)
{
    PlatformStandIn platform;
    Caller store(platform);
    platform.setDelay(Short);
    constexpr int Calls = 20;
    int answered = 0;
    for (int call = 0; call < Calls; ++call) {
        store.client().write("k" + std::to_string(call), call, 0, Clock::now() + Generous,
                             [&answered](const ObjectResult &result) {
                                 BOOST_TEST(result.has_value());
                                 ++answered;
                             });
    }
    store.runUntil([&answered] { return answered == Calls; });
    BOOST_TEST(platform.calls().writes == static_cast<std::uint64_t>(Calls));
}

BOOST_AUTO_TEST_CASE(DestroyedClientRunsNoHandler)
{
    PlatformStandIn platform;
    boost::asio::io_context context;
    int runs = 0;
    {
        StoreClient client(context, platform.endpoint());
        client.watch("k", 0, Clock::now() + Generous, [&runs](const ObjectResult &) { ++runs; });
        while (platform.calls().watches == 0) {
            context.run_one_for(milliseconds(1));
        }
    }
    context.run();
    BOOST_TEST(runs == 0);
}

BOOST_AUTO_TEST_SUITE_END()
