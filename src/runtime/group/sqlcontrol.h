// The control functions of upstreams that speak the PostgreSQL protocol: SQL functions
// that return one row each.

#pragma once

#include "egrettide/core/types.h"
#include "runtime/group/groupcontrol.h"

#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

// Decodes one row of a control function's result. Returns nothing when a column is
// missing or malformed.
std::optional<MemberStatus> memberStatusFromRow(const std::vector<std::string> &columns,
                                                const std::vector<std::optional<std::string>> &values);

// The codec for these functions; docs/design/architecture.md describes them.
ControlCodec sqlControlCodec();

} // namespace egrettide
