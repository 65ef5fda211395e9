// Parses, checks and writes the operators' declarative file. A file is checked against
// the JSON Schema and for consistency between its entries. All faults are reported
// together, so that an operator can correct them in one pass.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

// The JSON Schema (draft 7) of the file, identical to schema/configuration.schema.json.
std::string_view configurationSchema();

// Parses and checks a file. Version and applyId stay unset, as they come from the store.
// On failure it returns one or more InvalidInput errors. Each message starts with the
// JSON path of the faulty value ("/databases/0/upstreams/1/address: ...") and ends with
// the remedy.
tl::expected<Configuration, std::vector<Error>> parseConfiguration(std::string_view text);

// Checks a document that has already been parsed, as above.
tl::expected<Configuration, std::vector<Error>> parseConfiguration(const nlohmann::json &document);

// Writes a configuration as a file, with all fields of the schema. Parsing the result
// yields the same configuration, except for version and applyId.
nlohmann::json toJson(const Configuration &configuration);

// Returns warnings about a valid file, one sentence each, for example about two
// upstreams of a group in the same availability zone.
std::vector<std::string> configurationWarnings(const Configuration &configuration);

// Lists the changes from `before` to `after`, one line for each changed entry, such as
// "database bookings: upstream b1: slots 5 -> 6"; empty if there are none. Passwords and
// keys are never shown.
std::vector<std::string> diff(const Configuration &before, const Configuration &after);

} // namespace egrettide
