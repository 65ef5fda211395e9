// Makes the hint that a home sends to fronts with every answer.

#pragma once

#include "egrettide/core/freshnessgate.h"
#include "egrettide/core/request.h"
#include "egrettide/core/types.h"

namespace egrettide
{

// The age in a hint of a member that nothing is proven about.
constexpr milliseconds unprovenAge{std::chrono::hours{24}};

// What fronts may know of a group as this host sees it now. The expected waits
// are left at 0: only the home of a member knows its own.
GroupHint hintOf(const GroupSnapshot &snapshot, const FreshnessGate &gate, TimePoint now);

} // namespace egrettide
