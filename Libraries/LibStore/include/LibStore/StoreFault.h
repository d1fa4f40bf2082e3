#pragma once

#include <LibBase/EnumTable.h>
#include <LibBase/Time.h>
#include <cstddef>

namespace Peridot {

/// Fault of one call to the store. On reads, a lost answer is the same as a refusal.
enum class StoreFaultKind {
    None,
    Refuse, ///< answered Unavailable, no effect
    LoseAnswerBeforeEffect, ///< answered Unknown, no effect
    LoseAnswerAfterEffect, ///< answered Unknown, took effect
    LateEffect, ///< answered Unknown at once; takes effect after the delay, if its checks hold then
    DelayEffect, ///< takes effect and is answered after the delay
    DelayAnswer, ///< takes effect now, is answered after the delay
    Duplicate, ///< applied twice; the answer is that of the second application
    StaleRead, ///< a consistent snapshot from before the latest writes
};

constexpr auto storeFaultKindNames = makeEnumTable<StoreFaultKind>({
    {StoreFaultKind::None, "none"},
    {StoreFaultKind::Refuse, "refuse"},
    {StoreFaultKind::LoseAnswerBeforeEffect, "lose-answer-before-effect"},
    {StoreFaultKind::LoseAnswerAfterEffect, "lose-answer-after-effect"},
    {StoreFaultKind::LateEffect, "late-effect"},
    {StoreFaultKind::DelayEffect, "delay-effect"},
    {StoreFaultKind::DelayAnswer, "delay-answer"},
    {StoreFaultKind::Duplicate, "duplicate"},
    {StoreFaultKind::StaleRead, "stale-read"},
});

struct StoreFault
{
    StoreFaultKind kind = StoreFaultKind::None;
    Duration delay{0}; ///< for LateEffect, DelayEffect, DelayAnswer
    std::size_t staleTransactions = 1; ///< for StaleRead: how many commits the snapshot lacks
};

enum class StoreCallKind { Commit, Read, Scan };

constexpr auto storeCallKindNames = makeEnumTable<StoreCallKind>({
    {StoreCallKind::Commit, "commit"},
    {StoreCallKind::Read, "read"},
    {StoreCallKind::Scan, "scan"},
});

} // namespace Peridot
