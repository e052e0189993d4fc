#pragma once

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/errors/ResultCode.h"
#include "goldcrestcleat/routing/AdmissionController.h"
#include "goldcrestcleat/routing/Keys.h"
#include "goldcrestcleat/store/TableMirror.h"
#include "goldcrestcleat/upstreams/ServerEntry.h"

#include <nlohmann/json.hpp>

#include <string>
#include <variant>
#include <vector>

/// Coordination of the daemons: links between them, ownership of upstreams, tickets and shared configuration.
namespace goldcrestcleat::fleet {

/// First message in each direction of a link.
struct Hello {
    std::string vm;
    std::string nonce;
    std::string dataCentre {}; ///< this and the addresses are empty if the settings list all VMs
    std::string caller {};
    std::string peer {};
};

/// Second message: an HMAC over the nonce of the other side, which proves knowledge of the fleet secret.
struct Proof {
    std::string digest;
};

/// Requests a ticket from the owner of an engine.
struct AcquireTicket {
    routing::TicketId ticket = 0;
    routing::NodeKey engine = routing::NO_NODE;
    std::uint16_t workspace = 0; ///< hash of the workspace id; workspaces with equal hashes share a queue
    double cost = 1; ///< cost and weight are sent in hundredths
    double weight = 1;
    loop::TimeMs waitMs = 0;
    bool suspect = false;
    routing::ChatKey lookupChat = 0; ///< if not 0, the owner may reply with the engine that it remembers for this chat
};

/// Reply to `AcquireTicket`.
struct TicketReply {
    routing::TicketId ticket = 0;
    bool granted = false;
    int load = 0;
    routing::NodeKey rememberedEngine = routing::NO_NODE; ///< the engine that last served the chat
};

/// Releases a ticket, or cancels the request for it.
struct ReleaseTicket {
    routing::TicketId ticket = 0;
    routing::NodeKey engine = routing::NO_NODE;
};

/// All tickets that the sender holds on an engine; sent to a new owner and after a link was opened.
struct HeldTickets {
    routing::NodeKey engine = routing::NO_NODE;
    std::vector<routing::TicketId> tickets;
};

/// The sender's state and the engines that it owns, which change rarely.
struct DaemonState {
    bool ready = false;
    bool leaving = false;
    std::uint32_t configDigest = 0;
    std::vector<routing::NodeKey> engines; ///< an engine's index is its slot in `EngineLoads`
};

/// Changed loads, by slot in the sender's last `DaemonState`; also serves as the heartbeat.
struct EngineLoads {
    std::vector<std::pair<std::uint32_t, int>> loads;
};

/// Asks a ticket holder to move one request away from an engine that is over the load bound.
struct MoveRequest {
    routing::NodeKey engine = routing::NO_NODE;
};

/// States the engine that served a chat, if it is not the expected one.
struct RememberChat {
    routing::ChatKey chat = 0;
    routing::NodeKey engine = routing::NO_NODE;
};

/// Servers that crashed, with the requests that may have caused it.
struct CrashReports {
    std::vector<admission::CrashReport> reports;
};

/// State of upstreams as observed by the sender.
struct UpstreamStatus {
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

/// The sender's open requests by server, and its access to the store; also serves as the heartbeat.
struct ServerLoads {
    std::vector<std::pair<routing::NodeKey, int>> open;
    bool storeAnswers = true; ///< the store answered the sender's last calls
    bool isWatchOverdue = false; ///< the sender leads, but its watch is overdue, so that another daemon must lead
    bool isWatchAnswered = false; ///< the sender leads, and the store answers its watch in time
    std::vector<store::StateVersion> newestRows {}; ///< newest row of each of the sender's mirrors, by table name
};

/// Requests the changes of a mirrored table, for example because the store does not answer the sender.
struct MirrorRequest {
    std::string table;
    std::uint64_t afterVersion = 0;
    std::uint64_t era = 0; ///< of the store, in which the version was given out
};

/// Rows of the sender's mirror: a reply to `MirrorRequest`, or a broadcast of changes.
struct MirrorRows {
    std::string table;
    std::uint64_t afterVersion = 0; ///< the rows include all changes since this version
    store::RowChanges changes;
};

/// Answers to requests that may have crashed servers.
struct SuspectAnswers {
    std::vector<admission::AnswerCount> answers;
};

/// Servers that the sender can no longer reach.
struct UnreachableServers {
    std::vector<routing::NodeKey> servers;
};

/// Servers that have announced in a response that they leave.
struct LeavingServers {
    std::vector<upstreams::ServerInstance> instances;
};

/// Servers that the sender observes to work slowly, with how many times slower than others they are.
struct SlowServers {
    std::vector<std::pair<routing::NodeKey, double>> servers; ///< factors are sent in tenths
};

/// Requests that are refused because they crash servers, or no longer are.
struct Verdicts {
    std::vector<admission::Verdict> verdicts;
};

using PeerMessage = std::variant<Hello, Proof, AcquireTicket, TicketReply, ReleaseTicket, HeldTickets, DaemonState,
    EngineLoads, MoveRequest, RememberChat, CrashReports, UpstreamStatus, ConfigItems, ServerLoads, MirrorRequest,
    MirrorRows, SuspectAnswers, UnreachableServers, LeavingServers, SlowServers, Verdicts>;

/// Maximum size of an encoded message, in bytes.
constexpr std::size_t MAX_PEER_MESSAGE_BYTES = 1024 * 1024;

/// Encodes a message as a CBOR array whose first element is the message's type.
std::string encode(const PeerMessage& message);

/// Decodes a message. Throws PeerError with PeerFrameInvalid.
PeerMessage decode(std::string_view bytes);

/// Returns the name of the message's type in metrics, such as "ask" for `AcquireTicket`.
const char* kindName(const PeerMessage& message);

} // namespace goldcrestcleat::fleet
