#include <Kernel/Fleet/DrainRequest.h>
#include <Kernel/Fleet/JobRecord.h>
#include <Kernel/Fleet/PlacementRecord.h>
#include <Kernel/Fleet/PoolRecord.h>
#include <Kernel/Fleet/TeamRecord.h>
#include <LibBase/Json.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <rapidcheck.h>

using namespace Peridot;

namespace {

template <typename Table>
auto anyValueOf(const Table &table)
{
    return table.entries[*rc::gen::inRange<std::size_t>(0, table.entries.size())].first;
}

TimePoint anyTime()
{
    return fromUnixMilliseconds(*rc::gen::arbitrary<std::int32_t>());
}

Resources anyResources()
{
    return {*rc::gen::inRange(0, 1000) / 8.0, *rc::gen::inRange(0, 1000) / 8.0,
            *rc::gen::inRange(0U, 20U)};
}

std::string anyText()
{
    // Operators choose the names, which may contain any character that JSON can represent.
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
}

HostRecord anyHost()
{
    HostRecord record;
    record.name = anyText();
    record.pool = anyText();
    record.rack = anyText();
    record.dataCentre = anyText();
    record.region = anyText();
    record.state = anyValueOf(hostStateNames);
    record.purpose = anyValueOf(drainPurposeNames);
    record.since = anyTime();
    record.generation = *rc::gen::arbitrary<std::uint64_t>();
    record.rebootFrom = *rc::gen::arbitrary<std::uint64_t>();
    record.targetGeneration = *rc::gen::arbitrary<std::uint64_t>();
    record.quarantines = *rc::gen::arbitrary<unsigned>();
    record.probeAt = anyTime();
    return record;
}

PoolRecord anyPool()
{
    PoolRecord record;
    record.name = anyText();
    record.budget = *rc::gen::arbitrary<unsigned>();
    record.configurationVersion = *rc::gen::arbitrary<std::uint64_t>();
    record.fencingEpoch = *rc::gen::arbitrary<std::uint64_t>();
    record.permits[anyText()] = {anyValueOf(drainPurposeNames), anyTime()};
    record.unavailable[anyText()] = {anyValueOf(unavailabilityReasonNames), anyTime()};
    record.incomingHosts = {anyText(), anyText()};
    record.wave = {anyValueOf(waveStateNames), *rc::gen::arbitrary<std::uint64_t>(), anyText(),
                   anyTime(), anyTime()};
    return record;
}

JobRecord anyJob()
{
    JobRecord record;
    record.name = anyText();
    record.pool = anyText();
    record.team = anyText();
    record.urgency = anyValueOf(urgencyNames);
    record.specificationDigest = anyText();
    record.state = anyValueOf(jobStateNames);
    record.reason = anyValueOf(pendingReasonNames);
    record.detail = anyText();
    record.decidedAtVersion = *rc::gen::arbitrary<std::uint64_t>();
    record.observedUsage = {*rc::gen::inRange(0, 100) / 8.0, *rc::gen::inRange(0, 100) / 8.0,
                            *rc::gen::arbitrary<unsigned>()};
    record.tasks.resize(*rc::gen::inRange<std::size_t>(0, 4));
    for (auto &task : record.tasks) {
        task.phase = anyValueOf(taskPhaseNames);
        task.host = anyText();
        task.epoch = *rc::gen::arbitrary<std::uint64_t>();
        task.since = anyTime();
        task.leaseEnd = anyTime();
        task.size = anyResources();
        task.failures = *rc::gen::arbitrary<unsigned>();
        task.failedHosts = {anyText(), anyText()};
        task.failedAt = anyTime();
        task.retryAt = anyTime();
    }
    return record;
}

struct Codec
{
    const char *name;
    std::function<std::string()> anyRow; ///< Generates an encoded row.
    /// Parses a row and encodes the result.
    std::function<Result<std::string>(const std::string &)> roundTrip;
};

template <typename Record>
Codec makeCodec(const char *name, std::function<Record()> generate,
                Result<Record> (*parse)(std::string_view), std::string (*encode)(const Record &))
{
    return {name, [=] { return encode(generate()); },
            [=](const std::string &text) -> Result<std::string> {
                BOOST_LEAF_AUTO(record, parse(text));
                return encode(record);
            }};
}

std::vector<Codec> codecs()
{
    return {
        makeCodec<HostRecord>("host", anyHost, parseHostRecord, encodeHostRecord),
        makeCodec<PoolRecord>("pool", anyPool, parsePoolRecord, encodePoolRecord),
        makeCodec<JobRecord>("job", anyJob, parseJobRecord, encodeJobRecord),
        makeCodec<TeamRecord>(
            "team",
            [] {
                return TeamRecord{anyText(), {{anyText(), anyResources()}}};
            },
            parseTeamRecord, encodeTeamRecord),
        makeCodec<PlacementRecord>(
            "placement",
            [] {
                return PlacementRecord{*rc::gen::arbitrary<std::uint64_t>(),
                                       {{anyText(), anyText()}}};
            },
            parsePlacementRecord, encodePlacementRecord),
        makeCodec<DrainRequest>(
            "drain-request",
            [] {
                return DrainRequest{anyText(), anyText(), anyText(), anyTime()};
            },
            parseDrainRequest, encodeDrainRequest),
    };
}

const Codec &codecOf(const std::string &name)
{
    static const auto all = codecs();
    return *std::find_if(all.begin(), all.end(),
                         [&](const Codec &codec) { return codec.name == name; });
}

/// Returns the error from parsing \a text, or an error with the field "accepted" when there is
/// none.
Error parseError(const Codec &codec, const std::string &text)
{
    return valueOrElse(
        [&]() -> Result<Error> {
            BOOST_LEAF_CHECK(codec.roundTrip(text));
            return Error{ErrorCode::NotFound, "accepted", {}};
        },
        [](const Error &error) { return error; });
}

const char *validHost
    = R"({"name":"h","pool":"a","rack":"r","data_centre":"d","region":"g","state":"active",)"
      R"("purpose":"none","since":1,"generation":0,"reboot_from":0,"target_generation":0,)"
      R"("quarantines":0,"probe_at":0})";
const char *validPool
    = R"({"name":"a","budget":1,"configuration_version":1,"fencing_epoch":1,"permits":{"h":)"
      R"({"purpose":"move","since":1}},"unavailable":{"i":{"reason":"failed","since":1}},)"
      R"("arrivals":["j"],"wave":{"state":"idle","generation":0,"started_by":"","started_at":0,)"
      R"("finished_at":0}})";
const char *validJob
    = R"({"name":"j","pool":"a","team":"t","urgency":"normal","specification_digest":"",)"
      R"("state":"pending","reason":"none","detail":"","decided_at_version":0,"tasks":[{"phase":)"
      R"("placed","host":"h","epoch":1,"since":0,"lease_end":0,"size":{"processors":1,)"
      R"("memory_gb":1,"accelerators":0},"failures":0,"failed_hosts":["h"],"failed_at":0,)"
      R"("retry_at":0}],"learned":{"processors":0,"memory_gb":0,"samples":0}})";
const char *validTeam
    = R"({"name":"t","held":{"j":{"processors":1,"memory_gb":1,"accelerators":0}}})";
const char *validPlacement = R"({"sequence":1,"loans":{"j/0":"h"}})";
const char *validDrain = R"({"host":"h","requested_by":"o","reason":"r","requested_at":1})";

} // namespace

