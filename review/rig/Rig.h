#pragma once

#include "Http.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace review {

/// The command line and the environment of a script.
struct Options {
    std::string root; ///< the repository
    std::string recordPath;
    bool hasTrouble = true; ///< false with TROUBLE=0

    static Options parse(int argc, char** argv);
};

/// Exit codes of a script.
enum Verdict { HELD = 0, BROKEN = 1, NOT_RUN = 2 };

/// The lines that a script writes for its reader. Each begins with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// The platform's store: versioned rows of tables with a feed of changes.
///
/// Each daemon has an address of its own, so that one of them can be cut off from the store.
class Store {
public:
    Store(Record& record, int daemons);
    ~Store();

    const std::string& address(int daemon) const { return doors_.at(static_cast<std::size_t>(daemon))->address; }

    /// Writes or removes a row and returns the time of the acknowledgement.
    std::int64_t put(const std::string& table, const std::string& key, const std::string& text);
    std::int64_t remove(const std::string& table, const std::string& key);

    /// Cuts a daemon off: nothing that it sends arrives, nothing is sent to it, and nothing is reset.
    void setCut(int daemon, bool isCut);

    /// Returns the daemons that have a watch open which waits for changes, and so seem to lead.
    std::vector<int> watchers();

    bool hasAnswered(int daemon) const { return doors_.at(static_cast<std::size_t>(daemon))->answers > 0; }

private:
    using Name = std::pair<std::string, std::string>; // table and key

    struct Row {
        std::string value; // base64
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    struct Door {
        std::string address;
        int listener = -1;
        std::atomic<bool> isCut { false };
        std::atomic<int> answers { 0 };
        std::atomic<std::int64_t> lastWatchAt { -1'000'000 };
        std::thread thread;
    };

    void acceptAll(Door& door);
    void serve(Door& door, int descriptor);
    std::string answer(Door& door, const Message& request, int& status);
    std::string readTable(const Message& request);
    std::string feed(Door& door, const Message& request);
    std::string transact(const Message& request, int& status);
    std::string rowJson(const Name& name, const Row& row) const;
    void set(const Name& name, const std::string& value, bool isRemoved);

    Record& record_;
    std::vector<std::unique_ptr<Door>> doors_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Name, Row> rows_;
    std::vector<std::pair<Name, Row>> history_;
    std::uint64_t version_ = 1;
    std::atomic<bool> isStopping_ { false };
    std::atomic<int> open_ { 0 };
};

/// A request that a server received, and its connection.
struct Arrival {
    const Message& request;
    Socket& socket;
    std::int64_t at = 0;
    std::string id; ///< Request-Id
    int incarnation = 0; ///< of the server
};

/// A server of a service as the platform's pages describe it: it registers itself, keeps its entry fresh, and runs only
/// requests that expect this instance.
class Server {
public:
    /// Answers a request. Returns false if the connection must close.
    using Handler = std::function<bool(Server&, Arrival&)>;

    struct Settings {
        std::string service = "assistant";
        std::string zone = "kochi-a";
        int slots = 96;
        bool isEngine = true;
    };

    Server(Record& record, Store& store, std::string name, Settings settings, Handler handler);
    ~Server();

    const std::string& name() const { return name_; }
    std::string id() const;
    int incarnation() const { return incarnation_; }

    /// Ends the process at once, with a reset of its connections; it is back after a time as another instance.
    void crash(std::int64_t downMs);

    /// Removes the entry; the server continues to serve. Returns the time of the acknowledgement.
    std::int64_t unregister();

    /// Ends the server for good.
    void exit();

    /// Sleeps; returns false as soon as this instance has ended.
    bool sleepWhileAlive(int incarnation, std::int64_t ms) const;

    /// Returns whether this instance still runs.
    bool isAlive(int incarnation) const { return isUp_ && incarnation == incarnation_; }

    /// Fields of each answer that comes from this server.
    Fields sealedFields(const Arrival& arrival) const;

    /// Answers with a status and a body.
    bool reply(Arrival& arrival, const std::string& status, Fields fields, const std::string& body);

    /// Rejects a request that was not run, as a full server does.
    bool shed(Arrival& arrival);

    /// Begins to write the answer to a request, then crashes.
    bool beginAndCrash(Arrival& arrival, std::int64_t downMs);

