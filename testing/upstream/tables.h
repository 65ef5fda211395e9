// The rows of one upstream, the changes that a log entry makes to them, and the
// uncommitted writes of a transaction.

#pragma once

#include "egrettide/core/types.h"
#include "testing/upstream/sqlstatement.h"

#include <absl/container/flat_hash_map.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egrettide::testing
{

// Identifies a row until it is deleted, regardless of its column values.
using RowId = std::uint64_t;

struct Change {
    enum class Kind { CreateTable, DropTable, PutRow, DeleteRow };
    Kind kind = Kind::PutRow;
    std::string table;
    TableSchema schema;
    RowId row = 0;
    Row values;
};

// One committed transaction, or the start of a term when it has no changes.
struct LogEntry {
    LogMark mark;
    std::vector<Change> changes;
};

// The changes of an entry as the text that replicas receive.
std::string encodeChanges(const std::vector<Change> &changes);
std::vector<Change> decodeChanges(const std::string &text);

// The columns of one unique key as one text; nullopt when one of them is NULL,
// since NULLs never violate uniqueness.
std::optional<std::string> uniqueKeyOf(const Row &row, const std::vector<std::size_t> &columns);

// The committed rows of one table.
class Table
{
public:
    struct StoredRow {
        Row values;
        // The position of the entry that wrote it last.
        Position version = 0;
    };

    explicit Table(TableSchema schema);
    const TableSchema &schema() const
    {
        return m_schema;
    }
    const std::map<RowId, StoredRow> &rows() const
    {
        return m_rows;
    }
    // 0 when there is no such row.
    Position versionOf(RowId row) const;
    std::optional<RowId> rowWithKey(std::size_t uniqueKey, const std::string &key) const;
    void put(RowId row, Row values, Position version);
    void erase(RowId row);

private:
    void unindex(RowId row, const Row &values);

    TableSchema m_schema;
    std::map<RowId, StoredRow> m_rows;
    // Invariant: one per unique key of the schema; each names a row of m_rows.
    std::vector<absl::flat_hash_map<std::string, RowId>> m_indexes;
};

// All committed tables: a pure function of the log entries applied so far.
class TableSet
{
public:
    // Null when there is no such table.
    const Table *find(const std::string &name) const;
    void apply(const LogEntry &entry);
    // A row id that has never been used in these tables.
    RowId newRowId();

private:
    void apply(const Change &change, Position position);

    std::map<std::string, Table> m_tables;
    // Invariant: greater than every row id in any applied entry.
    RowId m_nextRowId = 1;
};

struct RowWrite {
    // The row's version when the transaction first wrote it, 0 for a new row.
    Position baseVersion = 0;
    // nullopt for a deleted row.
    std::optional<Row> values;
};

struct TableWrites {
    bool dropped = false;
    std::optional<TableSchema> created;
    std::map<RowId, RowWrite> rows;
};

// An open transaction: holds its writes until the commit applies all of them.
struct Transaction {
    // The term it began under; it cannot commit under another one.
    Term term = 0;
    bool readOnly = false;
    std::map<std::string, TableWrites> writes;

    bool hasWrites() const
    {
        return !writes.empty();
    }
};

// The changes that a transaction would commit now. Throws 40001 when a row it
// wrote was committed by another one since, and 23505 when a unique key is taken.
std::vector<Change> changesOf(const Transaction &transaction, const TableSet &tables);

} // namespace egrettide::testing
