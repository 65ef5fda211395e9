// Admission of callers: finds the workspace that the key of a session belongs to.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>

namespace egrettide
{

// The name of the workspace that `key` belongs to, under this version of the configuration.
// Empty for callers without a workspace that are admitted nevertheless: the configuration
// requires no keys, or the route admits unknown ones.
//
// AuthenticationFailed for any other key, whether the route exists or not: an answer that
// depended on the route would reveal to unauthenticated callers which databases exist. The
// message does not contain the key.
tl::expected<std::string, Error> workspaceFor(const Configuration &configuration, std::string_view routeName,
                                              std::string_view key);

} // namespace egrettide
