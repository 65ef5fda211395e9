// What a host lets through while the keeper of a workspace's quota is silent.
//
// What goes wrong without it: a zone is cut off, and for the second or two until each side has
// a keeper of its own, every request waits for a keeper on the other side and is refused, also
// those of workspaces that are far below their quotas.
//
// Why it keeps the quota: only workspaces that their keeper last called calm are let through,
// and a host repeats at most what it was granted in the window before, once a window. All
// hosts together then add no more than one calm window to what keepers grant, which is about
// half of what the quota promises.

#pragma once

#include "egrettide/core/quotakeeper.h"
#include "egrettide/core/types.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <string>

namespace egrettide
{

// Not thread-safe.
class QuotaGrace
{
public:
    explicit QuotaGrace(milliseconds window);

    // A keeper has answered for the workspace.
    void heard(const std::string &workspace, const QuotaVerdict &verdict, TimePoint now);
    // A keeper did not answer in time. It counts as silent until heard() is called.
    void unanswered(const std::string &workspace, TimePoint now);
    // Takes one request that may start without an answer; false when there is none left, or
    // no silence.
    bool take(const std::string &workspace);

private:
    struct Memory {
        // When requests were granted within the last window. Invariant: at most longestMemory.
        std::deque<TimePoint> granted;
        bool calm = false;
        bool silent = false;
        // What may still be let through in this silence.
        std::size_t left = 0;
        // No further silence is bridged before that.
        TimePoint nextAt = TimePoint::min();
    };

    void forget(Memory &memory, TimePoint now) const;

    const milliseconds m_window;
    absl::flat_hash_map<std::string, Memory> m_memories;
};

} // namespace egrettide
