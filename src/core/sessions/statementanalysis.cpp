// One function for each kind of statement, and a scan for what any tree may contain:
// function calls, writes, temporary objects.

#include "core/sessions/statementanalysis.h"

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

StatementAnalysis settingStatement(SettingAction action, const std::string &name, std::string value = {})
{
    StatementAnalysis analysis;
    analysis.kind = StatementKind::Setting;
    analysis.setting = Setting{action, absl::AsciiStrToLower(name), std::move(value)};
    return analysis;
}

StatementAnalysis blockStatement(StatementKind kind, BlockEffect effect)
{
    StatementAnalysis analysis = statementOfKind(kind);
    analysis.block = effect;
    return analysis;
}

// True for set_config(..., true), whose effect ends with the transaction.
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
                                        "() takes or releases a lock of a connection that other sessions share; "
                                        "use pg_advisory_xact_lock() inside a transaction."));
    }
    if (name == "pg_notify") {
        return unsupported("pg_notify() is not supported; connect directly to the upstream for notifications.");
    }
    return std::nullopt;
}

// What the tree of a statement of any kind contains.
struct TreeFacts {
    std::optional<Error> refusal;
    bool writes = false;
    // Calls a function or operator that is not known to be read-only.
    bool unprovenCall = false;
    // Reads state of its connection.
    bool connectionState = false;
    // Refers to a temporary object.
    bool temporary = false;
    bool dropsOnCommit = false;
};

void recordCall(TreeFacts &facts, const Json &names, const Json &call)
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

