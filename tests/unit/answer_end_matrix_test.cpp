#include "ForkedServer.h"
#include "RoutedFixture.h"
#include "TcpPeer.h"

using namespace testing;

// Each way in which a connection to a server can end, at each moment of an answer, in each framing: what looks complete
// to the caller (ORDER, MIXED).

namespace {

constexpr int SMALL_BUFFER_BYTES = 8 * 1024;
constexpr std::size_t BUFFERED_BODY_BYTES = 200'000; // which waits in the system, since the server does not read it
constexpr std::size_t LARGE_BODY_BYTES = 5'000'000; // more than the system buffers for a connection
constexpr int END_DELAY_ITERATIONS = 10; // of the loop, in which the daemon reads the answer
constexpr int LAST_EVENT = 3;

enum class Framing { Length, Chunks, None };

/// What a server has sent of its answer before the connection ends.
enum class Moment {
    BeforeHead,
    WithinHead,
    BeforeFirstEvent,
    WithinEvent,
    BetweenEvents,
    AfterLastEvent,
    WithinLastChunkLine, ///< of chunks only
    AfterLastChunk ///< of chunks only
};

enum class End {
    Fin, ///< all input was read
    HalfClose,
    Reset,
    ResetBehindUnread, ///< closed with unread input
    Killed, ///< the process of the server
    Dark ///< the machine of the server
};

struct Cell {
    Framing framing;
    Moment moment;
    End end;
    bool isStream;
    std::size_t requestBytes; ///< if not 0, the request is still being written when the connection ends
    bool isRunning; ///< the server accepts connections after the end
};

std::string describe(const Cell& cell)
{
    static const char* const framings[] = { "length", "chunks", "none" };
    static const char* const moments[]
        = { "before the head", "within the head", "before the first event", "within an event", "between events",
              "after the last event", "within the last chunk line", "after the last chunk" };
    static const char* const ends[] = { "FIN", "half-close", "reset", "reset behind unread input", "killed", "dark" };
    return std::string(framings[static_cast<int>(cell.framing)]) + ", " + moments[static_cast<int>(cell.moment)] + ", "
        + ends[static_cast<int>(cell.end)] + (cell.isStream ? ", stream" : ", call") + ", "
        + std::to_string(cell.requestBytes) + " bytes" + (cell.isRunning ? ", running" : ", gone");
}

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: part " + std::to_string(id) + "\n\n"; }

std::string events(int last)
{
    std::string text;
    for (int id = 1; id <= last; ++id)
        text += event(id);
    return text;
}

/// Returns the number of events that were sent completely.
int sentEvents(Moment moment)
{
    if (moment < Moment::WithinEvent)
        return 0;
    if (moment == Moment::WithinEvent)
        return 1;
    return moment == Moment::BetweenEvents ? 2 : LAST_EVENT;
}

/// Returns what the server sends before its connection ends.
std::string sentBytes(const Cell& cell)
{
    if (cell.moment == Moment::BeforeHead)
        return "";
    std::string bytes = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n";
    if (cell.framing == Framing::Length)
        bytes += "Content-Length: " + std::to_string(events(LAST_EVENT).size()) + "\r\n";
    if (cell.framing == Framing::Chunks)
        bytes += "Transfer-Encoding: chunked\r\n";
    if (cell.moment == Moment::WithinHead)
        return bytes;
    bytes += "\r\n";
    for (int id = 1; id <= sentEvents(cell.moment) + (cell.moment == Moment::WithinEvent ? 1 : 0); ++id) {
        const bool isCut = id > sentEvents(cell.moment);
        const std::string part = isCut ? event(id).substr(0, event(id).size() / 2) : event(id);
        std::ostringstream size;
        size << std::hex << event(id).size() << "\r\n";
        const bool isChunk = cell.framing == Framing::Chunks;
        bytes += (isChunk ? size.str() : "") + part + (isChunk && !isCut ? "\r\n" : "");
    }
    if (cell.moment == Moment::WithinLastChunkLine)
        bytes += "0\r";
    if (cell.moment == Moment::AfterLastChunk)
        bytes += "0\r\n\r\n";
    return bytes;
}

bool isPossible(const Cell& cell)
{
    if (cell.framing != Framing::Chunks && cell.moment >= Moment::WithinLastChunkLine)
        return false;
    // The system turns the close of a connection with unread input into a reset.
    return !(cell.requestBytes > 0 && cell.end == End::Fin);
}

/// An orderly end of the connection, after which all bytes that were sent have arrived.
bool isOrderly(const Cell& cell) { return cell.end == End::Fin || cell.end == End::HalfClose; }

/// A running server that ends an answer without a length too early, at a point that could be its end.
bool isLikeAnEnd(const Cell& cell)
{
    if (cell.framing != Framing::None || !isOrderly(cell) || !cell.isRunning)
        return false;
    if (cell.moment < Moment::BeforeFirstEvent || cell.moment >= Moment::AfterLastEvent)
        return false;
    return !cell.isStream || cell.moment == Moment::BetweenEvents;
}

/// The rule: an answer is complete if its framing says so, or, where nothing but the connection ends it, if a server
/// that goes on running has sent all of it and ended it.
bool isComplete(const Cell& cell)
{
    switch (cell.framing) {
    case Framing::Length:
        return cell.moment == Moment::AfterLastEvent;
    case Framing::Chunks:
        return cell.moment == Moment::AfterLastChunk;
    case Framing::None:
        break;
    }
    return cell.moment == Moment::AfterLastEvent && isOrderly(cell) && cell.isRunning;
}

/// Runs a step in a later iteration of the loop, after the daemon had time to read.
void afterIterations(loop::EventLoop& loop, int count, const std::function<void()>& step)
{
    loop.after(1, [&loop, count, step] { count > 1 ? afterIterations(loop, count - 1, step) : step(); });
}

/// Repeats a step once an iteration until it returns true.
void repeat(loop::EventLoop& loop, const std::function<bool()>& step)
{
    loop.after(1, [&loop, step] {
        if (!step())
            repeat(loop, step);
    });
}

void endConnection(TcpPeer& peer, const Cell& cell)
{
    if (!cell.isRunning)
        peer.stopListening();
    if (cell.end == End::HalfClose)
        peer.shutdownOutput();
    else if (cell.end == End::Reset)
        peer.reset();
    else if (cell.end == End::Dark)
        peer.goDark();
    else
        peer.close();
}

/// Lets the peer serve one request and then end the connection.
void serve(RoutedFixture& f, TcpPeer& peer, const Cell& cell)
{
    repeat(f.loop, [&f, &peer, cell, isAccepted = false]() mutable {
        isAccepted = isAccepted || peer.tryAccept();
        if (!isAccepted || !peer.hasInput())
            return false;
        if (cell.requestBytes == 0 && cell.end != End::ResetBehindUnread)
            peer.receive();
        peer.send(sentBytes(cell));
        afterIterations(f.loop, END_DELAY_ITERATIONS, [&peer, cell] { endConnection(peer, cell); });
        return true;
    });
}

void killAfterAnswer(RoutedFixture& f, ForkedServer& server)
{
    repeat(f.loop, [&f, &server] {
        if (!server.hasAnswered())
            return false;
        afterIterations(f.loop, END_DELAY_ITERATIONS, [&server] { server.kill(); });
        return true;
    });
}

RoutedFixture::Answer run(const Cell& cell)
{
    http::Limits requestLimits;
    requestLimits.bodyBytes = LARGE_BODY_BYTES;
    RoutedFixture f(http::Limits(), requestLimits);
    f.route.kind = cell.isStream ? routes::CallKind::Stream : routes::CallKind::NonIdempotent;
    f.route.goalMs = f.route.maxPauseMs = 3'000; // so that no server is taken to be silent
    f.configure();
    const std::string body(cell.requestBytes, 'x');
    if (cell.end == End::Killed) {
        ForkedServer server([&cell](const std::string&) { return sentBytes(cell); });
        f.addServerAt("only", server.address());
        killAfterAnswer(f, server);
        return f.call({}, body);
    }
    TcpPeer peer(cell.requestBytes > 0 ? SMALL_BUFFER_BYTES : 0);
    f.addServerAt("only", peer.address());
    serve(f, peer, cell);
    return f.call({}, body);
}

/// Returns what is wrong with the answer that the caller got; empty if nothing is.
std::string findFault(const Cell& cell, const RoutedFixture::Answer& answer)
{
    const bool looksComplete = answer.status == 200 && answer.isComplete;
    if (looksComplete != isComplete(cell))
        return looksComplete ? "looks complete" : "does not look complete, status " + std::to_string(answer.status);
    const int count = cell.isStream || looksComplete ? sentEvents(cell.moment) : 0;
    if (answer.status == 200 && answer.body != events(count))
        return "wrong events: " + answer.body;
    if (answer.status != 200 && cell.isStream && count > 0)
        return "events were not passed on, status " + std::to_string(answer.status);
    return "";
}

/// Checks all cells with the given ends.
void check(const std::vector<End>& ends, std::size_t requestBytes, const std::vector<Moment>& moments)
{
    int count = 0;
    std::string faults;
    for (const auto framing : { Framing::Length, Framing::Chunks, Framing::None }) {
        for (const auto moment : moments) {
            for (const auto end : ends) {
                for (const int variant : { 0, 1, 2, 3 }) {
                    const Cell cell { framing, moment, end, variant % 2 == 0, requestBytes, variant < 2 };
                    const bool isTooMany = !isOrderly(cell) && cell.isRunning == (end == End::Killed);
                    if (!isPossible(cell) || isLikeAnEnd(cell) || isTooMany)
                        continue;
                    ++count;
                    const std::string fault = findFault(cell, run(cell));
                    if (!fault.empty())
                        faults += describe(cell) + ": " + fault + "\n";
                }
            }
        }
    }
    cr_assert(faults.empty(), "%s", faults.c_str());
    cr_assert_gt(count, 0);
}

const std::vector<Moment> ALL_MOMENTS
    = { Moment::BeforeHead, Moment::WithinHead, Moment::BeforeFirstEvent, Moment::WithinEvent, Moment::BetweenEvents,
          Moment::AfterLastEvent, Moment::WithinLastChunkLine, Moment::AfterLastChunk };

} // namespace

