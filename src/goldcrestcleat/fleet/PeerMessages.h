#pragma once

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/errors/ResultCode.h"
#include "goldcrestcleat/routing/AdmissionController.h"
#include "goldcrestcleat/routing/Keys.h"
#include "goldcrestcleat/store/TableMirror.h"

#include <nlohmann/json.hpp>

#include <string>
#include <variant>
#include <vector>

/// The daemons as a fleet: links between them, homes of engines, tickets and shared configuration.
namespace goldcrestcleat::fleet {

/// First message in both directions of a link.
struct Hello {
    std::string vm;
    std::string nonce;
    std::string dataCentre {}; ///< this and the addresses are empty where the settings name every VM
    std::string caller {};
    std::string peer {};
};

/// Second message: proves the fleet secret over the nonce that the other side sent.
struct Proof {
    std::string digest;
};

/// Asks the home of an engine for a ticket.
struct Ask {
    routing::TicketId ticket = 0;
    routing::NodeKey engine = routing::NO_NODE;
    std::uint16_t workspace = 0; ///< hash of the workspace id; workspaces that collide share a place in the queue
    double cost = 1; ///< sent in hundredths, as is the weight
    double weight = 1;
    loop::TimeMs waitMs = 0;
    bool suspect = false;
    routing::ChatKey lookup = 0; ///< when not 0, the home may name the engine it remembers for this chat
};

/// Answers an ask.
struct Verdict {
    routing::TicketId ticket = 0;
    bool granted = false;
    int load = 0;
    routing::NodeKey elsewhere = routing::NO_NODE; ///< the engine that served the chat last
};

/// Gives a ticket back.
struct Release {
    routing::TicketId ticket = 0;
    routing::NodeKey engine = routing::NO_NODE;
};

/// All tickets that the sender holds on an engine; sent to a new home and after a link was renewed.
struct Held {
    routing::NodeKey engine = routing::NO_NODE;
    std::vector<routing::TicketId> tickets;
};

/// What changes seldom: the sender's state and the engines whose home it is.
struct Roster {
    bool ready = false;
    bool leaving = false;
    std::uint32_t configDigest = 0;
    std::vector<routing::NodeKey> engines; ///< an engine's position is its slot in Loads
};

/// Loads that changed, by slot of the sender's last roster; also the heartbeat.
struct Loads {
    std::vector<std::pair<std::uint32_t, int>> loads;
};

/// Asks a holder to move one piece of work from an engine that is over the load bound.
struct Move {
    routing::NodeKey engine = routing::NO_NODE;
};

/// A chat ran on another engine than its hashed one.
struct Remember {
    routing::ChatKey chat = 0;
    routing::NodeKey engine = routing::NO_NODE;
};

/// Requests that were running on an upstream when it crashed.
struct Suspects {
    std::vector<admission::Suspicion> suspicions;
};

/// What the sender found out about upstreams.
struct Status {
    struct Item {
        routing::NodeKey upstream = routing::NO_NODE;
        bool down = false;
        bool leaving = false;
        std::uint64_t incarnation = 0;
    };
    std::vector<Item> items;
};

/// Items of the shared configuration.
struct ConfigItems {
    struct Item {
        std::string kind;
        std::string id;
        std::uint64_t version = 0;
        nlohmann::json value;
    };
    std::vector<Item> items;
};

/// All requests that the sender has open at servers; a heartbeat besides.
struct ServerLoads {
    std::vector<std::pair<routing::NodeKey, int>> open;
    bool storeAnswers = true; ///< the sender's last calls to the store were answered
    bool isWatchOverdue
        = false; ///< the sender leads and waits longer for the store than it should: others have to lead
    std::vector<std::uint64_t> newestRows {}; ///< of the sender's mirrors, in order of their tables' names
};

/// Asks for the changes of a mirrored table, as when the store does not answer the sender.
struct MirrorAsk {
    std::string table;
    std::uint64_t afterVersion = 0;
};

/// Rows of the sender's mirror: an answer to an ask, or sent unasked when they changed.
struct MirrorRows {
    std::string table;
    std::uint64_t afterVersion = 0; ///< the rows are all that changed since then
    loop::TimeMs lapsedMs = 0; ///< for this long, removed rows may still come back, since the store was away
    store::RowChanges changes;
};

/// Requests that were suspects and have now been answered whole.
struct Forgiven {
    std::vector<admission::Fingerprint> fingerprints;
};

/// Servers that the sender could not reach any more.
struct LostServers {
    std::vector<routing::NodeKey> servers;
};

using PeerMessage = std::variant<Hello, Proof, Ask, Verdict, Release, Held, Roster, Loads, Move, Remember, Suspects,
    Status, ConfigItems, ServerLoads, MirrorAsk, MirrorRows, Forgiven, LostServers>;

/// Upper size of an encoded message, in bytes.
constexpr std::size_t MAX_PEER_MESSAGE_BYTES = 1024 * 1024;

/// Encodes a message as a CBOR array whose first element is the message's type.
std::string encode(const PeerMessage& message);

/// Decodes a message. Throws PeerError with PeerFrameInvalid.
PeerMessage decode(std::string_view bytes);

/// Returns the message's type as used in metrics, such as "ask".
const char* kindName(const PeerMessage& message);

} // namespace goldcrestcleat::fleet
