// What a process reports when it ends by a signal or an exception that nothing catches.

#define BOOST_TEST_MODULE CrashReport
#include <boost/test/unit_test.hpp>

#include "runtime/host/crashreport.h"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

using namespace egrettide;
using nlohmann::json;

namespace
{

struct Ended {
    int signal = 0;
    std::vector<json> lines;
};

// Runs the action in a child process with crash reports, and waits for its end.
Ended endOf(const std::function<void()> &action)
{
    std::array<int, 2> ends{};
    BOOST_TEST_REQUIRE(::pipe(ends.data()) == 0);
    const pid_t child = ::fork();
    BOOST_TEST_REQUIRE(child >= 0);
    if (child == 0) {
        ::close(ends[0]);
        crash::install("host-a", ends[1]);
        action();
        ::_exit(0);
    }
    ::close(ends[1]);
    std::string text;
    std::array<char, 4096> part{};
    for (ssize_t got = 0; (got = ::read(ends[0], part.data(), part.size())) > 0;) {
        text.append(part.data(), static_cast<std::size_t>(got));
    }
    ::close(ends[0]);
    int status = 0;
    BOOST_TEST_REQUIRE(::waitpid(child, &status, 0) == child);
    Ended ended;
    ended.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        ended.lines.push_back(json::parse(line));
    }
    return ended;
}

// Calls itself until the stack is used up; the array keeps each frame from being optimized away.
int recurse(int depth)
{
    volatile char frame[512] = {};
    frame[0] = static_cast<char>(depth);
    return depth == -1 ? 0 : recurse(depth + 1) + frame[0];
}

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool isReported = false;
#else
constexpr bool isReported = true;
#endif

} // namespace

BOOST_AUTO_TEST_SUITE(Ends)

BOOST_AUTO_TEST_CASE(OnTheProcesssOwnDecisionAreNotReported)
{
    const Ended ended = endOf([] { std::thread([] { const crash::ThreadCover cover("control"); }).join(); });
    BOOST_TEST(ended.signal == 0);
    BOOST_TEST(ended.lines.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Crashes, *boost::unit_test::enable_if<isReported>())

// Guards against a host that ends by a signal and leaves no trace of it in its log.
BOOST_AUTO_TEST_CASE(BySignalAreReportedWithTheirThread)
{
    const Ended ended = endOf([] {
        std::thread([] {
            const crash::ThreadCover cover("control");
            ::raise(SIGSEGV);
        }).join();
    });
    BOOST_TEST(ended.signal == SIGSEGV, "the exit status has to be that of the signal");
    BOOST_TEST_REQUIRE(ended.lines.size() == 2U);
    BOOST_TEST(ended.lines[0]["event"] == "process_crashed");
    BOOST_TEST(ended.lines[0]["host"] == "host-a");
    BOOST_TEST(ended.lines[0]["signal"] == "SIGSEGV");
    BOOST_TEST(ended.lines[0]["thread"] == "control");
    BOOST_TEST(ended.lines[0]["stack_overflow"] == false);
    BOOST_TEST(ended.lines[1]["event"] == "process_crash_frames");
    BOOST_TEST(!ended.lines[1]["frames"].get<std::string>().empty());
}

// Guards against a stack overflow that is not reported because its handler has no stack either.
BOOST_AUTO_TEST_CASE(OfTheStackAreToldApart)
{
    const auto overflow = [] { ::_exit(recurse(0)); };
    const auto overflowInThread = [overflow] {
        std::thread([overflow] {
            const crash::ThreadCover cover("control");
            overflow();
        }).join();
    };
    for (const std::function<void()> &action : std::vector<std::function<void()>>{overflow, overflowInThread}) {
        const Ended ended = endOf(action);
        BOOST_TEST(ended.signal == SIGSEGV);
        BOOST_TEST_REQUIRE(!ended.lines.empty());
        BOOST_TEST(ended.lines[0]["event"] == "process_crashed");
        BOOST_TEST(ended.lines[0]["stack_overflow"] == true);
    }
}

// Guards against a host that neither serves nor ends, since nobody reads its log.
BOOST_AUTO_TEST_CASE(DoNotWaitForAnOutputThatIsNotRead)
{
    std::array<int, 2> ends{};
    BOOST_TEST_REQUIRE(::pipe(ends.data()) == 0);
    const pid_t child = ::fork();
    BOOST_TEST_REQUIRE(child >= 0);
    if (child == 0) {
        ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
        const std::string filler(4096, 'x');
        while (::write(ends[1], filler.data(), filler.size()) > 0) { }
        ::fcntl(ends[1], F_SETFL, 0);
        crash::install("host-a", ends[1]);
        ::raise(SIGSEGV);
        ::_exit(0);
    }
    int status = 0;
    BOOST_TEST_REQUIRE(::waitpid(child, &status, 0) == child);
    BOOST_TEST((WIFSIGNALED(status) && WTERMSIG(status) == SIGSEGV));
    ::close(ends[0]);
    ::close(ends[1]);
}

// Guards against an exception that ends the process without a word about its type.
BOOST_AUTO_TEST_CASE(ByExceptionAreReportedWithTheirTypeAndMessage)
{
    const Ended ended = endOf([] { std::thread([] { throw std::out_of_range("odd \"value\"\n"); }).join(); });
    BOOST_TEST(ended.signal == SIGABRT);
    BOOST_TEST_REQUIRE(ended.lines.size() >= 2U);
    BOOST_TEST(ended.lines[0]["event"] == "exception_not_caught");
    BOOST_TEST(ended.lines[0]["exception"].get<std::string>().find("out_of_range") != std::string::npos);
    BOOST_TEST(ended.lines[0]["message"] == "odd ?value??");
    BOOST_TEST(ended.lines[1]["signal"] == "SIGABRT");
}

BOOST_AUTO_TEST_SUITE_END()
