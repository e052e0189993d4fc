#include "Crowd.h"
#include "harness/FrontRig.h"
#include "harness/Rig.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat::harness;
using nlohmann::json;

// Crowds of clients that hold memory and descriptors of a daemon: large bodies, heads and connections, most of which
// stop just short of their end and stay open. The daemon must live, stay within the memory and the descriptors of the
// smallest VM, and answer an ordinary request while the crowd is still connected.

namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr long long INSTRUMENTATION_FACTOR = 4; // for red zones, freed memory in quarantine and shadow memory
#else
constexpr long long INSTRUMENTATION_FACTOR = 1;
#endif

constexpr long long MEMORY_KIB = 160 * 1024 * INSTRUMENTATION_FACTOR; // of the smallest VM
constexpr int DESCRIPTORS = 4'100; // of the smallest VM
constexpr int FEW_DESCRIPTORS = 700; // for crowds that exceed them with few connections
constexpr int RESERVED_DESCRIPTORS = 200; // of a VM's limit, which sockets may not use
constexpr int CROWD = 1'900;
constexpr int SMALL_CROWD = 600;
constexpr int ATTEMPTS = 5; // of an ordinary caller, each on a new connection

constexpr std::size_t MAX_HEAD_BYTES = 16 * 1024;
constexpr std::size_t MAX_BODY_BYTES = 4 * 1024 * 1024;
constexpr std::size_t BODY_BYTES = 128 * 1024;
constexpr std::size_t CHUNK_BYTES = 64 * 1024;

/// Waits until a process takes no more memory: it may still be reading what a crowd has sent.
void waitForSteadyMemory(const Process& process)
{
    constexpr int STEADY_MS = 1'000;
    constexpr int POLL_MS = 100;
    constexpr int MAX_POLLS = 200;
    long long peakKib = 0;
    int steadyMs = 0;
    for (int i = 0; i < MAX_POLLS && steadyMs < STEADY_MS; ++i) {
        const long long now = peakResidentKibOf(process.pid());
        steadyMs = now > peakKib ? 0 : steadyMs + POLL_MS;
        peakKib = now;
        sleepMs(POLL_MS);
    }
}

/// Checks what must hold of a daemon while a crowd is connected.
void checkDaemon(Process& daemon, int maxDescriptors, const std::string& crowd, const std::function<bool()>& isAnswered)
{
    waitForSteadyMemory(daemon);
    const int descriptors = openDescriptorsOf(daemon.pid());
    const bool wasAnswered = isAnswered();
    const long long peakKib = peakResidentKibOf(daemon.pid());
    std::printf("%s; daemon: %lld KiB at its peak, %d descriptors\n", crowd.c_str(), peakKib, descriptors);
    cr_assert(daemon.isRunning(), "the daemon ended");
    cr_expect_leq(peakKib, MEMORY_KIB, "the daemon took %lld KiB", peakKib);
    cr_expect_leq(descriptors, maxDescriptors, "%d descriptors were open", descriptors);
    cr_expect(wasAnswered, "an ordinary request was not answered");
}

struct HostileRig : FrontRig {
    explicit HostileRig(int descriptors)
        : FrontRig(optionsFor(descriptors))
        , descriptors_(descriptors)
    {
        // The time limit must not end the crowd before it has been measured.
        configuration["limits"] = { { "headerBytes", MAX_HEAD_BYTES }, { "bodyBytes", MAX_BODY_BYTES },
            { "headerTimeoutMs", 120'000 }, { "idleTimeoutMs", 120'000 } };
        start();
    }

    /// Lets a crowd send, then checks what must hold while it is still connected.
    void bear(const std::string& address, int clients, CrowdMessage message)
    {
        Crowd crowd(address, clients, std::move(message));
        crowd.send();
        check(crowd.summary());
    }

    void check(const std::string& crowd)
    {
        checkDaemon(daemon(0), descriptors_ - RESERVED_DESCRIPTORS, crowd, [this] { return isOrdinaryCallAnswered(); });
    }

private:
    static FrontRigOptions optionsFor(int descriptors)
    {
        FrontRigOptions options;
        options.daemons = 1;
        options.engines = 1;
        options.apps = 1;
        options.settings = { { "descriptors", descriptors } };
        return options;
    }

