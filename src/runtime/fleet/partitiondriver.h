// Gives PartitionDetector its time and the store's answers, and logs what it decides.

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
    // `moveCallers` ends the sessions that are open, each when nothing of it is under way.
    // The store outlives this object.
    PartitionDriver(boost::asio::io_context &control, Store &store, const PartitionOptions &options,
                    std::function<void()> moveCallers);
    PartitionDriver(const PartitionDriver &) = delete;
    PartitionDriver &operator=(const PartitionDriver &) = delete;

    // The membership sees the other hosts otherwise than before.
    void onReach(const HostReach &reach);
    // The balancer was told whether this host is ready.
    void onReadinessTold(bool ready);
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
