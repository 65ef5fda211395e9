// One function for each kind of statement, and the column and parameter types that
// Describe reports.

#include "testing/upstream/executor.h"

#include "testing/upstream/evaluation.h"
#include "testing/upstream/tableview.h"

#include <algorithm>
#include <limits>
#include <type_traits>

namespace egrettide::testing
{

namespace
{

ColumnType typeOf(const Expression &expression, const TableSchema *schema)
{
    if (expression.cast) {
        return *expression.cast;
    }
    if (expression.kind == Expression::Kind::Column && schema != nullptr) {
        return schema->columns[schema->columnNumber(expression.column)].type;
    }
    if (!expression.operands.empty()) {
        return typeOf(expression.operands.front(), schema);
    }
    const auto *number = std::get_if<std::int64_t>(&expression.literal);
    if (expression.kind != Expression::Kind::Literal || number == nullptr) {
        return ColumnType::Text;
    }
    const bool isSmall =
        *number >= std::numeric_limits<std::int32_t>::min() && *number <= std::numeric_limits<std::int32_t>::max();
    return isSmall ? ColumnType::Int4 : ColumnType::Int8;
}

std::vector<ResultColumn> columnsOf(const std::vector<OutputColumn> &outputs, const TableSchema *schema)
{
    std::vector<ResultColumn> columns;
    for (const OutputColumn &output : outputs) {
        if (output.kind == OutputColumn::Kind::All) {
            if (schema == nullptr) {
                throw SqlError("42601", "SELECT * with no tables specified is not valid");
            }
            for (const ColumnSchema &column : schema->columns) {
                columns.push_back({column.name, column.type});
            }
            continue;
        }
        const bool isSum = output.kind == OutputColumn::Kind::Count || output.kind == OutputColumn::Kind::Sum;
        columns.push_back({output.name, isSum ? ColumnType::Int8 : typeOf(output.expression, schema)});
    }
    return columns;
}

Row outputRow(const std::vector<OutputColumn> &outputs, const Scope &scope)
{
    Row row;
    for (const OutputColumn &output : outputs) {
        if (output.kind == OutputColumn::Kind::All) {
            row.insert(row.end(), scope.row->begin(), scope.row->end());
        } else {
            row.push_back(evaluate(output.expression, scope));
        }
    }
    return row;
}

bool isAggregate(const OutputColumn &output)
{
    return output.kind != OutputColumn::Kind::All && output.kind != OutputColumn::Kind::Plain;
}

Value aggregate(const OutputColumn &output, const std::vector<const Row *> &rows, Scope scope)
{
    std::int64_t count = 0;
    std::int64_t sum = 0;
    Value extreme;
    for (const Row *row : rows) {
        scope.row = row;
        const Value value = evaluate(output.expression, scope);
        if (isNull(value)) {
            continue;
        }
        ++count;
        if (output.kind == OutputColumn::Kind::Sum) {
            sum += std::get<std::int64_t>(coerced(value, ColumnType::Int8));
        }
        const int order = isNull(extreme) ? 0 : compareValues(value, extreme);
        const bool isBetter = output.kind == OutputColumn::Kind::Min ? order < 0 : order > 0;
        extreme = isNull(extreme) || isBetter ? value : extreme;
    }
    if (output.kind == OutputColumn::Kind::Count) {
        return count;
    }
    if (output.kind == OutputColumn::Kind::Sum) {
        return count == 0 ? Value() : Value(sum);
    }
    return extreme;
}

Row aggregateRow(const std::vector<OutputColumn> &outputs, const std::vector<const Row *> &rows, const Scope &scope)
{
    Row row;
    for (const OutputColumn &output : outputs) {
        if (!isAggregate(output)) {
            throw SqlError("42803", "columns beside an aggregate function need GROUP BY, which the stand-in does not support");
        }
        row.push_back(aggregate(output, rows, scope));
    }
    return row;
}

bool comesBefore(const Row &left, const Row &right, const std::vector<std::pair<std::size_t, bool>> &keys)
{
    for (const auto &[column, descending] : keys) {
        const Value &a = left[column];
        const Value &b = right[column];
        // NULLs sort as larger than everything.
        const int order =
            isNull(a) || isNull(b) ? static_cast<int>(isNull(a)) - static_cast<int>(isNull(b)) : compareValues(a, b);
        if (order != 0) {
            return descending ? order > 0 : order < 0;
        }
    }
    return false;
}

void sortRows(std::vector<const Row *> &rows, const std::vector<OrderBy> &order, const TableSchema &schema)
{
    std::vector<std::pair<std::size_t, bool>> keys;
    keys.reserve(order.size());
    for (const OrderBy &key : order) {
        keys.emplace_back(schema.columnNumber(key.column), key.descending);
    }
    std::stable_sort(rows.begin(), rows.end(), [&keys](const Row *a, const Row *b) { return comesBefore(*a, *b, keys); });
}

void limitRows(std::vector<const Row *> &rows, const SelectStatement &select, const std::vector<Value> &parameters)
{
    const auto countOf = [&](const std::optional<Expression> &expression, std::size_t missing) {
        const Value value = expression ? coerced(evaluateConstant(*expression, parameters), ColumnType::Int8) : Value();
        const auto *number = std::get_if<std::int64_t>(&value);
        return number == nullptr ? missing : static_cast<std::size_t>(std::max<std::int64_t>(*number, 0));
    };
    const std::size_t skipped = std::min(countOf(select.offset, 0), rows.size());
    rows.erase(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(skipped));
    rows.resize(std::min(countOf(select.limit, rows.size()), rows.size()));
}

void write(Transaction &transaction, const std::string &table, RowId id, Position baseVersion, std::optional<Row> values)
{
    auto &rows = transaction.writes[table].rows;
    const auto found = rows.find(id);
    if (found != rows.end()) {
        found->second.values = std::move(values);
        return;
    }
    rows.emplace(id, RowWrite{baseVersion, std::move(values)});
}

void checkNotNull(const TableSchema &schema, const Row &row)
{
    for (std::size_t i = 0; i < row.size(); ++i) {
        if (schema.columns[i].notNull && isNull(row[i])) {
            throw SqlError("23502", "null value in column \"" + schema.columns[i].name + "\" violates not-null constraint");
        }
    }
}

// Runs one statement, with one overload for each kind.
class Executor
{
public:
    Executor(const std::vector<Value> &parameters, GroupMember &member, Transaction &transaction)
        : m_parameters(parameters), m_member(member), m_transaction(transaction)
    {
    }

