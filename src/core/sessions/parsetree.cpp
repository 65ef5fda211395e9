// Helpers that read libpg_query's JSON trees.

#include "core/sessions/parsetree.h"

namespace egrettide::parsetree
{

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

std::string builtinName(const std::vector<std::string> &names)
{
    if (names.size() == 1) {
        return names.front();
    }
    return names.size() == 2 && names.front() == "pg_catalog" ? names.back() : std::string();
}

} // namespace egrettide::parsetree
