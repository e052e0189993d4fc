#include "goldcrestcleat/fleet/PeerLinks.h"

#include "goldcrestcleat/documents/ObjectReader.h"
#include "goldcrestcleat/observe/Digest.h"

#include <algorithm>

namespace goldcrestcleat::fleet {

using routing::NodeKey;

namespace {

    constexpr loop::TimeMs DIAL_PERIOD_MS = 250;
    constexpr int MAX_DIALS_PER_PERIOD = 20; // a proof takes some tenths of a ms at both ends, so dials are spread
    constexpr loop::TimeMs LIVENESS_CHECK_MS = 200;
    constexpr loop::TimeMs PEER_DIALS_FIRST_MS = 700; // then this VM dials too, as the peer may not know it
    constexpr loop::TimeMs AUTH_TIMEOUT_MS = 2'000;
    constexpr loop::TimeMs OPEN_TIMEOUT_MS = 600; // TCP retransmits a lost SYN only after 1 s
    constexpr std::size_t NONCE_BYTES = 16;
    constexpr std::size_t MAX_UNAUTHENTICATED_LINKS = 64;
    constexpr std::size_t MAX_BACKLOG_BYTES = 4 * 1024 * 1024; // unsent output at which a link is dropped

} // namespace

PeerLinks::PeerLinks(loop::EventLoop& loop, const settings::Settings& settings, Hooks hooks)
    : loop_(loop)
    , settings_(settings)
    , hooks_(std::move(hooks))
{
    for (const auto& vm : settings.entryVms) {
        if (vm.id == settings.self.id)
            continue;
        Peer peer;
        peer.key = routing::nodeKey(vm.id);
        peer.vm = vm;
        peers_[peer.key] = peer;
    }
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::start()
{
    listener_ = std::make_unique<loop::Listener>(
        loop_, settings_.self.peer, [this](const Poco::Net::StreamSocket& socket) { onAccept(socket); });
    dialDisconnected();
    loop_.every(DIAL_PERIOD_MS, [this] { dialDisconnected(); });
    loop_.every(LIVENESS_CHECK_MS, [this] { dropUnresponsive(); });
}

void PeerLinks::putPeer(const settings::EntryVm& vm)
{
    if (vm.id == settings_.self.id)
        return;
    Peer& peer = peers_[routing::nodeKey(vm.id)];
    if (peer.key == routing::NO_NODE)
        peer.disconnectedSince = loop_.now();
    peer.key = routing::nodeKey(vm.id);
    peer.vm = vm;
}

void PeerLinks::removePeer(NodeKey key)
{
    const auto found = peers_.find(key);
    if (found == peers_.end() || found->second.isUp)
        return;
    const auto link = links_.find(key);
    if (link != links_.end())
        drop(LinkPtr(link->second), "forgotten");
    peers_.erase(key);
}

bool PeerLinks::send(NodeKey peer, const PeerMessage& message)
{
    const auto link = links_.find(peer);
    if (link == links_.end() || !link->second->isAuthenticated)
        return false;
    sendOn(link->second, message);
    return true;
}

void PeerLinks::broadcast(const PeerMessage& message)
{
    std::vector<NodeKey> all;
    for (const auto& [key, peer] : peers_)
        all.push_back(key);
    sendToEach(all, message);
}

void PeerLinks::sendToEach(const std::vector<NodeKey>& peers, const PeerMessage& message)
{
    const std::string bytes = encode(message);
    for (const NodeKey key : peers) {
        const auto link = links_.find(key);
        if (link != links_.end() && link->second->isAuthenticated)
            sendBytes(link->second, bytes, kindName(message));
    }
}

void PeerLinks::dropAll(const std::string& reason)
{
    const auto links = links_;
    for (const auto& [key, link] : links)
        drop(link, reason);
}

std::vector<const Peer*> PeerLinks::peers() const
{
    std::vector<const Peer*> all;
    for (const auto& [key, peer] : peers_)
        all.push_back(&peer);
    return all;
}

const Peer* PeerLinks::find(NodeKey key) const
{
    const auto found = peers_.find(key);
    return found == peers_.end() ? nullptr : &found->second;
}

void PeerLinks::setPeerState(NodeKey key, bool isReady, bool isLeaving, std::uint32_t configDigest)
{
    const auto found = peers_.find(key);
    if (found == peers_.end())
        return;
    found->second.isReady = isReady;
    found->second.isLeaving = isLeaving;
    found->second.configDigest = configDigest;
}

std::uint64_t PeerLinks::rawBytes() const
{
    std::uint64_t total = closedBytes_;
    for (const auto& [key, link] : links_)
        total += link->socket->bytesIn() + link->socket->bytesOut();
    return total;
}

// ---- private: opening ----

void PeerLinks::onAccept(const Poco::Net::StreamSocket& socket)
{
    if (unauthenticated_.size() >= MAX_UNAUTHENTICATED_LINKS)
        return;
    const auto link = std::make_shared<Link>();
    link->openedAt = link->lastReceivedAt = loop_.now();
    unauthenticated_.push_back(link);
    link->socket = PeerSocket::accept(loop_, socket, socketHooks(link));
}

void PeerLinks::dialDisconnected()
{
    int dials = 0;
    for (auto& [key, peer] : peers_) {
        if (dials == MAX_DIALS_PER_PERIOD)
            return;
        if (links_.count(key) > 0 || !shouldDial(peer))
            continue;
        dial(peer);
        ++dials;
    }
}

bool PeerLinks::shouldDial(const Peer& peer) const
{
    if (settings_.self.id < peer.vm.id)
        return true;
    return acceptsUnlisted_ && loop_.now() - peer.disconnectedSince > PEER_DIALS_FIRST_MS;
}

void PeerLinks::dial(Peer& peer)
{
    const auto link = std::make_shared<Link>();
    link->peerId = peer.vm.id;
    link->openedAt = link->lastReceivedAt = loop_.now();
    links_[peer.key] = link;
    link->socket = PeerSocket::dial(loop_, peer.vm.peer, socketHooks(link));
}

PeerSocket::Hooks PeerLinks::socketHooks(const LinkPtr& link)
{
    const std::weak_ptr<Link> weak = link;
    PeerSocket::Hooks hooks;
    hooks.onOpen = [this, weak] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->isConnected = true;
        sendHello(self);
    };
    hooks.onMessage = [this, weak](std::string_view bytes) {
        if (const auto self = weak.lock())
            onBytes(self, bytes);
    };
    hooks.onClose = [this, weak](const std::string& reason) {
        if (const auto self = weak.lock())
            drop(self, reason);
    };
    return hooks;
}

// ---- private: authentication ----

void PeerLinks::sendHello(const LinkPtr& link)
{
    link->ownNonce = observe::randomHex(NONCE_BYTES);
    Hello hello;
    hello.vm = settings_.self.id;
    hello.nonce = link->ownNonce;
    if (acceptsUnlisted_) {
        hello.dataCentre = settings_.self.dataCentre;
        hello.caller = settings_.self.caller;
        hello.peer = settings_.self.peer;
    }
    sendOn(link, hello);
}

void PeerLinks::onHello(const LinkPtr& link, const Hello& hello)
{
    const bool isKnown = acceptsUnlisted_ || peers_.count(routing::nodeKey(hello.vm)) > 0;
    const bool isExpected = link->peerId.empty() ? isKnown && hello.vm != settings_.self.id : hello.vm == link->peerId;
    if (!isExpected || !link->peerNonce.empty()) {
        reject(link, "unexpected hello");
        return;
    }
    if (acceptsUnlisted_ && !hello.peer.empty() && !documents::isDialableAddress(hello.peer)) {
        reject(link, "invalid address in hello");
        return;
    }
    link->peerId = hello.vm;
    link->peerNonce = hello.nonce;
    link->vm = { hello.vm, hello.dataCentre, hello.caller, hello.peer };
    sendOn(link, Proof { proofDigest(settings_.self.id, hello.vm, hello.nonce) });
}

void PeerLinks::onProof(const LinkPtr& link, const Proof& proof)
{
    const std::string expected = proofDigest(link->peerId, settings_.self.id, link->ownNonce);
    if (link->peerId.empty() || link->isAuthenticated || !observe::equalConstantTime(proof.digest, expected)) {
        reject(link, "invalid proof of the fleet secret");
        return;
    }
    const NodeKey key = routing::nodeKey(link->peerId);
    unauthenticated_.erase(std::remove(unauthenticated_.begin(), unauthenticated_.end(), link), unauthenticated_.end());
    const auto old = links_.find(key);
    if (old != links_.end() && old->second != link)
        drop(LinkPtr(old->second), "replaced by a newer link");
    if (acceptsUnlisted_ && !link->vm.peer.empty())
        putPeer(link->vm);
    if (peers_.count(key) == 0) {
        reject(link, "unlisted peer without an address");
        return;
    }
    link->isAuthenticated = true;
    links_[key] = link;
    Peer& peer = peers_.at(key);
    peer.isUp = true;
    peer.lastReceivedAt = loop_.now();
    hooks_.onUp(peer);
}

std::string PeerLinks::proofDigest(
    const std::string& prover, const std::string& verifier, const std::string& verifierNonce) const
{
    return observe::hmacSha256Hex(settings_.fleetSecret, "peer:" + prover + ":" + verifier + ":" + verifierNonce);
}

// ---- private: messages ----

void PeerLinks::onBytes(const LinkPtr& link, std::string_view bytes)
{
    link->lastReceivedAt = loop_.now();
    try {
        const PeerMessage message = decode(bytes);
        Traffic& traffic = received_[kindName(message)];
        ++traffic.messages;
        traffic.bytes += bytes.size();
        handle(link, message);
    } catch (const errors::PeerError& e) {
        reject(link, e.what());
    }
}

void PeerLinks::handle(const LinkPtr& link, const PeerMessage& message)
{
    if (const auto* hello = std::get_if<Hello>(&message)) {
        onHello(link, *hello);
        return;
    }
    if (const auto* proof = std::get_if<Proof>(&message)) {
        onProof(link, *proof);
        return;
    }
    if (!link->isAuthenticated) {
        reject(link, "message before authentication");
        return;
    }
    Peer& peer = peers_.at(routing::nodeKey(link->peerId));
    peer.lastReceivedAt = loop_.now();
    hooks_.onMessage(peer, message);
}

void PeerLinks::sendOn(const LinkPtr& link, const PeerMessage& message)
{
    sendBytes(link, encode(message), kindName(message));
}

void PeerLinks::sendBytes(const LinkPtr& link, const std::string& bytes, const char* kind)
{
    Traffic& traffic = sent_[kind];
    ++traffic.messages;
    traffic.bytes += bytes.size();
    link->socket->send(bytes);
}

// ---- private: closing ----

void PeerLinks::reject(const LinkPtr& link, const std::string& reason)
{
    if (hooks_.onRejected)
        hooks_.onRejected(link->peerId, reason);
    loop_.after(0, [this, link, reason] { drop(link, reason); });
}

void PeerLinks::drop(const LinkPtr& link, const std::string&)
{
    if (!link->socket)
        return;
    const auto socket = std::move(link->socket);
    closedBytes_ += socket->bytesIn() + socket->bytesOut();
    socket->close();
    unauthenticated_.erase(std::remove(unauthenticated_.begin(), unauthenticated_.end(), link), unauthenticated_.end());
    const NodeKey key = routing::nodeKey(link->peerId);
    const auto current = links_.find(key);
    if (current == links_.end() || current->second != link)
        return;
    links_.erase(current);
    Peer& peer = peers_.at(key);
    if (!peer.isUp)
        return;
    peer.isUp = false;
    peer.disconnectedSince = loop_.now();
    hooks_.onDown(peer);
}

void PeerLinks::dropUnresponsive()
{
    const loop::TimeMs now = loop_.now();
    std::vector<LinkPtr> expired;
    for (const auto& [key, link] : links_) {
        const loop::TimeMs handshakeMs = link->isConnected ? AUTH_TIMEOUT_MS : OPEN_TIMEOUT_MS;
        const loop::TimeMs timeoutMs = link->isAuthenticated ? settings_.timeouts.peerSilenceMs : handshakeMs;
        const bool isBehind = link->socket->backlog() > MAX_BACKLOG_BYTES;
        if (now - link->lastReceivedAt > timeoutMs || isBehind)
            expired.push_back(link);
    }
    for (const auto& link : unauthenticated_) {
        if (now - link->openedAt > AUTH_TIMEOUT_MS)
            expired.push_back(link);
    }
    for (const auto& link : expired)
        drop(link, "silent");
}

} // namespace goldcrestcleat::fleet
