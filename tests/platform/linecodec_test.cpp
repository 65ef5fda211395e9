// Tests of the line protocol's codec: which lines are accepted and refused, and that no input
// crashes it.

#define BOOST_TEST_MODULE LineCodec
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include "platform/linecodec.h"

#include <string>
#include <vector>

using namespace egrettide;
using namespace egrettide::platform;
using detail::CallerVerb;

namespace
{

// All lines that the reader returns when these bytes are fed in pieces of `size`.
std::vector<std::string> linesOf(const std::string &bytes, std::size_t size)
{
    LineReader reader;
    std::vector<std::string> lines;
    for (std::size_t at = 0; at < bytes.size(); at += size) {
        reader.feed(std::string_view(bytes).substr(at, size));
        for (auto line = reader.next(); line && line->has_value(); line = reader.next()) {
            lines.emplace_back(**line);
        }
    }
    return lines;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Lines)

BOOST_AUTO_TEST_CASE(AreTheSameHoweverTheBytesArrive)
{
    BOOST_TEST(rc::check("lines survive any cut", [] {
        const auto texts =
            *rc::gen::container<std::vector<std::string>>(rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~')));
        std::string bytes;
        for (const std::string &text : texts) {
            bytes += text + "\r\n";
        }
        const std::size_t size = *rc::gen::inRange<std::size_t>(1, 40);
        RC_ASSERT(linesOf(bytes, size) == texts);
    }));
}

// Guards against a lone CR or LF in a caller's data, or in a row, ending a message.
BOOST_AUTO_TEST_CASE(EndAtCarriageReturnAndLineFeedAlone)
{
    const std::vector<std::string> texts{"QUERY a WRITE i note\nQUERY b WRITE j smuggled", "\r", "x\r\r", "\n", ""};
    std::string bytes;
    for (const std::string &text : texts) {
        bytes += text + "\r\n";
    }
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        BOOST_TEST(linesOf(bytes, size) == texts, boost::test_tools::per_element());
    }
    BOOST_TEST(rc::check("lines of any bytes survive any cut", [] {
        // A text without CR LF; mostly of the bytes that matter.
        const auto byte = rc::gen::oneOf(rc::gen::element('\r', '\n', ' '), rc::gen::arbitrary<char>());
        const auto text =
            rc::gen::suchThat(rc::gen::container<std::string>(byte), [](const std::string &each) { return fitsOneLine(each); });
        const auto lines = *rc::gen::container<std::vector<std::string>>(text);
        std::string sent;
        for (const std::string &line : lines) {
            sent += line + "\r\n";
        }
        RC_ASSERT(linesOf(sent, *rc::gen::inRange<std::size_t>(1, 40)) == lines);
    }));
}

BOOST_AUTO_TEST_CASE(LongerThanTheBoundAreRefused)
{
    // Guards against a caller that exhausts the host's memory by never ending its line. The reader
    // buffers until the line end, so it must refuse more than 1 MiB without one.
    LineReader reader;
    reader.feed(std::string(maxLineBytes, 'x'));
    BOOST_TEST(reader.next().has_value(), "a line of the maximum length was refused");
    reader.feed("x");
    BOOST_TEST(!reader.next().has_value(), "a line above 1 MiB was not refused; the reader has no limit");
}

BOOST_AUTO_TEST_CASE(ArbitraryBytesCrashNothing)
{
    BOOST_TEST(rc::check("every parser takes any line", [](const std::string &bytes) {
        for (const std::string &line : linesOf(bytes + "\r\n", 7)) {
            static_cast<void>(parseStartup(line));
            static_cast<void>(parseStatement(line));
            static_cast<void>(parseAnswer(line));
            static_cast<void>(parseStatus(line));
            static_cast<void>(parsePosition(line));
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Statements)

BOOST_AUTO_TEST_CASE(KeepTheirTextUnchanged)
{
    const std::string text = "5c0e WRITE 1a4  two blanks and a trailing one ";
    const auto statement = parseStatement("QUERY " + text);
    BOOST_TEST_REQUIRE(statement.has_value());
    BOOST_TEST(statement->batch == text, "the text reached the upstream changed: '" << statement->batch << "'");
    BOOST_TEST(queryLine(statement->batch, std::nullopt) == "QUERY " + text + "\r\n");
}

BOOST_AUTO_TEST_CASE(TellWhatTheyDo)
{
    BOOST_TEST((parseStatement("QUERY a BEGIN")->verb == CallerVerb::Begin));
    BOOST_TEST((parseStatement("QUERY a BEGIN READ")->verb == CallerVerb::BeginReadOnly));
    BOOST_TEST((parseStatement("QUERY a COMMIT")->verb == CallerVerb::Commit));
    BOOST_TEST((parseStatement("QUERY a READ 1")->verb == CallerVerb::Read));
    const auto set = parseStatement("QUERY a SET zone north west");
    BOOST_TEST(set->name == "zone");
    BOOST_TEST(set->definition == "north west");
    const auto prepare = parseStatement("QUERY a PREPARE s1 WRITE q2c");
    BOOST_TEST(prepare->name == "s1");
    BOOST_TEST(prepare->definition == "WRITE q2c");
    BOOST_TEST(prepare->preparesWrite);
    const auto execute = parseStatement("QUERY a EXECUTE s1 1a4 data");
    BOOST_TEST(execute->name == "s1");
    BOOST_TEST(execute->batch + "NEW" + execute->batchTail == "a EXECUTE NEW 1a4 data");
}

BOOST_AUTO_TEST_CASE(WithMissingOrUnknownPartsAreRefused)
{
    for (const char *line : {"QUERY", "QUERY a", "QUERY a DROP x", "QUERY a READ", "QUERY a BEGIN WRITE", "QUERY a COMMIT now",
                             "QUERY a SET", "QUERY a PREPARE s1", "QUERY a PREPARE s1 DELETE q", "QUERY a EXECUTE s1",
                             "QUERY a DEALLOC", "QUERY a AFTER 1.2 READ x"}) {
        BOOST_TEST(!parseStatement(line).has_value(), "'" << line << "' was accepted; it must be refused");
    }
}

BOOST_AUTO_TEST_CASE(UnderTheIdOfOwnStatementsAreRefused)
{
    // The id "-" is reserved for egrettide's own statements.
    BOOST_TEST(!parseStatement("QUERY - READ 1").has_value());
}

BOOST_AUTO_TEST_CASE(CarryARequiredMarkBehindTheirId)
{
    BOOST_TEST(queryLine("5c0e READ 1a4", LogMark{3, 1207}) == "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Startups)

BOOST_AUTO_TEST_CASE(NameTheRouteAndTheCaller)
{
    const auto startup = parseStartup("STARTUP lepu270 u3f1");
    BOOST_TEST_REQUIRE(startup.has_value());
    BOOST_TEST(startup->route == "lepu270");
    BOOST_TEST(startup->caller == "u3f1");
}

BOOST_AUTO_TEST_CASE(WithoutEitherAreRefused)
{
    for (const char *line : {"", "STARTUP", "STARTUP lepu270", "QUERY a READ 1"}) {
        BOOST_TEST(!parseStartup(line).has_value(), "'" << line << "' was accepted as a startup");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Answers)

BOOST_AUTO_TEST_CASE(TellStateAndPosition)
{
    const auto ready = parseAnswer("READY T 3.1209");
    BOOST_TEST_REQUIRE(ready.has_value());
    BOOST_TEST((ready->part == AnswerPart::Ready));
    BOOST_TEST(ready->state == 'T');
    BOOST_TEST((ready->position == LogMark{3, 1209}));
    BOOST_TEST(!parseAnswer("READY I -")->position.has_value());
    BOOST_TEST(!parseAnswer("READY X -").has_value());
}

BOOST_AUTO_TEST_CASE(SayWhenNothingRan)
{
    BOOST_TEST((refusalOf("BUSY") == ErrorKind::Overloaded));
    BOOST_TEST((refusalOf("LAGGING") == ErrorKind::NotFresh));
    BOOST_TEST((refusalOf("READONLY") == ErrorKind::Moved));
    for (const char *code : {"FAILED", "TIMEOUT", "UNKNOWN", ""}) {
        BOOST_TEST(!refusalOf(code).has_value(), code << " does not state whether the statement ran");
    }
}

BOOST_AUTO_TEST_CASE(OfAStatusBecomeWhatTheMonitorKnows)
{
    const auto replica = parseStatus("replica 3 3.1209 0 12 2 17");
    BOOST_TEST_REQUIRE(replica.has_value());
    BOOST_TEST((replica->role == UpstreamRole::Replica));
    BOOST_TEST(replica->followingTerm == 3U);
    BOOST_TEST(replica->promisedTerm == 3U);
    BOOST_TEST((replica->received == LogMark{3, 1209}));
    BOOST_TEST(parseStatus("replica 3 3.1209 5 12 2 17")->promisedTerm == 5U);
    for (const char *row : {"", "primary", "leader 3 3.1 0", "primary x 3.1 0", "primary 3 31 0", "primary 3 3.1"}) {
        BOOST_TEST(!parseStatus(row).has_value(), "'" << row << "' was accepted as a status");
    }
}

BOOST_AUTO_TEST_CASE(OfErrorsNeverPromiseMoreThanIsKnown)
{
    // Guards against a caller that repeats a write which took effect. When the answer to a write is
    // lost, the unknown outcome must not be encoded as a code that promises that nothing is kept.
    for (const ErrorKind kind : {ErrorKind::UnknownOutcome, ErrorKind::Internal}) {
        const std::string line = errorLine(Error{kind, "text", milliseconds{0}});
        BOOST_TEST(line == "ERROR UNKNOWN text\r\n", "an unknown outcome was reported as '" << line << "'");
    }
    BOOST_TEST(errorLine(Error{ErrorKind::Overloaded, "Full.", milliseconds{120}})
               == "ERROR BUSY Full. Come back in 120 ms.\r\n");
}

BOOST_AUTO_TEST_CASE(OfErrorsStayOnOneLine)
{
    const std::string line = errorLine(Error{ErrorKind::Overloaded, "one\r\nREADY I -", milliseconds{0}});
    BOOST_TEST(line.find('\n') == line.size() - 1, "the text of an error became a separate message: '" << line << "'");
}

BOOST_AUTO_TEST_SUITE_END()
