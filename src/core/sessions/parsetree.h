// Access to the results of libpg_query: RAII owners, and helpers that read its parse
// trees, which are JSON, without recursion.

#pragma once

#include <nlohmann/json.hpp>
#include <pg_query.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide::parsetree
{

using Json = nlohmann::json;

// The string at `key`; empty when it is absent.
std::string textAt(const Json &node, const char *key);
// The flag at `key`; false when it is absent, as the parser omits default values.
bool flagAt(const Json &node, const char *key);
// The parts of a qualified name such as a funcname.
std::vector<std::string> namesOf(const Json &list);
// The name without a pg_catalog qualifier; empty when it is qualified with another schema.
std::string builtinName(const std::vector<std::string> &names);

// Calls `visit(key, value)` for every member of every object below `root`. Iterative,
// since recursion into a deep tree could overflow the stack.
template <typename Visit> void forEachMember(const Json &root, const Visit &visit)
{
    std::vector<const Json *> pending{&root};
    while (!pending.empty()) {
        const Json &node = *pending.back();
        pending.pop_back();
        for (auto item = node.begin(); item != node.end(); ++item) {
            if (node.is_object()) {
                visit(item.key(), item.value());
            }
            if (item->is_structured()) {
                pending.push_back(&*item);
            }
        }
    }
}

// Parses a text and owns the result.
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

// Splits a text into statements and owns the result.
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
        const PgQuerySplitStmt &part = *m_result.stmts[index];
        return sql.substr(static_cast<std::size_t>(part.stmt_location), static_cast<std::size_t>(part.stmt_len));
    }

private:
    PgQuerySplitResult m_result;
};

} // namespace egrettide::parsetree
