#include "AnswerFormat.h"

#include "Digest.h"
#include <string_view>

namespace Peridot {

namespace {

constexpr std::string_view reservedPrefix = "Peridot-";

bool isReserved(std::string_view name)
{
    return name.size() >= reservedPrefix.size()
           && equalHeaderNames(name.substr(0, reservedPrefix.size()), reservedPrefix);
}

} // namespace

std::shared_ptr<const RecordedAnswer> recordAnswer(const BackendAnswer &answer, bool withBody)
{
    auto recorded = std::make_shared<RecordedAnswer>();
    recorded->status = answer.httpStatus;
    if (!withBody)
        return recorded;
    if (const std::string *type = findHeader(answer.headers, "Content-Type"))
        recorded->contentType = *type;
    recorded->digest = hexDigest(answer.body);
    recorded->bodyRecorded = answer.body.size() <= recordedBodyLimit;
    if (recorded->bodyRecorded)
        recorded->body = answer.body;
    return recorded;
}

ResponseMessage formatAnswer(BackendAnswer answer)
{
    ResponseMessage response;
    response.status = answer.httpStatus;
    response.body = std::move(answer.body);
    response.headers.reserve(answer.headers.size() + 1);
    for (auto &header : answer.headers) {
        if (!isReserved(header.name))
            response.headers.push_back(std::move(header));
    }
    response.headers.push_back({"Peridot-Outcome", "answer"});
    return response;
}

ResponseMessage formatRecorded(const RecordedAnswer &answer)
{
    ResponseMessage response;
    response.status = answer.status;
    if (!answer.contentType.empty())
        response.headers.push_back({"Content-Type", answer.contentType});
    response.headers.push_back({"Peridot-Outcome", "answer"});
    response.headers.push_back({"Peridot-Recorded", answer.bodyRecorded ? "body" : "digest"});
    if (!answer.bodyRecorded)
        response.headers.push_back({"Peridot-Body-Digest", answer.digest});
    response.body = answer.body;
    return response;
}

} // namespace Peridot
