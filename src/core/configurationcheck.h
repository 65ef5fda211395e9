// The checks behind parseConfiguration: by the JSON Schema, and across entries.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace egrettide::detail
{

// An InvalidInput at a JSON path; the text states the fault and the remedy.
Error fault(const std::string &path, const std::string &text);

// Every violation of the schema.
std::vector<Error> schemaFaults(const nlohmann::json &document);

// Every contradiction between entries. Expects the entries at their places in the
// file; fields that broke the schema hold defaults.
std::vector<Error> crossFaults(const Configuration &configuration);

} // namespace egrettide::detail
