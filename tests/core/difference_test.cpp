// Tests of the transfer of texts as differences from a base text.

#define BOOST_TEST_MODULE Difference
#include <boost/test/unit_test.hpp>

#include "wire/difference.h"

#include <rapidcheck.h>

#include <random>
#include <string>

using namespace egrettide;

namespace
{

// A configuration with `count` routes, in the format of the store.
std::string routes(int count, int timeout = 1000)
{
    std::mt19937_64 random(7);
    std::string text = "{\"routes\":[";
    for (int i = 0; i < count; ++i) {
        text += R"({"host":"db)" + std::to_string(random() % 1'000'000) + R"(","maxStalenessMs":1500,"name":"r)"
            + std::to_string(random() % 1'000'000) + R"(","priority":1,"service":"booking","timeoutMs":)"
            + std::to_string(i == count / 2 ? timeout : 1000) + R"(,"type":"read_your_writes"},)";
    }
    return text + "]}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(Differences)

BOOST_AUTO_TEST_CASE(GiveTheTextBackWithTheirBase)
{
    const bool holds = rc::check([](const std::string &base, const std::string &text) {
        const auto whole = applyDifference({}, makeDifference({}, text), digestOf(text));
        RC_ASSERT(whole.has_value() && *whole == text);
        const auto difference = applyDifference(base, makeDifference(base, text), digestOf(text));
        RC_ASSERT(difference.has_value() && *difference == text);
    });
    BOOST_TEST(holds);
}

// A change of one route must not send the whole configuration (240 KB for 1,900 routes) to
// each host, which takes a second of every link's capacity.
BOOST_AUTO_TEST_CASE(AreAsSmallAsTheChange)
{
    const std::string before = routes(1900);
    const std::string after = routes(1900, 1500);
    const std::size_t change = makeDifference(before, after).size();
    BOOST_TEST(change <= 1024U, "the change of one route takes " << change << " bytes");
    const std::size_t whole = makeDifference({}, after).size();
    BOOST_TEST(whole * 3 <= after.size(), "the whole takes " << whole << " of " << after.size() << " bytes");
}

BOOST_AUTO_TEST_CASE(OfAnotherBaseAreRefused)
{
    const std::string text = routes(50, 1500);
    const std::string difference = makeDifference(routes(50), text);
    BOOST_TEST(!applyDifference(routes(51), difference, digestOf(text)).has_value());
    BOOST_TEST(!applyDifference({}, difference, digestOf(text)).has_value());
}

// A damaged difference gives an error or the original text, never another text.
BOOST_AUTO_TEST_CASE(ThatAreDamagedAreRefused)
{
    const std::string base = routes(30);
    const std::string text = routes(30, 1500);
    const std::string difference = makeDifference(base, text);
    const bool holds = rc::check([&] {
        std::string damaged = difference;
        const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
        damaged[at] = static_cast<char>(damaged[at] ^ *rc::gen::inRange(1, 256));
        damaged.resize(*rc::gen::inRange<std::size_t>(0, damaged.size() + 1));
        const auto read = applyDifference(base, damaged, digestOf(text));
        RC_ASSERT(!read.has_value() || *read == text);
    });
    BOOST_TEST(holds);
    BOOST_TEST(!applyDifference({}, "no difference at all", 1).has_value());
    BOOST_TEST(!applyDifference({}, {}, 0).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
