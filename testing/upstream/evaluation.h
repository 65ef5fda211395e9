// Evaluates expressions and conditions under SQL's rules for NULL.

#pragma once

#include "testing/upstream/sqlstatement.h"

#include <optional>
#include <vector>

namespace egrettide::testing
{

// What an expression may refer to.
struct Scope {
    const std::vector<Value> &parameters;
    // Null outside a table.
    const TableSchema *schema = nullptr;
    const Row *row = nullptr;
};

// nullopt is SQL's third truth value, unknown.
using Truth = std::optional<bool>;

// Throws 42703 for a column that the scope does not have, 42P02 for a parameter
// that was not given, 22003 for a number out of range and 22P02 for a malformed one.
Value evaluate(const Expression &expression, const Scope &scope);

// The value of an expression without columns; throws 42703 when it refers to one.
Value evaluateConstant(const Expression &expression, const std::vector<Value> &parameters);

// Throws as evaluate() does.
Truth holds(const Condition &condition, const Scope &scope);

} // namespace egrettide::testing
