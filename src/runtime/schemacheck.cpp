// JSON Schema validation by valijson.

#include "runtime/schemacheck.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace egrettide
{

namespace
{

std::string pathOf(const valijson::ValidationResults::Error &fault)
{
    std::string path;
    for (const std::string &step : fault.context) {
        path += step == "<root>" ? "$" : step;
    }
    return path;
}

} // namespace

std::vector<Error> schemaFaults(std::string_view schema, const nlohmann::json &document)
{
    const auto schemaDocument = nlohmann::json::parse(schema);
    valijson::Schema parsedSchema;
    valijson::SchemaParser().populateSchema(valijson::adapters::NlohmannJsonAdapter(schemaDocument), parsedSchema);
    valijson::ValidationResults results;
    valijson::Validator().validate(parsedSchema, valijson::adapters::NlohmannJsonAdapter(document), &results);
    std::vector<Error> faults;
    valijson::ValidationResults::Error fault;
    while (results.popError(fault)) {
        faults.push_back(Error{ErrorKind::InvalidInput,
                               pathOf(fault) + ": " + fault.description + " Correct it as the schema says.", milliseconds{0}});
    }
    return faults;
}

} // namespace egrettide