    StatementResult operator()(const SelectStatement &select)
    {
        StatementResult result;
        if (select.table.empty()) {
            result.columns = columnsOf(select.output, nullptr);
            result.rows.push_back(outputRow(select.output, Scope{m_parameters}));
            result.tag = "SELECT 1";
            return result;
        }
        const TableView view = viewOf(select.table);
        const auto matching = view.matching(select.where, m_parameters);
        result.columns = columnsOf(select.output, &view.schema());
        result.rows = selectedRows(select, view.schema(), matching);
        result.tag = "SELECT " + std::to_string(result.rows.size());
        if (select.forUpdate) {
            lockRows(select.table, view, matching);
        }
        return result;
    }

    StatementResult operator()(const InsertStatement &insert)
    {
        const TableSchema schema = viewOf(insert.table).schema();
        StatementResult result = emptyResult(insert.returning, schema);
        std::size_t count = 0;
        for (const auto &expressions : insert.rows) {
            const Row row = insertedRow(insert, schema, expressions);
            const RowId id = m_member.newRowId();
            if (viewOf(insert.table).hasKeyConflict(id, row)) {
                if (insert.onConflictDoNothing) {
                    continue;
                }
                refuseDuplicate(insert.table);
            }
            write(m_transaction, insert.table, id, 0, row);
            addReturned(result, insert.returning, schema, row);
            ++count;
        }
        result.tag = "INSERT 0 " + std::to_string(count);
        return result;
    }

    StatementResult operator()(const UpdateStatement &update)
    {
        const TableSchema schema = viewOf(update.table).schema();
        StatementResult result = emptyResult(update.returning, schema);
        std::map<RowId, Row> changed;
        for (const auto &[id, row] : viewOf(update.table).matching(update.where, m_parameters)) {
            changed.emplace(id, updatedRow(update, schema, *row));
        }
        for (const auto &[id, row] : changed) {
            write(m_transaction, update.table, id, viewOf(update.table).versionOf(id), row);
            addReturned(result, update.returning, schema, row);
        }
        for (const auto &[id, row] : changed) {
            if (viewOf(update.table).hasKeyConflict(id, row)) {
                refuseDuplicate(update.table);
            }
        }
        result.tag = "UPDATE " + std::to_string(changed.size());
        return result;
    }

