// How many requests of a workspace beyond its quota a host still asks the keeper about.
//
// What goes wrong without it: a workspace asks eight times its quota, each refusal makes its
// callers ask again at once, and all of that goes to one host, whose link and processor are
// then full of refusals; the requests of others that are counted there wait behind them.

#pragma once

#include "egrettide/core/quotakeeper.h"
#include "egrettide/core/types.h"

#include <absl/container/flat_hash_map.h>

#include <optional>
#include <string>

namespace egrettide
{

struct QuotaBackoffOptions {
    // After a refusal this part of the requests is asked about that were before.
    double decrease = 0.6;
    // And this much of all more with every second.
    double increasePerSecond = 0.5;
};

// Not thread-safe.
class QuotaBackoff
{
public:
    explicit QuotaBackoff(QuotaBackoffOptions options = {});

    // The keeper has refused a request and said when the next one would be granted.
    void refused(const std::string &workspace, milliseconds after, TimePoint now);
    // Whether the next request is refused here, without asking: then when to come back.
    std::optional<milliseconds> refusesHere(const std::string &workspace, TimePoint now);

private:
    struct Pressure {
        // The part of the requests that the keeper is asked about, above 0 and below 1.
        double part = 1;
        TimePoint at;
        // Adds up to one request that is asked about.
        double owed = 0;
        milliseconds after{0};
    };

    const QuotaBackoffOptions m_options;
    // Workspaces that were refused lately.
    absl::flat_hash_map<std::string, Pressure> m_pressures;
};

} // namespace egrettide
