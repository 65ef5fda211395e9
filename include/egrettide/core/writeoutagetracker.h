// Detects write outages of a database as observed by the callers of one host.

#pragma once

#include "egrettide/core/types.h"

#include <cstdint>
#include <optional>

namespace egrettide
{

// The time from the last successful write before a failed one to the first successful
// write after it.
struct WriteOutage {
    milliseconds duration{0};
    std::uint64_t failedWrites = 0;
};

// Tracks the writes to one database.
class WriteOutageTracker
{
public:
    // Shorter gaps are not outages: single writes may fail for other reasons.
    static constexpr milliseconds shortest{100};

    // Records the result of a write, or of the begin of a transaction that may write.
    // Returns the outage that it ends, if any.
    std::optional<WriteOutage> onWrite(bool served, TimePoint now)
    {
        if (!served) {
            ++m_failedWrites;
            return std::nullopt;
        }
        const WriteOutage outage{std::chrono::duration_cast<milliseconds>(now - m_lastServedAt.value_or(now)), m_failedWrites};
        m_lastServedAt = now;
        m_failedWrites = 0;
        return outage.failedWrites > 0 && outage.duration >= shortest ? std::optional(outage) : std::nullopt;
    }

private:
    std::optional<TimePoint> m_lastServedAt;
    // Failed writes since m_lastServedAt.
    std::uint64_t m_failedWrites = 0;
};

} // namespace egrettide
