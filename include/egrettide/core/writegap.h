// How long a database could not be written to, as the callers of one host saw it.

#pragma once

#include "egrettide/core/types.h"

#include <cstdint>
#include <optional>

namespace egrettide
{

// From the last write that was served before a failed one to the first one served after.
struct WriteOutage {
    milliseconds lasted{0};
    std::uint64_t failedWrites = 0;
};

class WriteGap
{
public:
    // Outages shorter than this are single writes that failed for a reason of their own.
    static constexpr milliseconds shortest{100};

    // Notes a write, or the begin of a transaction that may write. Returns the outage that
    // it ends.
    std::optional<WriteOutage> onWrite(bool served, TimePoint now)
    {
        if (!served) {
            ++m_failed;
            return std::nullopt;
        }
        const WriteOutage outage{std::chrono::duration_cast<milliseconds>(now - m_servedAt.value_or(now)), m_failed};
        m_servedAt = now;
        m_failed = 0;
        return outage.failedWrites > 0 && outage.lasted >= shortest ? std::optional(outage) : std::nullopt;
    }

private:
    std::optional<TimePoint> m_servedAt;
    // Since then.
    std::uint64_t m_failed = 0;
};

} // namespace egrettide
