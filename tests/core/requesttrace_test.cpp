// Tests of the trace of one request, built from the log lines of several hosts.

#define BOOST_TEST_MODULE RequestTrace
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "egrettide/core/requesttrace.h"

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

std::string traceOf(const std::string &id, const std::vector<std::string> &added)
{
    RequestTrace trace(id);
    for (const std::string &line : added) {
        trace.addLine(line);
    }
    return trace.describe();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TraceOfARequest)

BOOST_AUTO_TEST_CASE(ShowsTheStateAtThatTime)
{
    const std::string trace = traceOf("abc", lines);
    BOOST_TEST(contains(trace, "Not run: no slot."), trace);
    BOOST_TEST(contains(trace, "It did not run"), trace);
    BOOST_TEST(contains(trace, "version 20"), "the version in force at that time is missing:\n" << trace);
    BOOST_TEST(!contains(trace, "version 21"), "a later version is shown:\n" << trace);
    BOOST_TEST(contains(trace, "home of u1: front-2, since 400 ms before"), trace);
    BOOST_TEST(contains(trace, "in force at front-2: primary_seen"), "the state of the home is missing:\n" << trace);
}

BOOST_AUTO_TEST_CASE(ReportsAnUnknownOutcome)
{
    const std::string trace = traceOf("xyz", lines);
    BOOST_TEST(contains(trace, "It may have run"), trace);
    BOOST_TEST(contains(trace, "home of u1: none in these lines"), "the home had been left:\n" << trace);
}

// A host was restarted before the request failed. Lines that its previous process wrote must
// not count as its state; otherwise a running host is shown as stopping.
BOOST_AUTO_TEST_CASE(IgnoresTheStateOfAnEarlierProcessOfTheHost)
{
    std::vector<std::string> added = lines;
    added.push_back(R"({"time_ms":900,"level":"info","host":"front-1","event":"stop_begun","callers":3})");
    const std::string trace = traceOf("abc", added);
    BOOST_TEST(!contains(trace, "stop_begun"), trace);
}

BOOST_AUTO_TEST_CASE(SkipsAndCountsInvalidLines)
{
    RequestTrace trace("abc");
    trace.addLine("plain words");
    trace.addLine("{\"time_ms\":");
    trace.addLine("{\"time_ms\":\"soon\",\"host\":\"front-1\",\"event\":\"started\"}");
    trace.addLine("[1]");
    trace.addLine("");
    trace.addLine("  41.2 front-1 " + lines[4]);
    BOOST_TEST(trace.skipped() == 4U, trace.skipped() << " lines were skipped, not 4");
    BOOST_TEST(trace.found(), "a collector's prefix must not hide a line");
}

BOOST_AUTO_TEST_CASE(DoesNotDependOnTheOrderOfLines)
{
    BOOST_TEST(rc::check("any order gives the same text", [] {
        std::vector<std::string> shuffled = lines;
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
        RC_ASSERT(traceOf("abc", shuffled) == traceOf("abc", lines));
    }));
}

// Guards against a tool that ends by one damaged line of a log.
BOOST_AUTO_TEST_CASE(SkipsDeeplyNestedLines)
{
    RequestTrace trace("abc");
    trace.addLine(R"({"time_ms":1,"host":"front-1","event":"request_failed","id":"abc","reason":)" + std::string(200'000, '[')
                  + std::string(200'000, ']') + "}");
    BOOST_TEST(trace.skipped() == 1U);
    BOOST_TEST(!trace.found());
}

BOOST_AUTO_TEST_CASE(SurvivesAnyBytes)
{
    BOOST_TEST(rc::check("lines of any content", [](const std::vector<std::string> &added) { traceOf("abc", added); }));
}

BOOST_AUTO_TEST_SUITE_END()
