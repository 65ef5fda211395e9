// Shared fixture of the tests of control components: a platform stand-in, an io_context
// that runs on the test's thread, and waiting for conditions instead of fixed times.

#pragma once

#include "runtime/store/storeclient.h"
#include "testing/platform/platformstandin.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace egrettide::test
{

// Long, because it only limits how long a broken test runs before it fails.
constexpr std::chrono::seconds eventBound{60};

struct ControlPlane {
    standin::PlatformStandIn platform;
    boost::asio::io_context control{1};
    StoreClient store{control, platform.endpoint()};

    // Runs the control context until the condition holds; false after eventBound.
    bool runUntil(const std::function<bool()> &condition)
    {
        const TimePoint bound = Clock::now() + eventBound;
        while (!condition()) {
            if (Clock::now() > bound) {
                return false;
            }
            control.restart();
            control.run_for(std::chrono::milliseconds(5));
        }
        return true;
    }
};

} // namespace egrettide::test
