// Checks JSON documents against a JSON Schema and formats the faults for operators.

#pragma once

#include "egrettide/core/error.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace egrettide::detail
{

// Returns an InvalidInput at a JSON path; `text` states the fault and the remedy.
Error fault(const std::string &path, const std::string &text);

// Returns every violation of the schema (a valid draft 7 schema), each with its JSON path
// ("/databases/0/name: ...") and what the schema requires there. A fault is reported once,
// not again for each element that contains it.
std::vector<Error> schemaFaults(std::string_view schema, const nlohmann::json &document);

} // namespace egrettide::detail
