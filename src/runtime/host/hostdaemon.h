// One host: front of its callers, home of some upstreams, observer and promoter of their
// groups, and member of the fleet. This class only connects these parts; see
// docs/design/architecture.md for their responsibilities.

#pragma once

#include "egrettide/core/error.h"
#include "runtime/host/hostparts.h"
#include "runtime/host/settings.h"

#include <tl/expected.hpp>

#include <memory>

namespace egrettide
{

// The addresses that a started host listens on ("IP:port"). They differ from the settings
// where these contain port 0.
struct HostAddresses {
    std::string caller;
    std::string peer;
    std::string operators;
    // Empty when there is no separate readiness listener.
    std::string ready;
};

class HostDaemon
{
public:
    HostDaemon(Settings settings, HostParts parts);
    ~HostDaemon();
    HostDaemon(const HostDaemon &) = delete;
    HostDaemon &operator=(const HostDaemon &) = delete;

    // Starts the listeners and all threads. On an error (such as an address in use) nothing runs.
    tl::expected<HostAddresses, Error> start();

    // Begins a graceful stop, from any thread: accepts no new work, lets work in progress finish
    // and announces the departure to the other hosts. Repeated calls have no effect.
    void beginStop();

    // Applies changed settings, from any thread. Changes that need a restart are logged and not
    // applied.
    void reload(const Settings &settings);

    // Stops at once, from any thread; requests in progress are aborted.
    void stopNow();

    // Blocks until a stop has completed, then joins all threads.
    void wait();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace egrettide
