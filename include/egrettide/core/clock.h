// The monotonic clock for all deadlines and ages on a host.

#pragma once

#include <chrono>
#include <ctime>

namespace egrettide
{

// Steady, and includes the time for which the machine was suspended.
//
// With a clock that stops during suspension, a host suspended for four seconds would
// resume with a primary position that looks a tenth of a second old, and serve reads far
// older than their callers accept. No timer is late by such a clock, so the fault would
// go undetected.
class Clock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

} // namespace egrettide
