// Checks JSON documents against a JSON Schema and words the faults for operators.

#pragma once

#include "egrettide/core/error.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace egrettide::detail
{

// An InvalidInput at a JSON path; the text states the fault and the remedy.
Error fault(const std::string &path, const std::string &text);

// Every violation of the schema (draft 7, itself valid), each with its JSON path
// ("/databases/0/name: ...") and what the schema asks for there. Faults are
// reported where they are, not again for each place that contains them.
std::vector<Error> schemaFaults(std::string_view schema, const nlohmann::json &document);

} // namespace egrettide::detail
