#include <LibBase/Json.h>
#include <LibBase/JsonWriter.h>
#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>

using namespace Peridot;

namespace {

std::string rewritten(const std::string &text)
{
    return writeJson(parseJson(text).value());
}

} // namespace

// Guards against messages and rows that differ from those of earlier versions.
TEST_CASE("A JSON writer writes what a tree of the same values is written as")
{
    SECTION("strings with every byte")
    {
        std::string all;
        for (int byte = 0; byte <= 0xff; ++byte)
            all += static_cast<char>(byte);
        all += "\xc3\xa9\xe2\x82\xac";
        JsonWriter writer;
        writer.value(all);
        CHECK(writer.take() == writeJson(Json::Value(all)));
    }
    SECTION("the largest and smallest numbers")
    {
        JsonWriter writer;
        writer.beginArray()
            .value(std::numeric_limits<std::int64_t>::min())
            .value(std::numeric_limits<std::uint64_t>::max())
            .value(0U)
            .endArray();
        const std::string text = writer.take();
        CHECK(text == "[-9223372036854775808,18446744073709551615,0]");
        CHECK(text == rewritten(text));
    }
    SECTION("nested objects and arrays, empty ones among them")
    {
        JsonWriter writer;
        writer.beginObject().name("a").beginArray().beginArray().endArray().beginObject();
        writer.endObject().endArray().member("b", true).member("c", "text").name("d");
        writer.beginObject().member("e", false).endObject().endObject();
        const std::string text = writer.take();
        CHECK(text == R"({"a":[[],{}],"b":true,"c":"text","d":{"e":false}})");
        CHECK(text == rewritten(text));
    }
}
