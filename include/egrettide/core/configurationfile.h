// Reads and writes the operators' declarative file. A file is checked whole,
// first against the JSON Schema and then for what a schema cannot say, and every
// fault is reported at once, so that an operator mends a file in one go.

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

// The JSON Schema (draft 7) of the file; the same text as
// schema/configuration.schema.json.
std::string_view configurationSchema();

// Parses and checks a file. Version and applyId stay unset: only the store gives
// them. On failure every fault is an InvalidInput whose message starts with the
// JSON path of the faulty place ("/databases/0/upstreams/1/address: ...") and
// ends with the remedy; there is at least one.
tl::expected<Configuration, std::vector<Error>> parseConfiguration(std::string_view text);

// The same for a document that has been parsed already.
tl::expected<Configuration, std::vector<Error>> parseConfiguration(const nlohmann::json &document);

// The file form of a configuration, every field written out. Parsing it again
// gives the same configuration, but for the version and the applyId.
nlohmann::json toJson(const Configuration &configuration);

// What operators may want to reconsider in a valid file, one sentence each, such
// as two upstreams of a group in the same availability zone.
std::vector<std::string> configurationWarnings(const Configuration &configuration);

// What applying `after` would change in `before`, one line for each change, such
// as "database bookings: upstream b1 slots 5 -> 6"; empty when nothing would.
// Passwords are never shown.
std::vector<std::string> diff(const Configuration &before, const Configuration &after);

} // namespace egrettide
