// Turns libpg_query's JSON tree into the stand-in's typed statements.

#include "testing/upstream/sqlstatement.h"

#include <nlohmann/json.hpp>
#include <pg_query.h>

#include <algorithm>
#include <charconv>
#include <limits>

namespace egrettide::testing
{

namespace
{

using Json = nlohmann::json;

// Bounds the cache: texts with literals instead of parameters would grow it without limit.
constexpr std::size_t maxCachedTexts = 4096;

[[noreturn]] void unsupported(const std::string &what)
{
    throw SqlError("0A000", "The stand-in does not support " + what + "; use the SQL subset that it documents.");
}

const Json &child(const Json &node, const char *key)
{
    static const Json nothing = Json::object();
    const auto found = node.find(key);
    return found == node.end() ? nothing : *found;
}

std::string stringOf(const Json &node)
{
    return child(node, "String").value("sval", "");
}

std::int64_t integerOf(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error == std::errc::result_out_of_range) {
        throw SqlError("22003", "value \"" + std::string(text) + "\" is out of range for type bigint");
    }
    if (error != std::errc() || end != text.data() + text.size()) {
        throw SqlError("22P02", "invalid input syntax for type bigint: \"" + std::string(text) + "\"");
    }
    return number;
}

ColumnType typeOf(const Json &typeName)
{
    const std::string name = stringOf(child(typeName, "names").back());
    if (name == "int4" || name == "int2" || name == "serial") {
        return ColumnType::Int4;
    }
    if (name == "int8" || name == "bigserial") {
        return ColumnType::Int8;
    }
    // Every other type is stored as text.
    return ColumnType::Text;
}

Value constantOf(const Json &constant)
{
    if (constant.contains("isnull")) {
        return std::monostate();
    }
    if (constant.contains("ival")) {
        return constant["ival"].value("ival", std::int64_t{0});
    }
    if (constant.contains("sval")) {
        return constant["sval"].value("sval", "");
    }
    if (constant.contains("boolval")) {
        return std::string(constant["boolval"].value("boolval", false) ? "t" : "f");
    }
    if (!constant.contains("fval")) {
        unsupported("this constant");
    }
    const std::string digits = constant["fval"].value("fval", "");
    // Integers beyond 32 bits arrive as "float" text too.
    if (digits.find_first_not_of("0123456789") == std::string::npos) {
        return integerOf(digits);
    }
    return digits;
}

Expression expressionOf(const Json &node);

Expression arithmeticOf(const Json &node)
{
    const std::string name = stringOf(child(node, "name").front());
    Expression expression;
    if (name != "+" && name != "-") {
        unsupported("the operator " + name + " in an expression");
    }
    expression.kind = name == "+" ? Expression::Kind::Add : Expression::Kind::Subtract;
    if (node.contains("lexpr")) {
        expression.operands.push_back(expressionOf(node["lexpr"]));
    } else {
        Expression zero;
        zero.literal = std::int64_t{0};
        expression.operands.push_back(zero);
    }
    expression.operands.push_back(expressionOf(child(node, "rexpr")));
    return expression;
}

Expression expressionOf(const Json &node)
{
    Expression expression;
    if (node.contains("A_Const")) {
        expression.literal = constantOf(node["A_Const"]);
        return expression;
    }
    if (node.contains("ParamRef")) {
        expression.kind = Expression::Kind::Parameter;
        expression.parameter = node["ParamRef"].value("number", 0);
        return expression;
    }
    if (node.contains("ColumnRef")) {
        expression.kind = Expression::Kind::Column;
        expression.column = stringOf(child(node["ColumnRef"], "fields").back());
        return expression;
    }
    if (node.contains("TypeCast")) {
        expression = expressionOf(child(node["TypeCast"], "arg"));
        expression.cast = typeOf(child(node["TypeCast"], "typeName"));
        return expression;
    }
    if (node.contains("A_Expr")) {
        return arithmeticOf(node["A_Expr"]);
    }
    unsupported("this expression");
}

std::vector<Expression> expressionsOf(const Json &list)
{
    std::vector<Expression> expressions;
    for (const Json &node : list) {
        expressions.push_back(expressionOf(node));
    }
    return expressions;
}

Condition::Kind comparisonOf(const std::string &name)
{
    static const std::map<std::string, Condition::Kind> kinds = {
        {"=", Condition::Kind::Equal},      {"<>", Condition::Kind::NotEqual}, {"<", Condition::Kind::Less},
        {"<=", Condition::Kind::LessEqual}, {">", Condition::Kind::Greater},   {">=", Condition::Kind::GreaterEqual},
    };
    const auto found = kinds.find(name);
    if (found == kinds.end()) {
        unsupported("the operator " + name + " in a condition");
    }
    return found->second;
}

Condition comparisonCondition(const Json &node)
{
    const std::string kind = node.value("kind", "");
    const std::string name = stringOf(child(node, "name").front());
    Condition condition;
    condition.operands.push_back(expressionOf(child(node, "lexpr")));
    if (kind == "AEXPR_OP") {
        condition.kind = comparisonOf(name);
        condition.operands.push_back(expressionOf(child(node, "rexpr")));
        return condition;
    }
    const std::vector<Expression> items = expressionsOf(child(child(child(node, "rexpr"), "List"), "items"));
    if (kind == "AEXPR_BETWEEN") {
        Condition both;
        both.children.push_back({Condition::Kind::GreaterEqual, {}, {condition.operands.front(), items.at(0)}});
        both.children.push_back({Condition::Kind::LessEqual, {}, {condition.operands.front(), items.at(1)}});
        return both;
    }
    if (kind != "AEXPR_IN") {
        unsupported("this condition");
    }
    condition.kind = Condition::Kind::In;
    condition.operands.insert(condition.operands.end(), items.begin(), items.end());
    if (name == "=") {
        return condition;
    }
    return Condition{Condition::Kind::Not, {condition}, {}};
}

Condition conditionOf(const Json &node)
{
    Condition condition;
    if (node.contains("BoolExpr")) {
        const std::string kind = node["BoolExpr"].value("boolop", "");
        condition.kind = kind == "AND_EXPR" ? Condition::Kind::And
            : kind == "OR_EXPR"             ? Condition::Kind::Or
                                            : Condition::Kind::Not;
        for (const Json &argument : child(node["BoolExpr"], "args")) {
            condition.children.push_back(conditionOf(argument));
        }
        return condition;
    }
    if (node.contains("NullTest")) {
        const bool positive = node["NullTest"].value("nulltesttype", "") == "IS_NULL";
        condition.kind = positive ? Condition::Kind::IsNull : Condition::Kind::IsNotNull;
        condition.operands.push_back(expressionOf(child(node["NullTest"], "arg")));
        return condition;
    }
    if (node.contains("A_Expr")) {
        return comparisonCondition(node["A_Expr"]);
    }
    unsupported("this condition");
}

std::optional<Condition> whereOf(const Json &statement)
{
    if (!statement.contains("whereClause")) {
        return std::nullopt;
    }
    return conditionOf(statement["whereClause"]);
}

OutputColumn aggregateOf(const Json &call)
{
    const std::string function = stringOf(child(call, "funcname").back());
    OutputColumn output;
    output.name = function;
    if (function == "count") {
        output.kind = OutputColumn::Kind::Count;
    } else if (function == "max") {
        output.kind = OutputColumn::Kind::Max;
    } else if (function == "min") {
        output.kind = OutputColumn::Kind::Min;
    } else if (function == "sum") {
        output.kind = OutputColumn::Kind::Sum;
    } else {
        unsupported("the function " + function);
    }
    if (call.contains("args")) {
        output.expression = expressionOf(call["args"].front());
    } else {
        output.expression.literal = std::int64_t{1};
    }
    return output;
}

OutputColumn outputOf(const Json &target)
{
    const Json &value = child(target, "val");
    OutputColumn output;
    if (value.contains("ColumnRef") && child(value["ColumnRef"], "fields").back().contains("A_Star")) {
        output.kind = OutputColumn::Kind::All;
        return output;
    }
    if (value.contains("FuncCall")) {
        output = aggregateOf(value["FuncCall"]);
    } else {
        output.expression = expressionOf(value);
        const bool isColumn = output.expression.kind == Expression::Kind::Column;
        output.name = isColumn ? output.expression.column : "?column?";
    }
    output.name = target.value("name", output.name);
    return output;
}

std::vector<OutputColumn> outputsOf(const Json &list)
{
    std::vector<OutputColumn> outputs;
    for (const Json &node : list) {
        outputs.push_back(outputOf(child(node, "ResTarget")));
    }
    return outputs;
}

std::string tableOf(const Json &statement)
{
    return child(statement, "relation").value("relname", "");
}

bool isAggregate(const std::string &function)
{
    return function == "count" || function == "max" || function == "min" || function == "sum";
}

// The call when the whole SELECT is one function call, else null.
const Json &soleCallOf(const Json &select)
{
    static const Json null;
    if (select.contains("fromClause")) {
        const Json &from = select["fromClause"].front();
        if (!from.contains("RangeFunction")) {
            return null;
        }
        return child(child(child(child(from, "RangeFunction"), "functions").front(), "List"), "items").front();
    }
    const Json &targets = child(select, "targetList");
    if (targets.size() != 1) {
        return null;
    }
    const Json &value = child(child(targets.front(), "ResTarget"), "val");
    return value.contains("FuncCall") ? value : null;
}

std::vector<OrderBy> orderOf(const Json &select)
{
    std::vector<OrderBy> order;
    for (const Json &node : child(select, "sortClause")) {
        const Expression key = expressionOf(child(child(node, "SortBy"), "node"));
        if (key.kind != Expression::Kind::Column) {
            unsupported("ORDER BY other than a column");
        }
        order.push_back({key.column, child(node, "SortBy").value("sortby_dir", "") == "SORTBY_DESC"});
    }
    return order;
}

void refuseComplexSelect(const Json &select)
{
    for (const char *clause : {"groupClause", "havingClause", "withClause", "distinctClause", "windowClause"}) {
        if (select.contains(clause)) {
            unsupported(clause);
        }
    }
    if (select.value("op", "SETOP_NONE") != "SETOP_NONE" || child(select, "fromClause").size() > 1) {
        unsupported("SELECT over several tables");
    }
}

Statement selectOf(const Json &select)
{
    refuseComplexSelect(select);
    const Json &call = soleCallOf(select);
    if (call.contains("FuncCall")) {
        const std::string function = stringOf(child(call["FuncCall"], "funcname").back());
        if (!isAggregate(function)) {
            return FunctionStatement{function, expressionsOf(child(call["FuncCall"], "args"))};
        }
    }
    SelectStatement statement;
    if (select.contains("fromClause")) {
        const Json &from = select["fromClause"].front();
        if (!from.contains("RangeVar")) {
            unsupported("this FROM clause");
        }
        statement.table = from["RangeVar"].value("relname", "");
    }
    statement.output = outputsOf(child(select, "targetList"));
    statement.where = whereOf(select);
    statement.order = orderOf(select);
    if (select.contains("limitCount")) {
        statement.limit = expressionOf(select["limitCount"]);
    }
    if (select.contains("limitOffset")) {
        statement.offset = expressionOf(select["limitOffset"]);
    }
    statement.forUpdate = select.contains("lockingClause");
    return statement;
}

InsertStatement insertOf(const Json &insert)
{
    InsertStatement statement;
    statement.table = tableOf(insert);
    for (const Json &column : child(insert, "cols")) {
        statement.columns.push_back(child(column, "ResTarget").value("name", ""));
    }
    const Json &values = child(child(child(insert, "selectStmt"), "SelectStmt"), "valuesLists");
    if (values.empty()) {
        unsupported("INSERT without VALUES");
    }
    for (const Json &row : values) {
        statement.rows.push_back(expressionsOf(child(child(row, "List"), "items")));
    }
    if (insert.contains("onConflictClause")) {
        if (insert["onConflictClause"].value("action", "") != "ONCONFLICT_NOTHING") {
            unsupported("ON CONFLICT DO UPDATE");
        }
        statement.onConflictDoNothing = true;
    }
    statement.returning = outputsOf(child(insert, "returningList"));
    return statement;
}

UpdateStatement updateOf(const Json &update)
{
    UpdateStatement statement;
    statement.table = tableOf(update);
    for (const Json &node : child(update, "targetList")) {
        const Json &target = child(node, "ResTarget");
        statement.assignments.emplace_back(target.value("name", ""), expressionOf(child(target, "val")));
    }
    statement.where = whereOf(update);
    statement.returning = outputsOf(child(update, "returningList"));
    return statement;
}

DeleteStatement deleteOf(const Json &node)
{
    return DeleteStatement{tableOf(node), whereOf(node), outputsOf(child(node, "returningList"))};
}

bool isUniqueConstraint(const Json &constraint)
{
    const std::string kind = constraint.value("contype", "");
    return kind == "CONSTR_PRIMARY" || kind == "CONSTR_UNIQUE";
}

void addColumn(TableSchema &schema, const Json &definition)
{
    ColumnSchema column{definition.value("colname", ""), typeOf(child(definition, "typeName")), false};
    for (const Json &node : child(definition, "constraints")) {
        const Json &constraint = child(node, "Constraint");
        const std::string kind = constraint.value("contype", "");
        column.notNull = column.notNull || kind == "CONSTR_NOTNULL" || kind == "CONSTR_PRIMARY";
        if (isUniqueConstraint(constraint)) {
            schema.uniqueKeys.push_back({schema.columns.size()});
        }
    }
    schema.columns.push_back(std::move(column));
}

void addTableConstraint(TableSchema &schema, const Json &constraint)
{
    if (!isUniqueConstraint(constraint)) {
        return;
    }
    std::vector<std::size_t> key;
    for (const Json &name : child(constraint, "keys")) {
        key.push_back(schema.columnNumber(stringOf(name)));
        const bool isPrimary = constraint.value("contype", "") == "CONSTR_PRIMARY";
        schema.columns[key.back()].notNull = schema.columns[key.back()].notNull || isPrimary;
    }
    schema.uniqueKeys.push_back(std::move(key));
}

CreateTableStatement createTableOf(const Json &create)
{
    CreateTableStatement statement;
    statement.table = tableOf(create);
    statement.ifNotExists = create.value("if_not_exists", false);
    for (const Json &element : child(create, "tableElts")) {
        if (element.contains("ColumnDef")) {
            addColumn(statement.schema, element["ColumnDef"]);
        }
    }
    for (const Json &element : child(create, "tableElts")) {
        if (element.contains("Constraint")) {
            addTableConstraint(statement.schema, element["Constraint"]);
        }
    }
    return statement;
}

DropTableStatement dropTableOf(const Json &drop)
{
    const Json &objects = child(drop, "objects");
    if (drop.value("removeType", "") != "OBJECT_TABLE" || objects.size() != 1) {
        unsupported("this DROP");
    }
    const Json &names = child(child(objects.front(), "List"), "items");
    return DropTableStatement{stringOf(names.back()), drop.value("missing_ok", false)};
}

TransactionStatement transactionOf(const Json &node)
{
    const std::string kind = node.value("kind", "");
    TransactionStatement statement;
    if (kind == "TRANS_STMT_COMMIT") {
        statement.kind = TransactionStatement::Kind::Commit;
    } else if (kind == "TRANS_STMT_ROLLBACK") {
        statement.kind = TransactionStatement::Kind::Rollback;
    } else if (kind != "TRANS_STMT_BEGIN" && kind != "TRANS_STMT_START") {
        unsupported("savepoints and prepared transactions");
    }
    for (const Json &option : child(node, "options")) {
        const Json &element = child(option, "DefElem");
        const Json &value = child(child(child(element, "arg"), "A_Const"), "ival");
        if (element.value("defname", "") == "transaction_read_only" && value.is_object()) {
            statement.readOnly = value.value("ival", 0) != 0;
        }
    }
    return statement;
}

SetStatement setOf(const Json &set)
{
    SetStatement statement{set.value("name", ""), ""};
    for (const Json &argument : child(set, "args")) {
        statement.value = textOf(expressionOf(argument).literal).value_or("");
    }
    return statement;
}

Statement statementOf(const Json &tree)
{
    const std::string kind = tree.begin().key();
    const Json &node = tree.begin().value();
    if (kind == "SelectStmt") {
        return selectOf(node);
    }
    if (kind == "InsertStmt") {
        return insertOf(node);
    }
    if (kind == "UpdateStmt") {
        return updateOf(node);
    }
    if (kind == "DeleteStmt") {
        return deleteOf(node);
    }
    if (kind == "CreateStmt") {
        return createTableOf(node);
    }
    if (kind == "DropStmt") {
        return dropTableOf(node);
    }
    if (kind == "TransactionStmt") {
        return transactionOf(node);
    }
    if (kind == "VariableSetStmt") {
        return setOf(node);
    }
    if (kind == "VariableShowStmt") {
        return ShowStatement{node.value("name", "")};
    }
    if (kind == "DiscardStmt") {
        return DeallocateStatement{"", "DISCARD ALL"};
    }
    if (kind == "DeallocateStmt") {
        return DeallocateStatement{node.value("name", ""), "DEALLOCATE"};
    }
    unsupported(kind);
}

int highestParameter(const Json &tree)
{
    if (!tree.is_structured()) {
        return 0;
    }
    int highest = tree.is_object() ? child(tree, "ParamRef").value("number", 0) : 0;
    for (const Json &part : tree) {
        highest = std::max(highest, highestParameter(part));
    }
    return highest;
}

ParsedText parsedTextOf(const Json &tree)
{
    ParsedText text;
    text.parameterCount = highestParameter(tree);
    try {
        for (const Json &statement : child(tree, "stmts")) {
            text.statements.push_back(statementOf(child(statement, "stmt")));
        }
    } catch (const Json::exception &) {
        // An unexpected tree shape means unsupported SQL.
        unsupported("this form of the statement");
    }
    return text;
}

} // namespace

