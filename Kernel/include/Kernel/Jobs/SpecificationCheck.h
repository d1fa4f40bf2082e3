#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <LibBase/Error.h>

namespace Peridot::Jobs {

constexpr std::size_t maximumPayloadBytes = 4000;
constexpr std::size_t maximumSteps = 100;
/// Limit on the tasks of one occurrence. Each takes up to 150 bytes of the job's progress row,
/// which is limited to 64 KiB.
constexpr unsigned maximumTasks = 400;

/// Checks a submitted job against the limits of the scheduler. Errors: InvalidValue, LimitExceeded,
/// UnknownReference (a dependency on the step itself or a later one), with the name of the invalid
/// member in the field.
Result<void> checkSpecification(const JobSpecification &specification);

/// Whether \a id is 16 hexadecimal digits.
bool isJobId(std::string_view id);

} // namespace Peridot::Jobs