    bool isOrdinaryCallAnswered() const
    {
        for (int i = 0; i < ATTEMPTS; ++i) {
            if (call(0, "GET", "/read/x").status == 200)
                return true;
        }
        return false;
    }

    int descriptors_;
};

/// Returns the head of a valid request whose body is framed by the given field.
std::string headWith(const std::string& framing)
{
    std::string head = "POST /read/x HTTP/1.1\r\n" + framing + "\r\n";
    for (const auto& [name, value] : FrontRig::validHeaders({}))
        head.append(name).append(": ").append(value).append("\r\n");
    return head + "\r\n";
}

CrowdMessage sizedBody(std::size_t announced, std::size_t sent, std::size_t pieceBytes = CHUNK_BYTES)
{
    const std::string head = headWith("Content-Length: " + std::to_string(announced));
    return { head, std::string(CHUNK_BYTES, 'x'), head.size() + sent, pieceBytes };
}

CrowdMessage chunkedBody(std::size_t chunkBytes, std::size_t chunks)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", chunkBytes);
    const std::string head = headWith("Transfer-Encoding: chunked");
    const std::string chunk = size + std::string(chunkBytes, 'x') + "\r\n";
    return { head, chunk, head.size() + chunks * chunk.size(), CHUNK_BYTES };
}

} // namespace

Test(hostile_clients, large_bodies_that_stop_short_of_their_end, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    rig.bear(rig.callerAddress(0), CROWD, sizedBody(BODY_BYTES, BODY_BYTES - 1));
}

