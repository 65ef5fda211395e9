// Serialization of the configuration object in the store:
// {"applyId","who","earlier":[{"applyId","who","version"}],"file":{...}}.

#include "egrettide/core/configurationapply.h"
#include "egrettide/core/configurationfile.h"

#include <nlohmann/json.hpp>

namespace egrettide
{

using nlohmann::json;

namespace
{

bool hasText(const json &object, const char *field)
{
    return object.contains(field) && object[field].is_string();
}

bool isEntry(const json &entry)
{
    return entry.is_object() && hasText(entry, "applyId") && hasText(entry, "who") && entry.contains("version")
        && entry["version"].is_number_unsigned();
}

tl::unexpected<Error> foreignObjectError(const char *what)
{
    return tl::make_unexpected(Error{ErrorKind::InvalidInput,
                                     "The store's object '" + std::string(ConfigurationKey)
                                         + "' is not a configuration of egrettide (" + what
                                         + "); find out who wrote it and move it away.",
                                     milliseconds{0}});
}

} // namespace

json configurationObject(const ConfigurationHead &head, const json &file)
{
    json earlier = json::array();
    for (const AppliedEntry &entry : head.earlier) {
        earlier.push_back({{"applyId", entry.applyId}, {"who", entry.who}, {"version", entry.version}});
    }
    return {{"applyId", head.applyId}, {"who", head.who}, {"earlier", std::move(earlier)}, {"file", file}};
}

tl::expected<ConfigurationHead, Error> parseConfigurationHead(const json &object)
{
    if (!object.is_object() || !hasText(object, "applyId") || !hasText(object, "who")) {
        return foreignObjectError("no apply id");
    }
    if (!object.contains("earlier") || !object["earlier"].is_array()) {
        return foreignObjectError("no history");
    }
    ConfigurationHead head{object["applyId"].get<std::string>(), object["who"].get<std::string>(), {}};
    for (const json &entry : object["earlier"]) {
        if (!isEntry(entry)) {
            return foreignObjectError("malformed history");
        }
        head.earlier.push_back(
            {entry["applyId"].get<std::string>(), entry["who"].get<std::string>(), entry["version"].get<std::uint64_t>()});
    }
    return head;
}

tl::expected<Configuration, std::vector<Error>> parseConfigurationObject(const json &object, std::uint64_t version)
{
    const auto head = parseConfigurationHead(object);
    if (!head) {
        return tl::make_unexpected(std::vector{head.error()});
    }
    auto configuration = parseConfiguration(object.contains("file") ? object["file"] : json());
    if (configuration) {
        configuration->version = version;
        configuration->applyId = head->applyId;
    }
    return configuration;
}

} // namespace egrettide
