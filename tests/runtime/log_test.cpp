// Logging to an output that is not read.

#define BOOST_TEST_MODULE Log
#include <boost/test/unit_test.hpp>

#include "runtime/host/log.h"

#include <nlohmann/json.hpp>

#include <unistd.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>

using namespace egrettide;

namespace
{

// A pipe that is read only on demand.
class UnreadPipe
{
public:
    UnreadPipe()
    {
        BOOST_REQUIRE(::pipe(m_ends.data()) == 0);
    }
    ~UnreadPipe()
    {
        ::close(m_ends[0]);
    }

    int writeEnd() const
    {
        return m_ends[1];
    }

    // Reads to the end of the data, which is reached once the write end is closed.
    std::string readAll() const
    {
        std::string text;
        std::array<char, 65536> part{};
        for (ssize_t got = 0; (got = ::read(m_ends[0], part.data(), part.size())) > 0;) {
            text.append(part.data(), static_cast<std::size_t>(got));
        }
        return text;
    }

private:
    std::array<int, 2> m_ends{};
};

struct Counted {
    std::uint64_t events = 0;
    std::uint64_t reportedDropped = 0;
};

Counted count(const std::string &text)
{
    Counted counted;
    for (std::size_t at = 0, end = 0; (end = text.find('\n', at)) != std::string::npos; at = end + 1) {
        const auto line = nlohmann::json::parse(text.substr(at, end - at));
        if (line["event"] == "lines_dropped") {
            counted.reportedDropped += line["lines"].get<std::uint64_t>();
        } else {
            ++counted.events;
        }
    }
    return counted;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LogOfAHost)

// When the log collector hangs, the pipe fills up. A line written by the thread that serves
// callers would then block it, and with it every caller of the host.
BOOST_AUTO_TEST_CASE(NeverWaitsForAnOutputThatIsNotRead)
{
    constexpr int events = 20000;
    const UnreadPipe pipe;
    log::open("front-1", log::Level::Info, pipe.writeEnd());
    for (int i = 0; i < events; ++i) {
        log::info("happened", {{"number", i}});
    }
    BOOST_TEST(log::droppedLines() > 0U, "all 20000 lines fit into a pipe and a queue of " << log::queuedLines);

    std::string text;
    std::thread reader([&] { text = pipe.readAll(); });
    log::info("last", {});
    log::close();
    ::close(pipe.writeEnd());
    reader.join();
    const Counted counted = count(text);
    BOOST_TEST(counted.events + log::droppedLines() == events + 1U,
               counted.events << " lines came out and " << log::droppedLines() << " were dropped of " << events + 1);
    BOOST_TEST(counted.reportedDropped > 0U, "no line of the output reports the dropped lines");
    BOOST_TEST(counted.reportedDropped <= log::droppedLines());
}

BOOST_AUTO_TEST_CASE(ClosesAlthoughTheOutputIsNotRead)
{
    const UnreadPipe pipe;
    log::open("front-1", log::Level::Info, pipe.writeEnd());
    for (int i = 0; i < 5000; ++i) {
        log::info("happened", {{"number", i}});
    }
    log::close();
    ::close(pipe.writeEnd());
    BOOST_TEST(!pipe.readAll().empty());
}

BOOST_AUTO_TEST_CASE(LimitsTheLinesOfFailures)
{
    const UnreadPipe pipe;
    log::open("front-1", log::Level::Info, pipe.writeEnd());
    const std::uint64_t before = log::droppedLines();
    constexpr int failures = 10 * log::failureLines;
    for (int i = 0; i < failures; ++i) {
        log::failure("request_failed", {{"id", "r" + std::to_string(i)}});
    }
    log::close();
    ::close(pipe.writeEnd());
    const Counted counted = count(pipe.readAll());
    BOOST_TEST(counted.events >= static_cast<std::uint64_t>(log::failureLines));
    BOOST_TEST(log::droppedLines() > before, "suppressed lines must be counted");
}

BOOST_AUTO_TEST_SUITE_END()
