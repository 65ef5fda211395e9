// Says what a statement may do, as PostgreSQL's own parser (libpg_query) proves
// it. Only statements proven to read may leave the primary or run twice, so
// everything unproven counts as a write, and what would leave state behind on a
// shared upstream connection is refused before it is sent.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/types.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace egrettide
{

// What a statement does to settings or prepared statements of its session. The
// front answers it alone; no upstream sees it.
enum class SettingAction {
    // SET name = value.
    Set,
    // SHOW name.
    Show,
    // RESET name; an empty name stands for RESET ALL.
    Reset,
    // DISCARD ALL: settings back to their defaults, prepared statements gone.
    Discard,
    // DEALLOCATE name; an empty name stands for all prepared statements.
    Deallocate,
};

struct Setting {
    SettingAction action = SettingAction::Set;
    // In lower case; `egrettide.*` settings go to SessionState, all others are
    // harmless ones that need an answer only.
    std::string name;
    std::string value;

    friend bool operator==(const Setting &, const Setting &) = default;
};

// What the classifier found out about one statement text.
struct Classification {
    StatementKind kind = StatementKind::Write;
    // Meaningful for StatementKind::Refused alone: nothing has run.
    Error error;
    // In order, for StatementKind::Setting alone.
    std::vector<Setting> settings;
    // True when the text holds more than one statement.
    bool multiStatement = false;
    // True when the text holds no statement, such as ";": the front answers
    // EmptyQueryResponse. The kind is then Setting with no settings.
    bool empty = false;
    // True when the statement reads state of its own connection (currval,
    // lastval). Outside a transaction it would show what another session left
    // there, so the front refuses it with `transactionOnlyError()`.
    bool transactionOnly = false;
};

// The refusal of a `transactionOnly` statement outside a transaction.
Error transactionOnlyError();

// Classifies statements and remembers the answers by text. Not safe for threads:
// each traffic thread has its own.
class Classifier
{
public:
    static constexpr std::size_t defaultCapacity = 4096;

    // Remembers up to `capacity` texts, the least recently used leave first.
    explicit Classifier(std::size_t capacity = defaultCapacity);
    Classifier(const Classifier &) = delete;
    Classifier &operator=(const Classifier &) = delete;

    // Never throws for any bytes. Text that the parser rejects is a Write: the
    // primary then gives its own error. The pointer stays valid after eviction.
    std::shared_ptr<const Classification> classify(std::string_view sql);

    // Answers taken from memory so far, for metrics.
    std::size_t hits() const;
    std::size_t size() const;

private:
    using Entry = std::pair<std::string, std::shared_ptr<const Classification>>;

    void remember(std::string_view sql, const std::shared_ptr<const Classification> &result);

    std::size_t m_capacity;
    std::size_t m_hits = 0;
    // Most recently used first. Invariant: at most m_capacity entries.
    std::list<Entry> m_entries;
    // Keys are views into m_entries. Invariant: one key for each entry.
    absl::flat_hash_map<std::string_view, std::list<Entry>::iterator> m_byText;
};

namespace detail
{

// Classifies without any memory of earlier texts.
Classification classifyText(std::string_view sql);

} // namespace detail

} // namespace egrettide