    StatementResult operator()(const DeleteStatement &statement)
    {
        const TableView view = viewOf(statement.table);
        StatementResult result = emptyResult(statement.returning, view.schema());
        const auto matching = view.matching(statement.where, m_parameters);
        for (const auto &[id, row] : matching) {
            addReturned(result, statement.returning, view.schema(), *row);
        }
        for (const auto &entry : matching) {
            write(m_transaction, statement.table, entry.first, view.versionOf(entry.first), std::nullopt);
        }
        result.tag = "DELETE " + std::to_string(matching.size());
        return result;
    }

    StatementResult operator()(const CreateTableStatement &create)
    {
        const bool exists = viewOf(create.table).exists();
        if (exists && !create.ifNotExists) {
            throw SqlError("42P07", "relation \"" + create.table + "\" already exists");
        }
        if (!exists) {
            m_transaction.writes[create.table].created = create.schema;
        }
        return {{}, {}, "CREATE TABLE"};
    }

    StatementResult operator()(const DropTableStatement &drop)
    {
        const bool exists = viewOf(drop.table).exists();
        if (!exists && !drop.ifExists) {
            throw SqlError("42P01", "table \"" + drop.table + "\" does not exist");
        }
        if (exists) {
            TableWrites writes;
            writes.dropped = true;
            m_transaction.writes[drop.table] = std::move(writes);
        }
        return {{}, {}, "DROP TABLE"};
    }

    template <typename Other> StatementResult operator()(const Other &)
    {
        throw SqlError("XX000", "the executor does not handle this kind of statement");
    }

private:
    TableView viewOf(const std::string &table) const
    {
        return {table, m_member.tables(), m_transaction};
    }

    [[noreturn]] static void refuseDuplicate(const std::string &table)
    {
        throw SqlError("23505", "duplicate key value violates unique constraint of table \"" + table + "\"");
    }

    std::vector<Row> selectedRows(const SelectStatement &select, const TableSchema &schema,
                                  const std::map<RowId, const Row *> &matching) const
    {
        std::vector<const Row *> rows;
        rows.reserve(matching.size());
        for (const auto &entry : matching) {
            rows.push_back(entry.second);
        }
        Scope scope{m_parameters, &schema, nullptr};
        if (std::any_of(select.output.begin(), select.output.end(), isAggregate)) {
            return {aggregateRow(select.output, rows, scope)};
        }
        sortRows(rows, select.order, schema);
        limitRows(rows, select, m_parameters);
        std::vector<Row> selected;
        for (const Row *row : rows) {
            scope.row = row;
            selected.push_back(outputRow(select.output, scope));
        }
        return selected;
    }

    // FOR UPDATE is a write that changes nothing: the first transaction to commit wins.
    void lockRows(const std::string &table, const TableView &view, const std::map<RowId, const Row *> &rows)
    {
        for (const auto &[id, row] : rows) {
            Row copy = *row;
            write(m_transaction, table, id, view.versionOf(id), std::move(copy));
        }
    }

    Row insertedRow(const InsertStatement &insert, const TableSchema &schema, const std::vector<Expression> &expressions) const
    {
        const std::size_t expected = insert.columns.empty() ? schema.columns.size() : insert.columns.size();
        if (expressions.size() > expected || (!insert.columns.empty() && expressions.size() != expected)) {
            throw SqlError("42601", "the number of INSERT expressions differs from the number of target columns");
        }
        Row row(schema.columns.size());
        for (std::size_t i = 0; i < expressions.size(); ++i) {
            const std::size_t column = insert.columns.empty() ? i : schema.columnNumber(insert.columns[i]);
            row[column] = coerced(evaluateConstant(expressions[i], m_parameters), schema.columns[column].type);
        }
        checkNotNull(schema, row);
        return row;
    }

    Row updatedRow(const UpdateStatement &update, const TableSchema &schema, const Row &row) const
    {
        Row changed = row;
        for (const auto &[name, expression] : update.assignments) {
            const std::size_t column = schema.columnNumber(name);
            changed[column] = coerced(evaluate(expression, Scope{m_parameters, &schema, &row}), schema.columns[column].type);
        }
        checkNotNull(schema, changed);
        return changed;
    }

    static StatementResult emptyResult(const std::vector<OutputColumn> &returning, const TableSchema &schema)
    {
        return {columnsOf(returning, &schema), {}, {}};
    }

    void addReturned(StatementResult &result, const std::vector<OutputColumn> &returning, const TableSchema &schema,
                     const Row &row) const
    {
        if (!returning.empty()) {
            result.rows.push_back(outputRow(returning, Scope{m_parameters, &schema, &row}));
        }
    }

