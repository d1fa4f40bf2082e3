#include "ConfigurationOutput.h"
#include "ControlClient.h"
#include "ControlOptions.h"
#include "ControlOutput.h"

#include <Kernel/Fleet/Manifest.h>
#include <LibBase/Json.h>
#include <LibBase/Settings.h>
#include <charconv>
#include <chrono>
#include <docopt/docopt.h>
#include <iostream>
#include <limits>
#include <map>
#include <thread>

using namespace Peridot;

namespace {

constexpr const char *usageText = R"(NAME
  peridotctl - operate a fleet

Usage:
  peridotctl [options] validate FILE
  peridotctl [options] check FILE [--in-force=FILE]
  peridotctl [options] diff FILE
  peridotctl [options] apply FILE [--parent=VERSION] [--no-wait]
  peridotctl [options] status
  peridotctl [options] explain (job | host) NAME
  peridotctl [options] drain HOST [--reason=TEXT]
  peridotctl [options] undrain HOST [--reason=TEXT]
  peridotctl [options] wave (start | pause | resume | abort) POOL [--reason=TEXT]
  peridotctl [options] dump
  peridotctl [options] watch [--count=N]
  peridotctl (-h | --help)

DESCRIPTION
  validate checks a manifest without a connection. check does so with a configuration of the job
  service: errors, entries without effect, limits that contradict each other, and what differs from
  the configuration in force. diff compares it with the version in force.
  apply writes it as the next version and waits until every serving process acts on it. Another
  operator's change since the parent version is a conflict that names what changed. watch prints
  the status once a second.

Options:
  --settings=FILE    JSON with comments: addresses, token, timeout_s.
  --address=IP:PORT  Fleet process to call; overrides the settings. Several with commas.
  --token=TOKEN      Token of the operator; overrides the settings.
  --timeout=SECONDS  Longest time of one call.
  --json             Print the answer as JSON.
  --parent=VERSION   Version that the manifest was made from; the newest one otherwise.
  --in-force=FILE    Configuration that the job service has now.
  --no-wait          Return when the version is written.
  --reason=TEXT      Reason, kept in the audit row.
  --count=N          Number of times that watch prints; 0 for no end [default: 0].
  -h --help          Print this text.

EXIT STATUS
  0  done
  1  refused by the fleet process, for another reason than those below
  2  wrong arguments or settings
  3  no fleet process answered
  4  conflict: the configuration or the row was changed by another operator
  5  the manifest or the configuration is not valid
  6  the token is not known
  7  written, but not yet in force everywhere or of unknown outcome; ask for the status
)";

// The bound of the settings file.
constexpr long longestTimeoutSeconds = 600;

enum ExitStatus {
    ExitDone = 0,
    ExitRefused = 1,
    ExitUsage = 2,
    ExitUnreachable = 3,
    ExitConflict = 4,
    ExitInvalid = 5,
    ExitUnauthorized = 6,
    ExitPending = 7,
};

using Options = std::map<std::string, docopt::value>;

int exitStatusOf(const std::string &code)
{
    static const std::map<std::string, int> statuses{
        {"connection-failed", ExitUnreachable}, {"store-conflict", ExitConflict},
        {"invalid-json", ExitInvalid},          {"schema-violation", ExitInvalid},
        {"duplicate-name", ExitInvalid},        {"unknown-reference", ExitInvalid},
        {"unauthorized", ExitUnauthorized},     {"timeout", ExitPending},
        {"store-unknown-outcome", ExitPending}, {"file-unreadable", ExitUsage},
    };
    const auto found = statuses.find(code);
    return found == statuses.end() ? static_cast<int>(ExitRefused) : found->second;
}

std::string textOption(const Options &options, const std::string &name)
{
    const auto &value = options.at(name);
    return value ? value.asString() : std::string();
}

/// Errors: InvalidValue when the option is no number within the bounds.
Result<long> numberOption(const Options &options, const std::string &name, long least, long most)
{
    const auto text = textOption(options, name);
    long value = 0;
    const auto *end = text.data() + text.size();
    const auto [position, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || position != end || value < least || value > most)
        return makeError(ErrorCode::InvalidValue, name,
                         text + " is no number from " + std::to_string(least) + " to "
                             + std::to_string(most));
    return value;
}

int printError(const RpcError &error, bool json)
{
    if (json) {
        Json::Value value(Json::objectValue);
        value["error"] = error.code;
        value["field"] = error.field;
        value["detail"] = error.detail;
        value["data"] = error.data;
        std::cout << writeJson(value) << '\n';
        return exitStatusOf(error.code);
    }
    std::cerr << "peridotctl: " << error.code;
    if (!error.field.empty())
        std::cerr << " at " << error.field;
    if (!error.detail.empty())
        std::cerr << ": " << error.detail;
    std::cerr << '\n';
    for (const auto &path : error.data.isObject() ? error.data["changed"] : Json::Value())
        std::cerr << "  changed: " << path.asString() << '\n';
    return exitStatusOf(error.code);
}

RpcError toRpcError(const Error &error)
{
    return {std::string(errorCodeNames.nameOf(error.code)), error.field, error.detail, {}};
}

int validate(const std::string &path, bool json)
{
    return valueOrElse(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(text, readFile(path));
            BOOST_LEAF_AUTO(manifest, parseManifest(text));
            Json::Value result(Json::objectValue);
            result["valid"] = true;
            result["pools"] = Json::UInt64(manifest.pools.size());
            result["hosts"] = Json::UInt64(manifest.hosts.size());
            result["jobs"] = Json::UInt64(manifest.jobs.size());
            std::cout << (json ? writeJson(result) + '\n' : formatMembers(result));
            return ExitDone;
        },
        [&](const Error &error) {
            const int status = printError(toRpcError(error), json);
            return status == ExitRefused ? static_cast<int>(ExitInvalid) : status;
        });
}

