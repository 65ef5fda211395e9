// Records the metrics of one host in sharded registries and renders them.

#include "runtime/operators/hostmetrics.h"

#include <atomic>

namespace egrettide
{

namespace
{

constexpr std::size_t shardCount = 16;

void describeAll(MetricsRegistry &registry)
{
    registry.describe("requests_total", "Requests of callers by class, database and outcome.");
    registry.describe("request_seconds", "Time from a request's receipt to its answer, waits and retries included.");
    registry.describe("reads_total", "Reads by who served them and, for the primary, why.");
    registry.describe("attempts_total", "Times that requests were handed to a home; more than requests means retries.");
}

std::string_view outcomeName(const RequestObservation &observation)
{
    return observation.error ? nameOf(*observation.error) : std::string_view("answered");
}

} // namespace

HostMetrics::HostMetrics()
{
    for (std::size_t i = 0; i < shardCount; ++i) {
        m_shards.push_back(std::make_unique<Shard>());
        describeAll(m_shards.back()->registry);
    }
}

HostMetrics::Shard &HostMetrics::threadShard()
{
    static std::atomic<std::size_t> threads{0};
    thread_local const std::size_t threadIndex = threads.fetch_add(1);
    return *m_shards[threadIndex % m_shards.size()];
}

void HostMetrics::observe(const RequestObservation &observation)
{
    Shard &shard = threadShard();
    const std::lock_guard<std::mutex> lock(shard.mutex);
    MetricsRegistry &registry = shard.registry;
    registry
        .counter("requests_total",
                 {{"class", observation.className},
                  {"database", observation.database},
                  {"outcome", std::string(outcomeName(observation))}})
        .add(1);
    registry.counter("attempts_total", {{"database", observation.database}})
        .add(static_cast<std::uint64_t>(observation.attempts));
    registry.histogram("request_seconds", {{"class", observation.className}, {"tenant", observation.tenant}})
        .record(observation.latency);
    const bool isRead = observation.kind == StatementKind::Read || observation.kind == StatementKind::BeginReadOnly;
    if (isRead && !observation.error) {
        registry
            .counter("reads_total",
                     {{"database", observation.database},
                      {"served_by", observation.byPrimary ? "primary" : "replica"},
                      {"reason", observation.primaryReason}})
            .add(1);
    }
}

std::string HostMetrics::render(const MetricsRegistry &gauges) const
{
    MetricsRegistry all;
    describeAll(all);
    for (const auto &shard : m_shards) {
        const std::lock_guard<std::mutex> lock(shard->mutex);
        all.merge(shard->registry);
    }
    all.merge(gauges);
    return all.render();
}

} // namespace egrettide
