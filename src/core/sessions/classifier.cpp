// Classifier: combines the findings of all statements of a text, keeps texts that
// are too long away from the parser, and remembers answers.

#include "egrettide/core/classifier.h"

#include "core/sessions/builtinfunctions.h"
#include "core/sessions/parsetree.h"
#include "core/sessions/statementfinding.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <optional>

namespace egrettide
{

namespace
{

using detail::BlockEffect;
using detail::Finding;
using detail::findStatement;
using detail::plain;
using detail::refused;
using parsetree::Json;
using parsetree::ParsedText;
using parsetree::SplitText;

// What goes wrong above it: the parser's left-deep trees ("1+1+1...") are written
// out by recursion, and 100,000 terms overflow an 8 MiB stack; one caller could
// end the process. Half this many terms fit in a text of this size.
constexpr std::size_t maxParsedBytes = 32768;
// Parsing a long text's statements one by one must not hold a traffic thread up.
constexpr std::size_t maxLongTextStatements = 64;
constexpr std::size_t maxRememberedBytes = 8192;

// Debian builds Abseil with a string_view of its own.
absl::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

Error unsupported(std::string message)
{
    return Error{ErrorKind::Unsupported, std::move(message), milliseconds{0}};
}

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