bool isNull(const Value &value)
{
    return std::holds_alternative<std::monostate>(value);
}

std::optional<std::string> textOf(const Value &value)
{
    if (const auto *number = std::get_if<std::int64_t>(&value)) {
        return std::to_string(*number);
    }
    if (const auto *text = std::get_if<std::string>(&value)) {
        return *text;
    }
    return std::nullopt;
}

Value coerced(Value value, ColumnType type)
{
    if (isNull(value)) {
        return value;
    }
    if (type == ColumnType::Text) {
        return *textOf(value);
    }
    if (const auto *text = std::get_if<std::string>(&value)) {
        value = integerOf(*text);
    }
    const std::int64_t number = std::get<std::int64_t>(value);
    const bool fits = number >= std::numeric_limits<std::int32_t>::min() && number <= std::numeric_limits<std::int32_t>::max();
    if (type == ColumnType::Int4 && !fits) {
        throw SqlError("22003", "integer out of range");
    }
    return value;
}

int compareValues(const Value &left, const Value &right)
{
    if (std::holds_alternative<std::string>(left) && std::holds_alternative<std::string>(right)) {
        return std::get<std::string>(left).compare(std::get<std::string>(right));
    }
    const auto a = std::get<std::int64_t>(coerced(left, ColumnType::Int8));
    const auto b = std::get<std::int64_t>(coerced(right, ColumnType::Int8));
    return a < b ? -1 : a > b ? 1 : 0;
}

