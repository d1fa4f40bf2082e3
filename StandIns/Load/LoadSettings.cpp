#include "LoadSettings.h"

#include <charconv>
#include <docopt/docopt.h>
#include <sstream>

namespace Peridot {

namespace {

constexpr const char *usageText
    = R"(Caller load for tests and the demo, on loopback, bounded in time and count.

Usage:
  peridot-load --entry LIST --service LIST [options]
  peridot-load (-h | --help)

Options:
  --entry LIST            entry processes, ADDRESS:PORT separated by commas
  --service LIST          services, separated by commas
  --backend-control LIST  control addresses of the backend servers, to check run counts
  --callers N             connections, one open request each [default: 16]
  --rate N                requests a second over all callers, 0 for no pause [default: 0]
  --milliseconds N        time during which requests are started [default: 5000]
  --requests N            most requests [default: 100000]
  --non-idempotent N      percentage of POST and PATCH requests [default: 50]
  --sends N               most sends of one request [default: 6]
  --deadline-ms N         Peridot-Deadline-Ms of each request [default: 5000]
  --patience-ms N         time until a send counts as unanswered [default: 8000]
  --payload N             bytes of payload of POST and PATCH [default: 64]
  --urgency NAME          Peridot-Urgency of each request
  --lost-counts           a backend server was restarted and lost its run counts
  --seed N                seed of ids and choices [default: 1]
  -h --help               this text

Prints one line for each service. Exit status: 0 when every check held, 1 when an answer was
incomplete or belonged to another request, or run counts contradict the outcomes; 2 for bad options.
)";

constexpr std::uint64_t mostCallers = 5000;
constexpr std::uint64_t mostMilliseconds = 600000;
constexpr std::uint64_t mostRequests = 2000000;

using Options = std::map<std::string, docopt::value>;

std::vector<std::string> splitList(const docopt::value &value)
{
    std::vector<std::string> parts;
    if (!value.isString())
        return parts;
    std::istringstream stream(value.asString());
    for (std::string part; std::getline(stream, part, ',');) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

Result<std::uint64_t> number(Options &options, const std::string &name, std::uint64_t most)
{
    const std::string text = options[name].asString();
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value > most)
        return makeError(ErrorCode::InvalidValue, name,
                         text + " is not a number up to " + std::to_string(most));
    return value;
}

Result<std::vector<asio::ip::tcp::endpoint>> endpoints(Options &options, const std::string &name)
{
    std::vector<asio::ip::tcp::endpoint> result;
    for (const auto &part : splitList(options[name])) {
        const auto colon = part.rfind(':');
        asio::error_code error;
        const auto address = asio::ip::make_address(part.substr(0, colon), error);
        std::uint16_t port = 0;
        if (colon != std::string::npos)
            std::from_chars(part.data() + colon + 1, part.data() + part.size(), port);
        if (error || port == 0 || !address.is_loopback())
            return makeError(ErrorCode::InvalidValue, name, part + " is no loopback ADDRESS:PORT");
        result.emplace_back(address, port);
    }
    return result;
}

} // namespace

Result<LoadSettings> parseLoadSettings(int argc, char **argv)
{
    Options options = docopt::docopt(usageText, {argv + 1, argv + argc}, true);
    LoadSettings settings;
    BOOST_LEAF_ASSIGN(settings.entries, endpoints(options, "--entry"));
    BOOST_LEAF_ASSIGN(settings.backendControls, endpoints(options, "--backend-control"));
    settings.services = splitList(options["--service"]);
    if (settings.entries.empty())
        return makeError(ErrorCode::MissingField, "--entry");
    if (settings.services.empty())
        return makeError(ErrorCode::MissingField, "--service");
    BOOST_LEAF_AUTO(callers, number(options, "--callers", mostCallers));
    BOOST_LEAF_AUTO(rate, number(options, "--rate", 1000000));
    BOOST_LEAF_AUTO(milliseconds, number(options, "--milliseconds", mostMilliseconds));
    BOOST_LEAF_AUTO(percent, number(options, "--non-idempotent", 100));
    BOOST_LEAF_AUTO(sends, number(options, "--sends", 100));
    BOOST_LEAF_AUTO(deadline, number(options, "--deadline-ms", mostMilliseconds));
    BOOST_LEAF_AUTO(patience, number(options, "--patience-ms", mostMilliseconds));
    BOOST_LEAF_ASSIGN(settings.requestLimit, number(options, "--requests", mostRequests));
    BOOST_LEAF_ASSIGN(settings.payloadBytes, number(options, "--payload", 1024UL * 1024));
    BOOST_LEAF_ASSIGN(settings.seed, number(options, "--seed", UINT64_MAX));
    settings.callers = static_cast<unsigned>(callers);
    settings.rate = static_cast<double>(rate);
    settings.duration = std::chrono::milliseconds(milliseconds);
    settings.nonIdempotentPercent = static_cast<unsigned>(percent);
    settings.sendLimit = static_cast<unsigned>(sends);
    settings.deadline = std::chrono::milliseconds(deadline);
    settings.patience = std::chrono::milliseconds(patience);
    if (options["--urgency"].isString())
        settings.urgency = options["--urgency"].asString();
    settings.lostCountsAllowed = options["--lost-counts"].asBool();
    return settings;
}

} // namespace Peridot