void recordMember(TreeFacts &facts, const std::string &key, const Json &value)
{
    if (isWritingKey(key)) {
        facts.writes = true;
    }
    if (value.is_object() && value.contains("funcname")) {
        recordCall(facts, value["funcname"], value);
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
    parsetree::forEachMember(statement, [&facts](const std::string &key, const Json &value) { recordMember(facts, key, value); });
    if (!facts.refusal && facts.temporary && !facts.dropsOnCommit) {
        facts.refusal = unsupported("Temporary objects would stay on a connection that other sessions share; "
                                    "create them inside a transaction with ON COMMIT DROP.");
    }
    return facts;
}

// The constants on the right-hand side of SET, joined as PostgreSQL joins lists.
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

// True for settings whose value doesn't change the results of an upstream. The front
// acknowledges them and doesn't forward them.
bool isIgnorableSetting(const std::string &name, const std::string &value)
{
    const std::string lower = absl::AsciiStrToLower(value);
    if (name == "application_name" || name == "client_min_messages") {
        return true;
    }
    if (name == "client_encoding") {
        return lower == "utf8" || lower == "utf-8" || lower == "unicode";
    }
    if (name == "extra_float_digits") {
        // PostgreSQL 12 and later format floating-point numbers alike for 1, 2 and 3.
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

bool isProxySetting(const std::string &name)
{
    return absl::StartsWith(name, "egrettide.");
}

StatementAnalysis analyzeSetValue(const Json &node, const std::string &name)
{
    const std::string value = settingValue(node);
    if (isProxySetting(name) || isIgnorableSetting(name, value)) {
        return settingStatement(SettingAction::Set, name, value);
    }
    if (name == "statement_timeout") {
        return refusedStatement("SET statement_timeout would change a connection that other sessions share; "
                                "use SET egrettide.timeout, or SET LOCAL statement_timeout inside a transaction.");
    }
    return refusedStatement(absl::StrCat("SET ", name, " would change a connection that other sessions share; use SET LOCAL ",
                                         name, " inside a transaction, or ALTER ROLE ... SET on the upstream."));
}

StatementAnalysis analyzeSet(const Json &node)
{
    const std::string kind = textAt(node, "kind");
    const std::string name = absl::AsciiStrToLower(textAt(node, "name"));
    if (flagAt(node, "is_local")) {
        return isProxySetting(name) ? refusedStatement(absl::StrCat("SET LOCAL ", name, " is not supported; use SET ", name, "."))
                                    : statementOfKind(StatementKind::Write);
    }
    if (kind == "VAR_RESET_ALL") {
        return settingStatement(SettingAction::Reset, {});
    }
    if (kind == "VAR_RESET" || kind == "VAR_SET_DEFAULT") {
        return settingStatement(SettingAction::Reset, name);
    }
    if (kind == "VAR_SET_VALUE") {
        return analyzeSetValue(node, name);
    }
    if (kind == "VAR_SET_MULTI" && absl::StartsWith(name, "transaction")) {
        return statementOfKind(StatementKind::Write);
    }
    return refusedStatement(absl::StrCat("SET ", name,
                                         " would change a connection that other sessions share; "
                                         "specify it in BEGIN, or use SET LOCAL inside a transaction."));
}

// Drivers query these settings to find a server that accepts writes. A replica's answer
// would make them reject egrettide, which accepts writes on every connection. For the
// same reason pg_is_in_recovery() is not among the read-only functions.
bool revealsServerRole(const std::string &name)
{
    return name == "transaction_read_only" || name == "default_transaction_read_only" || name == "in_hot_standby";
}

StatementAnalysis analyzeShow(const Json &node)
{
    const std::string name = absl::AsciiStrToLower(textAt(node, "name"));
    if (isProxySetting(name)) {
        return settingStatement(SettingAction::Show, name);
    }
    return statementOfKind(revealsServerRole(name) ? StatementKind::Write : StatementKind::Read);
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
            // The parser omits zeros: READ WRITE has an empty "ival".
            readOnly = element->value(Json::json_pointer("/arg/A_Const/ival/ival"), 0) == 1;
        }
    }
    return readOnly;
}

StatementAnalysis analyzeTransaction(const Json &node)
{
    // Empty for the first value of the enumeration, which the parser omits.
    const std::string kind = textAt(node, "kind");
    if (flagAt(node, "chain")) {
        return refusedStatement("AND CHAIN is not supported; send COMMIT or ROLLBACK, then BEGIN.");
    }
    if (kind == "TRANS_STMT_BEGIN" || kind == "TRANS_STMT_START") {
        return isReadOnlyBegin(node) ? blockStatement(StatementKind::BeginReadOnly, BlockEffect::BeginReadOnly)
                                     : blockStatement(StatementKind::Begin, BlockEffect::Begin);
    }
    if (kind == "TRANS_STMT_COMMIT") {
        return blockStatement(StatementKind::Commit, BlockEffect::Commit);
    }
    if (kind == "TRANS_STMT_ROLLBACK") {
        return blockStatement(StatementKind::Rollback, BlockEffect::Rollback);
    }
    if (absl::StrContains(kind, "PREPARE")) {
        return refusedStatement("Two-phase commit is not supported: a prepared transaction outlives its connection; use COMMIT.");
    }
    return statementOfKind(StatementKind::Write);
}

StatementAnalysis analyzeDeclareCursor(const Json &node)
{
    if ((node.value("options", 0) & cursorOptionHold) != 0) {
        return refusedStatement("A cursor WITH HOLD would stay on a connection that other sessions share; "
                                "declare it without HOLD inside a transaction.");
    }
    return statementOfKind(StatementKind::Write);
}

StatementAnalysis analyzeDiscard(const Json &node)
{
    if (textAt(node, "target") == "DISCARD_ALL") {
        return settingStatement(SettingAction::Discard, {});
    }
    return refusedStatement("DISCARD is supported only as DISCARD ALL; use that.");
}

// The message for statement types that are always refused.
std::optional<std::string_view> refusalOfType(const std::string &type)
{
    struct Row {
        std::string_view type;
        std::string_view message;
    };
    static constexpr std::array<Row, 7> rows = {{
        {"CopyStmt", "COPY is not supported; use INSERT with several rows, or connect directly to the upstream."},
        {"ListenStmt", "LISTEN is not supported: a session has no connection of its own; connect directly to the upstream."},
        {"UnlistenStmt", "UNLISTEN is not supported, as LISTEN is not; remove it."},
        {"NotifyStmt", "NOTIFY is not supported; connect directly to the upstream for notifications."},
        {"PrepareStmt", "PREPARE in SQL is not supported; prepare through the driver, with the extended query protocol."},
        {"ExecuteStmt", "EXECUTE in SQL is not supported; execute through the driver, with the extended query protocol."},
        {"LoadStmt", "LOAD would change a connection that other sessions share; set session_preload_libraries on the upstream."},
    }};
    const auto row = std::find_if(rows.begin(), rows.end(), [&type](const Row &each) { return each.type == type; });
    return row == rows.end() ? std::nullopt : std::optional(row->message);
}

StatementAnalysis analyzeQuery(const TreeFacts &facts)
{
    StatementAnalysis analysis;
    if (facts.refusal) {
        analysis.kind = StatementKind::Refused;
        analysis.refusal = facts.refusal;
        return analysis;
    }
    analysis.transactionOnly = facts.connectionState;
    return analysis;
}

StatementAnalysis analyzeSelect(const Json &node)
{
    const TreeFacts facts = factsOf(node);
    StatementAnalysis analysis = analyzeQuery(facts);
    if (!analysis.refusal && !facts.writes && !facts.unprovenCall) {
        analysis.kind = StatementKind::Read;
    }
    return analysis;
}

StatementAnalysis analyzeExplain(const Json &node)
{
    if (node.contains("options")) {
        for (const Json &option : node["options"]) {
            const auto element = option.find("DefElem");
            if (element != option.end() && textAt(*element, "defname") == "analyze") {
                return analyzeQuery(factsOf(node));
            }
        }
    }
    const auto query = node.find("query");
    const bool select = query != node.end() && query->contains("SelectStmt");
    return select ? analyzeSelect((*query)["SelectStmt"]) : analyzeQuery(factsOf(node));
}

} // namespace

StatementAnalysis refusedStatement(std::string message)
{
    StatementAnalysis analysis;
    analysis.kind = StatementKind::Refused;
    analysis.refusal = unsupported(std::move(message));
    return analysis;
}

StatementAnalysis statementOfKind(StatementKind kind)
{
    StatementAnalysis analysis;
    analysis.kind = kind;
    return analysis;
}

StatementAnalysis analyzeStatement(const std::string &type, const Json &node)
{
    if (const auto message = refusalOfType(type)) {
        return refusedStatement(std::string(*message));
    }
    if (type == "SelectStmt") {
        return analyzeSelect(node);
    }
    if (type == "ExplainStmt") {
        return analyzeExplain(node);
    }
    if (type == "VariableSetStmt") {
        return analyzeSet(node);
    }
    if (type == "VariableShowStmt") {
        return analyzeShow(node);
    }
    if (type == "TransactionStmt") {
        return analyzeTransaction(node);
    }
    if (type == "DeclareCursorStmt") {
        const StatementAnalysis hold = analyzeDeclareCursor(node);
        return hold.refusal ? hold : analyzeQuery(factsOf(node));
    }
    if (type == "DiscardStmt") {
        return analyzeDiscard(node);
    }
    if (type == "DeallocateStmt") {
        return settingStatement(SettingAction::Deallocate, textAt(node, "name"));
    }
    return analyzeQuery(factsOf(node));
}

} // namespace egrettide::detail
