// Classifier: parses with libpg_query, walks the tree that it returns as JSON,
// and combines the findings of all statements of a text.

#include "egrettide/core/classifier.h"

#include "core/builtinfunctions.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <nlohmann/json.hpp>
#include <pg_query.h>

#include <algorithm>
#include <array>
#include <optional>

namespace egrettide
{

namespace
{

using Json = nlohmann::json;

// What goes wrong above it: the parser's left-deep trees ("1+1+1...") are written
// out by recursion, and 100,000 terms overflow an 8 MiB stack; one caller could
// end the process. Half this many terms fit in a text of this size.
constexpr std::size_t maxParsedBytes = 32768;
// Parsing a long text's statements one by one must not hold a traffic thread up.
constexpr std::size_t maxLongTextStatements = 64;
constexpr std::size_t maxRememberedBytes = 8192;
// CURSOR_OPT_HOLD of PostgreSQL's nodes/parsenodes.h.
constexpr int cursorOptionHold = 0x0020;

// How a statement changes the transaction block.
enum class BlockEffect { None, Begin, BeginReadOnly, Commit, Rollback };

// What one statement of a text was found to do.
struct Finding {
    StatementKind kind = StatementKind::Write;
    BlockEffect block = BlockEffect::None;
    std::optional<Error> refusal;
    std::optional<Setting> setting;
    bool transactionOnly = false;
};

// Debian builds Abseil with a string_view of its own.
absl::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

Error unsupported(std::string message)
{
    return Error{ErrorKind::Unsupported, std::move(message), milliseconds{0}};
}

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

// The text at `key`, empty when there is none.
std::string textAt(const Json &node, const char *key)
{
    const auto at = node.find(key);
    return at != node.end() && at->is_string() ? at->get<std::string>() : std::string();
}

bool flagAt(const Json &node, const char *key)
{
    const auto at = node.find(key);
    return at != node.end() && at->is_boolean() && at->get<bool>();
}

// The names of a qualified name such as a funcname.
std::vector<std::string> namesOf(const Json &list)
{
    std::vector<std::string> names;
    if (!list.is_array()) {
        return names;
    }
    for (const Json &item : list) {
        const auto string = item.find("String");
        names.push_back(string == item.end() ? std::string() : textAt(*string, "sval"));
    }
    return names;
}

// Calls `visit(key, value)` for every member of every object below `root`, without
// recursion: the tree may be deeper than the stack allows.
template <typename Visit> void forEachMember(const Json &root, const Visit &visit)
{
    std::vector<const Json *> open{&root};
    while (!open.empty()) {
        const Json &node = *open.back();
        open.pop_back();
        for (auto item = node.begin(); item != node.end(); ++item) {
            if (node.is_object()) {
                visit(item.key(), item.value());
            }
            if (item->is_structured()) {
                open.push_back(&*item);
            }
        }
    }
}

// A name without pg_catalog; empty when another schema qualifies it.
std::string builtinName(const std::vector<std::string> &names)
{
    if (names.size() == 1) {
        return names.front();
    }
    return names.size() == 2 && names.front() == "pg_catalog" ? names.back() : std::string();
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
    forEachMember(statement, [&facts](const std::string &key, const Json &value) { noteMember(facts, key, value); });
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

// Owns what the parser allocated.
class ParsedText
{
public:
    explicit ParsedText(const std::string &sql) : m_result(pg_query_parse(sql.c_str()))
    {
    }
    ~ParsedText()
    {
        pg_query_free_parse_result(m_result);
    }
    ParsedText(const ParsedText &) = delete;
    ParsedText &operator=(const ParsedText &) = delete;

    // Null when the text did not parse.
    const char *tree() const
    {
        return m_result.error == nullptr ? m_result.parse_tree : nullptr;
    }

private:
    PgQueryParseResult m_result;
};

// The findings of a text short enough to parse; nothing when it does not parse.
std::optional<std::vector<Finding>> findAll(const std::string &sql)
{
    const ParsedText parsed(sql);
    if (parsed.tree() == nullptr) {
        return std::nullopt;
    }
    const Json tree = Json::parse(parsed.tree(), nullptr, false);
    std::vector<Finding> findings;
    if (tree.is_discarded()) {
        // The parser copies bytes that are no UTF-8. Passing such a text on unread
        // would let a statement that has to be refused through.
        findings.push_back(refused("The statement is not valid UTF-8; set client_encoding to UTF8 and send it again."));
        return findings;
    }
    const auto statements = tree.find("stmts");
    if (statements == tree.end()) {
        return findings;
    }
    for (const Json &statement : *statements) {
        const auto node = statement.find("stmt");
        if (node != statement.end() && !node->empty()) {
            findings.push_back(findStatement(node->begin().key(), node->begin().value()));
        }
    }
    return findings;
}

// Owns what the splitter allocated.
class SplitText
{
public:
    explicit SplitText(const std::string &sql) : m_result(pg_query_split_with_scanner(sql.c_str()))
    {
    }
    ~SplitText()
    {
        pg_query_free_split_result(m_result);
    }
    SplitText(const SplitText &) = delete;
    SplitText &operator=(const SplitText &) = delete;

    bool valid() const
    {
        return m_result.error == nullptr;
    }
    std::size_t size() const
    {
        return static_cast<std::size_t>(m_result.n_stmts);
    }
    std::string statement(const std::string &sql, std::size_t index) const
    {
        const PgQuerySplitStmt &piece = *m_result.stmts[index];
        return sql.substr(static_cast<std::size_t>(piece.stmt_location), static_cast<std::size_t>(piece.stmt_len));
    }

private:
    PgQuerySplitResult m_result;
};

bool startsWithWord(std::string_view text, std::string_view word)
{
    return absl::StartsWithIgnoreCase(view(text), view(word))
        && (text.size() == word.size() || !absl::ascii_isalnum(static_cast<unsigned char>(text[word.size()])));
}

// A statement too long to parse: a write if it starts as ordinary data statements
// do and names no function that would leave state on the connection.
Finding findLongStatement(std::string_view sql)
{
    static constexpr std::array<std::string_view, 7> words = {"insert", "update", "delete", "select", "with", "values", "merge"};
    const absl::string_view stripped = absl::StripLeadingAsciiWhitespace(view(sql));
    const std::string_view text(stripped.data(), stripped.size());
    const bool ordinary =
        std::any_of(words.begin(), words.end(), [text](std::string_view word) { return startsWithWord(text, word); });
    if (!ordinary) {
        return refused("A statement longer than 32 KiB is carried only if it starts with INSERT, UPDATE, DELETE, SELECT, "
                       "WITH, VALUES or MERGE; shorten it or move comments away from its start.");
    }
    const std::string lower = absl::AsciiStrToLower(view(text));
    for (const std::string_view word : longTextForbiddenWords()) {
        if (absl::StrContains(lower, view(word))) {
            return refused(absl::StrCat("A statement longer than 32 KiB may not contain ", view(word),
                                        ": it is too long to be parsed, and this could leave state on a connection that other "
                                        "sessions share; shorten it or pass values as parameters."));
        }
    }
    return plain(StatementKind::Write);
}

std::optional<std::vector<Finding>> findLongText(const std::string &sql)
{
    const SplitText split(sql);
    if (!split.valid()) {
        return std::nullopt;
    }
    std::vector<Finding> findings;
    if (split.size() > maxLongTextStatements) {
        findings.push_back(refused("A text longer than 32 KiB may hold 64 statements; send them in several texts."));
        return findings;
    }
    for (std::size_t i = 0; i < split.size(); ++i) {
        const std::string statement = split.statement(sql, i);
        if (statement.size() > maxParsedBytes) {
            findings.push_back(findLongStatement(statement));
            continue;
        }
        auto parsed = findAll(statement);
        if (!parsed) {
            return std::nullopt;
        }
        std::move(parsed->begin(), parsed->end(), std::back_inserter(findings));
    }
    return findings;
}

Classification refusal(Error error)
{
    Classification result;
    result.kind = StatementKind::Refused;
    result.error = std::move(error);
    return result;
}

Classification combineSettings(const std::vector<Finding> &findings)
{
    Classification result;
    result.kind = StatementKind::Setting;
    for (const Finding &finding : findings) {
        result.settings.push_back(*finding.setting);
    }
    return result;
}

bool isBegin(BlockEffect effect)
{
    return effect == BlockEffect::Begin || effect == BlockEffect::BeginReadOnly;
}

// The kind of a text with BEGIN, COMMIT or ROLLBACK among its statements.
//
// What goes wrong if a text could commit and go on: its answer would be confirmed
// for the last part alone, or not at all while a transaction is open again, so a
// replaced primary could acknowledge the first part. Such texts are refused.
Classification combineBlocks(const std::vector<Finding> &findings)
{
    Classification result;
    bool open = false;
    bool closed = false;
    bool readOnly = false;
    for (std::size_t i = 0; i < findings.size(); ++i) {
        const BlockEffect effect = findings[i].block;
        if (isBegin(effect)) {
            if (closed) {
                return refusal(unsupported("A text that ends a transaction and begins another is not carried; send them apart."));
            }
            readOnly = !open && i == 0 && effect == BlockEffect::BeginReadOnly;
            open = true;
        } else if (effect != BlockEffect::None) {
            if (!open && i + 1 != findings.size()) {
                return refusal(
                    unsupported("A text that goes on after the end of a transaction is not carried; send the rest apart."));
            }
            result.kind = effect == BlockEffect::Commit ? StatementKind::Commit : StatementKind::Rollback;
            closed = true;
        }
    }
    if (open && closed) {
        result.kind = StatementKind::Write;
    } else if (open) {
        const bool reads = std::all_of(findings.begin() + 1, findings.end(),
                                       [](const Finding &finding) { return finding.kind == StatementKind::Read; });
        result.kind = readOnly && reads ? StatementKind::BeginReadOnly : StatementKind::Begin;
    }
    return result;
}

// True when connection state is read that the text itself did not make.
bool readsForeignState(const std::vector<Finding> &findings)
{
    for (const Finding &finding : findings) {
        if (finding.transactionOnly) {
            return true;
        }
        if (finding.kind != StatementKind::Read) {
            return false;
        }
    }
    return false;
}

Classification combine(const std::vector<Finding> &findings)
{
    const auto refusedOne =
        std::find_if(findings.begin(), findings.end(), [](const Finding &finding) { return finding.refusal.has_value(); });
    if (refusedOne != findings.end()) {
        return refusal(*refusedOne->refusal);
    }
    const auto settings =
        std::count_if(findings.begin(), findings.end(), [](const Finding &finding) { return finding.setting.has_value(); });
    if (settings == static_cast<std::ptrdiff_t>(findings.size())) {
        return combineSettings(findings);
    }
    if (settings > 0) {
        return refusal(unsupported("SET, SHOW, RESET and DISCARD are not carried among other statements; send them apart."));
    }
    Classification result;
    if (std::any_of(findings.begin(), findings.end(), [](const Finding &each) { return each.block != BlockEffect::None; })) {
        result = combineBlocks(findings);
    } else {
        const bool reads = std::all_of(findings.begin(), findings.end(),
                                       [](const Finding &finding) { return finding.kind == StatementKind::Read; });
        result.kind = reads ? StatementKind::Read : StatementKind::Write;
    }
    result.transactionOnly = readsForeignState(findings);
    return result;
}

} // namespace

Error transactionOnlyError()
{
    return unsupported("currval() and lastval() outside a transaction would show another session's value; "
                       "use them inside a transaction, or use RETURNING.");
}

namespace detail
{

Classification classifyText(std::string_view sql)
{
    if (sql.find('\0') != std::string_view::npos) {
        return refusal(Error{ErrorKind::InvalidInput, "The statement contains a zero byte; remove it.", milliseconds{0}});
    }
    const std::string text(sql);
    const auto findings = text.size() > maxParsedBytes ? findLongText(text) : findAll(text);
    if (!findings) {
        return Classification{};
    }
    if (findings->empty()) {
        Classification result;
        result.kind = StatementKind::Setting;
        result.empty = true;
        return result;
    }
    Classification result = combine(*findings);
    result.multiStatement = findings->size() > 1;
    return result;
}

} // namespace detail

Classifier::Classifier(std::size_t capacity) : m_capacity(std::max<std::size_t>(capacity, 1))
{
}

std::shared_ptr<const Classification> Classifier::classify(std::string_view sql)
{
    if (const auto found = m_byText.find(sql); found != m_byText.end()) {
        ++m_hits;
        m_entries.splice(m_entries.begin(), m_entries, found->second);
        return found->second->second;
    }
    auto result = std::make_shared<const Classification>(detail::classifyText(sql));
    remember(sql, result);
    return result;
}

void Classifier::remember(std::string_view sql, const std::shared_ptr<const Classification> &result)
{
    if (sql.size() > maxRememberedBytes) {
        return;
    }
    if (m_entries.size() >= m_capacity) {
        m_byText.erase(m_entries.back().first);
        m_entries.pop_back();
    }
    m_entries.emplace_front(std::string(sql), result);
    m_byText.emplace(m_entries.front().first, m_entries.begin());
}

std::size_t Classifier::hits() const
{
    return m_hits;
}

std::size_t Classifier::size() const
{
    return m_entries.size();
}

} // namespace egrettide
