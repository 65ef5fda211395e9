// Classifier: combines the analyses of all statements of a query string, handles texts
// that are too long to parse, and caches results.

#include "egrettide/core/classifier.h"

#include "core/sessions/builtinfunctions.h"
#include "core/sessions/parsetree.h"
#include "core/sessions/statementanalysis.h"

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

using detail::analyzeStatement;
using detail::BlockEffect;
using detail::refusedStatement;
using detail::StatementAnalysis;
using detail::statementOfKind;
using parsetree::Json;
using parsetree::ParsedText;
using parsetree::SplitText;

// Longer statements are not parsed. The parser serializes left-deep trees ("1+1+1...") by
// recursion: 100,000 terms overflow an 8 MiB stack, so that one caller could crash the
// process. A text of this size holds about 16,000 terms.
constexpr std::size_t maxParsedBytes = 32768;
// Bounds the time for which the statements of a long text, parsed one by one, block a
// traffic thread.
constexpr std::size_t maxLongTextStatements = 64;
constexpr std::size_t maxCachedTextBytes = 8192;

// Debian builds Abseil with its own string_view type.
absl::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

Error unsupported(std::string message)
{
    return Error{ErrorKind::Unsupported, std::move(message), milliseconds{0}};
}

// The analyses of a text that is short enough to parse; empty on a syntax error.
std::optional<std::vector<StatementAnalysis>> analyzeAll(const std::string &sql)
{
    const ParsedText parsed(sql);
    if (parsed.tree() == nullptr) {
        return std::nullopt;
    }
    const Json tree = Json::parse(parsed.tree(), nullptr, false);
    std::vector<StatementAnalysis> analyses;
    if (tree.is_discarded()) {
        // The parser copies bytes that are not valid UTF-8 into its output. To forward such
        // a text without analysis could let a statement pass that has to be refused.
        analyses.push_back(refusedStatement("The statement is not valid UTF-8; set client_encoding to UTF8 and send it again."));
        return analyses;
    }
    const auto statements = tree.find("stmts");
    if (statements == tree.end()) {
        return analyses;
    }
    for (const Json &statement : *statements) {
        const auto node = statement.find("stmt");
        if (node != statement.end() && !node->empty()) {
            analyses.push_back(analyzeStatement(node->begin().key(), node->begin().value()));
        }
    }
    return analyses;
}

bool startsWithWord(std::string_view text, std::string_view word)
{
    return absl::StartsWithIgnoreCase(view(text), view(word))
        && (text.size() == word.size() || !absl::ascii_isalnum(static_cast<unsigned char>(text[word.size()])));
}

// Analyzes a statement that is too long to parse: a write if it starts with the keyword of
// a query or data-modifying statement and contains none of longTextForbiddenWords().
StatementAnalysis analyzeLongStatement(std::string_view sql)
{
    static constexpr std::array<std::string_view, 7> words = {"insert", "update", "delete", "select", "with", "values", "merge"};
    const absl::string_view stripped = absl::StripLeadingAsciiWhitespace(view(sql));
    const std::string_view text(stripped.data(), stripped.size());
    const bool ordinary =
        std::any_of(words.begin(), words.end(), [text](std::string_view word) { return startsWithWord(text, word); });
    if (!ordinary) {
        return refusedStatement(
            "A statement longer than 32 KiB is supported only if it starts with INSERT, UPDATE, DELETE, SELECT, "
            "WITH, VALUES or MERGE; shorten it or move comments away from its start.");
    }
    const std::string lower = absl::AsciiStrToLower(view(text));
    for (const std::string_view word : longTextForbiddenWords()) {
        if (absl::StrContains(lower, view(word))) {
            return refusedStatement(
                absl::StrCat("A statement longer than 32 KiB may not contain ", view(word),
                             ": it is too long to be parsed, and this could leave state on a connection that other "
                             "sessions share; shorten it or pass values as parameters."));
        }
    }
    return statementOfKind(StatementKind::Write);
}

std::optional<std::vector<StatementAnalysis>> analyzeLongText(const std::string &sql)
{
    const SplitText split(sql);
    if (!split.valid()) {
        return std::nullopt;
    }
    std::vector<StatementAnalysis> analyses;
    if (split.size() > maxLongTextStatements) {
        analyses.push_back(
            refusedStatement("A query string longer than 32 KiB may hold at most 64 statements; send them in several queries."));
        return analyses;
    }
    for (std::size_t i = 0; i < split.size(); ++i) {
        const std::string statement = split.statement(sql, i);
        if (statement.size() > maxParsedBytes) {
            analyses.push_back(analyzeLongStatement(statement));
            continue;
        }
        auto parsed = analyzeAll(statement);
        if (!parsed) {
            return std::nullopt;
        }
        std::move(parsed->begin(), parsed->end(), std::back_inserter(analyses));
    }
    return analyses;
}

