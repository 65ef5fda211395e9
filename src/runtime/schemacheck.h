// Checks a JSON document against a JSON Schema and words the faults for people.

#pragma once

#include "egrettide/core/error.h"

#include <nlohmann/json_fwd.hpp>

#include <string_view>
#include <vector>

namespace egrettide
{

// Every fault of `document` against the schema text, each with its JSON path and
// the rule it breaks. Empty when the document is valid. The schema itself has to
// be valid JSON Schema (draft 7).
std::vector<Error> schemaFaults(std::string_view schema, const nlohmann::json &document);

} // namespace egrettide
