// Counts the requests of one host's callers and logs the totals.

#include "runtime/operators/servicerecord.h"

#include "runtime/host/log.h"

namespace egrettide
{

namespace
{

// Formats counts as "capacity 12, floor 3".
std::string formatCounts(const std::map<std::string, std::uint64_t, std::less<>> &counts)
{
    std::string text;
    for (const auto &[name, count] : counts) {
        text += text.empty() ? "" : ", ";
        text += name + " " + std::to_string(count);
    }
    return text;
}

std::uint64_t sumOf(const std::map<std::string, std::uint64_t, std::less<>> &counts)
{
    std::uint64_t sum = 0;
    for (const auto &[name, count] : counts) {
        sum += count;
    }
    return sum;
}

} // namespace

void ServiceRecord::observe(const RequestObservation &observation, TimePoint now)
{
    const bool isRead = observation.kind == StatementKind::Read || observation.kind == StatementKind::BeginReadOnly;
    const bool isWrite = observation.kind == StatementKind::Write || observation.kind == StatementKind::Begin;
    std::optional<WriteOutage> outage;
    {
        const std::scoped_lock lock(m_mutex);
        m_attempts += static_cast<std::uint64_t>(observation.attempts);
        if (observation.error) {
            ++m_failures[std::string(nameOf(*observation.error))];
        } else if (isRead && observation.byPrimary) {
            ++m_readsByPrimary[observation.primaryReason];
        } else if (isRead) {
            ++m_readsByReplica;
        } else {
            m_writes += isWrite ? 1 : 0;
        }
        if (isWrite) {
            outage = m_outages[observation.database].onWrite(!observation.error, now);
        }
    }
    if (outage) {
        log::info("writes_resumed",
                  {{"database", observation.database},
                   {"without_ms", static_cast<long>(outage->duration.count())},
                   {"failed_writes", outage->failedWrites}});
    }
}

void ServiceRecord::log(std::string_view when) const
{
    const std::scoped_lock lock(m_mutex);
    log::info("served",
              {{"when", when},
               {"reads_by_replica", m_readsByReplica},
               {"reads_by_primary", sumOf(m_readsByPrimary)},
               {"primary_reasons", formatCounts(m_readsByPrimary)},
               {"writes", m_writes},
               {"attempts", m_attempts},
               {"failures", formatCounts(m_failures)}});
}

} // namespace egrettide
