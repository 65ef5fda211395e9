// The subset of SQL that the upstream stand-in supports, as typed values.
// libpg_query, PostgreSQL's own parser, does the parsing; this file declares the
// supported part of its tree. Anything else is refused with SQLSTATE 0A000.

#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace egrettide::testing
{

// A statement that failed, with the SQLSTATE that callers see.
class SqlError : public std::runtime_error
{
public:
    SqlError(std::string sqlState, const std::string &text) : std::runtime_error(text), m_sqlState(std::move(sqlState))
    {
    }
    const std::string &sqlState() const
    {
        return m_sqlState;
    }

private:
    std::string m_sqlState;
};

// NULL, an integer or a text.
using Value = std::variant<std::monostate, std::int64_t, std::string>;
using Row = std::vector<Value>;

// The numbers are PostgreSQL's type OIDs.
enum class ColumnType : std::uint32_t { Int8 = 20, Int4 = 23, Text = 25 };

bool isNull(const Value &value);
// nullopt for NULL.
std::optional<std::string> textOf(const Value &value);
// Converts to a column's type; throws 22P02 when the text is not a number and 22003
// when the number does not fit.
Value coerced(Value value, ColumnType type);
// Orders two values that are not NULL; a text compared with an integer is parsed as one.
int compareValues(const Value &left, const Value &right);

struct Expression {
    enum class Kind { Literal, Parameter, Column, Add, Subtract };
    Kind kind = Kind::Literal;
    Value literal;
    // Counts from 1, as in `$1`.
    int parameter = 0;
    std::string column;
    std::vector<Expression> operands;
    std::optional<ColumnType> cast;
};

struct Condition {
    enum class Kind { And, Or, Not, Equal, NotEqual, Less, LessEqual, Greater, GreaterEqual, In, IsNull, IsNotNull };
    Kind kind = Kind::And;
    // Of And, Or and Not.
    std::vector<Condition> children;
    // Of all others; the first is the left side.
    std::vector<Expression> operands;
};

struct OutputColumn {
    enum class Kind { All, Plain, Count, Max, Min, Sum };
    Kind kind = Kind::Plain;
    Expression expression;
    std::string name;
};

struct OrderBy {
    std::string column;
    bool descending = false;
};

struct ColumnSchema {
    std::string name;
    ColumnType type = ColumnType::Text;
    bool notNull = false;
};

struct TableSchema {
    std::vector<ColumnSchema> columns;
    // Column numbers of each primary key and unique constraint.
    std::vector<std::vector<std::size_t>> uniqueKeys;

    // Throws 42703 when there is no such column.
    std::size_t columnNumber(std::string_view name) const;
};

struct SelectStatement {
    // Empty without FROM.
    std::string table;
    std::vector<OutputColumn> output;
    std::optional<Condition> where;
    std::vector<OrderBy> order;
    std::optional<Expression> limit;
    std::optional<Expression> offset;
    bool forUpdate = false;
};
struct InsertStatement {
    std::string table;
    // Empty for all columns in their order.
    std::vector<std::string> columns;
    std::vector<std::vector<Expression>> rows;
    bool onConflictDoNothing = false;
    std::vector<OutputColumn> returning;
};
struct UpdateStatement {
    std::string table;
    std::vector<std::pair<std::string, Expression>> assignments;
    std::optional<Condition> where;
    std::vector<OutputColumn> returning;
};
struct DeleteStatement {
    std::string table;
    std::optional<Condition> where;
    std::vector<OutputColumn> returning;
};
struct CreateTableStatement {
    std::string table;
    TableSchema schema;
    bool ifNotExists = false;
};
struct DropTableStatement {
    std::string table;
    bool ifExists = false;
};
// `SELECT function(...)` and `SELECT * FROM function(...)`: the group's control
// functions, the stand-in's own and a few of PostgreSQL's.
struct FunctionStatement {
    std::string name;
    std::vector<Expression> arguments;
};
struct TransactionStatement {
    enum class Kind { Begin, Commit, Rollback };
    Kind kind = Kind::Begin;
    bool readOnly = false;
};
struct SetStatement {
    std::string name;
    std::string value;
};
struct ShowStatement {
    std::string name;
};
// DISCARD ALL and DEALLOCATE; an empty name drops every prepared statement.
struct DeallocateStatement {
    std::string name;
    std::string tag;
};

using Statement =
    std::variant<SelectStatement, InsertStatement, UpdateStatement, DeleteStatement, CreateTableStatement, DropTableStatement,
                 FunctionStatement, TransactionStatement, SetStatement, ShowStatement, DeallocateStatement>;

struct ParsedText {
    std::vector<Statement> statements;
    // The largest parameter number in the text.
    int parameterCount = 0;
};

// The statements of one text; throws 42601 for bad syntax and 0A000 for what the
// stand-in does not support.
ParsedText parseStatements(const std::string &sql);

// Caches parsed texts, since callers send the same few texts repeatedly.
class StatementCache
{
public:
    std::shared_ptr<const ParsedText> parsed(const std::string &sql);

private:
    std::map<std::string, std::shared_ptr<const ParsedText>, std::less<>> m_statements;
};

bool isWrite(const Statement &statement);

} // namespace egrettide::testing
