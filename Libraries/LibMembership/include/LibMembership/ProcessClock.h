#pragma once

#include <LibBase/Time.h>

namespace Peridot {

/// Wall clock as it was when the process started, plus the time elapsed since then. It never steps,
/// and it counts the time during which the machine was suspended, so that a lease cannot outlive a
/// suspension.
TimePoint processNow();

} // namespace Peridot
