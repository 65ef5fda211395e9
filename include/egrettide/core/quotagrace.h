// Grants a limited number of requests while the quota keeper of a workspace does not answer.
//
// Without it, when a zone is cut off, all requests are refused for the second or two until each
// side has its own keeper, including those of workspaces far below their quotas.
//
// The quota still holds: only workspaces that their keeper last reported as calm are granted
// requests, and a host repeats at most what it was granted in the preceding window, once per
// window. All hosts together therefore add at most one calm window to what keepers grant, which is
// about half of the quota's bound.

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
    void onVerdict(const std::string &workspace, const QuotaVerdict &verdict, TimePoint now);
    // A keeper did not answer in time. It counts as silent until its next answer.
    void onKeeperTimeout(const std::string &workspace, TimePoint now);
    // Consumes one request that may start without an answer. Returns false when none remains or the
    // keeper is not silent.
    bool tryStart(const std::string &workspace);

private:
    struct History {
        // Times of grants within the last window. Invariant: at most maxRememberedGrants.
        std::deque<TimePoint> granted;
        bool calm = false;
        bool silent = false;
        // Requests that may still start during the current silence.
        std::size_t remaining = 0;
        // A silence that begins before this time grants nothing.
        TimePoint nextGraceAt = TimePoint::min();
    };

    void prune(History &history, TimePoint now) const;

    const milliseconds m_window;
    absl::flat_hash_map<std::string, History> m_histories;
};

} // namespace egrettide