    /// Streams numbered events. `pauseMs` returns the time before an event.
    bool stream(Arrival& arrival, int events, const std::function<std::int64_t(int event)>& pauseMs);

private:
    static std::string streamHead(Fields fields);
    void start();
    void run();
    void stopListening() const;
    void stopConnections();
    void serve(const std::shared_ptr<Socket>& socket, int incarnation);
    void registerEntry();
    void removeExpiredEntries();

    Record& record_;
    Store& store_;
    std::string name_;
    Settings settings_;
    Handler handler_;
    std::string address_;
    mutable std::mutex mutex_;
    std::string id_;
    std::int64_t born_ = 0;
    int seq_ = 0;
    bool isRegistered_ = false;
    std::list<std::weak_ptr<Socket>> sockets_;
    std::list<std::pair<std::int64_t, std::string>> expiring_; // when the entries of crashed instances are removed
    std::atomic<int> listener_ { -1 };
    std::atomic<int> incarnation_ { 0 };
    std::atomic<bool> isUp_ { false };
    std::atomic<std::int64_t> startAt_ { 0 }; // 0 while it runs or has ended for good
    std::atomic<bool> isStopping_ { false };
    std::atomic<int> open_ { 0 };
    std::thread thread_;
};

/// A daemon, started with the command of the deploy file and settings rendered like its template.
class Daemon {
public:
    Daemon(Record& record, const Options& options, const Store& store, int index, std::string folder);
    ~Daemon();

    void start();
    void signal(int number) const;

    /// Kills the process and waits for its end.
    void kill();

    /// Waits for the end of the process; returns false if it still runs.
    bool waitForExit(std::int64_t timeoutMs);

    bool isReady() const;

    /// Returns the addresses that it names to clients.
    std::size_t entryAddresses() const;

    const std::string& caller() const { return caller_; }
    std::string log() const;
    long long residentKib() const;
    int index() const { return index_; }

private:
    Record& record_;
    std::string root_;
    int index_;
    std::string folder_;
    std::string caller_ = newAddress();
    std::string readiness_ = newAddress();
    std::string entry_ = newAddress();
    std::string settingsPath_;
    pid_t pid_ = -1;
};

/// What a client saw of one request.
struct Outcome {
    std::string id;
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    int status = 0; ///< 0 if the connection ended before the head of an answer
    bool isSealed = false;
    bool isComplete = false; ///< the whole answer arrived
    std::vector<int> events;
    std::string retryAfter;

    std::string text() const;
};

/// A client's request of a route.
struct Call {
    std::string method = "POST";
    std::string path;
    std::string key = "key-1";
    std::string prompt; ///< empty for a plain service
    std::int64_t deadlineMs = 15'000;
};

/// A client with one connection, which it keeps as long as it may.
class Client {
public:
    explicit Client(std::string address)
        : address_(std::move(address))
    {
    }

    /// Sends a request and waits for its answer. Sends it on the kept connection if there is one.
    Outcome call(const Call& call);

    /// Requests that were answered on the current connection.
    int answeredHere() const { return answered_; }

    void close() { socket_.close(); }

private:
    void readAnswer(Outcome& outcome, std::int64_t deadlineMs);

    std::string address_;
    Socket socket_;
    int answered_ = 0;
};

std::string newRequestId();

/// Returns a route of a configuration, as the pages show it.
nlohmann::json makeRoute(const std::string& prefix, const std::string& kind, const std::string& service);

/// The deployment of a script: store, servers and daemons. Ends everything that it started.
class Rig {
public:
    Rig(const Options& options, int daemons);
    ~Rig();

    Record& record() { return record_; }
    Store& store() { return *store_; }
    Daemon& daemon(std::size_t index) { return *daemons_.at(index); }
    std::size_t daemons() const { return daemons_.size(); }
    Server& addServer(const std::string& name, const Server::Settings& settings, Server::Handler handler);
    Server& server(std::size_t index) { return *servers_.at(index); }

    /// Publishes the configuration, starts the daemons and waits until all are ready and know each other.
    bool start(const nlohmann::json& routes);

    /// Prints the verdict and returns the exit code.
    int finish(Verdict verdict, const std::string& text);

private:
    Options options_;
    Record record_;
    std::string folder_;
    std::unique_ptr<Store> store_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
};

} // namespace review
