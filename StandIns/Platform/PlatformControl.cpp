#include "PlatformControl.h"

#include "Platform.h"
#include <LibBase/Json.h>
#include <LibBase/Log.h>

namespace Peridot {

namespace {

constexpr const char *schemaText = R"({
  "type": "object",
  "required": ["action"],
  "additionalProperties": false,
  "properties": {
    "action": {"enum": ["fault", "clear", "gone", "stale-hosts", "caps", "fail", "restore", "drain",
                        "undrain", "fail-tasks", "job"]},
    "call": {"type": "string"},
    "fault": {"type": "string"},
    "count": {"type": "integer", "minimum": 1},
    "for_ms": {"type": "integer", "minimum": 1},
    "delay_ms": {"type": "integer", "minimum": 0},
    "probability": {"type": "number", "minimum": 0, "maximum": 1},
    "stale_transactions": {"type": "integer", "minimum": 1},
    "writes_per_second": {"type": "number", "minimum": 1},
    "reads_per_second": {"type": "number", "minimum": 1},
    "host": {"type": "string"},
    "rack": {"type": "string"},
    "data_centre": {"type": "string"},
    "value": {"type": "boolean"},
    "job": {"type": "string", "minLength": 1},
    "run_ms": {"type": "integer", "minimum": 0},
    "processors": {"type": "number", "minimum": 0},
    "memory_gigabytes": {"type": "number", "minimum": 0},
    "accelerators": {"type": "integer", "minimum": 0},
    "fails": {"type": "boolean"}
  }
})";

constexpr int statusBadRequest = 400;

Result<void> requireMember(const Json::Value &body, const char *name)
{
    if (!body.isMember(name))
        return makeError(ErrorCode::MissingField, name);
    return {};
}

Result<TimePoint> endTime(const Json::Value &body, TimePoint now)
{
    BOOST_LEAF_CHECK(requireMember(body, "for_ms"));
    return now + std::chrono::milliseconds(body["for_ms"].asInt64());
}

Result<void> addFault(Platform &platform, TimePoint now, const Json::Value &body)
{
    FaultRule rule;
    const std::string call = body.get("call", "all").asString();
    rule.endpoint = endpointNames.valueOf(call);
    if (!rule.endpoint && call != "all")
        return makeError(ErrorCode::InvalidValue, "call", call);
    const std::string name = body["fault"].asString();
    const auto kind = storeFaultKindNames.valueOf(name);
    if (!kind)
        return makeError(ErrorCode::InvalidValue, "fault", name);
    rule.fault.kind = *kind;
    rule.fault.delay = std::chrono::milliseconds(body.get("delay_ms", 0).asInt64());
    rule.fault.staleTransactions = body.get("stale_transactions", 1).asUInt64();
    rule.probability = body.get("probability", 1.0).asDouble();
    if (body.isMember("count"))
        rule.remaining = body["count"].asUInt64();
    if (body.isMember("for_ms")) {
        BOOST_LEAF_ASSIGN(rule.until, endTime(body, now));
    }
    platform.faults().add(rule);
    return {};
}

Result<void> beGone(Platform &platform, TimePoint now, const Json::Value &body)
{
    FaultRule rule;
    BOOST_LEAF_ASSIGN(rule.until, endTime(body, now));
    rule.fault.kind = StoreFaultKind::LoseAnswerBeforeEffect;
    platform.faults().add(rule);
    return {};
}

Result<void> setCaps(Platform &platform, TimePoint now, const Json::Value &body)
{
    BOOST_LEAF_CHECK(requireMember(body, "writes_per_second"));
    BOOST_LEAF_CHECK(requireMember(body, "reads_per_second"));
    platform.setRateCaps(now, body["writes_per_second"].asDouble(),
                         body["reads_per_second"].asDouble());
    return {};
}

Result<void> changeWorkers(Platform &platform, TimePoint now, const Json::Value &body)
{
    const std::string action = body["action"].asString();
    const bool value = body.get("value", true).asBool();
    const auto change = [&](SimulatedWorker &worker) {
        if (action == "fail")
            worker.fail();
        else if (action == "restore")
            worker.restore(now);
        else if (action == "fail-tasks")
            worker.setFailsTasks(value);
        else
            worker.setLeaving(action == "drain");
    };
    const std::size_t count = platform.fleet().forEach(
        body["host"].asString(), body["rack"].asString(), body["data_centre"].asString(), change);
    if (count == 0)
        return makeError(ErrorCode::NotFound, "host", "no worker matches");
    return {};
}

Result<void> performAction(Platform &platform, TimePoint now, const Json::Value &body)
{
    const std::string action = body["action"].asString();
    if (action == "fault")
        return addFault(platform, now, body);
    if (action == "gone")
        return beGone(platform, now, body);
    if (action == "caps")
        return setCaps(platform, now, body);
    if (action == "clear") {
        platform.faults().clear();
        return {};
    }
    if (action == "stale-hosts") {
        BOOST_LEAF_AUTO(until, endTime(body, now));
        platform.fleet().freezeHostList(now, until);
        return {};
    }
    if (action == "job") {
        BOOST_LEAF_CHECK(requireMember(body, "job"));
        platform.fleet().setBehaviour(parseJobBehaviour(body));
        return {};
    }
    return changeWorkers(platform, now, body);
}

Result<PlatformAnswer> control(Platform &platform, TimePoint now, const std::string &text)
{
    BOOST_LEAF_AUTO(body, parseJson(text));
    BOOST_LEAF_CHECK(validateSchema(body, schemaText));
    BOOST_LEAF_CHECK(performAction(platform, now, body));
    logEvent(LogLevel::Info, "control", {{"body", writeJson(body)}});
    return PlatformAnswer{200, "{}"};
}

PlatformAnswer errorAnswer(const Error &error)
{
    Json::Value body(Json::objectValue);
    body["error"] = std::string(errorCodeNames.nameOf(error.code));
    body["field"] = error.field;
    body["detail"] = error.detail;
    return {statusBadRequest, writeJson(body)};
}

} // namespace

bool isControlRequest(const PlatformRequest &request)
{
    return request.path == "/control" || request.path.starts_with("/control/");
}

PlatformAnswer handleControl(Platform &platform, TimePoint now, const PlatformRequest &request)
{
    if (request.path == "/control" && request.method == "POST")
        return valueOrElse([&] { return control(platform, now, request.body); }, errorAnswer);
    if (request.path == "/control/stats" && request.method == "GET")
        return {200, writeJson(platform.statistics().toJson())};
    if (request.path == "/control/stats/reset" && request.method == "POST") {
        platform.statistics().reset();
        return {200, "{}"};
    }
    if (request.path == "/control/state" && request.method == "GET")
        return {200, writeJson(platform.dumpState(now))};
    return {404, "{}"};
}

} // namespace Peridot
