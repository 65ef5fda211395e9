// Makes the hint that a home attaches to every answer to a front.

#pragma once

#include "egrettide/core/freshnessgate.h"
#include "egrettide/core/request.h"
#include "egrettide/core/types.h"

namespace egrettide
{

// The age that a hint gives for a member without any proof of freshness.
constexpr milliseconds unprovenAge{std::chrono::hours{24}};

// Returns this host's current view of a group in the form that fronts receive. The
// expected waits are 0: only the home of a member can compute them.
GroupHint hintOf(const GroupSnapshot &snapshot, const FreshnessGate &gate, TimePoint now);

} // namespace egrettide
