#include "LinkControl.h"

#include <LibBase/Json.h>
#include <LibBase/Log.h>
#include <LibBase/Settings.h>
#include <utility>

namespace Peridot {

namespace {

constexpr const char *controlSchema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["link", "action"],
  "properties": {
    "link": {"type": "string"},
    "action": {"enum": ["cut", "heal", "delay"]},
    "from": {"type": "string", "minLength": 1},
    "delay_ms": {"type": "integer", "minimum": 0, "maximum": 60000}
  }
})";

ResponseMessage describeLinks(const LinkStates &states)
{
    Json::Value value(Json::objectValue);
    for (const auto &[name, state] : states)
        value[name] = state->describe();
    return {200, {{"Content-Type", "application/json"}}, writeJson(value) + '\n'};
}

ResponseMessage handleControl(const LinkStates &states, const RequestMessage &request)
{
    if (request.method == "GET" && request.target == "/control/links")
        return describeLinks(states);
    if (request.method != "POST" || request.target != "/control")
        return {404, {}, "unknown control call\n"};
    return valueOrElse(
        [&]() -> Result<ResponseMessage> {
            BOOST_LEAF_CHECK(applyLinkControl(states, request.body));
            return ResponseMessage{};
        },
        [](const Error &error) {
            return ResponseMessage{400, {}, describe(error) + '\n'};
        });
}

} // namespace

Result<void> applyLinkControl(const LinkStates &states, const std::string &body)
{
    BOOST_LEAF_AUTO(value, parseJson(body));
    BOOST_LEAF_CHECK(validateSchema(value, controlSchema));
    const auto found = states.find(value["link"].asString());
    if (found == states.end())
        return makeError(ErrorCode::NotFound, "link", value["link"].asString());
    LinkState &state = *found->second;
    const std::string action = value["action"].asString();
    if (action == "cut")
        state.cut(value["from"].asString());
    else if (action == "heal")
        state.heal(value["from"].asString());
    else if (!value.isMember("delay_ms"))
        return makeError(ErrorCode::MissingField, "delay_ms");
    else
        state.setDelay(std::chrono::milliseconds(value["delay_ms"].asInt64()));
    logEvent(LogLevel::Info, "control", {{"body", writeJson(value)}});
    return {};
}

Result<std::unique_ptr<HttpServer>> startLinkControl(const LinkSettings &settings,
                                                     const LinkStates &states)
{
    HttpServerSettings server;
    server.address = settings.address;
    server.port = settings.controlPort;
    HttpServerHooks hooks;
    hooks.onRequest
        = [states](const RequestMessage &request, const std::shared_ptr<HttpResponder> &responder) {
              responder->send(handleControl(states, request));
          };
    return HttpServer::start(server, std::move(hooks));
}

} // namespace Peridot
