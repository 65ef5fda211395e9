// The metrics of one host: registries sharded by recording thread, merged on each
// scrape.

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
    // Each thread is assigned one shard by its index, so lock contention is rare.
    struct Shard {
        mutable std::mutex mutex;
        MetricsRegistry registry;
    };
    Shard &threadShard();

    std::vector<std::unique_ptr<Shard>> m_shards;
};

} // namespace egrettide