/// Guards against an answer that is cut short and looks complete, and against a whole one without a length that does
/// not.
Test(answer_end_matrix, only_a_whole_answer_that_its_server_ended_looks_complete, .timeout = 120)
{
    check({ End::Fin, End::HalfClose, End::Reset, End::ResetBehindUnread }, 0, ALL_MOMENTS);
}

/// Guards against taking the failure of a waiting write for the end of an early answer, and losing a whole one.
Test(answer_end_matrix, an_early_answer_beside_its_request_looks_complete_only_if_it_is_whole, .timeout = 120)
{
    for (const std::size_t requestBytes : { BUFFERED_BODY_BYTES, LARGE_BODY_BYTES })
        check({ End::HalfClose, End::Reset, End::ResetBehindUnread }, requestBytes, ALL_MOMENTS);
}

/// Guards against taking the end of a process, whose connections the system closes, for the end of its answer.
Test(answer_end_matrix, the_answer_of_a_killed_process_looks_complete_only_if_its_framing_ended_it, .timeout = 120)
{
    for (const std::size_t requestBytes : { std::size_t(0), LARGE_BODY_BYTES })
        check({ End::Killed }, requestBytes, ALL_MOMENTS);
}

/// Guards against taking a connection that the system gave up while output waits for the end of an answer.
Test(answer_end_matrix, a_machine_that_goes_dark_during_the_request_does_not_end_an_early_answer, .timeout = 120)
{
    for (const std::size_t requestBytes : { BUFFERED_BODY_BYTES, LARGE_BODY_BYTES })
        check({ End::Dark }, requestBytes, { Moment::AfterLastEvent });
}
