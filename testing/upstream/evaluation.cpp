// Recursive evaluation of expressions and conditions.

#include "testing/upstream/evaluation.h"

namespace egrettide::testing
{

namespace
{

Value parameterValue(int number, const std::vector<Value> &parameters)
{
    if (number < 1 || static_cast<std::size_t>(number) > parameters.size()) {
        throw SqlError("42P02", "there is no parameter $" + std::to_string(number));
    }
    return parameters[static_cast<std::size_t>(number) - 1];
}

Value columnValue(const std::string &name, const Scope &scope)
{
    if (scope.schema == nullptr || scope.row == nullptr) {
        throw SqlError("42703", "column \"" + name + "\" does not exist");
    }
    return (*scope.row)[scope.schema->columnNumber(name)];
}

Value arithmeticValue(const Expression &expression, const Scope &scope)
{
    const Value left = coerced(evaluate(expression.operands[0], scope), ColumnType::Int8);
    const Value right = coerced(evaluate(expression.operands[1], scope), ColumnType::Int8);
    if (isNull(left) || isNull(right)) {
        return std::monostate();
    }
    std::int64_t sum = 0;
    const bool overflows = expression.kind == Expression::Kind::Add
        ? __builtin_add_overflow(std::get<std::int64_t>(left), std::get<std::int64_t>(right), &sum)
        : __builtin_sub_overflow(std::get<std::int64_t>(left), std::get<std::int64_t>(right), &sum);
    if (overflows) {
        throw SqlError("22003", "bigint out of range");
    }
    return sum;
}

Value uncastValue(const Expression &expression, const Scope &scope)
{
    switch (expression.kind) {
    case Expression::Kind::Literal:
        return expression.literal;
    case Expression::Kind::Parameter:
        return parameterValue(expression.parameter, scope.parameters);
    case Expression::Kind::Column:
        return columnValue(expression.column, scope);
    case Expression::Kind::Add:
    case Expression::Kind::Subtract:
        break;
    }
    return arithmeticValue(expression, scope);
}

Truth allHold(const Condition &condition, const Scope &scope)
{
    bool isKnown = true;
    for (const Condition &part : condition.children) {
        const Truth truth = holds(part, scope);
        if (truth == Truth(false)) {
            return false;
        }
        isKnown = isKnown && truth.has_value();
    }
    return isKnown ? Truth(true) : std::nullopt;
}

Truth anyHolds(const Condition &condition, const Scope &scope)
{
    bool isKnown = true;
    for (const Condition &part : condition.children) {
        const Truth truth = holds(part, scope);
        if (truth == Truth(true)) {
            return true;
        }
        isKnown = isKnown && truth.has_value();
    }
    return isKnown ? Truth(false) : std::nullopt;
}

Truth isInList(const Condition &condition, const Scope &scope)
{
    const Value needle = evaluate(condition.operands[0], scope);
    if (isNull(needle)) {
        return std::nullopt;
    }
    bool isKnown = true;
    for (std::size_t i = 1; i < condition.operands.size(); ++i) {
        const Value item = evaluate(condition.operands[i], scope);
        if (isNull(item)) {
            isKnown = false;
        } else if (compareValues(needle, item) == 0) {
            return true;
        }
    }
    return isKnown ? Truth(false) : std::nullopt;
}

Truth comparisonHolds(const Condition &condition, const Scope &scope)
{
    const Value left = evaluate(condition.operands[0], scope);
    const Value right = evaluate(condition.operands[1], scope);
    if (isNull(left) || isNull(right)) {
        return std::nullopt;
    }
    const int order = compareValues(left, right);
    switch (condition.kind) {
    case Condition::Kind::Equal:
        return order == 0;
    case Condition::Kind::NotEqual:
        return order != 0;
    case Condition::Kind::Less:
        return order < 0;
    case Condition::Kind::LessEqual:
        return order <= 0;
    case Condition::Kind::Greater:
        return order > 0;
    default:
        return order >= 0;
    }
}

} // namespace

Value evaluate(const Expression &expression, const Scope &scope)
{
    Value value = uncastValue(expression, scope);
    return expression.cast ? coerced(std::move(value), *expression.cast) : value;
}

Value evaluateConstant(const Expression &expression, const std::vector<Value> &parameters)
{
    return evaluate(expression, Scope{parameters});
}

Truth holds(const Condition &condition, const Scope &scope)
{
    switch (condition.kind) {
    case Condition::Kind::And:
        return allHold(condition, scope);
    case Condition::Kind::Or:
        return anyHolds(condition, scope);
    case Condition::Kind::Not: {
        const Truth truth = holds(condition.children.front(), scope);
        return truth ? Truth(!*truth) : std::nullopt;
    }
    case Condition::Kind::In:
        return isInList(condition, scope);
    case Condition::Kind::IsNull:
        return isNull(evaluate(condition.operands[0], scope));
    case Condition::Kind::IsNotNull:
        return !isNull(evaluate(condition.operands[0], scope));
    default:
        return comparisonHolds(condition, scope);
    }
}

} // namespace egrettide::testing
