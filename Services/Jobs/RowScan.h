#pragma once

#include <LibStore/Store.h>
#include <functional>
#include <string>

namespace Peridot::Jobs {

/// Reads all rows whose keys begin with \a prefix, page by page, and passes them together to
/// \a callback. When a page can't be read, the result is that of this page, without rows.
void scanAllRows(Store &store, const std::string &prefix, Store::ReadCallback callback);

} // namespace Peridot::Jobs
