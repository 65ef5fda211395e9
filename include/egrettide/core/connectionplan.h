// Decides which connection of an upstream to open or to close next, where each of them
// belongs to one owner: the workspace in whose name it was opened.
//
// What goes wrong without it: an upstream takes a few dozen connections and serves more
// workspaces than that. Connections of workspaces that rarely ask fill it up, and those that
// ask all the time wait for an opening, which takes as long as a short statement, with every
// second request.

#pragma once

#include "egrettide/core/types.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

// Which spare connection makes way for one of another owner.
enum class EvictionPolicy {
    // The one that was used longest ago.
    LeastRecent,
    // One of the owner that asks least often.
    LowestRate,
};

struct ConnectionPlanOptions {
    // False where all requests share the connections: owners then make no difference.
    bool perOwner = false;
    EvictionPolicy eviction = EvictionPolicy::LowestRate;
    // Over how long the rate of an owner's requests is smoothed.
    milliseconds rateSpan{10000};
    // An owner that asks less often than this has nothing opened ahead of its requests: a
    // connection that waits for long only keeps others out.
    double minimumOpenAheadRate = 0.25;
    // Owners whose rate is known; the least frequent are forgotten beyond it.
    std::size_t maximumOwners = 1024;
};

enum class PooledState { Opening, Spare, Taken };

// One connection of the pool, in the order of their last use, longest ago first.
struct PooledConnection {
    std::string_view owner;
    PooledState state = PooledState::Spare;
};

struct PoolLimits {
    // Connections that may be open, and that should be kept open.
    std::size_t allowance = 0;
    std::size_t target = 0;
    // Slots of the upstream that nobody uses; an opening takes one.
    std::size_t freeSlots = 0;
};

struct PoolStep {
    enum class Kind { Open, Close };
    Kind kind = Kind::Open;
    // Open: in whose name.
    std::string owner{};
    // Close: the place in the list of connections.
    std::size_t index = 0;
};

// Used from one thread.
class ConnectionPlan
{
public:
    explicit ConnectionPlan(ConnectionPlanOptions options);

    // Notes a request of an owner.
    void asked(std::string_view owner, TimePoint now);
    // Requests of the owner a second, smoothed.
    double rateOf(std::string_view owner, TimePoint now) const;

    // What to do next, or nothing. `waiting` names the owner of each request that has a slot
    // and no connection. To be asked again, with what the step has changed, until it has
    // nothing more; each step opens or closes one connection, and an opening is never undone
    // by the next step.
    std::optional<PoolStep> next(const std::vector<PooledConnection> &connections, const std::vector<std::string_view> &waiting,
                                 const PoolLimits &limits, TimePoint now) const;

private:
    struct Rate {
        double perSecond = 0;
        TimePoint at;
    };

    double decayed(const Rate &rate, TimePoint now) const;
    void forgetRareOwners(TimePoint now);
    std::optional<std::string_view> unservedOwner(const std::vector<PooledConnection> &connections,
                                                  const std::vector<std::string_view> &waiting) const;
    std::optional<std::size_t> evictionCandidate(const std::vector<PooledConnection> &connections,
                                                 const std::vector<std::string_view> &waiting, TimePoint now) const;
    std::optional<std::string> ownerToOpenAhead(const std::vector<PooledConnection> &connections, TimePoint now) const;

    const ConnectionPlanOptions m_options;
    absl::flat_hash_map<std::string, Rate> m_rates;
};

} // namespace egrettide
