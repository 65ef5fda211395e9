// Counts the requests of workspaces against their quotas. Each workspace is counted at one
// host at a time, its keeper; every other host asks that one before it starts a request.
//
// What goes wrong without one count: callers of a workspace come in through all hosts, and
// no host sees enough of them to tell that together they are beyond the quota.
//
// What goes wrong with one count alone: the fleet falls apart, each part finds a keeper of
// its own, and together they let through a multiple. So a keeper hands out only the part of
// the quota that its part of the fleet is of the whole. And a keeper that dies takes its
// count along: the next one begins with next to nothing, since all may have just been spent.

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

// Workspaces are dealt to this many slots, and slots to hosts, so that a host talks to at
// most as many keepers, however many workspaces there are.
constexpr std::size_t quotaSlots = 32;
std::size_t quotaSlotOf(std::string_view workspace);

// The keeper of each slot; empty while there is no host.
using QuotaKeepers = std::array<std::string, quotaSlots>;
QuotaKeepers quotaKeepersIn(const MembershipView &view);

// How much of the fleet is in this view: hosts that are not dead by all hosts that are known
// and have not left in good order; between 0 and 1.
double partInView(const MembershipView &view);

// What a quota promises: in any `window` no more than
// (perSecond * window + burst) * (1 + overage) + slack requests.
struct QuotaBounds {
    milliseconds window{5000};
    double overage = 0;
    double slack = 0;
};

// Switches that take one safeguard out, so that its proof can be shown to fail. Never set in
// production.
struct QuotaKeeperFaults {
    // Every part of a fleet hands out the whole quota.
    bool ignoresParts = false;
    // A new keeper begins with all that may be asked for at once.
    bool beginsFull = false;
};

struct QuotaKeeperOptions {
    QuotaBounds bounds;
    // The part of the bound that is handed out. The rest is for the moments in which two
    // hosts take themselves for the keeper, since views take a second or two to agree.
    double usedPart = 0.75;
    // The part of that which may be asked for at once; the rest flows evenly.
    double atOncePart = 0.2;
    // The part of the bound that a keeper lets through at once when it has just become one.
    double firstPart = 0.04;
    // A request that would be granted within this time is granted and has to wait until
    // then, while the workspace asks less than the rate on the whole. Refused, callers that
    // come at the same moment, or all at once after an outage, would have asked in vain; but
    // of a workspace that asks too much all the time, every request would be late.
    milliseconds longestWait{300};
    // A workspace is calm up to this part of the rate.
    double calmPart = 0.8;
    // Over how long it is seen whether a workspace asks too much.
    milliseconds demandSpan{2000};
    QuotaKeeperFaults faults;
};

struct QuotaVerdict {
    enum class Kind {
        Granted,
        // Beyond the quota.
        Refused,
        // This host does not count the workspace; another one does.
        NotKeeper,
    };
    Kind kind = Kind::Granted;
    // Granted: how long to wait before it starts. Refused: when the next request would be
    // granted if nobody else asked.
    milliseconds after{0};
    // True when the workspace asks clearly less than it may, on the whole.
    bool calm = false;
};

// Not thread-safe.
class QuotaKeeper
{
public:
    explicit QuotaKeeper(QuotaKeeperOptions options);

    // Takes over the quotas. What was counted stays; a lower quota holds at once.
    void configure(const Configuration &configuration);
    // Takes over which slots this host keeps. What is counted anew begins empty.
    void keep(const std::bitset<quotaSlots> &slots, double part, TimePoint now);

    // True when requests of the workspace are counted at all.
    bool isLimited(std::string_view workspace) const;
    // Counts one request, or refuses it. Workspaces without a quota are always granted.
    QuotaVerdict ask(std::string_view workspace, TimePoint now);

private:
    struct Allowance {
        double perSecond = 0;
        double atOnce = 0;
        // For a keeper that has just become one.
        double first = 0;
    };
    struct Bucket {
        // Below zero while requests wait that were granted for later.
        double tokens = 0;
        // Requests asked for a second, smoothed.
        double demand = 0;
        TimePoint at;
    };

    Allowance allowanceOf(const RequestQuota &quota) const;

    const QuotaKeeperOptions m_options;
    // Workspaces that have a quota.
    absl::flat_hash_map<std::string, Allowance> m_allowances;
    std::bitset<quotaSlots> m_kept;
    // Since when each slot is kept here; meaningful for those in m_kept.
    std::array<TimePoint, quotaSlots> m_keptSince{};
    double m_part = 1;
    // Invariant: of workspaces in m_allowances and slots in m_kept only.
    absl::flat_hash_map<std::string, Bucket> m_buckets;
};

} // namespace egrettide
