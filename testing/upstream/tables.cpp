// Rows, their indexes and the conflict check at commit.

#include "testing/upstream/tables.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace egrettide::testing
{

namespace
{

using Json = nlohmann::json;

Json jsonOf(const Value &value)
{
    if (const auto *number = std::get_if<std::int64_t>(&value)) {
        return *number;
    }
    if (const auto *text = std::get_if<std::string>(&value)) {
        return *text;
    }
    return nullptr;
}

Value valueOf(const Json &json)
{
    if (json.is_number_integer()) {
        return json.get<std::int64_t>();
    }
    if (json.is_string()) {
        return json.get<std::string>();
    }
    return std::monostate();
}

Json jsonOf(const TableSchema &schema)
{
    Json columns = Json::array();
    for (const ColumnSchema &column : schema.columns) {
        columns.push_back({column.name, static_cast<std::uint32_t>(column.type), column.notNull});
    }
    return {{"columns", columns}, {"keys", schema.uniqueKeys}};
}

TableSchema schemaOf(const Json &json)
{
    TableSchema schema;
    for (const Json &column : json.at("columns")) {
        schema.columns.push_back({column.at(0).get<std::string>(), static_cast<ColumnType>(column.at(1).get<std::uint32_t>()),
                                  column.at(2).get<bool>()});
    }
    schema.uniqueKeys = json.at("keys").get<std::vector<std::vector<std::size_t>>>();
    return schema;
}

[[noreturn]] void refuseDuplicate(const std::string &table)
{
    throw SqlError("23505", "duplicate key value violates unique constraint of table \"" + table + "\"");
}

void checkRowConflict(const Table &committed, RowId row, const RowWrite &write)
{
    if (committed.versionOf(row) != write.baseVersion) {
        throw SqlError("40001", "could not serialize access due to concurrent update");
    }
}

void checkKeys(const std::string &name, const Table &committed, const TableWrites &writes, RowId row, const Row &values)
{
    const auto &keys = committed.schema().uniqueKeys;
    for (std::size_t i = 0; i < keys.size(); ++i) {
        const auto key = uniqueKeyOf(values, keys[i]);
        const auto holder = key ? committed.rowWithKey(i, *key) : std::nullopt;
        if (holder && *holder != row && !writes.rows.contains(*holder)) {
            refuseDuplicate(name);
        }
    }
}

void checkTable(const std::string &name, const TableWrites &writes, const TableSet &tables)
{
    const Table *committed = tables.find(name);
    if (writes.created) {
        if (committed != nullptr && !writes.dropped) {
            throw SqlError("42P07", "relation \"" + name + "\" already exists");
        }
        return;
    }
    if (committed == nullptr) {
        throw SqlError("40001", "relation \"" + name + "\" was dropped by another transaction");
    }
    for (const auto &[row, write] : writes.rows) {
        checkRowConflict(*committed, row, write);
        if (write.values) {
            checkKeys(name, *committed, writes, row, *write.values);
        }
    }
}

void appendChanges(std::vector<Change> &changes, const std::string &name, const TableWrites &writes)
{
    if (writes.dropped) {
        changes.push_back({Change::Kind::DropTable, name, {}, 0, {}});
    }
    if (writes.created) {
        changes.push_back({Change::Kind::CreateTable, name, *writes.created, 0, {}});
    }
    for (const auto &[row, write] : writes.rows) {
        const auto kind = write.values ? Change::Kind::PutRow : Change::Kind::DeleteRow;
        changes.push_back({kind, name, {}, row, write.values.value_or(Row())});
    }
}

} // namespace

std::string encodeChanges(const std::vector<Change> &changes)
{
    Json list = Json::array();
    for (const Change &change : changes) {
        Json json = {{"kind", static_cast<int>(change.kind)}, {"table", change.table}, {"row", change.row}};
        if (change.kind == Change::Kind::CreateTable) {
            json["schema"] = jsonOf(change.schema);
        }
        Json values = Json::array();
        for (const Value &value : change.values) {
            values.push_back(jsonOf(value));
        }
        json["values"] = std::move(values);
        list.push_back(std::move(json));
    }
    return list.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::vector<Change> decodeChanges(const std::string &text)
{
    std::vector<Change> changes;
    for (const Json &json : Json::parse(text)) {
        Change change;
        change.kind = static_cast<Change::Kind>(json.at("kind").get<int>());
        change.table = json.at("table").get<std::string>();
        change.row = json.at("row").get<RowId>();
        if (json.contains("schema")) {
            change.schema = schemaOf(json["schema"]);
        }
        for (const Json &value : json.at("values")) {
            change.values.push_back(valueOf(value));
        }
        changes.push_back(std::move(change));
    }
    return changes;
}

std::optional<std::string> uniqueKeyOf(const Row &row, const std::vector<std::size_t> &columns)
{
    std::string key;
    for (const std::size_t column : columns) {
        const auto text = textOf(row.at(column));
        if (!text) {
            return std::nullopt;
        }
        key += std::to_string(text->size()) + ':' + *text;
    }
    return key;
}

Table::Table(TableSchema schema) : m_schema(std::move(schema)), m_indexes(m_schema.uniqueKeys.size())
{
}

Position Table::versionOf(RowId row) const
{
    const auto found = m_rows.find(row);
    return found == m_rows.end() ? 0 : found->second.version;
}

std::optional<RowId> Table::rowWithKey(std::size_t uniqueKey, const std::string &key) const
{
    const auto found = m_indexes[uniqueKey].find(key);
    if (found == m_indexes[uniqueKey].end()) {
        return std::nullopt;
    }
    return found->second;
}

void Table::put(RowId row, Row values, Position version)
{
    erase(row);
    for (std::size_t i = 0; i < m_indexes.size(); ++i) {
        if (const auto key = uniqueKeyOf(values, m_schema.uniqueKeys[i])) {
            m_indexes[i][*key] = row;
        }
    }
    m_rows.emplace(row, StoredRow{std::move(values), version});
}

void Table::erase(RowId row)
{
    const auto found = m_rows.find(row);
    if (found == m_rows.end()) {
        return;
    }
    unindex(row, found->second.values);
    m_rows.erase(found);
}

void Table::unindex(RowId row, const Row &values)
{
    for (std::size_t i = 0; i < m_indexes.size(); ++i) {
        const auto key = uniqueKeyOf(values, m_schema.uniqueKeys[i]);
        const auto found = key ? m_indexes[i].find(*key) : m_indexes[i].end();
        // Another row of the same entry may have taken the key already.
        if (found != m_indexes[i].end() && found->second == row) {
            m_indexes[i].erase(found);
        }
    }
}

const Table *TableSet::find(const std::string &name) const
{
    const auto found = m_tables.find(name);
    return found == m_tables.end() ? nullptr : &found->second;
}

void TableSet::apply(const LogEntry &entry)
{
    for (const Change &change : entry.changes) {
        apply(change, entry.mark.position);
    }
}

void TableSet::apply(const Change &change, Position position)
{
    if (change.kind == Change::Kind::DropTable) {
        m_tables.erase(change.table);
        return;
    }
    if (change.kind == Change::Kind::CreateTable) {
        m_tables.emplace(change.table, Table(change.schema));
        return;
    }
    Table &table = m_tables.at(change.table);
    if (change.kind == Change::Kind::DeleteRow) {
        table.erase(change.row);
        return;
    }
    m_nextRowId = std::max(m_nextRowId, change.row + 1);
    table.put(change.row, change.values, position);
}

RowId TableSet::newRowId()
{
    return m_nextRowId++;
}

std::vector<Change> changesOf(const Transaction &transaction, const TableSet &tables)
{
    std::vector<Change> changes;
    for (const auto &[name, writes] : transaction.writes) {
        checkTable(name, writes, tables);
        appendChanges(changes, name, writes);
    }
    return changes;
}

} // namespace egrettide::testing
