#pragma once

#include <LibBase/Time.h>

namespace Peridot {

/// Wall clock time at the start of the process plus the time elapsed since then. It is monotonic,
/// and it includes the time during which the host was suspended, so that a lease cannot outlive a
/// suspension.
TimePoint processNow();

} // namespace Peridot
