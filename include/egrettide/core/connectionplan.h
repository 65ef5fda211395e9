// Decides which connection of an upstream's pool to open or to close next, where each
// connection belongs to one owner: the workspace that it was opened for.
//
// An upstream accepts a few dozen connections and can serve more workspaces than that.
// Without a plan, connections of rarely used workspaces fill the pool, and every second
// request of a busy workspace waits for a new connection, which takes as long as a short
// statement.

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

// Which spare connection is closed to make room for one of another owner.
enum class EvictionPolicy {
    // The least recently used one.
    LeastRecent,
    // One of the owner with the lowest request rate.
    LowestRate,
};

struct ConnectionPlanOptions {
    // False if all requests share the connections; owners are then ignored.
    bool perOwner = false;
    EvictionPolicy eviction = EvictionPolicy::LowestRate;
    // The time constant of the smoothed request rate of an owner.
    milliseconds rateSpan{10000};
    // Requests a second. For owners below this rate no connection is opened ahead of a
    // request: it would be idle most of the time and take the place of another owner's.
    double minimumOpenAheadRate = 0.25;
    // Owners whose rate is kept; beyond that, those with the lowest rates are removed.
    std::size_t maximumOwners = 1024;
};

enum class PooledState { Opening, Spare, Taken };

// One connection of the pool. Lists of these are ordered by last use, least recent first.
struct PooledConnection {
    std::string_view owner;
    PooledState state = PooledState::Spare;
};

struct PoolLimits {
    // Connections that may be open, and that should be kept open.
    std::size_t allowance = 0;
    std::size_t target = 0;
    // Unused slots of the upstream; opening a connection takes one.
    std::size_t freeSlots = 0;
};

struct PoolStep {
    enum class Kind { Open, Close };
    Kind kind = Kind::Open;
    // Open: the owner of the new connection.
    std::string owner{};
    // Close: the index in the list of connections.
    std::size_t index = 0;
};

// Not thread-safe.
class ConnectionPlan
{
public:
    explicit ConnectionPlan(ConnectionPlanOptions options);

    // Records a request of an owner.
    void noteRequest(std::string_view owner, TimePoint now);
    // The smoothed request rate of an owner, in requests a second.
    double rateOf(std::string_view owner, TimePoint now) const;

    // The next step, or nullopt if there is nothing to do. `waiting` holds the owner of each
    // request that has a slot but no connection. Call this repeatedly, with the effect of
    // each step applied, until it returns nullopt. Each step opens or closes one connection;
    // a connection that one step opens is never closed by the next.
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
