// The values of expressions and the truth of conditions, by SQL's rules for NULL.

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

// SQL's third truth value, unknown, is nothing.
using Truth = std::optional<bool>;

// Throws 42703 for a column that the scope does not have, 42P02 for a parameter
// that was not given, and 22003 or 22P02 for numbers out of range or misspelt.
Value evaluate(const Expression &expression, const Scope &scope);

// The value of an expression without columns; throws 42703 when it has some.
Value evaluateConstant(const Expression &expression, const std::vector<Value> &parameters);

// Throws as evaluate() does.
Truth holds(const Condition &condition, const Scope &scope);

} // namespace egrettide::testing
