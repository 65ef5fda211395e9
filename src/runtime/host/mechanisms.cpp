// The effect of each mechanism that is switched off.

#include "runtime/host/mechanisms.h"

namespace egrettide
{

Mechanisms::Mechanisms(const std::vector<std::string> &switchedOff) : m_off(switchedOff.begin(), switchedOff.end())
{
}

const std::vector<std::string_view> &Mechanisms::names()
{
    static const std::vector<std::string_view> all{
        "short-first", "objectives",    "standing-queue", "replica-wait", "answers-as-probes", "behind-replicas",
        "avoidance",   "zone-affinity", "quick-links",    "join-gate",    "move-callers",      "zone-readers",
    };
    return all;
}

bool Mechanisms::isOff(std::string_view name) const
{
    return m_off.contains(name);
}

void Mechanisms::applyTo(HomeServiceSettings &homes) const
{
    SlotSchedulerOptions &scheduler = homes.home.scheduler;
    scheduler.shortFirst = !isOff("short-first");
    scheduler.objectives = !isOff("objectives");
    if (isOff("standing-queue")) {
        scheduler.discipline = QueueDiscipline::EarliestDeadline;
    }
    if (isOff("replica-wait")) {
        homes.home.gate.waitPolicy = WaitPolicy::Never;
    }
    if (isOff("answers-as-probes")) {
        homes.observer.monitor.probesOnlySilent = false;
    }
}

void Mechanisms::applyTo(RouterOptions &router) const
{
    if (isOff("behind-replicas")) {
        router.notFreshBackoff = milliseconds{0};
        router.maximumNotFreshBackoff = milliseconds{0};
    }
    if (isOff("avoidance")) {
        router.failureBackoff = milliseconds{0};
    }
    if (isOff("zone-affinity")) {
        router.crossZoneCost = std::chrono::microseconds{0};
        router.localWaitLimit = milliseconds{-1};
    }
}

void Mechanisms::applyTo(PeerNetworkOptions &network) const
{
    if (isOff("quick-links")) {
        network.quietInterval = network.pingInterval;
    }
}

void Mechanisms::applyTo(JoinOptions &joining) const
{
    if (isOff("join-gate")) {
        joining.maxDelay = milliseconds{0};
        joining.maxListLag = milliseconds{0};
        joining.settleTime = milliseconds{0};
    }
}

void Mechanisms::applyTo(PartitionOptions &partition) const
{
    partition.enabled = !isOff("move-callers");
}

void Mechanisms::applyTo(ReaderSelectionOptions &reader) const
{
    reader.allHostsRead = isOff("zone-readers");
}

} // namespace egrettide
