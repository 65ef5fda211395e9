// The story of one request, out of the log lines of several hosts.

#define BOOST_TEST_MODULE LogStory
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "egrettide/core/logstory.h"

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace egrettide;

namespace
{

const std::vector<std::string> lines{
    R"({"time_ms":1000,"level":"info","host":"front-1","event":"started","zone":"a"})",
    R"({"time_ms":1010,"level":"info","host":"front-1","event":"configuration_accepted","version":20})",
    R"({"time_ms":1100,"level":"info","host":"front-2","event":"home_taken","database":"booking","upstream":"u1"})",
    R"({"time_ms":1120,"level":"info","host":"front-2","event":"primary_seen","database":"booking","primary":"u1","term":3})",
    R"({"time_ms":1500,"level":"warning","host":"front-1","event":"request_failed","id":"abc","database":"booking","upstream":"u1","sent":false,"error":"overloaded","reason":"Not run: no slot."})",
    R"({"time_ms":1600,"level":"info","host":"front-2","event":"home_left","database":"booking","upstream":"u1"})",
    R"({"time_ms":1700,"level":"info","host":"front-1","event":"configuration_accepted","version":21})",
    R"({"time_ms":1800,"level":"warning","host":"front-1","event":"request_failed","id":"xyz","database":"booking","upstream":"u1","sent":true,"error":"unknown_outcome","reason":"Its answer was lost."})"};

std::string storyOf(const std::string &id, const std::vector<std::string> &taken)
{
    LogStory story(id);
    for (const std::string &line : taken) {
        story.take(line);
    }
    return story.tell();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogStoryOfARequest)

BOOST_AUTO_TEST_CASE(TellsWhatWasInForceAtThatMoment)
{
    const std::string story = storyOf("abc", lines);
    BOOST_TEST(contains(story, "Not run: no slot."), story);
    BOOST_TEST(contains(story, "It did not run"), story);
    BOOST_TEST(contains(story, "version 20"), "the version in force then is missing:\n" << story);
    BOOST_TEST(!contains(story, "version 21"), "a later version is told:\n" << story);
    BOOST_TEST(contains(story, "home of u1: front-2, since 400 ms before"), story);
    BOOST_TEST(contains(story, "in force at front-2: primary_seen"), "what the home believed is missing:\n" << story);
}

BOOST_AUTO_TEST_CASE(TellsAnUnknownOutcomeAsSuch)
{
    const std::string story = storyOf("xyz", lines);
    BOOST_TEST(contains(story, "It may have run"), story);
    BOOST_TEST(contains(story, "home of u1: none in these lines"), "the home had left:\n" << story);
}

// Symptom: a host is said to be stopping although it runs for minutes already.
// Sequence: it stopped, started again, and then the request failed.
// Cause: what the process before had written was told as being in force.
BOOST_AUTO_TEST_CASE(ForgetsWhatAnEarlierProcessOfTheHostBelieved)
{
    std::vector<std::string> taken = lines;
    taken.push_back(R"({"time_ms":900,"level":"info","host":"front-1","event":"stop_begun","callers":3})");
    const std::string story = storyOf("abc", taken);
    BOOST_TEST(!contains(story, "stop_begun"), story);
}

BOOST_AUTO_TEST_CASE(SkipsAndCountsWhatIsNoLogLine)
{
    LogStory story("abc");
    story.take("plain words");
    story.take("{\"time_ms\":");
    story.take("{\"time_ms\":\"soon\",\"host\":\"front-1\",\"event\":\"started\"}");
    story.take("[1]");
    story.take("");
    story.take("  41.2 front-1 " + lines[4]);
    BOOST_TEST(story.skipped() == 4U, story.skipped() << " lines were skipped, not 4");
    BOOST_TEST(story.found(), "a collector's prefix must not hide a line");
}

BOOST_AUTO_TEST_CASE(DoesNotDependOnTheOrderOfLines)
{
    BOOST_TEST(rc::check("any order tells the same", [] {
        std::vector<std::string> shuffled = lines;
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
        RC_ASSERT(storyOf("abc", shuffled) == storyOf("abc", lines));
    }));
}

BOOST_AUTO_TEST_CASE(SurvivesAnyBytes)
{
    BOOST_TEST(rc::check("lines of any content", [](const std::vector<std::string> &taken) { storyOf("abc", taken); }));
}

BOOST_AUTO_TEST_SUITE_END()
