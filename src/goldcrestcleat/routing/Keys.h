#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Placement of chats on engines: pure decision code that touches no socket.
namespace goldcrestcleat::routing {

/// 32-bit hash of an upstream's or VM's id; names it in peer messages and tables.
using NodeKey = std::uint32_t;

/// 64-bit hash of a workspace and a chat id.
using ChatKey = std::uint64_t;

/// Stands for "no engine".
constexpr NodeKey NO_NODE = 0;

/// Hashes an id; never returns NO_NODE.
NodeKey nodeKey(std::string_view id);

/// Hashes a chat of a workspace.
ChatKey chatKey(std::string_view workspace, std::string_view chat);

/// Returns the rendezvous score of a pair; the node with the highest score owns the key.
std::uint64_t rendezvousScore(std::uint64_t key, NodeKey node);

} // namespace goldcrestcleat::routing
