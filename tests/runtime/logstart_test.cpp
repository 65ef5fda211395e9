// The first log lines of a process. A separate program, since the logging library initializes
// itself once per process, with the first line.

#define BOOST_TEST_MODULE LogStart
#include <boost/test/unit_test.hpp>

#include "runtime/host/log.h"

#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>
#include <vector>

using namespace egrettide;

BOOST_AUTO_TEST_SUITE(LogOfAStartingHost)

// The logging library fills a table with the first line that it formats, and other threads read
// it without synchronization. When two threads log their first lines at the same time, the
// thread sanitizer reports a data race; log::open() must therefore format a line before.
BOOST_AUTO_TEST_CASE(FormatsTheFirstLinesOfSeveralThreadsWithoutARace)
{
    constexpr int threads = 8;
    std::array<int, 2> pipe{};
    BOOST_REQUIRE(::pipe(pipe.data()) == 0);
    log::open("front-1", log::Level::Info, pipe[1]);
    std::atomic<int> waiting{threads};
    std::vector<std::thread> started;
    started.reserve(threads);
    for (int i = 0; i < threads; ++i) {
        started.emplace_back([&waiting, i] {
            // Spins with relaxed loads: a lock would order the lines and hide the race.
            waiting.fetch_sub(1, std::memory_order_relaxed);
            while (waiting.load(std::memory_order_relaxed) > 0) { }
            log::info("started", {{"number", i}});
        });
    }
    for (std::thread &thread : started) {
        thread.join();
    }
    log::close();
    ::close(pipe[1]);
    ::close(pipe[0]);
    BOOST_TEST(log::droppedLines() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
