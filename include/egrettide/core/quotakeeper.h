// Counts the requests of workspaces against their quotas. Each workspace is counted by one host at
// a time, its quota keeper; every other host asks the keeper before it starts a request. A single
// count is needed because callers of a workspace connect through all hosts, and no host alone sees
// that together they exceed the quota.
//
// When the fleet is partitioned, each partition has a keeper of its own, and together they could
// grant a multiple of the quota. A keeper therefore grants only the fraction of the quota that
// corresponds to its partition's fraction of the fleet. A keeper that fails takes its count along;
// its successor starts with a small allowance, since the whole burst may have been spent just
// before.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/types.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <bitset>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

struct MembershipView;

// Workspaces are hashed to this many slots and slots to hosts, so that a host talks to at most this
// many keepers, however many workspaces exist.
constexpr std::size_t quotaSlots = 32;
std::size_t quotaSlotOf(std::string_view workspace);

// The keeper of each slot; empty while there is no host.
using QuotaKeepers = std::array<std::string, quotaSlots>;
QuotaKeepers quotaKeepersIn(const MembershipView &view);

// The fraction of the fleet in this view, between 0 and 1: hosts that are not dead, divided by all
// known hosts that did not leave in an orderly way.
double visibleFraction(const MembershipView &view);

// The bound that a quota guarantees: in any `window` at most
// (perSecond * window + burst) * (1 + overage) + slack requests.
struct QuotaBounds {
    milliseconds window{5000};
    double overage = 0;
    double slack = 0;
};

// Switches that disable one safeguard each, for tests that show the failure without it. Never set
// in production.
struct QuotaKeeperFaults {
    // Every partition of a fleet grants the whole quota.
    bool ignoresPartitions = false;
    // A new keeper starts with the full burst.
    bool startsFull = false;
};

struct QuotaKeeperOptions {
    QuotaBounds bounds;
    // Fraction of the bound that is granted. The rest covers the times when two hosts act as the
    // keeper, since views take a second or two to converge.
    double usedFraction = 0.75;
    // Fraction of that which may be granted as a burst; the rest accrues evenly.
    double burstFraction = 0.2;
    // Fraction of the bound that a new keeper may grant as its first burst.
    double initialFraction = 0.04;
    // A request that would be granted within this time is granted with a delay, as long as the
    // workspace's demand stays below its rate. Refusing would turn away callers that arrive
    // simultaneously, or all at once after an outage; but for a workspace that exceeds its rate all
    // the time, a delay would make every request late.
    milliseconds maxWait{300};
    // A workspace is calm while its demand is at most this fraction of the rate.
    double calmFraction = 0.8;
    // Time constant of the demand estimate.
    milliseconds demandWindow{2000};
    QuotaKeeperFaults faults;
};

struct QuotaVerdict {
    enum class Kind {
        Granted,
        // Exceeds the quota.
        Refused,
        // This host does not count the workspace; another one does.
        NotKeeper,
    };
    Kind kind = Kind::Granted;
    // Granted: how long to wait before the request starts. Refused: when the next request would be
    // granted if no other arrives.
    milliseconds after{0};
    // True while the workspace's demand is clearly below its rate.
    bool calm = false;
};

// Not thread-safe.
class QuotaKeeper
{
public:
    explicit QuotaKeeper(QuotaKeeperOptions options);

    // Applies the quotas. Counts are kept; a lower quota takes effect at once.
    void configure(const Configuration &configuration);
    // Applies the slots that this host keeps and the fraction of the fleet in its partition. Counts
    // of newly kept slots start with the initial allowance.
    void setKeptSlots(const std::bitset<quotaSlots> &slots, double visibleFraction, TimePoint now);

    // Whether requests of the workspace are counted at all.
    bool isLimited(std::string_view workspace) const;
    // Counts one request, or refuses it. Workspaces without a quota are always granted.
    QuotaVerdict ask(std::string_view workspace, TimePoint now);

private:
    struct Allowance {
        double perSecond = 0;
        double burst = 0;
        // Initial tokens of a new keeper.
        double initial = 0;
    };
    struct Bucket {
        // Negative while requests wait that were granted with a delay.
        double tokens = 0;
        // Requests per second, exponentially smoothed.
        double demand = 0;
        TimePoint at;
    };

    Allowance allowanceOf(const RequestQuota &quota) const;

    const QuotaKeeperOptions m_options;
    // Workspaces that have a quota.
    absl::flat_hash_map<std::string, Allowance> m_allowances;
    std::bitset<quotaSlots> m_kept;
    // When this host started to keep each slot; meaningful for those in m_kept.
    std::array<TimePoint, quotaSlots> m_keptSince{};
    double m_visibleFraction = 1;
    // Invariant: holds only workspaces of m_allowances whose slots are in m_kept.
    absl::flat_hash_map<std::string, Bucket> m_buckets;
};

} // namespace egrettide
