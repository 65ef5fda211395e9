// The status document of one host and its counters and gauges, for operators.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/membership.h"
#include "egrettide/core/metrics.h"
#include "runtime/fleet/peernetwork.h"
#include "runtime/store/storeclient.h"
#include "runtime/upstreams/homeservice.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace egrettide
{

struct HostIdentity {
    std::string name;
    std::string zone;
    bool leaving = false;
};

// The answer to GET /status: this host, all hosts in its membership view, and the
// groups whose members it probes. `configuration` may be null.
nlohmann::json statusDocument(const HostIdentity &self, const MembershipView &view, const Configuration *configuration,
                              const HomeService &homes);

void addStoreMetrics(MetricsRegistry &registry, const StoreCallCounts &counts);
void addLogMetrics(MetricsRegistry &registry);
void addHomeMetrics(MetricsRegistry &registry, const std::vector<UpstreamHomeStats> &homes);
void addPeerMetrics(MetricsRegistry &registry, const PeerTraffic &traffic, std::size_t links);

// Processor time that the calling thread has used since it started.
double threadCpuSeconds();

} // namespace egrettide
