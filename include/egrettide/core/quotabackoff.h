// Limits how many requests of a workspace beyond its quota a host sends to the quota keeper (the
// host that counts the workspace).
//
// When a workspace exceeds its quota eightfold, each refusal makes its callers retry at once, and
// all of this load reaches one host. Without the limit, its link and processor fill with refusals
// and the requests of other workspaces counted there are delayed.

#pragma once

#include "egrettide/core/quotakeeper.h"
#include "egrettide/core/types.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>

namespace egrettide
{

struct QuotaBackoffOptions {
    // Multiplier of the fraction of requests sent to the keeper, applied with each refusal.
    double decrease = 0.6;
    // Fraction of all requests by which it recovers per second.
    double increasePerSecond = 0.5;
};

// Not thread-safe.
class QuotaBackoff
{
public:
    explicit QuotaBackoff(QuotaBackoffOptions options = {});

    // The keeper has refused a request; `after` is when the next one would be granted.
    void onRefused(const std::string &workspace, milliseconds after, TimePoint now);
    // Returns the delay before a retry when the next request is refused locally, without asking the
    // keeper; nullopt when the keeper is to be asked.
    std::optional<milliseconds> localRefusal(const std::string &workspace, TimePoint now);

private:
    struct Throttle {
        // Fraction of the requests that the keeper is asked about, above 0 and below 1.
        double askedFraction = 1;
        TimePoint updatedAt;
        // Accumulates the fraction; the keeper is asked when it reaches 1.
        double credit = 0;
        milliseconds retryAfter{0};
    };

    const QuotaBackoffOptions m_options;
    // Workspaces with a recent refusal.
    absl::flat_hash_map<std::string, Throttle> m_throttles;
};

} // namespace egrettide
