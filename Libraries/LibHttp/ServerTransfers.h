#pragma once

#include "ConnectionShares.h"
#include <deque>

namespace Peridot {

struct Transfer;

/// The transfers of one backend server.
struct ServerTransfers
{
    ConnectionShares shares;
    std::deque<Transfer *> waiting; ///< for a free connection
    unsigned limit = 0; ///< connections over all transport threads
    bool listed = false; ///< has a limit of its own
};

} // namespace Peridot
