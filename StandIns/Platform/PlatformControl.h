#pragma once

#include "PlatformMessage.h"
#include <LibBase/Time.h>

namespace Peridot {

class Platform;

/// Whether the request is one of POST /control, GET /control/stats, POST /control/stats/reset and
/// GET /control/state. They are served without faults and rate caps.
bool isControlRequest(const PlatformRequest &request);

/// Performs a control call. POST /control takes one action:
/// - fault: call (a name of Endpoint, or all), fault (a name of StoreFaultKind), count, for_ms,
///   delay_ms, probability, stale_transactions; without count and for_ms it holds until clear;
/// - clear: removes all fault rules;
/// - gone: for_ms; no call has an effect or gets an answer;
/// - stale-hosts: for_ms; the list of hosts stays as it is;
/// - caps: writes_per_second, reads_per_second;
/// - fail, restore, drain, undrain: host, rack or data_centre;
/// - fail-tasks: host and value; every task that starts there fails;
/// - job: a job behaviour as in the settings.
PlatformAnswer handleControl(Platform &platform, TimePoint now, const PlatformRequest &request);

} // namespace Peridot
