#pragma once

namespace Peridot {

/// JSON Schema of the settings of peridot-entry.
inline constexpr const char *entrySettingsSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["instance_prefix", "data_centre", "callers", "administration", "operator_token"],
  "definitions": {
    "endpoint": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string", "minLength": 1},
        "port": {"type": "integer", "minimum": 0, "maximum": 65535}
      }
    },
    "http_endpoint": {
      "type": "object",
      "additionalProperties": false,
      "required": ["address", "port"],
      "properties": {
        "address": {"type": "string", "minLength": 1},
        "port": {"type": "integer", "minimum": 0, "maximum": 65535},
        "tls": {
          "type": "object",
          "additionalProperties": false,
          "required": ["certificate", "key"],
          "properties": {
            "certificate": {"type": "string", "minLength": 1},
            "key": {"type": "string", "minLength": 1}
          }
        }
      }
    },
    "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,62}$"}
  },
  "properties": {
    "instance_prefix": {"$ref": "#/definitions/name"},
    "data_centre": {"$ref": "#/definitions/name"},
    "callers": {"$ref": "#/definitions/http_endpoint"},
    "administration": {"$ref": "#/definitions/http_endpoint"},
    "peers": {"$ref": "#/definitions/endpoint"},
    "membership": {
      "type": "object",
      "additionalProperties": false,
      "required": ["peer_key"],
      "properties": {
        "peer_key": {"type": "string", "minLength": 8},
        "advertised_address": {"type": "string", "minLength": 1},
        "peers": {"type": "array", "items": {"type": "string"}},
        "lease_s": {"type": "integer", "minimum": 2, "maximum": 3600},
        "writes_per_second": {"type": "number", "minimum": 1},
        "reads_per_second": {"type": "number", "minimum": 1}
      }
    },
    "store_url": {"type": "string", "pattern": "^http://"},
    "operator_token": {"type": "string", "minLength": 8},
    "threads": {"type": "integer", "minimum": 1, "maximum": 64},
    "transport_threads": {"type": "integer", "minimum": 1, "maximum": 64},
    "log_level": {"enum": ["debug", "info", "warning", "error"]},
    "limits": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "connections": {"type": "integer", "minimum": 1, "maximum": 1000000},
        "queue": {"type": "integer", "minimum": 1, "maximum": 1000000},
        "answer_bytes": {"type": "integer", "minimum": 1024, "maximum": 1073741824},
        "read_timeout_ms": {"type": "integer", "minimum": 10, "maximum": 600000},
        "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000},
        "connect_timeout_ms": {"type": "integer", "minimum": 1, "maximum": 60000},
        "idle_connection_s": {"type": "integer", "minimum": 1, "maximum": 600},
        "stop_grace_ms": {"type": "integer", "minimum": 0, "maximum": 60000},
        "stop_limit_ms": {"type": "integer", "minimum": 1, "maximum": 3600000}
      }
    },
    "policies": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "admission": {"type": "string"},
        "routing": {"type": "string"}
      }
    },
    "bootstrap": {
      "type": "object",
      "additionalProperties": false,
      "required": ["services", "backend_servers"],
      "properties": {
        "version": {"type": "integer", "minimum": 0},
        "services": {
          "type": "array",
          "items": {
            "type": "object",
            "additionalProperties": false,
            "required": ["name"],
            "properties": {
              "name": {"$ref": "#/definitions/name"},
              "weight": {"type": "number", "exclusiveMinimum": 0},
              "deadline_ms": {"type": "integer", "minimum": 1, "maximum": 3600000}
            }
          }
        },
        "backend_servers": {
          "type": "array",
          "items": {
            "type": "object",
            "additionalProperties": false,
            "required": ["name", "address", "port", "services"],
            "properties": {
              "name": {"$ref": "#/definitions/name"},
              "address": {"type": "string", "minLength": 1},
              "port": {"type": "integer", "minimum": 1, "maximum": 65535},
              "slots": {"type": "integer", "minimum": 1, "maximum": 100000},
              "connections": {"type": "integer", "minimum": 1, "maximum": 100000},
              "services": {"type": "array", "items": {"type": "string"}},
              "leaving": {"type": "boolean"}
            }
          }
        }
      }
    }
  }
})";

} // namespace Peridot
