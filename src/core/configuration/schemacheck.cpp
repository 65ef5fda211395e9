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

// Converts the context "<root>", "[databases]", "[0]" to "/databases/0".
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

// The subschema for one place of a file; null if there is none.
const json *subschemaAt(const json &schema, const std::vector<std::string> &context)
{
    const json *subschema = &schema;
    for (const std::string &step : context) {
        if (step.size() < 2 || step.front() != '[') {
            continue;
        }
        const std::string name = step.substr(1, step.size() - 2);
        const bool isIndex = subschema->contains("items");
        const json *next = isIndex ? &subschema->at("items") : nullptr;
        if (!isIndex && subschema->contains("properties") && subschema->at("properties").contains(name)) {
            next = &subschema->at("properties").at(name);
        }
        if (next == nullptr) {
            return nullptr;
        }
        subschema = next->contains("$ref") ? &schema.at(json::json_pointer(next->at("$ref").get<std::string>().substr(1))) : next;
    }
    return subschema;
}

// The remedy for one violation, derived from the schema.
std::string remedyFor(const valijson::ValidationResults::Error &error, const json &schema)
{
    if (error.description.starts_with("Missing required property")) {
        return "add it";
    }
    if (error.description.starts_with("Object contains a property")) {
        return "remove it or correct its spelling";
    }
    const json *subschema = subschemaAt(schema, error.context);
    if (subschema == nullptr || subschema->contains("properties")) {
        return "write a value that meets the schema";
    }
    json shown = *subschema;
    shown.erase("description");
    shown.erase("items");
    return "write a value that meets " + shown.dump();
}

// The validator also reports every element that contains a faulty one; these reports add
// no information.
bool isContainerReport(const std::string &description)
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
        if (isContainerReport(error.description)) {
            continue;
        }
        const std::string text = error.description.substr(0, error.description.find_last_not_of('.') + 1);
        faults.push_back(fault(pathOf(error.context), text + "; " + remedyFor(error, schemaDocument)));
    }
    return faults;
}

} // namespace detail

} // namespace egrettide
