#include <LibStore/CommitResolver.h>

namespace Peridot {

void CommitResolver::resolve(const Transaction &transaction, Callback callback)
{
    m_store.read(resolutionKeys(transaction),
                 [transaction, callback = std::move(callback)](const ReadResult &result) {
                     if (result.status == ReadStatus::Ok)
                         callback(resolveCommit(transaction, result.rows));
                     else
                         callback(CommitResolution::Undecided);
                 });
}

} // namespace Peridot
