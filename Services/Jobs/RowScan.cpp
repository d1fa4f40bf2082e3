#include "RowScan.h"

#include <iterator>
#include <memory>
#include <utility>
#include <vector>

namespace Peridot::Jobs {

namespace {

constexpr std::size_t pageRows = 500; // the store returns at most this many

struct Scan
{
    Store &store;
    std::string prefix;
    Store::ReadCallback callback;
    std::vector<Row> rows; ///< of the pages read so far
};

void readPage(const std::shared_ptr<Scan> &scan)
{
    const std::string startAfter = scan->rows.empty() ? std::string() : scan->rows.back().key;
    scan->store.scan(scan->prefix, startAfter, pageRows, [scan](const ReadResult &page) {
        ReadResult result = page;
        result.rows.clear();
        if (page.status != ReadStatus::Ok)
            return scan->callback(result);
        scan->rows.insert(scan->rows.end(), page.rows.begin(), page.rows.end());
        if (page.more && !page.rows.empty())
            return readPage(scan);
        result.rows = std::move(scan->rows);
        scan->callback(result);
    });
}

} // namespace

void scanAllRows(Store &store, const std::string &prefix, Store::ReadCallback callback)
{
    readPage(std::make_shared<Scan>(Scan{store, prefix, std::move(callback), {}}));
}

} // namespace Peridot::Jobs
