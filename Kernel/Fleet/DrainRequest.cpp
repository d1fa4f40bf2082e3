#include <Kernel/Fleet/DrainRequest.h>

#include "RowReader.h"

namespace Peridot {

Result<DrainRequest> parseDrainRequest(std::string_view text)
{
    BOOST_LEAF_AUTO(value, parseJson(text));
    RowReader reader(value);
    DrainRequest request;
    request.host = reader.text("host");
    request.requestedBy = reader.text("requested_by");
    request.reason = reader.text("reason");
    request.requestedAt = reader.time("requested_at");
    BOOST_LEAF_CHECK(reader.finish());
    return request;
}

std::string encodeDrainRequest(const DrainRequest &request)
{
    Json::Value value(Json::objectValue);
    value["host"] = request.host;
    value["requested_by"] = request.requestedBy;
    value["reason"] = request.reason;
    value["requested_at"] = encodeTime(request.requestedAt);
    return writeJson(value);
}

} // namespace Peridot
