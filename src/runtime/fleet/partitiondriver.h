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

struct PartitionDriverHooks {
    // Closes the open sessions, each once it has no request or transaction in progress.
    std::function<void()> moveCallers;
    // Tells the other hosts of the zone that this host suspects a partition.
    std::function<void()> notifyZone;
    // When a message from another availability zone last arrived.
    std::function<TimePoint()> lastHeardElsewhere;
};

// Used from the control thread only.
class PartitionDriver
{
public:
    // The store must outlive this object.
    PartitionDriver(boost::asio::io_context &control, Store &store, const PartitionOptions &options, PartitionDriverHooks hooks);
    PartitionDriver(const PartitionDriver &) = delete;
    PartitionDriver &operator=(const PartitionDriver &) = delete;

    // The reachability of the other hosts has changed.
    void onReach(const HostReach &reach);
    // Called with each heartbeat; see OutsideContact::unanswered.
    void onHeartbeat(std::size_t unansweredElsewhere);
    // Another host of the zone suspects that the zone is cut off.
    void onNotice();
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
    const PartitionDriverHooks m_hooks;
    Timer m_timer;
    HostReach m_reach;
    std::size_t m_unansweredElsewhere = 0;
    bool m_loggedSuspected = false;
    bool m_loggedCutOff = false;
};

} // namespace egrettide
