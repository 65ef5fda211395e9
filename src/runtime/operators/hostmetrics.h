// The metrics of one host: a registry for each thread that records, merged when
// somebody scrapes.

#pragma once

#include "egrettide/core/metrics.h"
#include "runtime/callers/front.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace egrettide
{

// Thread-safe.
class HostMetrics
{
public:
    HostMetrics();
    HostMetrics(const HostMetrics &) = delete;
    HostMetrics &operator=(const HostMetrics &) = delete;

    // Records one request of a caller.
    void observe(const RequestObservation &observation);

    // Everything recorded so far, with `gauges` added, in the Prometheus text format.
    std::string render(const MetricsRegistry &gauges) const;

private:
    // Threads share shards by number, so a lock is almost never waited for.
    struct Shard {
        mutable std::mutex mutex;
        MetricsRegistry registry;
    };
    Shard &ownShard();

    std::vector<std::unique_ptr<Shard>> m_shards;
};

} // namespace egrettide
