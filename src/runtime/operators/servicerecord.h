// The users' two measures, as one host's callers saw them: who served reads and why, and
// how long databases could not be written to. Told in bounded lines of the log.

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

    // Counts one request of a caller; logs the end of an outage.
    void observe(const RequestObservation &observation, TimePoint now);
    // One line of totals since the start; `when` is "running" or "stopping".
    void log(std::string_view when) const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_readsByReplica = 0;
    // By reason.
    std::map<std::string, std::uint64_t, std::less<>> m_readsByPrimary;
    std::uint64_t m_writes = 0;
    std::uint64_t m_attempts = 0;
    // By kind of error.
    std::map<std::string, std::uint64_t, std::less<>> m_failures;
    // By database.
    absl::flat_hash_map<std::string, WriteOutageTracker> m_outages;
};

} // namespace egrettide
