// Scans, unique lookups and key conflicts over committed rows and own writes.

#include "testing/upstream/tableview.h"

#include <algorithm>

namespace egrettide::testing
{

namespace
{

// The value that the condition sets equal to the column, null for none.
const Expression *equalityValue(const std::string &column, const Condition &where)
{
    if (where.kind == Condition::Kind::Equal) {
        const bool isColumn =
            where.operands[0].kind == Expression::Kind::Column && where.operands[0].column == column && !where.operands[0].cast;
        const auto kind = where.operands[1].kind;
        const bool isValue = kind == Expression::Kind::Literal || kind == Expression::Kind::Parameter;
        return isColumn && isValue ? &where.operands[1] : nullptr;
    }
    if (where.kind != Condition::Kind::And) {
        return nullptr;
    }
    for (const Condition &part : where.children) {
        if (const Expression *value = equalityValue(column, part)) {
            return value;
        }
    }
    return nullptr;
}

} // namespace

TableView::TableView(std::string name, const TableSet &tables, const Transaction &transaction)
    : m_name(std::move(name)), m_committed(tables.find(m_name))
{
    const auto found = transaction.writes.find(m_name);
    if (found != transaction.writes.end()) {
        m_writes = &found->second;
        m_committed = m_writes->dropped ? nullptr : m_committed;
    }
}

bool TableView::exists() const
{
    return m_committed != nullptr || (m_writes != nullptr && m_writes->created);
}

const TableSchema &TableView::schema() const
{
    if (!exists()) {
        throw SqlError("42P01", "relation \"" + m_name + "\" does not exist");
    }
    return m_committed != nullptr ? m_committed->schema() : *m_writes->created;
}

Position TableView::versionOf(RowId row) const
{
    return m_committed == nullptr ? 0 : m_committed->versionOf(row);
}

std::map<RowId, const Row *> TableView::matching(const std::optional<Condition> &where,
                                                 const std::vector<Value> &parameters) const
{
    std::map<RowId, const Row *> rows;
    Scope scope{parameters, &schema(), nullptr};
    const auto addIfMatching = [&](RowId id, const Row &row) {
        scope.row = &row;
        if (!where || holds(*where, scope) == Truth(true)) {
            rows.emplace(id, &row);
        }
    };
    forEachCommitted(where, parameters, addIfMatching);
    forEachOwn(addIfMatching);
    return rows;
}

bool TableView::hasKeyConflict(RowId id, const Row &row) const
{
    const auto &keys = schema().uniqueKeys;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        const auto key = uniqueKeyOf(row, keys[i]);
        if (key && (conflictsWithCommitted(i, *key, id) || conflictsWithOwn(keys[i], row, id))) {
            return true;
        }
    }
    return false;
}

bool TableView::isOverwritten(RowId id) const
{
    return m_writes != nullptr && m_writes->rows.contains(id);
}

bool TableView::conflictsWithCommitted(std::size_t uniqueKey, const std::string &key, RowId id) const
{
    const auto holder = m_committed == nullptr ? std::nullopt : m_committed->rowWithKey(uniqueKey, key);
    return holder && *holder != id && !isOverwritten(*holder);
}

bool TableView::conflictsWithOwn(const std::vector<std::size_t> &columns, const Row &row, RowId id) const
{
    const auto isSame = [&](const Row &other) {
        return std::all_of(columns.begin(), columns.end(), [&](std::size_t column) { return other[column] == row[column]; });
    };
    bool found = false;
    forEachOwn([&](RowId other, const Row &values) { found = found || (other != id && isSame(values)); });
    return found;
}

void TableView::forEachOwn(const Visit &visit) const
{
    if (m_writes == nullptr) {
        return;
    }
    for (const auto &[id, write] : m_writes->rows) {
        if (write.values) {
            visit(id, *write.values);
        }
    }
}

void TableView::forEachCommitted(const std::optional<Condition> &where, const std::vector<Value> &parameters,
                                 const Visit &visit) const
{
    if (m_committed == nullptr) {
        return;
    }
    const auto unique = uniqueLookup(where, parameters);
    if (unique) {
        const auto id = m_committed->rowWithKey(unique->first, unique->second);
        if (id && !isOverwritten(*id)) {
            visit(*id, m_committed->rows().at(*id).values);
        }
        return;
    }
    for (const auto &[id, stored] : m_committed->rows()) {
        if (!isOverwritten(id)) {
            visit(id, stored.values);
        }
    }
}

std::optional<std::pair<std::size_t, std::string>> TableView::uniqueLookup(const std::optional<Condition> &where,
                                                                           const std::vector<Value> &parameters) const
{
    if (!where) {
        return std::nullopt;
    }
    const auto &keys = schema().uniqueKeys;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        const auto key = equalityKey(keys[i], *where, parameters);
        if (key) {
            return std::pair(i, *key);
        }
    }
    return std::nullopt;
}

std::optional<std::string> TableView::equalityKey(const std::vector<std::size_t> &columns, const Condition &where,
                                                  const std::vector<Value> &parameters) const
{
    Row row(schema().columns.size());
    for (const std::size_t column : columns) {
        const Expression *value = equalityValue(schema().columns[column].name, where);
        if (value == nullptr) {
            return std::nullopt;
        }
        row[column] = coerced(evaluateConstant(*value, parameters), schema().columns[column].type);
    }
    return uniqueKeyOf(row, columns);
}

} // namespace egrettide::testing
