#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// Placement of requests on engines and services: decision logic without any I/O.
namespace goldcrestcleat::routing {

/// 32-bit hash of the id of an upstream or VM; identifies it in peer messages and lookup tables.
using NodeKey = std::uint32_t;

/// 64-bit hash of a workspace id and a chat id.
using ChatKey = std::uint64_t;

/// The null key: no engine or VM.
constexpr NodeKey NO_NODE = 0;

/// Returns the hash of an id; never NO_NODE.
NodeKey nodeKey(std::string_view id);

/// Returns the hash of a chat of a workspace.
ChatKey chatKey(std::string_view workspace, std::string_view chat);

/// Returns the rendezvous-hashing score of a key and a node; the node with the highest score owns the key.
std::uint64_t rendezvousScore(std::uint64_t key, NodeKey node);

} // namespace goldcrestcleat::routing
