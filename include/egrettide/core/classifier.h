// Classifies SQL statements with PostgreSQL's own parser (libpg_query). Only
// statements proven to be read-only may run on a replica or run twice, so all
// others count as writes. Statements that would leave state behind on a shared
// upstream connection are refused before they are sent.

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
// front (the part of a host that serves callers) answers it without an upstream.
enum class SettingAction {
    // SET name = value.
    Set,
    // SHOW name.
    Show,
    // RESET name; an empty name stands for RESET ALL.
    Reset,
    // DISCARD ALL: resets all settings and drops all prepared statements.
    Discard,
    // DEALLOCATE name; an empty name stands for all prepared statements.
    Deallocate,
};

struct Setting {
    SettingAction action = SettingAction::Set;
    // In lower case. `egrettide.*` settings are applied to SessionState; any other
    // setting that gets here has no effect on results and is only acknowledged.
    std::string name;
    std::string value;

    friend bool operator==(const Setting &, const Setting &) = default;
};

// The classification of one query string, which may hold several statements.
struct Classification {
    StatementKind kind = StatementKind::Write;
    // Valid only for StatementKind::Refused: nothing has run.
    Error error;
    // In order; set only for StatementKind::Setting.
    std::vector<Setting> settings;
    // True when the text holds more than one statement.
    bool multiStatement = false;
    // True when the text holds no statement, such as ";": the front answers
    // EmptyQueryResponse. The kind is then Setting with no settings.
    bool empty = false;
    // True when the statement reads state of its connection (currval, lastval).
    // Outside a transaction it would return the state of another session, so the
    // front refuses it with `transactionOnlyError()`.
    bool transactionOnly = false;
};

// The error for a `transactionOnly` statement outside a transaction.
Error transactionOnlyError();

// Classifies query strings and caches the results in an LRU cache. Not
// thread-safe: each traffic thread has its own.
class Classifier
{
public:
    static constexpr std::size_t defaultCapacity = 4096;

    // Caches up to `capacity` results and evicts the least recently used one first.
    explicit Classifier(std::size_t capacity = defaultCapacity);
    Classifier(const Classifier &) = delete;
    Classifier &operator=(const Classifier &) = delete;

    // Accepts arbitrary bytes and never throws. Text that the parser rejects is a
    // Write, so that the primary reports the syntax error. The returned pointer
    // stays valid after eviction.
    std::shared_ptr<const Classification> classify(std::string_view sql);

    // Number of cache hits so far, for metrics.
    std::size_t hits() const;
    std::size_t size() const;

private:
    using Entry = std::pair<std::string, std::shared_ptr<const Classification>>;

    void insert(std::string_view sql, const std::shared_ptr<const Classification> &result);

    std::size_t m_capacity;
    std::size_t m_hits = 0;
    // Most recently used first. Invariant: at most m_capacity entries.
    std::list<Entry> m_entries;
    // Keys are views into m_entries. Invariant: one key for each entry.
    absl::flat_hash_map<std::string_view, std::list<Entry>::iterator> m_byText;
};

namespace detail
{

// Classifies without the cache.
Classification classifyText(std::string_view sql);

} // namespace detail

} // namespace egrettide
