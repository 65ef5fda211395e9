// The functions of PostgreSQL that the classifier knows by name.

#pragma once

#include <array>
#include <string_view>

namespace egrettide
{

// True for functions of pg_catalog that are immutable or stable, plus pg_sleep and
// clock_timestamp, whose repetition harms nobody. Functions that are not listed
// may write, lock or depend on their connection.
bool isReadOnlyFunction(std::string_view name);

// True for advisory locks that last beyond their transaction, and their release.
bool isSessionLockFunction(std::string_view name);

// Words that may not occur in statements that are too long to parse.
const std::array<std::string_view, 9> &longTextForbiddenWords();

} // namespace egrettide
