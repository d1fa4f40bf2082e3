#include "ControlServer.h"

#include <LibBase/Json.h>
#include <limits>

namespace Peridot {

namespace {

constexpr const char *controlSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "fault": {"type": "string"},
    "count": {"type": "integer", "minimum": 0},
    "service_time_us": {"type": "integer", "minimum": 0, "maximum": 60000000}
  }
})";

Result<void> applyControl(BackendState &state, const std::string &body)
{
    BOOST_LEAF_AUTO(value, parseJson(body));
    BOOST_LEAF_CHECK(validateSchema(value, controlSchema));
    if (value.isMember("fault")) {
        const auto fault = faultNames.valueOf(value["fault"].asString());
        if (!fault)
            return makeError(ErrorCode::InvalidValue, "fault", value["fault"].asString());
        const auto unlimited = std::numeric_limits<std::uint64_t>::max();
        const bool counted = value.isMember("count");
        const std::uint64_t count = counted ? value["count"].asUInt64() : unlimited;
        state.setFault(*fault, *fault == Fault::None ? 0 : count);
    }
    if (value.isMember("service_time_us"))
        state.setServiceTime(std::chrono::microseconds(value["service_time_us"].asInt64()));
    return {};
}

ResponseMessage handleControl(BackendState &state, const RequestMessage &request)
{
    if (request.method == "GET" && request.target == "/control/runs")
        return {200, {{"Content-Type", "application/json"}}, state.describeRuns()};
    if (request.method == "GET" && request.target == "/control/arrivals")
        return {200, {{"Content-Type", "application/json"}}, state.describeArrivals()};
    if (request.method != "POST" || request.target != "/control")
        return {404, {}, "unknown control call\n"};
    return valueOrElse(
        [&]() -> Result<ResponseMessage> {
            BOOST_LEAF_CHECK(applyControl(state, request.body));
            return ResponseMessage{};
        },
        [](const Error &error) {
            return ResponseMessage{400, {}, describe(error) + '\n'};
        });
}

} // namespace

Result<std::unique_ptr<HttpServer>> startControlServer(const std::shared_ptr<BackendState> &state)
{
    HttpServerSettings settings;
    settings.address = state->settings().address;
    settings.port = state->settings().controlPort;
    HttpServerHooks hooks;
    hooks.onRequest
        = [state](const RequestMessage &request, const std::shared_ptr<HttpResponder> &responder) {
              responder->send(handleControl(*state, request));
          };
    return HttpServer::start(settings, std::move(hooks));
}

} // namespace Peridot
