// A table as one transaction sees it.

#pragma once

#include "testing/upstream/evaluation.h"
#include "testing/upstream/tables.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace egrettide::testing
{

// The committed rows of a table, overlaid with the transaction's own writes.
class TableView
{
public:
    // Keeps references to both; a change to either invalidates the view.
    TableView(std::string name, const TableSet &tables, const Transaction &transaction);

    bool exists() const;
    // Throws 42P01 when there is no such table.
    const TableSchema &schema() const;
    // The version of the committed row, 0 when there is none.
    Position versionOf(RowId row) const;
    // Every row that satisfies the condition, in the order of insertion.
    std::map<RowId, const Row *> matching(const std::optional<Condition> &where, const std::vector<Value> &parameters) const;
    // Whether another row of this view holds one of the row's unique keys.
    bool hasKeyConflict(RowId id, const Row &row) const;

private:
    using Visit = std::function<void(RowId, const Row &)>;

    bool isOverwritten(RowId id) const;
    bool conflictsWithCommitted(std::size_t uniqueKey, const std::string &key, RowId id) const;
    bool conflictsWithOwn(const std::vector<std::size_t> &columns, const Row &row, RowId id) const;
    void forEachOwn(const Visit &visit) const;
    void forEachCommitted(const std::optional<Condition> &where, const std::vector<Value> &parameters, const Visit &visit) const;
    // The unique key that the condition restricts to one value, if any; this avoids a
    // table scan.
    std::optional<std::pair<std::size_t, std::string>> uniqueLookup(const std::optional<Condition> &where,
                                                                    const std::vector<Value> &parameters) const;
    std::optional<std::string> equalityKey(const std::vector<std::size_t> &columns, const Condition &where,
                                           const std::vector<Value> &parameters) const;

    std::string m_name;
    // Null when there is no such committed table, or the transaction dropped it.
    const Table *m_committed;
    // Null when the transaction has not written to the table.
    const TableWrites *m_writes = nullptr;
};

} // namespace egrettide::testing
