// Lists of PostgreSQL functions that the classifier treats specially.

#pragma once

#include <array>
#include <string_view>

namespace egrettide
{

// True for functions of pg_catalog that are immutable or stable, plus pg_sleep and
// clock_timestamp, which are safe to repeat. Functions that are not listed may write,
// lock or depend on their connection.
bool isReadOnlyFunction(std::string_view name);

// True for functions that take or release session-level advisory locks.
bool isSessionLockFunction(std::string_view name);

// Words that are forbidden in statements that are too long to parse: functions and
// objects that could leave state on, or read state of, a shared connection.
const std::array<std::string_view, 9> &longTextForbiddenWords();

} // namespace egrettide
