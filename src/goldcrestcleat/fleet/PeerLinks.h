#pragma once

#include "goldcrestcleat/fleet/PeerMessages.h"
#include "goldcrestcleat/fleet/PeerSocket.h"
#include "goldcrestcleat/loop/Connection.h"
#include "goldcrestcleat/loop/EventLoop.h"
#include "goldcrestcleat/settings/Settings.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace goldcrestcleat::fleet {

/// What this daemon knows about a peer.
struct Peer {
    routing::NodeKey key = routing::NO_NODE;
    settings::EntryVm vm;
    bool isUp = false; ///< an authenticated link is open and responsive
    bool isReady = false; ///< the peer has read the configuration
    bool isLeaving = false; ///< the peer has begun a planned stop
    std::uint32_t configDigest = 0;
    loop::TimeMs lastReceivedAt = 0;
    loop::TimeMs disconnectedSince = 0; ///< when its link was closed or, before its first link, when the peer was added
};

/// Messages of one kind in one direction, and their bytes.
struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Keeps one authenticated link to each peer. Of each pair, the VM with the smaller id dials.
///
/// A link on which nothing was received for too long is closed and dialled again, since the network may have dropped
/// the connection without an error.
class PeerLinks {
public:
    struct Hooks {
        std::function<void(const Peer&, const PeerMessage&)> onMessage;
        std::function<void(const Peer&)> onUp;
        std::function<void(const Peer&)> onDown;
        std::function<void(const std::string& peer, const std::string& reason)> onRejected;
    };

    PeerLinks(loop::EventLoop& loop, const settings::Settings& settings, Hooks hooks);
    ~PeerLinks();

    /// Opens the listener and starts to dial. Throws Error with AddressInUse.
    void start();

    /// Accepts every VM that proves knowledge of the fleet secret as a peer, for settings that do not list all VMs.
    ///
    /// Either VM of a pair may then dial, since the one with the smaller id may not know the other one yet.
    void acceptUnlistedPeers() { acceptsUnlisted_ = true; }

    /// Adds a peer or updates its addresses.
    void putPeer(const settings::EntryVm& vm);

    /// Removes a peer unless its link is up.
    void removePeer(routing::NodeKey key);

    /// Sends to one peer; returns false if its link is not up.
    bool send(routing::NodeKey peer, const PeerMessage& message);

    /// Sends to all peers whose links are up.
    void broadcast(const PeerMessage& message);

    /// Sends to the given peers, except those whose links are not up.
    void sendToEach(const std::vector<routing::NodeKey>& peers, const PeerMessage& message);

    /// Closes all links; they are dialled again.
    void dropAll(const std::string& reason);

    std::vector<const Peer*> peers() const;
    const Peer* find(routing::NodeKey key) const;

    /// Updates a peer's state as it last reported it.
    void setPeerState(routing::NodeKey key, bool isReady, bool isLeaving, std::uint32_t configDigest);

    /// Traffic by message kind, without websocket framing, which `rawBytes` includes.
    const std::map<std::string, Traffic>& sent() const { return sent_; }
    const std::map<std::string, Traffic>& received() const { return received_; }

    /// Bytes on all links in both directions, including framing and handshakes.
    std::uint64_t rawBytes() const;

private:
    struct Link {
        std::shared_ptr<PeerSocket> socket;
        std::string peerId; // of an accepted link: empty until its hello
        settings::EntryVm vm; // as stated in the hello
        std::string ownNonce;
        std::string peerNonce;
        bool isConnected = false; // the websocket handshake has completed
        bool isAuthenticated = false;
        loop::TimeMs openedAt = 0;
        loop::TimeMs lastReceivedAt = 0;
    };
    using LinkPtr = std::shared_ptr<Link>;

    void onAccept(const Poco::Net::StreamSocket& socket);
    void dialDisconnected();
    bool shouldDial(const Peer& peer) const;
    void dial(Peer& peer);
    PeerSocket::Hooks socketHooks(const LinkPtr& link);
    void onBytes(const LinkPtr& link, std::string_view bytes);
    void handle(const LinkPtr& link, const PeerMessage& message);
    void onHello(const LinkPtr& link, const Hello& hello);
    void onProof(const LinkPtr& link, const Proof& proof);
    void sendHello(const LinkPtr& link);
    void sendOn(const LinkPtr& link, const PeerMessage& message);
    void sendBytes(const LinkPtr& link, const std::string& bytes, const char* kind);
    void reject(const LinkPtr& link, const std::string& reason);
    void drop(const LinkPtr& link, const std::string& reason);
    void dropUnresponsive();
    std::string proofDigest(
        const std::string& prover, const std::string& verifier, const std::string& verifierNonce) const;

    loop::EventLoop& loop_;
    const settings::Settings& settings_;
    Hooks hooks_;
    std::unique_ptr<loop::Listener> listener_;
    std::map<routing::NodeKey, Peer> peers_;
    std::map<routing::NodeKey, LinkPtr> links_; // authenticated or being dialled
    std::vector<LinkPtr> unauthenticated_; // accepted, not authenticated yet
    std::map<std::string, Traffic> sent_;
    std::map<std::string, Traffic> received_;
    std::uint64_t closedBytes_ = 0;
    bool acceptsUnlisted_ = false;
};

} // namespace goldcrestcleat::fleet
