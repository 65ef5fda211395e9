// Runs PartitionDetector: timers, queries to the store and log lines.

#include "runtime/fleet/partitiondriver.h"

#include "runtime/host/log.h"

#include <utility>

namespace egrettide
{

PartitionDriver::PartitionDriver(boost::asio::io_context &control, Store &store, const PartitionOptions &options,
                                 PartitionDriverHooks hooks)
    : m_store(store), m_options(options), m_detector(options), m_hooks(std::move(hooks)), m_timer(control)
{
}

void PartitionDriver::onReach(const HostReach &reach)
{
    m_reach = reach;
    m_detector.onReach(reach, Clock::now());
    decide();
}

void PartitionDriver::onHeartbeat(std::size_t unansweredElsewhere)
{
    m_unansweredElsewhere = unansweredElsewhere;
    decide();
}

void PartitionDriver::onNotice()
{
    m_detector.onNotice(Clock::now());
    decide();
}

void PartitionDriver::onReadinessReported(bool ready)
{
    m_detector.onReadinessReported(ready, Clock::now());
    decide();
}

bool PartitionDriver::isCutOff() const
{
    return m_detector.isCutOff();
}

void PartitionDriver::decide()
{
    const TimePoint now = Clock::now();
    m_detector.onOutsideContact({m_hooks.lastHeardElsewhere(), m_unansweredElsewhere}, now);
    m_detector.onTimer(now);
    logChanges();
    if (m_detector.shouldNotifyZone(now)) {
        m_hooks.notifyZone();
    }
    if (m_detector.shouldMoveCallers(now)) {
        logNow("callers_moved");
        m_hooks.moveCallers();
    }
    if (m_detector.shouldQueryStore(now)) {
        askStore();
    }
    const TimePoint next = m_detector.nextEventAt();
    if (next == m_timer.expiry()) {
        return;
    }
    if (next == TimePoint::max()) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_at(next);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            decide();
        }
    });
}

// Only whether the store answers matters; the host list is the cheapest call.
void PartitionDriver::askStore()
{
    m_store.hosts(Clock::now() + m_options.storeQueryInterval,
                  [this](const tl::expected<std::vector<ListedHost>, StoreError> &answer) {
                      m_detector.onStoreAnswer(answer.has_value(), Clock::now());
                      decide();
                  });
}

void PartitionDriver::logChanges()
{
    if (std::exchange(m_loggedSuspected, m_detector.isSuspected()) != m_loggedSuspected) {
        logNow(m_loggedSuspected ? "partition_suspected" : "partition_ended");
    }
    if (std::exchange(m_loggedCutOff, m_detector.isCutOff()) != m_loggedCutOff) {
        logNow(m_loggedCutOff ? "cut_off" : "cut_off_ended");
    }
}

void PartitionDriver::logNow(std::string_view event) const
{
    log::warning(event,
                 {{"live_hosts", m_reach.live},
                  {"lost_hosts", m_reach.lost},
                  {"live_elsewhere", m_reach.liveElsewhere},
                  {"lost_elsewhere", m_reach.lostElsewhere}});
}

} // namespace egrettide
