// Builds the status document of one host and its metrics for operators.

#include "runtime/operators/hoststatus.h"

#include "runtime/host/log.h"

#include <nlohmann/json.hpp>

#include <ctime>

namespace egrettide
{

namespace
{

std::string_view stateName(const HostRecord &host)
{
    if (host.health == HostHealth::Dead) {
        return "dead";
    }
    if (host.leaving) {
        return "leaving";
    }
    return host.health == HostHealth::Suspect ? "suspect" : "live";
}

std::string_view roleName(UpstreamRole role)
{
    switch (role) {
    case UpstreamRole::Primary:
        return "primary";
    case UpstreamRole::Replica:
        return "replica";
    case UpstreamRole::Fenced:
        break;
    }
    return "fenced";
}

std::string text(const LogMark &mark)
{
    return std::to_string(mark.term) + ":" + std::to_string(mark.position);
}

nlohmann::json hostsOf(const MembershipView &view)
{
    nlohmann::json hosts = nlohmann::json::array();
    for (const HostRecord &host : view.hosts) {
        hosts.push_back({{"name", host.name},
                         {"zone", host.zone},
                         {"state", stateName(host)},
                         {"operatorAddress", host.operatorAddress},
                         {"configurationVersion", host.catalogVersion.intent}});
    }
    return hosts;
}

nlohmann::json groupOf(const GroupSnapshot &snapshot)
{
    nlohmann::json members = nlohmann::json::array();
    for (const MemberView &member : snapshot.members) {
        members.push_back({{"upstream", member.upstream},
                           {"zone", member.zone},
                           {"role", roleName(member.role)},
                           {"received", text(member.received)},
                           {"replayed", text(member.replayed)},
                           {"reachable", member.reachable},
                           {"leaving", member.leaving}});
    }
    return {{"database", snapshot.database},
            {"term", snapshot.term},
            {"primary", snapshot.primary},
            {"confirmed", snapshot.primaryConfirmed},
            {"members", members}};
}

} // namespace

nlohmann::json statusDocument(const HostIdentity &self, const MembershipView &view, const Configuration *configuration,
                              const HomeService &homes)
{
    nlohmann::json groups = nlohmann::json::array();
    if (configuration != nullptr) {
        for (const DatabaseSpec &database : configuration->databases) {
            if (const auto snapshot = homes.snapshot(database.name)) {
                groups.push_back(groupOf(*snapshot));
            }
        }
    }
    return {{"host", self.name},
            {"zone", self.zone},
            {"state", self.leaving ? "leaving" : "live"},
            {"configurationVersion", configuration != nullptr ? configuration->version : 0},
            {"hosts", hostsOf(view)},
            {"groups", groups}};
}

void addStoreMetrics(MetricsRegistry &registry, const StoreCallCounts &counts)
{
    registry.counter("store_calls_total", {{"kind", "read"}}).add(counts.reads);
    registry.counter("store_calls_total", {{"kind", "write"}}).add(counts.writes);
    registry.counter("store_calls_total", {{"kind", "watch"}}).add(counts.watches);
    registry.counter("store_calls_total", {{"kind", "hosts"}}).add(counts.hostLists);
    registry.counter("store_objects_refused_total", {}).add(counts.refusedObjects);
    registry.counter("store_answers_refused_total", {}).add(counts.refusedAnswers);
}

void addLogMetrics(MetricsRegistry &registry)
{
    registry.counter("log_lines_dropped_total", {}).add(log::droppedLines());
}

void addHomeMetrics(MetricsRegistry &registry, const std::vector<UpstreamHomeStats> &homes)
{
    for (const UpstreamHomeStats &home : homes) {
        const MetricLabels labels{{"database", home.database}, {"upstream", home.upstream}};
        registry.counter("upstream_sent_total", labels).add(home.sent);
        registry.counter("upstream_answered_total", labels).add(home.answered);
        registry.counter("upstream_refused_total", labels).add(home.refused);
        registry.counter("upstream_unknown_outcomes_total", labels).add(home.unknownOutcomes);
        registry.counter("upstream_not_fresh_total", labels).add(home.notFresh);
        registry.counter("upstream_connections_opened_total", labels).add(home.connectionsOpened);
        registry.set("upstream_connections", labels, static_cast<double>(home.connections));
        registry.set("upstream_busy_connections", labels, static_cast<double>(home.busyConnections));
        registry.set("upstream_waiting", labels, static_cast<double>(home.waiting));
        registry.set("upstream_transactions", labels, static_cast<double>(home.transactions));
    }
}

void addPeerMetrics(MetricsRegistry &registry, const PeerTraffic &traffic, std::size_t links)
{
    registry.counter("peer_bytes_total", {{"kind", "control"}, {"direction", "sent"}}).add(traffic.controlBytesSent);
    registry.counter("peer_bytes_total", {{"kind", "control"}, {"direction", "received"}}).add(traffic.controlBytesReceived);
    registry.counter("peer_bytes_total", {{"kind", "request"}, {"direction", "sent"}}).add(traffic.requestBytesSent);
    registry.counter("peer_bytes_total", {{"kind", "request"}, {"direction", "received"}}).add(traffic.requestBytesReceived);
    registry.set("peer_links", {}, static_cast<double>(links));
}

double threadCpuSeconds()
{
    std::timespec used{};
    if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used) != 0) {
        return 0;
    }
    constexpr double nanosecondsPerSecond = 1e9;
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / nanosecondsPerSecond;
}

} // namespace egrettide
