#pragma once

#include <Kernel/Jobs/JobTypes.h>
#include <LibBase/Error.h>

namespace Peridot::Jobs {

constexpr std::size_t largestPayload = 4000; ///< bytes
constexpr std::size_t mostSteps = 100;
/// Tasks of one occurrence. Each costs up to 150 bytes of the job's row, which holds 64 KiB.
constexpr unsigned mostTasks = 400;

/// Whether the scheduler can handle the job. Errors: InvalidValue, LimitExceeded, UnknownReference
/// (a dependency on the step itself or a later one), with the member in the field.
Result<void> checkSpecification(const JobSpecification &specification);

/// Whether \a id is 16 hexadecimal digits.
bool isJobId(std::string_view id);

} // namespace Peridot::Jobs
