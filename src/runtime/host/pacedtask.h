// A recomputation that runs when something has changed, but takes a bounded share of the time.

#pragma once

#include "egrettide/core/recomputationpace.h"
#include "runtime/host/timer.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace egrettide
{

// Used from the thread of its io_context.
class PacedTask
{
public:
    PacedTask(boost::asio::io_context &context, std::function<void()> run);
    PacedTask(const PacedTask &) = delete;
    PacedTask &operator=(const PacedTask &) = delete;

    // Runs the task within the call or, while requests follow each other, once after a pause for
    // all of them; see RecomputationPace.
    void request();
    // Runs the task within the call; a request that waits is fulfilled by it.
    void runNow();
    void cancel();

private:
    std::function<void()> m_run;
    Timer m_timer;
    RecomputationPace m_pace;
    // True while the timer waits to run the task.
    bool m_waits = false;
};

} // namespace egrettide