Test(hostile_clients, large_bodies_in_small_pieces_that_stop_short_of_their_end, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    rig.bear(rig.callerAddress(0), CROWD, sizedBody(BODY_BYTES, BODY_BYTES - 1, 4'096));
}

Test(hostile_clients, chunked_bodies_in_large_chunks_without_an_end, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    rig.bear(rig.callerAddress(0), CROWD, chunkedBody(CHUNK_BYTES, 2));
}

Test(hostile_clients, chunked_bodies_in_tiny_chunks_without_an_end, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    rig.bear(rig.callerAddress(0), CROWD, chunkedBody(1, 2'000));
}

Test(hostile_clients, bodies_announced_far_over_the_limit, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    rig.bear(rig.callerAddress(0), CROWD, sizedBody(1'000 * MAX_BODY_BYTES, BODY_BYTES));
}

Test(hostile_clients, bodies_of_no_stated_length_far_over_the_limit, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    rig.bear(rig.callerAddress(0), 100, chunkedBody(CHUNK_BYTES, 3 * MAX_BODY_BYTES / CHUNK_BYTES));
}

Test(hostile_clients, the_largest_bodies_that_stop_short_of_their_end, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    rig.bear(rig.callerAddress(0), 100, sizedBody(MAX_BODY_BYTES, MAX_BODY_BYTES - 1));
}

Test(hostile_clients, the_largest_bodies_complete, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    rig.bear(rig.callerAddress(0), 100, sizedBody(MAX_BODY_BYTES, MAX_BODY_BYTES));
}

Test(hostile_clients, heads_without_an_end, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    const std::string head = "POST /read/x HTTP/1.1\r\nX-Fill: ";
    rig.bear(rig.callerAddress(0), CROWD, { head, std::string(1'024, 'x'), MAX_HEAD_BYTES - 1, 1'024 });
}

Test(hostile_clients, more_unfinished_requests_than_connections, .timeout = 100)
{
    HostileRig rig(FEW_DESCRIPTORS);
    rig.bear(rig.callerAddress(0), SMALL_CROWD, sizedBody(1'000, 999));
}

Test(hostile_clients, large_bodies_at_the_entry_address, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    rig.bear(rig.entryAddress(0), 400, sizedBody(1024 * 1024, 1024 * 1024 - 1));
}

Test(hostile_clients, large_bodies_at_the_readiness_address, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    rig.bear(rig.readinessAddress(0), 400, sizedBody(1024 * 1024, 1024 * 1024 - 1));
}

Test(hostile_clients, large_bodies_at_the_metrics_address, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    rig.bear(rig.metricsAddress(0), 400, sizedBody(1024 * 1024, 1024 * 1024 - 1));
}

Test(hostile_clients, unfinished_requests_at_the_entry_address, .timeout = 100)
{
    HostileRig rig(FEW_DESCRIPTORS);
    rig.bear(rig.entryAddress(0), SMALL_CROWD, sizedBody(1'000, 999));
}

Test(hostile_clients, bytes_that_are_no_message_at_the_peers_address, .timeout = 100)
{
    HostileRig rig(FEW_DESCRIPTORS);
    rig.bear(
        rig.peerAddress(0), SMALL_CROWD, { "GET / HTTP/1.1\r\nHost: x\r\nX: ", std::string(1'024, 'x'), 512 * 1024 });
}

Test(hostile_clients, messages_of_strangers_at_the_peers_address_that_stop_short_of_their_end, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    const std::string upgrade = "GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                                "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    const std::string frame("\x82\xff\0\0\0\0\0\x0f\0\0\0\0\0\0", 14); // binary, masked, 983,040 bytes
    constexpr std::size_t PAYLOAD_BYTES = 983'040;
    const std::string head = upgrade + frame;
    rig.bear(rig.peerAddress(0), 400, { head, std::string(CHUNK_BYTES, 'x'), head.size() + PAYLOAD_BYTES - 1 });
}

Test(hostile_clients, several_crowds_at_once, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    Crowd bodies(rig.callerAddress(0), CROWD / 2, sizedBody(BODY_BYTES, BODY_BYTES - 1));
    Crowd chunks(rig.callerAddress(0), CROWD / 2, chunkedBody(CHUNK_BYTES, 2));
    Crowd entry(rig.entryAddress(0), 200, sizedBody(1024 * 1024, 1024 * 1024 - 1));
    Crowd readiness(rig.readinessAddress(0), 200, sizedBody(1024 * 1024, 1024 * 1024 - 1));
    for (Crowd* crowd : { &bodies, &chunks, &entry, &readiness })
        crowd->send();
    rig.check("four crowds");
}

Test(hostile_clients, a_single_request_of_the_largest_size_is_served, .timeout = 100)
{
    HostileRig rig(DESCRIPTORS);
    const Headers length = { { "Content-Type", "text/plain" } };
    cr_assert_eq(rig.call(0, "POST", "/read/x", length, std::string(MAX_BODY_BYTES, 'x')).status, 200);
}

/// Crowds at a daemon of the product's own interface.
struct NativeRig : Rig {
    NativeRig()
        : Rig(options())
    {
        start();
    }

    void bear(const std::string& address, int clients, CrowdMessage message)
    {
        Crowd crowd(address, clients, std::move(message));
        crowd.send();
        checkDaemon(daemon(0), DESCRIPTORS - RESERVED_DESCRIPTORS, crowd.summary(), [this] {
            for (int i = 0; i < ATTEMPTS; ++i) {
                if (callService(0, "GET", "/v1/services/" + serviceId(0) + "/x", "").status == 200)
                    return true;
            }
            return false;
        });
    }

private:
    static RigOptions options()
    {
        RigOptions options;
        options.daemons = 1;
        options.engines = 1;
        options.services = 1;
        options.settings = { { "timeouts", { { "requestReadMs", 120'000 } } } };
        return options;
    }
};

Test(hostile_clients, large_bodies_at_the_native_interface, .timeout = 100)
{
    NativeRig rig;
    rig.bear(rig.callerAddress(0), 400, sizedBody(1024 * 1024, 1024 * 1024 - 1));
}

Test(hostile_clients, large_bodies_at_the_admin_address, .timeout = 100)
{
    NativeRig rig;
    rig.bear(rig.adminAddress(0), 400, sizedBody(1024 * 1024, 1024 * 1024 - 1));
}
