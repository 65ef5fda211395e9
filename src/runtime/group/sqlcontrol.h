// The control functions of upstreams that speak PostgreSQL, as SQL functions that
// answer one row each.

#pragma once

#include "egrettide/core/types.h"
#include "runtime/group/groupcontrol.h"

#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

// Reads one row of the control functions' columns; nothing when a column is
// missing or malformed.
std::optional<MemberStatus> memberStatusFromRow(const std::vector<std::string> &columns,
                                                const std::vector<std::optional<std::string>> &values);

// See docs/design/architecture.md for the functions.
ControlCodec sqlControlCodec();

} // namespace egrettide
