#include <JobsProcess.h>
#include <asio/post.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

using namespace Peridot;
using namespace Peridot::Platform;

TEST_CASE("An exception of one handler does not end the process")
{
    // Guards against an unexpected error, for example of a library, that takes all calls with it.
    asio::io_context context(1);
    PlatformSettings settings;
    settings.host = "host";
    settings.store = {"127.0.0.1", 1};
    JobsProcess process(context, settings);
    unsigned handled = 0;
    asio::post(context, [] { throw std::runtime_error("unexpected"); });
    asio::post(context, [&] { ++handled; });
    asio::post(context, [] { throw std::logic_error("again"); });
    asio::post(context, [&] {
        ++handled;
        context.stop();
    });
    process.run();
    CHECK(handled == 2);
}
