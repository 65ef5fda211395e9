// JSON Schema validation by valijson.

#include "core/configuration/schemacheck.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace egrettide
{

using nlohmann::json;

namespace
{

// "<root>", "[databases]", "[0]" become "/databases/0".
std::string pathOf(const std::vector<std::string> &context)
{
    std::string path;
    for (const std::string &step : context) {
        const bool bracketed = step.size() >= 2 && step.front() == '[' && step.back() == ']';
        if (bracketed) {
            path += '/' + step.substr(1, step.size() - 2);
        }
    }
    return path;
}

// The part of the schema that rules one place of a file; null when there is none.
const json *ruleAt(const json &schema, const std::vector<std::string> &context)
{
    const json *rule = &schema;
    for (const std::string &step : context) {
        if (step.size() < 2 || step.front() != '[') {
            continue;
        }
        const std::string name = step.substr(1, step.size() - 2);
        const bool isIndex = rule->contains("items");
        const json *next = isIndex ? &rule->at("items") : nullptr;
        if (!isIndex && rule->contains("properties") && rule->at("properties").contains(name)) {
            next = &rule->at("properties").at(name);
        }
        if (next == nullptr) {
            return nullptr;
        }
        rule = next->contains("$ref") ? &schema.at(json::json_pointer(next->at("$ref").get<std::string>().substr(1))) : next;
    }
    return rule;
}

// What to do about one violation, as precisely as the schema says it.
std::string remedyFor(const valijson::ValidationResults::Error &error, const json &schema)
{
    if (error.description.starts_with("Missing required property")) {
        return "add it";
    }
    if (error.description.starts_with("Object contains a property")) {
        return "remove it or mend its spelling";
    }
    const json *rule = ruleAt(schema, error.context);
    if (rule == nullptr || rule->contains("properties")) {
        return "write what the schema asks for here";
    }
    json shown = *rule;
    shown.erase("description");
    shown.erase("items");
    return "write a value that meets " + shown.dump();
}

// The validator also reports every place that contains a faulty one; those reports
// say nothing of their own.
bool isEcho(const std::string &description)
{
    return description.starts_with("Failed to validate against schema associated")
        || description.starts_with("Failed to validate item");
}

} // namespace

namespace detail
{

Error fault(const std::string &path, const std::string &text)
{
    return {ErrorKind::InvalidInput, (path.empty() ? "/" : path) + ": " + text + ".", milliseconds{0}};
}

std::vector<Error> schemaFaults(std::string_view schema, const json &document)
{
    const json schemaDocument = json::parse(schema);
    valijson::Schema compiled;
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), compiled);
    valijson::ValidationResults results;
    valijson::Validator().validate(compiled, valijson::adapters::NlohmannJsonAdapter(document), &results);
    std::vector<Error> faults;
    valijson::ValidationResults::Error error;
    while (results.popError(error)) {
        if (isEcho(error.description)) {
            continue;
        }
        const std::string text = error.description.substr(0, error.description.find_last_not_of('.') + 1);
        faults.push_back(fault(pathOf(error.context), text + "; " + remedyFor(error, schemaDocument)));
    }
    return faults;
}

} // namespace detail

} // namespace egrettide