int check(const Options &options, bool json)
{
    return valueOrElse(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(text, readFile(options.at("FILE").asString()));
            std::optional<std::string> inForce;
            if (options.at("--in-force")) {
                BOOST_LEAF_ASSIGN(inForce, readFile(options.at("--in-force").asString()));
            }
            BOOST_LEAF_AUTO(review, Platform::reviewConfiguration(text, inForce));
            std::cout << (json ? writeJson(encodeReview(review)) + '\n' : formatReview(review));
            return review.hasErrors() ? ExitInvalid : ExitDone;
        },
        [&](const Error &error) { return printError(toRpcError(error), json); });
}

std::string commandOf(const Options &options)
{
    for (const auto *name : {"validate", "diff", "apply", "status", "explain", "drain", "undrain",
                             "wave", "dump", "watch"}) {
        if (options.at(name).asBool())
            return name;
    }
    return {};
}

std::string chosen(const Options &options, std::initializer_list<const char *> names)
{
    for (const auto *name : names) {
        if (options.at(name).asBool())
            return name;
    }
    return {};
}

Result<Json::Value> parametersOf(const Options &options, const std::string &command)
{
    Json::Value parameters(Json::objectValue);
    if (command == "diff" || command == "apply") {
        BOOST_LEAF_AUTO(manifest, readFile(options.at("FILE").asString()));
        parameters["manifest"] = manifest;
        parameters["wait"] = !options.at("--no-wait").asBool();
        if (options.at("--parent")) {
            BOOST_LEAF_AUTO(parent,
                            numberOption(options, "--parent", 0, std::numeric_limits<long>::max()));
            parameters["parent"] = Json::UInt64(parent);
        }
    }
    if (command == "explain") {
        parameters["kind"] = chosen(options, {"job", "host"});
        parameters["name"] = options.at("NAME").asString();
    }
    if (command == "drain" || command == "undrain")
        parameters["host"] = options.at("HOST").asString();
    if (command == "wave") {
        parameters["pool"] = options.at("POOL").asString();
        parameters["command"] = chosen(options, {"start", "pause", "resume", "abort"});
    }
    if (options.at("--reason"))
        parameters["reason"] = options.at("--reason").asString();
    return parameters;
}

std::string format(const std::string &command, const Json::Value &answer)
{
    if (command == "status" || command == "watch")
        return formatStatus(answer);
    if (command == "diff")
        return formatDifference(answer);
    if (command == "dump")
        return writeIndentedJson(answer) + '\n';
    return formatMembers(answer);
}

int call(const ControlOptions &control, const Options &options, const std::string &command)
{
    std::optional<Json::Value> parameters;
    long count = 1;
    const int status = valueOrElse(
        [&]() -> Result<int> {
            if (command == "watch") {
                BOOST_LEAF_ASSIGN(
                    count, numberOption(options, "--count", 0, std::numeric_limits<long>::max()));
            }
            BOOST_LEAF_ASSIGN(parameters, parametersOf(options, command));
            return ExitDone;
        },
        [&](const Error &error) {
            printError(toRpcError(error), control.json);
            return static_cast<int>(ExitUsage);
        });
    if (!parameters)
        return status;
    const ControlClient client(control);
    for (long round = 0; count == 0 || round < count; ++round) {
        if (round > 0)
            std::this_thread::sleep_for(std::chrono::seconds(1));
        const Json::Value answer = client.call(command, *parameters);
        std::cout << (control.json ? writeJson(answer) + '\n' : format(command, answer))
                  << std::flush;
        if (command == "apply" && answer["state"].asString() == "proposed")
            return ExitPending;
    }
    return ExitDone;
}

Result<ControlOptions> controlOptions(const Options &options)
{
    BOOST_LEAF_AUTO(control, loadControlOptions(textOption(options, "--settings")));
    if (options.at("--address")) {
        control.addresses.clear();
        std::string address;
        for (const char character : options.at("--address").asString() + ',') {
            if (character != ',')
                address += character;
            else if (!address.empty())
                control.addresses.push_back(std::exchange(address, {}));
        }
    }
    if (options.at("--token"))
        control.token = options.at("--token").asString();
    if (options.at("--timeout")) {
        BOOST_LEAF_ASSIGN(control.timeoutSeconds,
                          numberOption(options, "--timeout", 1, longestTimeoutSeconds));
    }
    control.json = options.at("--json").asBool();
    return control;
}

int run(const Options &options)
{
    if (options.at("check").asBool())
        return check(options, options.at("--json").asBool());
    const std::string command = commandOf(options);
    if (command == "validate")
        return validate(options.at("FILE").asString(), options.at("--json").asBool());
    std::optional<ControlOptions> control;
    const int status = valueOrElse(
        [&]() -> Result<int> {
            BOOST_LEAF_ASSIGN(control, controlOptions(options));
            return ExitDone;
        },
        [&](const Error &error) {
            printError(toRpcError(error), options.at("--json").asBool());
            return static_cast<int>(ExitUsage);
        });
    if (!control)
        return status;
    try {
        return call(*control, options, command);
    } catch (const RpcError &error) {
        const int refused = printError(error, control->json);
        // For other commands an invalid value is, for example, a pause of a wave that is complete.
        const bool sendsManifest = command == "apply" || command == "diff";
        return sendsManifest && error.code == "invalid-value" ? static_cast<int>(ExitInvalid)
                                                              : refused;
    }
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(docopt::docopt_parse(usageText, {argv + 1, argv + argc}, true, false));
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usageText;
        return ExitDone;
    } catch (const std::exception &) {
        std::cerr << "peridotctl: wrong arguments; see peridotctl --help\n";
        return ExitUsage;
    }
}
