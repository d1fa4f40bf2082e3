#include "StoreClaims.h"

namespace Peridot {

StoreClaims::StoreClaims(std::unique_ptr<Store> store) : m_store(std::move(store)) { }

void StoreClaims::read(const std::string &key, ReadCallback callback)
{
    m_store->read({key}, [key, callback = std::move(callback)](const ReadResult &result) {
        Row row;
        row.key = key;
        if (result.status == ReadStatus::Ok && result.rows.size() == 1)
            return callback(ReadStatus::Ok, result.rows.front());
        callback(ReadStatus::Unavailable, row);
    });
}

void StoreClaims::commit(const CommitClaim &claim, CommitCallback callback)
{
    m_store->commit({claim.operationId, {claim.check}, {claim.write}}, std::move(callback));
}

} // namespace Peridot
