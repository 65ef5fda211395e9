// Executes the statements that access tables: inside one transaction, against the
// currently committed tables and the transaction's own writes.

#pragma once

#include "testing/upstream/groupmember.h"
#include "testing/upstream/sqlstatement.h"
#include "testing/upstream/tables.h"

#include <string>
#include <vector>

namespace egrettide::testing
{

struct ResultColumn {
    std::string name;
    ColumnType type = ColumnType::Text;
};

struct StatementResult {
    // Empty for statements that return no rows.
    std::vector<ResultColumn> columns;
    std::vector<Row> rows;
    // As in CommandComplete.
    std::string tag;
};

// The columns that a statement returns, empty for none.
std::vector<ResultColumn> resultColumns(const Statement &statement, const TableSet &tables, const Transaction &transaction);

// The types that the `count` parameters of a statement are compared with or stored
// as; text where the type cannot be inferred.
std::vector<ColumnType> parameterTypes(const Statement &statement, int count, const TableSet &tables,
                                       const Transaction &transaction);

// Runs one statement. Its writes go only to `transaction`. After a thrown SqlError,
// `transaction` can only be rolled back.
StatementResult executeStatement(const Statement &statement, const std::vector<Value> &parameters, GroupMember &member,
                                 Transaction &transaction);

} // namespace egrettide::testing
