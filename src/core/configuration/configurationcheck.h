// The checks behind parseConfiguration that a JSON Schema cannot make.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"

#include <vector>

namespace egrettide::detail
{

// Every contradiction between entries. Expects the entries at their places in the
// file; fields that broke the schema hold defaults.
std::vector<Error> crossFaults(const Configuration &configuration);

} // namespace egrettide::detail
