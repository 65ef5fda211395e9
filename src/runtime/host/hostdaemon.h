// One entry host: front of its callers, home of some upstreams, observer and
// promoter of their groups, member among the hosts. This part only connects the
// others; see docs/design/architecture.md for who decides what.

#pragma once

#include "egrettide/core/error.h"
#include "runtime/host/hostparts.h"
#include "runtime/host/settings.h"

#include <tl/expected.hpp>

#include <memory>

namespace egrettide
{

// The addresses that a started host really listens on ("IP:port"), which matter
// where the settings asked for port 0.
struct HostAddresses {
    std::string caller;
    std::string peer;
    std::string operators;
    // Empty without a listener of its own for readiness.
    std::string ready;
};

class HostDaemon
{
public:
    HostDaemon(Settings settings, HostParts parts);
    ~HostDaemon();
    HostDaemon(const HostDaemon &) = delete;
    HostDaemon &operator=(const HostDaemon &) = delete;

    // Listens and starts all threads. On an error (an address in use) nothing runs.
    tl::expected<HostAddresses, Error> start();

    // Graceful stop, from any thread: takes nothing new, lets what is in progress
    // finish, tells the other hosts. Repeated calls change nothing.
    void beginStop();

    // Takes over changed settings, from any thread; what needs a restart is logged and
    // left as it is.
    void reload(const Settings &settings);

    // Stops at once, from any thread: requests in progress are cut.
    void stopNow();

    // Blocks until a stop is complete, then joins all threads.
    void wait();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace egrettide
