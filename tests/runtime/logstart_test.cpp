// The first lines of a process. A program of its own: the library that formats them sets
// itself up once in a process, with the first line.

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

// Symptom: a deployment test fails under the thread sanitizer, now and then: a data race
// in the library's formatter between the thread that starts the host and one that it started.
// Sequence: a host starts its threads; two of them log their first lines at the same moment.
// Cause: the library fills a table with the first line that it formats, and others read
// it without synchronization; the first line came after the threads.
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
            // Spinning, and relaxed: a lock would order the lines and hide the race.
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
