// Runs PartitionDetector with timers and the answers of the store, and logs its decisions.

#pragma once

#include "egrettide/core/partitiondetector.h"
#include "runtime/host/timer.h"
#include "runtime/store/store.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace egrettide
{

// Used from the control thread only.
class PartitionDriver
{
public:
    // `moveCallers` closes the open sessions, each once it has no request or transaction in progress.
    // The store must outlive this object.
    PartitionDriver(boost::asio::io_context &control, Store &store, const PartitionOptions &options,
                    std::function<void()> moveCallers);
    PartitionDriver(const PartitionDriver &) = delete;
    PartitionDriver &operator=(const PartitionDriver &) = delete;

    // The reachability of the other hosts has changed.
    void onReach(const HostReach &reach);
    // A readiness check of the load balancer was answered with `ready`.
    void onReadinessReported(bool ready);
    bool isCutOff() const;

private:
    void decide();
    void askStore();
    void logChanges();
    void logNow(std::string_view event) const;

    Store &m_store;
    const PartitionOptions m_options;
    PartitionDetector m_detector;
    const std::function<void()> m_moveCallers;
    Timer m_timer;
    HostReach m_reach;
    bool m_loggedSuspected = false;
    bool m_loggedCutOff = false;
};

} // namespace egrettide
