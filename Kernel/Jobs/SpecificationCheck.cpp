#include <Kernel/Jobs/SpecificationCheck.h>

#include <LibBase/Hexadecimal.h>
#include <algorithm>

namespace Peridot::Jobs {

namespace {

constexpr std::size_t jobIdLength = 16;

Result<void> checkStep(const StepSpecification &step, unsigned index)
{
    const std::string field = "steps[" + std::to_string(index) + "]";
    if (step.count == 0)
        return makeError(ErrorCode::InvalidValue, field + ".count");
    const bool negative = step.size.milliProcessors < 0 || step.size.megabytes < 0
                          || step.size.accelerators < 0 || step.estimatedRuntime.count() < 0;
    if (negative)
        return makeError(ErrorCode::InvalidValue, field);
    for (const unsigned dependency : step.after) {
        if (dependency >= index)
            return makeError(ErrorCode::UnknownReference, field + ".after");
    }
    return {};
}

} // namespace

Result<void> checkSpecification(const JobSpecification &specification)
{
    if (specification.payload.size() > maximumPayloadBytes)
        return makeError(ErrorCode::LimitExceeded, "payload");
    if (specification.steps.empty())
        return makeError(ErrorCode::InvalidValue, "steps");
    if (specification.steps.size() > maximumSteps)
        return makeError(ErrorCode::LimitExceeded, "steps");
    std::uint64_t tasks = 0;
    for (unsigned index = 0; index < specification.steps.size(); ++index) {
        BOOST_LEAF_CHECK(checkStep(specification.steps[index], index));
        tasks += specification.steps[index].count;
    }
    if (tasks > maximumTasks)
        return makeError(ErrorCode::LimitExceeded, "steps.count");
    if (specification.occurrences > 0 && specification.interval.count() < 0)
        return makeError(ErrorCode::InvalidValue, "interval");
    return {};
}

bool isJobId(std::string_view id)
{
    return id.size() == jobIdLength && std::all_of(id.begin(), id.end(), isHexadecimal);
}

} // namespace Peridot::Jobs
