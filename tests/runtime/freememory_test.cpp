// Returning unused heap memory from several threads.

#define BOOST_TEST_MODULE FreeMemory
#include <boost/test/unit_test.hpp>

#include "runtime/host/freememory.h"

#include <atomic>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace egrettide;

namespace
{

// Ends the process with 0 when `threads` threads have called releaseFreeMemory at the same moment.
[[noreturn]] void releaseInThreads(int threads)
{
    std::atomic<int> waiting{threads};
    std::vector<std::thread> running;
    for (int i = 0; i < threads; ++i) {
        running.emplace_back([&waiting] {
            --waiting;
            while (waiting > 0) { }
            releaseFreeMemory();
        });
    }
    for (std::thread &thread : running) {
        thread.join();
    }
    _exit(0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(FreeMemory)

// The first call initializes the C library's allocator when another one serves the program, as under
// the address sanitizer. Two threads that did so at once made the library abort when they ended.
BOOST_AUTO_TEST_CASE(IsReturnedByThreadsThatBeginTogether)
{
    constexpr int processes = 20;
    for (int i = 0; i < processes; ++i) {
        const pid_t child = fork();
        BOOST_REQUIRE(child >= 0);
        if (child == 0) {
            releaseInThreads(8);
        }
        int status = 0;
        BOOST_REQUIRE(waitpid(child, &status, 0) == child);
        BOOST_TEST(status == 0);
    }
}

BOOST_AUTO_TEST_SUITE_END()
