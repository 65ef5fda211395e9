// The JSON Schema of the configuration file, compiled in so that the programs need no
// separate file. Identical to schema/configuration.schema.json; a test compares the two.

#include "egrettide/core/configurationfile.h"

namespace egrettide
{

std::string_view configurationSchema()
{
    static constexpr std::string_view Schema = R"schema({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "egrettide configuration",
  "description": "The operators' whole intent. It is accepted as a whole or not at all.",
  "type": "object",
  "additionalProperties": false,
  "required": ["databases"],
  "properties": {
    "databases": {
      "description": "The database services.",
      "type": "array",
      "minItems": 1,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "upstreams"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "durability": {
            "description": "When a write is acknowledged: once a majority of the group holds it, or once the primary has it.",
            "enum": ["majority", "primary-only"]
          },
          "maxAgeMs": {
            "description": "The oldest state a read may show when its caller does not say; absent means the session's own floor alone.",
            "type": "integer",
            "minimum": 0,
            "maximum": 86400000
          },
          "replicaWaitMs": {
            "description": "How long a read may wait for a replica before it goes to the primary.",
            "type": "integer",
            "minimum": 0,
            "maximum": 60000
          },
          "upstreams": {
            "type": "array",
            "minItems": 1,
            "maxItems": 9,
            "items": {
              "type": "object",
              "additionalProperties": false,
              "required": ["name", "address", "zone", "slots", "connections"],
              "properties": {
                "name": {"$ref": "#/definitions/name"},
                "address": {
                  "description": "IP:port; an IPv6 address stands in brackets.",
                  "type": "string",
                  "minLength": 1,
                  "maxLength": 64
                },
                "zone": {"$ref": "#/definitions/name"},
                "slots": {
                  "description": "Statements it runs at once without queueing.",
                  "type": "integer",
                  "minimum": 1,
                  "maximum": 10000
                },
                "connections": {
                  "description": "Connections it accepts.",
                  "type": "integer",
                  "minimum": 1,
                  "maximum": 10000
                },
                "leaving": {
                  "description": "True while it is being taken away: it gets no new work.",
                  "type": "boolean"
                }
              }
            }
          }
        }
      }
    },
    "classes": {
      "description": "Classes of callers, such as desks and parents.",
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "reservedShare": {
            "description": "The part of an upstream's slots that is kept for this class.",
            "$ref": "#/definitions/share"
          },
          "timeoutMs": {
            "description": "The deadline of statements whose caller names none.",
            "type": "integer",
            "minimum": 1,
            "maximum": 3600000
          },
          "priority": {
            "description": "Higher goes first when unreserved slots are scarce.",
            "type": "integer",
            "minimum": -1000,
            "maximum": 1000
          }
        }
      }
    },
    "tenants": {
      "description": "Customers; callers name theirs as their user.",
      "type": "array",
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["name", "class"],
        "properties": {
          "name": {"$ref": "#/definitions/name"},
          "class": {"$ref": "#/definitions/name"},
          "password": {
            "description": "Absent or empty means that none is asked for.",
            "type": "string",
            "maxLength": 1024
          },
          "share": {
            "description": "The part of unreserved slots it may take while others wait.",
            "$ref": "#/definitions/share"
          },
          "keys": {
            "description": "Each is taken as a password, so that one can be replaced while another is in use.",
            "type": "array",
            "maxItems": 64,
            "uniqueItems": true,
            "items": {"type": "string", "minLength": 1, "maxLength": 1024}
          },
          "quota": {
            "description": "Requests that it may make over all hosts together; a transaction counts once.",
            "type": "object",
            "additionalProperties": false,
            "required": ["perSecond"],
            "properties": {
              "perSecond": {"type": "number", "minimum": 0, "maximum": 1000000},
              "burst": {
                "description": "What it may ask at once beyond that.",
                "type": "number",
                "minimum": 0,
                "maximum": 1000000
              }
            }
          }
        }
      }
    }
  },
  "definitions": {
    "name": {"type": "string", "minLength": 1, "maxLength": 63, "pattern": "^[A-Za-z0-9_.-]+$"},
    "share": {"type": "number", "minimum": 0, "maximum": 1}
  }
}
)schema";
    return Schema;
}

} // namespace egrettide