std::size_t TableSchema::columnNumber(std::string_view name) const
{
    for (std::size_t i = 0; i < columns.size(); ++i) {
        if (columns[i].name == name) {
            return i;
        }
    }
    throw SqlError("42703", "column \"" + std::string(name) + "\" does not exist");
}

ParsedText parseStatements(const std::string &sql)
{
    const PgQueryParseResult result = pg_query_parse(sql.c_str());
    const std::string tree = result.parse_tree == nullptr ? "" : result.parse_tree;
    const std::string problem = result.error == nullptr ? "" : result.error->message;
    pg_query_free_parse_result(result);
    if (!problem.empty()) {
        throw SqlError("42601", problem);
    }
    return parsedTextOf(Json::parse(tree));
}

std::shared_ptr<const ParsedText> StatementCache::parsed(const std::string &sql)
{
    const auto found = m_statements.find(sql);
    if (found != m_statements.end()) {
        return found->second;
    }
    auto statements = std::make_shared<const ParsedText>(parseStatements(sql));
    if (m_statements.size() >= maxCachedTexts) {
        m_statements.clear();
    }
    m_statements.emplace(sql, statements);
    return statements;
}

bool isWrite(const Statement &statement)
{
    if (const auto *select = std::get_if<SelectStatement>(&statement)) {
        return select->forUpdate;
    }
    return std::holds_alternative<InsertStatement>(statement) || std::holds_alternative<UpdateStatement>(statement)
        || std::holds_alternative<DeleteStatement>(statement) || std::holds_alternative<CreateTableStatement>(statement)
        || std::holds_alternative<DropTableStatement>(statement);
}

} // namespace egrettide::testing
