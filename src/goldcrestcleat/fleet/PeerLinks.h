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

/// What this daemon knows of a peer.
struct Peer {
    routing::NodeKey key = routing::NO_NODE;
    settings::EntryVm vm;
    bool isUp = false; ///< a proved link is open and not silent
    bool isReady = false; ///< it has read the configuration
    bool isLeaving = false; ///< a planned stop has begun there
    std::uint32_t configDigest = 0;
    loop::TimeMs lastHeardAt = 0;
    loop::TimeMs missingSince = 0; ///< when its link was lost, or it became known without one
};

/// Bytes and messages of one kind and direction.
struct Traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Keeps one proved link to each peer. The VM whose id is smaller dials.
///
/// A link that stays silent for too long is closed and dialled anew, since the path may have lost it.
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

    /// Opens the listener and begins to dial. Throws Error with AddressInUse.
    void start();

    /// Takes every VM that proves the fleet secret for a peer, where the settings do not name all of them.
    ///
    /// A VM that knows of another one dials it: each of a pair may not know of the other.
    void openMembership() { isOpen_ = true; }

    /// Adds a peer or changes its addresses.
    void putPeer(const settings::EntryVm& vm);

    /// Forgets a peer whose link is down; one that is up stays.
    void removePeer(routing::NodeKey key);

    /// Sends to one peer; false when its link is not up.
    bool send(routing::NodeKey peer, const PeerMessage& message);

    /// Sends to each peer whose link is up.
    void broadcast(const PeerMessage& message);

    /// Sends to some peers; those whose links are not up are left out.
    void sendToEach(const std::vector<routing::NodeKey>& peers, const PeerMessage& message);

    /// Closes every link; they are dialled anew.
    void dropAll(const std::string& reason);

    std::vector<const Peer*> peers() const;
    const Peer* find(routing::NodeKey key) const;

    /// Changes what is known of a peer's state, as its heartbeat says.
    void setPeerState(routing::NodeKey key, bool isReady, bool isLeaving, std::uint32_t configDigest);

    /// Traffic by message kind; websocket framing is in `rawBytes`.
    const std::map<std::string, Traffic>& sent() const { return sent_; }
    const std::map<std::string, Traffic>& received() const { return received_; }

    /// All bytes on all links, framing and handshakes included, both directions.
    std::uint64_t rawBytes() const;

private:
    struct Link {
        std::shared_ptr<PeerSocket> socket;
        std::string peerId; // empty until its hello
        settings::EntryVm vm; // as the hello describes it
        std::string ownNonce;
        std::string peerNonce;
        bool opened = false; // the connection that this side dialled is up
        bool proved = false;
        loop::TimeMs openedAt = 0;
        loop::TimeMs lastHeardAt = 0;
    };
    using LinkPtr = std::shared_ptr<Link>;

    void onAccept(const Poco::Net::StreamSocket& socket);
    void dialMissing();
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
    void dropSilent();
    std::string proofDigest(
        const std::string& prover, const std::string& verifier, const std::string& verifierNonce) const;

    loop::EventLoop& loop_;
    const settings::Settings& settings_;
    Hooks hooks_;
    std::unique_ptr<loop::Listener> listener_;
    std::map<routing::NodeKey, Peer> peers_;
    std::map<routing::NodeKey, LinkPtr> links_; // proved or being dialled
    std::vector<LinkPtr> unproved_; // accepted, not proved yet
    std::map<std::string, Traffic> sent_;
    std::map<std::string, Traffic> received_;
    std::uint64_t closedBytes_ = 0;
    bool isOpen_ = false;
};

} // namespace goldcrestcleat::fleet
