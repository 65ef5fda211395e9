// Service totals for the callers of one host: which role served reads and why, and for
// how long databases were not writable. Written as a bounded number of log lines.

#pragma once

#include "egrettide/core/writeoutagetracker.h"
#include "runtime/callers/front.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace egrettide
{

// Thread-safe.
class ServiceRecord
{
public:
    ServiceRecord() = default;
    ServiceRecord(const ServiceRecord &) = delete;
    ServiceRecord &operator=(const ServiceRecord &) = delete;

    // Counts one request of a caller; logs the end of a write outage.
    void observe(const RequestObservation &observation, TimePoint now);
    // Logs one line of totals since the start; `when` is "running" or "stopping".
    void log(std::string_view when) const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_readsByReplica = 0;
    // Keyed by reason.
    std::map<std::string, std::uint64_t, std::less<>> m_readsByPrimary;
    std::uint64_t m_writes = 0;
    std::uint64_t m_attempts = 0;
    // Keyed by the kind of error.
    std::map<std::string, std::uint64_t, std::less<>> m_failures;
    // Keyed by database.
    absl::flat_hash_map<std::string, WriteOutageTracker> m_outages;
};

} // namespace egrettide