    const std::vector<Value> &m_parameters;
    GroupMember &m_member;
    Transaction &m_transaction;
};

// Infers each parameter's type from the column that it is compared with or stored in.
class ParameterTypeInference
{
public:
    explicit ParameterTypeInference(std::vector<ColumnType> &types) : m_types(types)
    {
    }

    void infer(const Expression &expression, ColumnType type)
    {
        if (expression.kind == Expression::Kind::Parameter && expression.parameter > 0) {
            m_types[static_cast<std::size_t>(expression.parameter) - 1] = expression.cast.value_or(type);
        }
        for (const Expression &operand : expression.operands) {
            infer(operand, type);
        }
    }

    void infer(const std::optional<Condition> &condition, const TableSchema &schema)
    {
        if (!condition) {
            return;
        }
        for (const Condition &part : condition->children) {
            infer(std::optional<Condition>(part), schema);
        }
        if (condition->operands.empty()) {
            return;
        }
        const ColumnType type = typeOf(condition->operands.front(), &schema);
        for (const Expression &operand : condition->operands) {
            infer(operand, type);
        }
    }

    void infer(const InsertStatement &insert, const TableSchema &schema)
    {
        for (const auto &row : insert.rows) {
            for (std::size_t i = 0; i < row.size(); ++i) {
                const std::size_t column = insert.columns.empty() ? i : schema.columnNumber(insert.columns.at(i));
                infer(row[i], schema.columns.at(column).type);
            }
        }
    }

    void infer(const UpdateStatement &update, const TableSchema &schema)
    {
        for (const auto &[name, expression] : update.assignments) {
            infer(expression, schema.columns[schema.columnNumber(name)].type);
        }
        infer(update.where, schema);
    }

    void infer(const SelectStatement &select, const TableSchema &schema)
    {
        for (const OutputColumn &output : select.output) {
            infer(output.expression, ColumnType::Text);
        }
        infer(select.where, schema);
        for (const auto &bound : {select.limit, select.offset}) {
            if (bound) {
                infer(*bound, ColumnType::Int8);
            }
        }
    }

    void infer(const DeleteStatement &statement, const TableSchema &schema)
    {
        infer(statement.where, schema);
    }

private:
    std::vector<ColumnType> &m_types;
};

template <typename Type>
concept ReturnsRows = requires(const Type &statement)
{
    statement.returning;
};

} // namespace

std::vector<ResultColumn> resultColumns(const Statement &statement, const TableSet &tables, const Transaction &transaction)
{
    const auto columns = [&](const auto &typed) -> std::vector<ResultColumn> {
        using Type = std::decay_t<decltype(typed)>;
        if constexpr (std::is_same_v<Type, SelectStatement>) {
            if (typed.table.empty()) {
                return columnsOf(typed.output, nullptr);
            }
            return columnsOf(typed.output, &TableView(typed.table, tables, transaction).schema());
        } else if constexpr (ReturnsRows<Type>) {
            return columnsOf(typed.returning, &TableView(typed.table, tables, transaction).schema());
        } else {
            return {};
        }
    };
    return std::visit(columns, statement);
}

std::vector<ColumnType> parameterTypes(const Statement &statement, int count, const TableSet &tables,
                                       const Transaction &transaction)
{
    std::vector<ColumnType> types(static_cast<std::size_t>(count), ColumnType::Text);
    ParameterTypeInference inference(types);
    const auto infer = [&](const auto &typed) {
        using Type = std::decay_t<decltype(typed)>;
        if constexpr (std::is_same_v<Type, SelectStatement> || ReturnsRows<Type>) {
            const bool hasTable = !typed.table.empty();
            inference.infer(typed, hasTable ? TableView(typed.table, tables, transaction).schema() : TableSchema());
        } else if constexpr (std::is_same_v<Type, FunctionStatement>) {
            for (const Expression &argument : typed.arguments) {
                inference.infer(argument, ColumnType::Text);
            }
        }
    };
    std::visit(infer, statement);
    return types;
}

StatementResult executeStatement(const Statement &statement, const std::vector<Value> &parameters, GroupMember &member,
                                 Transaction &transaction)
{
    if (isWrite(statement)) {
        if (transaction.readOnly) {
            throw SqlError("25006", "cannot write in a read-only transaction");
        }
        if (!member.isPrimary()) {
            throw SqlError("25006", "cannot write: this upstream is not the primary; send writes to the primary");
        }
    }
    return std::visit(Executor(parameters, member, transaction), statement);
}

} // namespace egrettide::testing
