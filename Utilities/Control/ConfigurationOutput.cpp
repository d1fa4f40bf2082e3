#include "ConfigurationOutput.h"

namespace Peridot {

namespace {

Json::Value encode(const Jobs::ConfigurationFinding &finding)
{
    Json::Value value(Json::objectValue);
    value["severity"] = std::string(Jobs::findingSeverityNames.nameOf(finding.severity));
    value["kind"] = std::string(Jobs::findingKindNames.nameOf(finding.kind));
    value["entry"] = finding.entry;
    value["detail"] = finding.detail;
    return value;
}

Json::Value encode(const Jobs::ConfigurationDifference &difference)
{
    Json::Value value(Json::objectValue);
    value["kind"] = std::string(Jobs::differenceKindNames.nameOf(difference.kind));
    value["entry"] = difference.entry;
    value["members"] = Json::Value(Json::arrayValue);
    for (const std::string &member : difference.members)
        value["members"].append(member);
    return value;
}

template <typename Entry>
Json::Value encodeAll(const std::vector<Entry> &entries)
{
    Json::Value list(Json::arrayValue);
    for (const Entry &entry : entries)
        list.append(encode(entry));
    return list;
}

} // namespace

std::string formatReview(const Platform::ConfigurationReview &review)
{
    std::string text;
    for (const auto &finding : review.findings) {
        text += std::string(Jobs::findingSeverityNames.nameOf(finding.severity)) + ' '
                + std::string(Jobs::findingKindNames.nameOf(finding.kind)) + ": " + finding.entry
                + ": " + finding.detail + '\n';
    }
    for (const auto &difference : review.differences) {
        text += std::string(Jobs::differenceKindNames.nameOf(difference.kind)) + ": "
                + difference.entry + '\n';
        for (const std::string &member : difference.members)
            text += "  " + member + '\n';
    }
    return text + std::to_string(review.findings.size()) + " findings, "
           + std::to_string(review.differences.size()) + " differences\n";
}

Json::Value encodeReview(const Platform::ConfigurationReview &review)
{
    Json::Value value(Json::objectValue);
    value["valid"] = !review.hasErrors();
    value["findings"] = encodeAll(review.findings);
    value["differences"] = encodeAll(review.differences);
    return value;
}

} // namespace Peridot
