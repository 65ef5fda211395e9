// One finder for each kind of statement, and the facts that any tree may hold:
// calls, writes, temporary objects.

#include "core/sessions/statementfinding.h"

#include "core/sessions/builtinfunctions.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>

namespace egrettide::detail
{

using parsetree::builtinName;
using parsetree::flagAt;
using parsetree::Json;
using parsetree::namesOf;
using parsetree::textAt;

namespace
{

// CURSOR_OPT_HOLD of PostgreSQL's nodes/parsenodes.h.
constexpr int cursorOptionHold = 0x0020;

Error unsupported(std::string message)
{
    return Error{ErrorKind::Unsupported, std::move(message), milliseconds{0}};
}

Finding settingFinding(SettingAction action, const std::string &name, std::string value = {})
{
    Finding finding;
    finding.kind = StatementKind::Setting;
    finding.setting = Setting{action, absl::AsciiStrToLower(name), std::move(value)};
    return finding;
}

Finding block(StatementKind kind, BlockEffect effect)
{
    Finding finding = plain(kind);
    finding.block = effect;
    return finding;
}

// True for set_config(..., true), which ends with the transaction.
bool isLocalSetConfig(const Json &call)
{
    constexpr std::size_t isLocalArgument = 2;
    const auto arguments = call.find("args");
    if (arguments == call.end() || arguments->size() <= isLocalArgument) {
        return false;
    }
    const Json &argument = (*arguments)[isLocalArgument];
    const auto constant = argument.find("A_Const");
    if (constant == argument.end()) {
        return false;
    }
    const auto value = constant->find("boolval");
    return value != constant->end() && flagAt(*value, "boolval");
}

std::optional<Error> refusalOfCall(const std::string &name, const Json &call)
{
    if (name == "set_config" && !isLocalSetConfig(call)) {
        return unsupported("set_config() would change a connection that other sessions share; "
                           "pass true as its third argument inside a transaction.");
    }
    if (isSessionLockFunction(name)) {
        return unsupported(absl::StrCat(name,
                                        "() holds or frees a lock of the connection, which other sessions share; "
                                        "use pg_advisory_xact_lock() inside a transaction."));
    }
    if (name == "pg_notify") {
        return unsupported("pg_notify() is not carried; connect to the upstream itself for notifications.");
    }
    return std::nullopt;
}

// What the tree of one statement contains, whatever its kind.
struct TreeFacts {
    std::optional<Error> refusal;
    bool writes = false;
    bool unprovenCall = false;
    bool connectionState = false;
    bool temporary = false;
    bool dropsOnCommit = false;
};

void noteCall(TreeFacts &facts, const Json &names, const Json &call)
{
    const std::string name = builtinName(namesOf(names));
    if (!facts.refusal) {
        facts.refusal = refusalOfCall(name, call);
    }
    facts.connectionState = facts.connectionState || name == "currval" || name == "lastval";
    facts.unprovenCall = facts.unprovenCall || !isReadOnlyFunction(name);
}

bool isWritingKey(const std::string &key)
{
    static constexpr std::array<std::string_view, 6> keys = {"InsertStmt", "UpdateStmt",    "DeleteStmt",
                                                             "MergeStmt",  "lockingClause", "intoClause"};
    return std::find(keys.begin(), keys.end(), key) != keys.end();
}

void noteMember(TreeFacts &facts, const std::string &key, const Json &value)
{
    if (isWritingKey(key)) {
        facts.writes = true;
    }
    if (value.is_object() && value.contains("funcname")) {
        noteCall(facts, value["funcname"], value);
    }
    if ((key == "A_Expr" && value.contains("name") && builtinName(namesOf(value["name"])).empty())
        || (key == "operName" && builtinName(namesOf(value)).empty())) {
        facts.unprovenCall = true;
    }
    const bool temporarySchema = (key == "schemaname" && value == "pg_temp")
        || (key == "String" && value.is_object() && textAt(value, "sval") == "pg_temp");
    if (temporarySchema || (key == "relpersistence" && value == "t")) {
        facts.temporary = true;
    }
    if ((key == "oncommit" || key == "onCommit") && value == "ONCOMMIT_DROP") {
        facts.dropsOnCommit = true;
    }
}

TreeFacts factsOf(const Json &statement)
{
    TreeFacts facts;
    parsetree::forEachMember(statement, [&facts](const std::string &key, const Json &value) { noteMember(facts, key, value); });
    if (!facts.refusal && facts.temporary && !facts.dropsOnCommit) {
        facts.refusal = unsupported("Temporary objects would stay on a connection that other sessions share; "
                                    "create them inside a transaction with ON COMMIT DROP.");
    }
    return facts;
}

// The constants of SET's right-hand side, joined as PostgreSQL joins lists.
std::string settingValue(const Json &node)
{
    std::vector<std::string> values;
    const auto arguments = node.find("args");
    if (arguments == node.end()) {
        return {};
    }
    for (const Json &argument : *arguments) {
        const auto constant = argument.find("A_Const");
        if (constant == argument.end()) {
            continue;
        }
        if (const auto text = constant->find("sval"); text != constant->end()) {
            values.push_back(textAt(*text, "sval"));
        } else if (const auto number = constant->find("ival"); number != constant->end()) {
            values.push_back(std::to_string(number->value("ival", 0)));
        } else if (const auto real = constant->find("fval"); real != constant->end()) {
            values.push_back(textAt(*real, "fval"));
        }
    }
    return absl::StrJoin(values, ", ");
}

// True for settings whose value changes nothing that an upstream's answer to
// another session could show: the front notes them and no upstream sees them.
bool isHarmlessSetting(const std::string &name, const std::string &value)
{
    const std::string lower = absl::AsciiStrToLower(value);
    if (name == "application_name" || name == "client_min_messages") {
        return true;
    }
    if (name == "client_encoding") {
        return lower == "utf8" || lower == "utf-8" || lower == "unicode";
    }
    if (name == "extra_float_digits") {
        // PostgreSQL 12 and later answer alike for 1, 2 and 3.
        return lower == "1" || lower == "2" || lower == "3";
    }
    if (name == "datestyle") {
        return lower == "iso" || lower == "iso, mdy";
    }
    if (name == "intervalstyle") {
        return lower == "postgres";
    }
    if (name == "bytea_output") {
        return lower == "hex";
    }
    return name == "standard_conforming_strings" && (lower == "on" || lower == "true");
}

bool isOwnSetting(const std::string &name)
{
    return absl::StartsWith(name, "egrettide.");
}

Finding findSetValue(const Json &node, const std::string &name)
{
    const std::string value = settingValue(node);
    if (isOwnSetting(name) || isHarmlessSetting(name, value)) {
        return settingFinding(SettingAction::Set, name, value);
    }
    if (name == "statement_timeout") {
        return refused("SET statement_timeout would change a connection that other sessions share; "
                       "use SET egrettide.timeout, or SET LOCAL statement_timeout inside a transaction.");
    }
    return refused(absl::StrCat("SET ", name, " would change a connection that other sessions share; use SET LOCAL ", name,
                                " inside a transaction, or ALTER ROLE ... SET on the upstream."));
}

Finding findSet(const Json &node)
{
    const std::string kind = textAt(node, "kind");
    const std::string name = absl::AsciiStrToLower(textAt(node, "name"));
    if (flagAt(node, "is_local")) {
        return isOwnSetting(name) ? refused(absl::StrCat("SET LOCAL ", name, " is not carried; use SET ", name, "."))
                                  : plain(StatementKind::Write);
    }
    if (kind == "VAR_RESET_ALL") {
        return settingFinding(SettingAction::Reset, {});
    }
    if (kind == "VAR_RESET" || kind == "VAR_SET_DEFAULT") {
        return settingFinding(SettingAction::Reset, name);
    }
    if (kind == "VAR_SET_VALUE") {
        return findSetValue(node, name);
    }
    if (kind == "VAR_SET_MULTI" && absl::StartsWith(name, "transaction")) {
        return plain(StatementKind::Write);
    }
    return refused(absl::StrCat("SET ", name,
                                " would change a connection that other sessions share; "
                                "state it in BEGIN, or use SET LOCAL inside a transaction."));
}

// Drivers ask these to find a server that takes writes. A replica's answer would
// make them give up on egrettide, which takes writes on every connection; for the
// same reason pg_is_in_recovery() is not among the read-only functions.
bool tellsRole(const std::string &name)
{
    return name == "transaction_read_only" || name == "default_transaction_read_only" || name == "in_hot_standby";
}

Finding findShow(const Json &node)
{
    const std::string name = absl::AsciiStrToLower(textAt(node, "name"));
    if (isOwnSetting(name)) {
        return settingFinding(SettingAction::Show, name);
    }
    return plain(tellsRole(name) ? StatementKind::Write : StatementKind::Read);
}

bool isReadOnlyBegin(const Json &node)
{
    const auto options = node.find("options");
    if (options == node.end()) {
        return false;
    }
    bool readOnly = false;
    for (const Json &option : *options) {
        const auto element = option.find("DefElem");
        if (element != option.end() && textAt(*element, "defname") == "transaction_read_only") {
            // The parser leaves out zeros: READ WRITE has an empty "ival".
            readOnly = element->value(Json::json_pointer("/arg/A_Const/ival/ival"), 0) == 1;
        }
    }
    return readOnly;
}

Finding findTransaction(const Json &node)
{
    // The parser leaves out the enumeration's first value.
    const std::string kind = textAt(node, "kind");
    if (flagAt(node, "chain")) {
        return refused("AND CHAIN is not carried; send COMMIT or ROLLBACK, then BEGIN.");
    }
    if (kind == "TRANS_STMT_BEGIN" || kind == "TRANS_STMT_START") {
        return isReadOnlyBegin(node) ? block(StatementKind::BeginReadOnly, BlockEffect::BeginReadOnly)
                                     : block(StatementKind::Begin, BlockEffect::Begin);
    }
    if (kind == "TRANS_STMT_COMMIT") {
        return block(StatementKind::Commit, BlockEffect::Commit);
    }
    if (kind == "TRANS_STMT_ROLLBACK") {
        return block(StatementKind::Rollback, BlockEffect::Rollback);
    }
    if (absl::StrContains(kind, "PREPARE")) {
        return refused("Two-phase commit is not carried: a prepared transaction outlives its connection; use COMMIT.");
    }
    return plain(StatementKind::Write);
}

Finding findDeclareCursor(const Json &node)
{
    if ((node.value("options", 0) & cursorOptionHold) != 0) {
        return refused("A cursor WITH HOLD would stay on a connection that other sessions share; "
                       "declare it without HOLD inside a transaction.");
    }
    return plain(StatementKind::Write);
}

Finding findDiscard(const Json &node)
{
    if (textAt(node, "target") == "DISCARD_ALL") {
        return settingFinding(SettingAction::Discard, {});
    }
    return refused("Of DISCARD only DISCARD ALL is carried; use that.");
}

// Statements that are refused whatever they contain.
std::optional<std::string_view> refusalOfType(const std::string &type)
{
    struct Row {
        std::string_view type;
        std::string_view message;
    };
    static constexpr std::array<Row, 7> rows = {{
        {"CopyStmt", "COPY is not carried; use INSERT with several rows, or connect to the upstream itself."},
        {"ListenStmt", "LISTEN is not carried: a session has no connection of its own; connect to the upstream itself."},
        {"UnlistenStmt", "UNLISTEN is not carried: nothing listens here; leave it out."},
        {"NotifyStmt", "NOTIFY is not carried; connect to the upstream itself for notifications."},
        {"PrepareStmt", "PREPARE in SQL is not carried; prepare through the driver, by the extended query protocol."},
        {"ExecuteStmt", "EXECUTE in SQL is not carried; execute through the driver, by the extended query protocol."},
        {"LoadStmt", "LOAD would change a connection that other sessions share; set session_preload_libraries on the upstream."},
    }};
    const auto row = std::find_if(rows.begin(), rows.end(), [&type](const Row &each) { return each.type == type; });
    return row == rows.end() ? std::nullopt : std::optional(row->message);
}

Finding findQuery(const TreeFacts &facts)
{
    Finding finding;
    if (facts.refusal) {
        finding.kind = StatementKind::Refused;
        finding.refusal = facts.refusal;
        return finding;
    }
    finding.transactionOnly = facts.connectionState;
    return finding;
}

Finding findSelect(const Json &node)
{
    const TreeFacts facts = factsOf(node);
    Finding finding = findQuery(facts);
    if (!finding.refusal && !facts.writes && !facts.unprovenCall) {
        finding.kind = StatementKind::Read;
    }
    return finding;
}

Finding findExplain(const Json &node)
{
    if (node.contains("options")) {
        for (const Json &option : node["options"]) {
            const auto element = option.find("DefElem");
            if (element != option.end() && textAt(*element, "defname") == "analyze") {
                return findQuery(factsOf(node));
            }
        }
    }
    const auto query = node.find("query");
    const bool select = query != node.end() && query->contains("SelectStmt");
    return select ? findSelect((*query)["SelectStmt"]) : findQuery(factsOf(node));
}

} // namespace

Finding refused(std::string message)
{
    Finding finding;
    finding.kind = StatementKind::Refused;
    finding.refusal = unsupported(std::move(message));
    return finding;
}

Finding plain(StatementKind kind)
{
    Finding finding;
    finding.kind = kind;
    return finding;
}

Finding findStatement(const std::string &type, const Json &node)
{
    if (const auto message = refusalOfType(type)) {
        return refused(std::string(*message));
    }
    if (type == "SelectStmt") {
        return findSelect(node);
    }
    if (type == "ExplainStmt") {
        return findExplain(node);
    }
    if (type == "VariableSetStmt") {
        return findSet(node);
    }
    if (type == "VariableShowStmt") {
        return findShow(node);
    }
    if (type == "TransactionStmt") {
        return findTransaction(node);
    }
    if (type == "DeclareCursorStmt") {
        const Finding hold = findDeclareCursor(node);
        return hold.refusal ? hold : findQuery(factsOf(node));
    }
    if (type == "DiscardStmt") {
        return findDiscard(node);
    }
    if (type == "DeallocateStmt") {
        return settingFinding(SettingAction::Deallocate, textAt(node, "name"));
    }
    return findQuery(factsOf(node));
}

} // namespace egrettide::detail
