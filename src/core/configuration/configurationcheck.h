// The checks of parseConfiguration() that a JSON Schema cannot express.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"

#include <vector>

namespace egrettide::detail
{

// Returns every inconsistency between entries. Expects the entries in the order of the
// file; fields that violate the schema hold their defaults.
std::vector<Error> crossFaults(const Configuration &configuration);

} // namespace egrettide::detail