Classification refusal(Error error)
{
    Classification result;
    result.kind = StatementKind::Refused;
    result.error = std::move(error);
    return result;
}

Classification combineSettings(const std::vector<StatementAnalysis> &analyses)
{
    Classification result;
    result.kind = StatementKind::Setting;
    for (const StatementAnalysis &analysis : analyses) {
        result.settings.push_back(*analysis.setting);
    }
    return result;
}

bool isBegin(BlockEffect effect)
{
    return effect == BlockEffect::Begin || effect == BlockEffect::BeginReadOnly;
}

// Classifies a text with BEGIN, COMMIT or ROLLBACK among its statements.
//
// Refuses texts that continue after a commit. Their answer would be confirmed for the
// last part only, or not at all while another transaction is open, so a primary that
// has been replaced could acknowledge the first part.
Classification combineBlocks(const std::vector<StatementAnalysis> &analyses)
{
    Classification result;
    bool open = false;
    bool closed = false;
    bool readOnly = false;
    for (std::size_t i = 0; i < analyses.size(); ++i) {
        const BlockEffect effect = analyses[i].block;
        if (isBegin(effect)) {
            if (closed) {
                return refusal(unsupported(
                    "A query string that ends a transaction and begins another is not supported; send them separately."));
            }
            readOnly = !open && i == 0 && effect == BlockEffect::BeginReadOnly;
            open = true;
        } else if (effect != BlockEffect::None) {
            if (!open && i + 1 != analyses.size()) {
                return refusal(unsupported(
                    "A query string that continues after the end of a transaction is not supported; send the rest separately."));
            }
            result.kind = effect == BlockEffect::Commit ? StatementKind::Commit : StatementKind::Rollback;
            closed = true;
        }
    }
    if (open && closed) {
        result.kind = StatementKind::Write;
    } else if (open) {
        const bool reads = std::all_of(analyses.begin() + 1, analyses.end(),
                                       [](const StatementAnalysis &analysis) { return analysis.kind == StatementKind::Read; });
        result.kind = readOnly && reads ? StatementKind::BeginReadOnly : StatementKind::Begin;
    }
    return result;
}

// True when the text reads connection state that it has not set itself.
bool readsForeignState(const std::vector<StatementAnalysis> &analyses)
{
    for (const StatementAnalysis &analysis : analyses) {
        if (analysis.transactionOnly) {
            return true;
        }
        if (analysis.kind != StatementKind::Read) {
            return false;
        }
    }
    return false;
}

Classification combine(const std::vector<StatementAnalysis> &analyses)
{
    const auto firstRefused = std::find_if(analyses.begin(), analyses.end(),
                                           [](const StatementAnalysis &analysis) { return analysis.refusal.has_value(); });
    if (firstRefused != analyses.end()) {
        return refusal(*firstRefused->refusal);
    }
    const auto settings = std::count_if(analyses.begin(), analyses.end(),
                                        [](const StatementAnalysis &analysis) { return analysis.setting.has_value(); });
    if (settings == static_cast<std::ptrdiff_t>(analyses.size())) {
        return combineSettings(analyses);
    }
    if (settings > 0) {
        return refusal(
            unsupported("SET, SHOW, RESET and DISCARD cannot be combined with other statements; send them separately."));
    }
    Classification result;
    if (std::any_of(analyses.begin(), analyses.end(),
                    [](const StatementAnalysis &each) { return each.block != BlockEffect::None; })) {
        result = combineBlocks(analyses);
    } else {
        const bool reads = std::all_of(analyses.begin(), analyses.end(),
                                       [](const StatementAnalysis &analysis) { return analysis.kind == StatementKind::Read; });
        result.kind = reads ? StatementKind::Read : StatementKind::Write;
    }
    result.transactionOnly = readsForeignState(analyses);
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
    const auto analyses = text.size() > maxParsedBytes ? analyzeLongText(text) : analyzeAll(text);
    if (!analyses) {
        return Classification{};
    }
    if (analyses->empty()) {
        Classification result;
        result.kind = StatementKind::Setting;
        result.empty = true;
        return result;
    }
    Classification result = combine(*analyses);
    result.multiStatement = analyses->size() > 1;
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
    insert(sql, result);
    return result;
}

void Classifier::insert(std::string_view sql, const std::shared_ptr<const Classification> &result)
{
    if (sql.size() > maxCachedTextBytes) {
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
