// Tests that a token preserves its floor, and that everything else is refused.

#define BOOST_TEST_MODULE SessionToken
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "egrettide/core/sessiontoken.h"

#include <algorithm>

using namespace egrettide;

namespace
{

SessionFloor anyFloor()
{
    const auto database = *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
    return SessionFloor{database.substr(0, 63), LogMark{*rc::gen::arbitrary<Term>(), *rc::gen::arbitrary<Position>()}};
}

bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(),
                       [](unsigned char each) { return std::isalnum(each) != 0 || each == '-' || each == '_'; });
}

} // namespace

BOOST_AUTO_TEST_SUITE(SessionToken)

BOOST_AUTO_TEST_CASE(CarriesEveryFloorInPrintableText)
{
    BOOST_TEST(rc::check("decode(encode(floor)) == floor", [] {
        const SessionTokenCodec codec({"key"});
        const SessionFloor floor = anyFloor();
        const std::string token = codec.encode(floor);
        RC_ASSERT(token.size() <= SessionTokenCodec::maxTokenBytes);
        RC_ASSERT(isPrintable(token));
        const auto decoded = codec.decode(token);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(*decoded == floor);
    }));
}

BOOST_AUTO_TEST_CASE(RefusesEveryDamagedToken)
{
    BOOST_TEST(rc::check("one changed character is refused", [] {
        const SessionTokenCodec codec({"key"});
        const SessionFloor floor = anyFloor();
        std::string token = codec.encode(floor);
        const auto at = *rc::gen::inRange<std::size_t>(0, token.size());
        token[at] = *rc::gen::distinctFrom(rc::gen::elementOf(std::string("abcXYZ019-_=+ ")), token[at]);
        const auto decoded = codec.decode(token);
        // The last character of base64 may contain unused bits.
        RC_ASSERT(!decoded.has_value() || (at + 1 == token.size() && *decoded == floor));
    }));
}

BOOST_AUTO_TEST_CASE(RefusesArbitraryBytesWithoutCrashing)
{
    BOOST_TEST(rc::check("arbitrary bytes are no token", [](const std::string &bytes) {
        const auto decoded = SessionTokenCodec({"key"}).decode(bytes);
        RC_ASSERT(!decoded.has_value());
        RC_ASSERT(decoded.error().kind == ErrorKind::InvalidInput);
    }));
    BOOST_TEST(!SessionTokenCodec({"key"}).decode(std::string(100000, 'A')).has_value());
}

BOOST_AUTO_TEST_CASE(AcceptsOldKeysAndSignsWithTheFirst)
{
    const SessionFloor floor{"booking", LogMark{3, 70}};
    const std::string old = SessionTokenCodec({"old"}).encode(floor);
    const SessionTokenCodec changing({"new", "old"});
    BOOST_TEST(changing.decode(old).has_value());
    BOOST_TEST(SessionTokenCodec({"new"}).decode(changing.encode(floor)).has_value());
    BOOST_TEST(!SessionTokenCodec({"new"}).decode(old).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
