// Integration test of the apply decision, its runner, the store client and the platform
// stand-in: operators apply concurrently over real sockets while the platform loses
// answers, refuses calls and goes down.

#define BOOST_TEST_MODULE PlatformApply
#include <boost/test/unit_test.hpp>

#include "runtime/configuration/applyrunner.h"
#include "runtime/store/storeclient.h"
#include "testing/platform/platformstandin.h"

#include <memory>
#include <random>
#include <set>

using namespace egrettide;
using egrettide::standin::PlatformStandIn;
using nlohmann::json;

namespace
{

constexpr std::chrono::seconds TestTimeout{30};
const std::string Key(ConfigurationKey);

// One operator with its own store client.
struct Operator {
    Operator(boost::asio::io_context &context, const PlatformStandIn &platform, const std::string &name,
             std::optional<std::uint64_t> ifVersion, json file)
        : id(name)
        , store(context, platform.endpoint())
        , runner(context, store, {name, "operator of " + name, ifVersion, {}}, std::move(file))
    {
    }

    std::string id;
    StoreClient store;
    ApplyRunner runner;
    std::optional<ApplyFinished> finished;
};

// Several operators on one thread; each one's file is marked with the operator's id.
class Operators
{
public:
    explicit Operators(const PlatformStandIn &platform) : m_platform(platform)
    {
    }

    void add(const std::string &id, std::optional<std::uint64_t> ifVersion)
    {
        add(id, ifVersion, json{{"marker", id}});
    }

    void add(const std::string &id, std::optional<std::uint64_t> ifVersion, json file)
    {
        all.push_back(std::make_unique<Operator>(m_context, m_platform, id, ifVersion, std::move(file)));
    }

    // Starts all applies concurrently; returns when each has its verdict.
    void run(milliseconds bound = TestTimeout)
    {
        std::size_t open = all.size();
        for (const auto &one : all) {
            one->runner.start(Clock::now() + bound, [&one, &open](const ApplyFinished &result) {
                one->finished = result;
                --open;
            });
        }
        while (open > 0) {
            BOOST_REQUIRE_MESSAGE(m_context.run_one_for(TestTimeout) > 0, open << " operators got no verdict");
        }
    }

private:
    const PlatformStandIn &m_platform;
    boost::asio::io_context m_context;

public:
    // Must be destroyed before the context that it uses.
    std::vector<std::unique_ptr<Operator>> all;
};

// Runs one operator alone and returns its result.
ApplyFinished runAlone(const PlatformStandIn &platform, milliseconds bound = TestTimeout, json file = json::object())
{
    Operators operators(platform);
    operators.add("mine", std::nullopt, std::move(file));
    operators.run(bound);
    return *operators.all.front()->finished;
}

// All apply ids that were ever accepted, from the history of the stored object.
std::set<std::string> acceptedIds(const PlatformStandIn &platform)
{
    const auto object = platform.object(Key);
    BOOST_REQUIRE(object.has_value());
    const auto head = parseConfigurationHead(object->value);
    BOOST_REQUIRE(head.has_value());
    std::set<std::string> ids{head->applyId};
    for (const AppliedEntry &entry : head->earlier) {
        ids.insert(entry.applyId);
    }
    return ids;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformApply)

BOOST_AUTO_TEST_CASE(ExactlyOneOfManyRacingOperatorsWinsThoughAnswersAreLost)
{
    // Operators apply over the same version and answers are lost after the write. If a
    // retry does not recognize its own earlier write, two operators are both told that
    // their file is in force, or neither is.
    std::mt19937_64 random(11);
    for (int round = 0; round < 20; ++round) {
        PlatformStandIn platform;
        Operators operators(platform);
        for (int index = 0; index < 5; ++index) {
            operators.add("id" + std::to_string(index), 0);
        }
        platform.loseNextAnswers(static_cast<int>(random() % 3));
        platform.failNextCalls(static_cast<int>(random() % 8));
        operators.run();
        const std::set<std::string> accepted = acceptedIds(platform);
        BOOST_TEST(accepted.size() == 1u);
        for (const auto &one : operators.all) {
            const bool won = accepted.contains(one->id);
            // An operator that reads only after the winner's write is refused at once,
            // because version 0 has been replaced.
            const ApplyVerdict expected = won ? ApplyVerdict::Applied : ApplyVerdict::LostRace;
            BOOST_TEST((one->finished->verdict == expected),
                       one->id << " got verdict " << static_cast<int>(one->finished->verdict) << " and "
                               << (won ? "won" : "lost"));
        }
        BOOST_TEST(platform.object(Key)->value["file"]["marker"].get<std::string>() == *accepted.begin());
    }
}

BOOST_AUTO_TEST_CASE(AppliesThroughARunOfFaults)
{
    PlatformStandIn platform;
    platform.put(Key, configurationObject({"base", "ann", {}}, json::object()));
    platform.failNextCalls(3);
    platform.loseNextAnswers(1);
    const ApplyFinished finished = runAlone(platform);
    BOOST_TEST((finished.verdict == ApplyVerdict::Applied));
    BOOST_TEST(finished.version == platform.object(Key)->version);
    BOOST_TEST(platform.calls().writes == 1u, "an accepted file was written again");
}

BOOST_AUTO_TEST_CASE(ReportsNoChangeWhenTheStoreIsDown)
{
    PlatformStandIn platform;
    platform.setDown(true);
    BOOST_TEST((runAlone(platform, milliseconds(300)).verdict == ApplyVerdict::StoreUnavailable));
    BOOST_TEST(!platform.object(Key).has_value());
}

BOOST_AUTO_TEST_CASE(ReportsUnknownWhenTheStoreGoesDownAfterTheWrite)
{
    // The write takes effect, its answer is lost and the store goes down. If an unknown
    // outcome is treated as a failed write, the operator of an accepted file is told that
    // nothing changed.
    PlatformStandIn platform;
    platform.loseNextAnswers(1);
    platform.goDownAfterNextChange();
    BOOST_TEST((runAlone(platform, milliseconds(500)).verdict == ApplyVerdict::Unknown));
    BOOST_TEST(platform.object(Key).has_value());
}

BOOST_AUTO_TEST_CASE(LeavesAForeignObjectAlone)
{
    PlatformStandIn platform;
    platform.put(Key, {{"someone", "else"}});
    BOOST_TEST((runAlone(platform).verdict == ApplyVerdict::Refused));
    BOOST_TEST(platform.object(Key)->value == json({{"someone", "else"}}));
}

BOOST_AUTO_TEST_CASE(RefusesAFileThatIsTooLarge)
{
    PlatformStandIn platform;
    BOOST_TEST((runAlone(platform, TestTimeout, std::string(2 * 1024 * 1024, 'x')).verdict == ApplyVerdict::Refused));
    BOOST_TEST(!platform.object(Key).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
