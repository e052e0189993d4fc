#pragma once

#include "goldcrestcleat/store/RowStore.h"

namespace goldcrestcleat::store {

/// Receives the kind of each completed call ("read", "watch" or "commit") and its outcome.
using CallHook = std::function<void(const std::string& call, const std::string& outcome)>;

/// Wraps a store so that each call is forwarded to it and reported to `onCall` when it completes.
RowStore countCalls(RowStore store, CallHook onCall);

} // namespace goldcrestcleat::store
