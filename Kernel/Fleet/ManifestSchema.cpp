#include "ManifestSchema.h"

namespace Peridot {

const std::string_view manifestSchema = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["pools", "hosts"],
  "definitions": {
    "name": {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"},
    "resources": {
      "type": "object",
      "additionalProperties": false,
      "required": ["processors", "memory_gb"],
      "properties": {
        "processors": {"type": "number", "minimum": 0},
        "memory_gb": {"type": "number", "minimum": 0},
        "accelerators": {"type": "integer", "minimum": 0, "maximum": 100000}
      }
    }
  },
  "properties": {
    "pools": {"type": "array", "minItems": 1, "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name", "availability_budget"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "availability_budget": {"type": "integer", "minimum": 0, "maximum": 100000},
        "spare": {"type": "boolean"},
        "minimum_failure_domains": {"type": "integer", "minimum": 1, "maximum": 100000}
      }}},
    "hosts": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name", "pool", "rack", "data_centre", "capacity"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "pool": {"$ref": "#/definitions/name"},
        "rack": {"$ref": "#/definitions/name"},
        "data_centre": {"$ref": "#/definitions/name"},
        "region": {"$ref": "#/definitions/name"},
        "capacity": {"$ref": "#/definitions/resources"}
      }}},
    "backend_servers": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name", "host", "address", "port"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "host": {"$ref": "#/definitions/name"},
        "address": {"type": "string", "pattern": "^[0-9a-fA-F.:]+$"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "slots": {"type": "integer", "minimum": 1, "maximum": 10000},
        "connections": {"type": "integer", "minimum": 1, "maximum": 10000}
      }}},
    "services": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name", "pools"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "share": {"type": "number", "exclusiveMinimum": 0},
        "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000},
        "pools": {"type": "array", "minItems": 1, "items": {"$ref": "#/definitions/name"}}
      }}},
    "teams": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name", "quota"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "quota": {"$ref": "#/definitions/resources"}
      }}},
    "jobs": {"type": "array", "items": {
      "type": "object", "additionalProperties": false,
      "required": ["name", "pool", "team", "task_size"],
      "properties": {
        "name": {"$ref": "#/definitions/name"},
        "pool": {"$ref": "#/definitions/name"},
        "team": {"$ref": "#/definitions/name"},
        "urgency": {"enum": ["urgent", "normal", "deferrable"]},
        "tasks": {"type": "integer", "minimum": 1, "maximum": 1000},
        "task_size": {"$ref": "#/definitions/resources"},
        "run_time_ms": {"type": "integer", "minimum": 1, "maximum": 31536000000}
      }}},
    "maintenance": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "drain_timeout_ms": {"type": "integer", "minimum": 1, "maximum": 86400000},
        "reboot_timeout_ms": {"type": "integer", "minimum": 1, "maximum": 86400000},
        "generation": {"type": "integer", "minimum": 0, "maximum": 1000000000}
      }}
  }
})json";

} // namespace Peridot