TEST_CASE("The error for a malformed row names the path of the invalid field")
{
    using Change = std::function<void(Json::Value &)>;
    const auto invalid = ErrorCode::InvalidValue;
    const auto missing = ErrorCode::MissingField;
    struct MalformedRow
    {
        const char *codec;
        const char *valid;
        Change change;
        ErrorCode code;
        const char *field;
    };
    const MalformedRow malformedRows[] = {
        {"host", validHost, [](auto &v) { v.removeMember("pool"); }, missing, "pool"},
        {"host", validHost, [](auto &v) { v["state"] = "asleep"; }, invalid, "state"},
        {"host", validHost, [](auto &v) { v["generation"] = -1; }, invalid, "generation"},
        {"host", validHost, [](auto &v) { v["since"] = "now"; }, invalid, "since"},
        {"host", validHost, [](auto &v) { v["quarantines"] = Json::Value::UInt64(1) << 32U; },
         invalid, "quarantines"},
        {"pool", validPool, [](auto &v) { v["budget"] = Json::Value::UInt64(1) << 32U; }, invalid,
         "budget"},
        {"pool", validPool, [](auto &v) { v["permits"]["h"]["purpose"] = "x"; }, invalid,
         "permits/h/purpose"},
        {"pool", validPool, [](auto &v) { v["permits"] = 1; }, invalid, "permits"},
        {"pool", validPool, [](auto &v) { v["unavailable"]["i"] = 1; }, invalid, "unavailable/i"},
        {"pool", validPool, [](auto &v) { v["arrivals"][0] = 1; }, invalid, "arrivals/0"},
        {"pool", validPool, [](auto &v) { v["wave"].removeMember("generation"); }, missing,
         "wave/generation"},
        {"job", validJob, [](auto &v) { v["tasks"][0]["phase"] = 1; }, invalid, "tasks/0/phase"},
        {"job", validJob, [](auto &v) { v["tasks"][0]["size"]["processors"] = "1"; }, invalid,
         "tasks/0/size/processors"},
        {"job", validJob, [](auto &v) { v["tasks"][0] = 1; }, invalid, "tasks/0"},
        {"job", validJob, [](auto &v) { v["tasks"][0]["failed_hosts"][0] = 1; }, invalid,
         "tasks/0/failed_hosts/0"},
        {"job", validJob, [](auto &v) { v["learned"].removeMember("samples"); }, missing,
         "learned/samples"},
        {"team", validTeam, [](auto &v) { v["held"]["j"].removeMember("processors"); }, missing,
         "held/j/processors"},
        {"team", validTeam,
         [](auto &v) { v["held"]["j"]["accelerators"] = Json::Value::UInt64(1) << 32U; }, invalid,
         "held/j/accelerators"},
        {"placement", validPlacement, [](auto &v) { v["loans"]["j/0"] = 1; }, invalid, "loans/j/0"},
        {"drain-request", validDrain, [](auto &v) { v.removeMember("reason"); }, missing, "reason"},
    };
    for (const auto &entry : malformedRows) {
        INFO(entry.codec << " " << entry.field);
        const auto &codec = codecOf(entry.codec);
        REQUIRE(parseError(codec, entry.valid).field == "accepted");
        auto value = parseJson(entry.valid).value();
        entry.change(value);
        const auto error = parseError(codec, writeJson(value));
        CHECK(error.code == entry.code);
        CHECK(error.field == entry.field);
    }
    for (const auto &codec : codecs()) {
        for (const char *text : {"", "{", "[]", "null", "1", "\"text\"", "{} {}"}) {
            INFO(codec.name << " " << text);
            CHECK(parseError(codec, text).field != "accepted");
        }
    }
}

TEST_CASE("Every row survives a round trip, and damaged text gives an error instead of a crash")
{
    for (const auto &codec : codecs()) {
        INFO(codec.name);
        CHECK(rc::check([&] {
            const auto text = codec.anyRow();
            const auto encodedAgain
                = valueOrElse([&] { return codec.roundTrip(text); },
                              [](const Error &error) { return describe(error); });
            RC_ASSERT(encodedAgain == text);
        }));
        CHECK(rc::check([&] {
            auto text = codec.anyRow();
            const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
            if (*rc::gen::arbitrary<bool>())
                text.resize(position);
            else
                // Plain char is signed on x86-64 and unsigned on arm64, so that a seed would give
                // different values.
                text[position] = static_cast<char>(*rc::gen::arbitrary<signed char>());
            // Damaged text may still be a valid row; otherwise the error has one of these codes.
            const auto error = parseError(codec, text);
            RC_ASSERT(error.field == "accepted" || error.code == ErrorCode::InvalidJson
                      || error.code == ErrorCode::DuplicateName
                      || error.code == ErrorCode::InvalidValue
                      || error.code == ErrorCode::MissingField);
        }));
    }
}
