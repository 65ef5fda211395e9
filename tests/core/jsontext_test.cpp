// JSON of other programs: limits, and parts of a text that are read on their own.

#define BOOST_TEST_MODULE JsonText
#include <boost/test/unit_test.hpp>

#include "egrettide/core/jsontext.h"

#include <rapidcheck.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

using namespace egrettide;
using nlohmann::json;

namespace
{

std::string nested(std::size_t depth, bool asObject = false)
{
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += asObject ? R"({"a":)" : "[";
    }
    text += asObject ? "1" : "";
    return text + std::string(depth, asObject ? '}' : ']');
}

json arbitraryValue(int depth)
{
    const int kind = *rc::gen::inRange(0, depth > 0 ? 7 : 5);
    switch (kind) {
    case 0:
        return nullptr;
    case 1:
        return *rc::gen::arbitrary<bool>();
    case 2:
        return *rc::gen::arbitrary<int>();
    case 3:
        return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
    case 4:
        return *rc::gen::element<std::string>("]", "}", "\"", "\\", "[{\\\"", ",", ":", "\xc3\xa9", "");
    case 5: {
        json list = json::array();
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
            list.push_back(arbitraryValue(depth - 1));
        }
        return list;
    }
    default: {
        json object = json::object();
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
            object["key" + std::to_string(i) + *rc::gen::element<std::string>("", "]", "}", " ", ",", ":")] =
                arbitraryValue(depth - 1);
        }
        return object;
    }
    }
}

bool checks(const std::string &claim, const std::function<void()> &property)
{
    return rc::check(claim, property);
}

} // namespace

BOOST_AUTO_TEST_SUITE(Limits)

// Guards against a value that is parsed and overflows the stack when it is copied or serialized.
BOOST_AUTO_TEST_CASE(OfDepthHoldForArraysAndObjects)
{
    for (const bool asObject : {false, true}) {
        BOOST_TEST(parseJson(nested(maxJsonDepth, asObject)).has_value());
        for (const std::size_t depth : {maxJsonDepth + 1, std::size_t{1'000'000}}) {
            const auto parsed = parseJson(nested(depth, asObject));
            BOOST_TEST_REQUIRE(!parsed.has_value());
            BOOST_TEST((parsed.error() == JsonFault::TooDeep));
        }
    }
    BOOST_TEST(parseJson("[" + json(std::string(1000, '[')).dump() + "]").has_value(), "brackets in a string were counted");
}

BOOST_AUTO_TEST_CASE(AreNamedByTheirFault)
{
    const auto faultOf = [](const std::string &text) {
        const auto parsed = parseJson(text);
        BOOST_TEST_REQUIRE(!parsed.has_value(), text << " was accepted");
        return parsed.error();
    };
    for (const std::string number : {"1e999", "-1e400", "[1E+400]"}) {
        BOOST_TEST((faultOf(number) == JsonFault::NumberOutOfRange));
    }
    for (const std::string text : {"", "{", "[1,]", "nul", "\"\\ud800\"", "\"\xff\"", "{\"\\udc00\":1}", "1 2", "NaN"}) {
        BOOST_TEST((faultOf(text) == JsonFault::Malformed));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Parts)

BOOST_AUTO_TEST_CASE(AreThoseThatAParserFinds)
{
    BOOST_TEST(checks("elements and members, parsed one by one, are those of the whole", [] {
        const json value = arbitraryValue(3);
        const std::string text = value.dump(*rc::gen::inRange(-1, 3));
        const auto elements = elementsOfJson(text);
        const auto members = membersOfJson(text);
        RC_ASSERT(elements.has_value() == value.is_array());
        RC_ASSERT(members.has_value() == value.is_object());
        if (elements) {
            json list = json::array();
            for (const std::string_view element : *elements) {
                list.push_back(parseJson(element).value());
            }
            RC_ASSERT(list == value);
        }
        if (members) {
            json object = json::object();
            for (const JsonMember &member : *members) {
                object[std::string(member.name)] = parseJson(member.value).value();
            }
            RC_ASSERT(object == value);
        }
    }));
}

BOOST_AUTO_TEST_CASE(OfAnyTextAreWithinItAndCrashNothing)
{
    BOOST_TEST(checks("any bytes are read without a fault of memory", [] {
        const std::string text = *rc::gen::container<std::string>(
            rc::gen::element<char>('[', ']', '{', '}', '"', '\\', ',', ':', ' ', '1', 'a', '\n', '\0', '\xff'));
        for (const std::string_view part : elementsOfJson(text).value_or(std::vector<std::string_view>())) {
            RC_ASSERT(part.data() >= text.data() && part.data() + part.size() <= text.data() + text.size());
        }
        for (const JsonMember &member : membersOfJson(text).value_or(std::vector<JsonMember>())) {
            RC_ASSERT(member.value.data() + member.value.size() <= text.data() + text.size());
        }
        (void)parseJson(text);
    }));
}

BOOST_AUTO_TEST_CASE(BesideADeepOneStayReadable)
{
    const std::string text = R"([1, )" + nested(200'000, true) + R"(, {"b": "]"}, 1e999, "\ud800"])";
    const auto elements = elementsOfJson(text);
    BOOST_TEST_REQUIRE((elements && elements->size() == 5U));
    BOOST_TEST((parseJson((*elements)[0]) == json(1)));
    BOOST_TEST((parseJson((*elements)[2]) == json{{"b", "]"}}));
}

BOOST_AUTO_TEST_CASE(AreTheLastOfTheirName)
{
    const auto members = membersOfJson(R"({"a":1,"b":2,"a":3})");
    BOOST_TEST_REQUIRE(members.has_value());
    BOOST_TEST(memberOf(*members, "a") == "3");
    BOOST_TEST(memberOf(*members, "c").empty());
}

BOOST_AUTO_TEST_SUITE_END()
