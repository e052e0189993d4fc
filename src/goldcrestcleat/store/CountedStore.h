#pragma once

#include "goldcrestcleat/store/RowStore.h"

namespace goldcrestcleat::store {

/// Is told of each call that ended: "read", "watch" or "commit", and how.
using CallHook = std::function<void(const std::string& call, const std::string& outcome)>;

/// Returns a port that passes all calls on and reports each.
RowStore countCalls(RowStore store, CallHook onCall);

} // namespace goldcrestcleat::store
