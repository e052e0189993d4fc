#include "Rig.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>

namespace review {

using nlohmann::json;

namespace {

    constexpr const char* HOST = "shop.example";
    constexpr std::int64_t CONNECT_MS = 1'000; // that clients allow a new connection
    constexpr std::int64_t START_MS = 15'000;
    constexpr unsigned LONGEST_RUN_S = 118;

    void onAlarm(int) { _exit(NOT_RUN); }

} // namespace

// ---- Options, Record ----

Options Options::parse(int argc, char** argv)
{
    Options options;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string name = argv[i];
        (name == "--root" ? options.root : options.recordPath) = argv[i + 1];
    }
    const char* trouble = std::getenv("TROUBLE");
    options.hasTrouble = !trouble || std::string(trouble) != "0";
    return options;
}

Record::Record(const std::string& path)
    : file_(path)
{
}

void Record::line(const std::string& text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << nowMs() << " " << text << std::endl;
}

// ---- Daemon ----

Daemon::Daemon(Record& record, const Options& options, const Store& store, int index, std::string folder)
    : record_(record)
    , root_(options.root)
    , index_(index)
    , folder_(std::move(folder))
{
    const std::string name = "front-" + std::to_string(index);
    settingsPath_ = folder_ + "/" + name + ".json";
    // Rendered as deploy/settings.json.template, with the bounds of the site kcb-courts.
    const json settings = { { "vm", name }, { "dataCentre", "kochi-a" }, { "callerAddress", caller_ },
        { "readinessAddress", readiness_ }, { "entryAddress", entry_ }, { "peerAddress", newAddress() },
        { "metricsAddress", newAddress() }, { "storeAddress", store.address(index) }, { "descriptors", 6150 },
        { "bounds",
            { { "upstreamLeavesMs", 2000 }, { "stopGraceS", 8 }, { "retryRatio", 0.2 }, { "retryExtra", 58 },
                { "retryWindowS", 10 }, { "loadFactor", 2 }, { "longestEntryTtlS", 5 }, { "entryTtlS", 2 } } } };
    std::ofstream(settingsPath_) << settings.dump(4);
}

Daemon::~Daemon() { kill(); }

void Daemon::start()
{
    const std::string logPath = log();
    pid_ = fork();
    if (pid_ == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int file = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(file, STDOUT_FILENO);
        dup2(file, STDERR_FILENO);
        setenv("GOLDCRESTCLEAT_BOOT", settingsPath_.c_str(), 1);
        if (chdir(root_.c_str()) == 0)
            execl("target/goldcrestcleat", "target/goldcrestcleat", "front", nullptr);
        _exit(127);
    }
    record_.line("daemon " + std::to_string(index_) + " is started");
}

void Daemon::signal(int number) const
{
    record_.line("daemon " + std::to_string(index_) + " gets signal " + std::to_string(number));
    ::kill(pid_, number);
}

void Daemon::kill()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

bool Daemon::waitForExit(std::int64_t timeoutMs)
{
    const std::int64_t endAt = nowMs() + timeoutMs;
    do {
        if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = -1;
            return true;
        }
        sleepMs(10);
    } while (nowMs() < endAt);
    return false;
}

bool Daemon::isReady() const
{
    Socket socket;
    Message answer;
    return socket.connect(readiness_, CONNECT_MS)
        && socket.send("GET /goldcrestcleat/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
        && socket.readMessage(answer, nowMs() + CONNECT_MS) && answer.status() == 200;
}

std::size_t Daemon::entryAddresses() const
{
    Socket socket;
    Message answer;
    const std::string request = std::string("GET /goldcrestcleat/resolve?name=") + HOST
        + "&region=kerala&zone=kochi-a HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n";
    if (!socket.connect(entry_, CONNECT_MS) || !socket.send(request)
        || !socket.readMessage(answer, nowMs() + CONNECT_MS) || answer.status() != 200)
        return 0;
    return json::parse(answer.body).at("addresses").size();
}

std::string Daemon::log() const { return folder_ + "/front-" + std::to_string(index_) + ".log"; }

long long Daemon::residentKib() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string word;
    while (file >> word) {
        long long kib = 0;
        if (word == "VmRSS:" && file >> kib)
            return kib;
    }
    return 0;
}

// ---- Client ----

std::string Outcome::text() const
{
    std::ostringstream out;
    out << id << " sent at " << sentAt << ", ended at " << endedAt << ": ";
    if (status == 0)
        out << "no answer";
    else
        out << "status " << status << (isSealed ? ", sealed" : "") << (isComplete ? ", complete" : ", NOT COMPLETE");
    if (!events.empty())
        out << ", last event " << events.back();
    if (!retryAfter.empty())
        out << ", Retry-After " << retryAfter;
    return out.str();
}

Outcome Client::call(const Call& call)
{
    Outcome outcome;
    outcome.id = newRequestId();
    outcome.sentAt = nowMs();
    const std::int64_t deadlineMs = outcome.sentAt + call.deadlineMs;
    if (!socket_.isOpen() || socket_.isAtEnd()) {
        answered_ = 0;
        if (!socket_.connect(address_, CONNECT_MS)) {
            outcome.endedAt = nowMs();
            return outcome;
        }
    }
    Fields fields = { { "Host", HOST }, { "Request-Id", outcome.id },
        { "Request-Deadline", std::to_string(call.deadlineMs) }, { "Api-Key", call.key } };
    if (!call.prompt.empty()) {
        fields.emplace_back("Model", "m");
        fields.emplace_back("Token-Usage", "1460,80");
        fields.emplace_back("Prompt-Prefix", call.prompt);
    }
    if (call.method == "POST")
        fields.emplace_back("Content-Length", "0");
    outcome.sentAt = nowMs();
    if (socket_.send(serialize(call.method + " " + call.path + " HTTP/1.1", fields, "")))
        readAnswer(outcome, deadlineMs);
    outcome.endedAt = nowMs();
    if (outcome.isComplete)
        ++answered_;
    else
        socket_.close();
    return outcome;
}

void Client::readAnswer(Outcome& outcome, std::int64_t deadlineMs)
{
    Message head;
    if (!socket_.readHead(head, deadlineMs))
        return;
    outcome.status = head.status();
    outcome.isSealed = !head.field("Server-Seal").empty();
    outcome.retryAfter = head.field("Retry-After");
    const bool mustClose = head.field("Connection") == "close";
    if (head.field("Transfer-Encoding") == "chunked") {
        std::string part;
        std::string text;
        while (!outcome.isComplete && socket_.readChunk(part, deadlineMs)) {
            outcome.isComplete = part.empty();
            text += part;
            for (auto end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n")) {
                const auto id = text.find("id: ");
                if (id < end)
                    outcome.events.push_back(std::atoi(text.c_str() + id + 4));
                text.erase(0, end + 2);
            }
        }
    } else {
        outcome.isComplete = socket_.readExactly(
            std::strtoul(head.field("Content-Length").c_str(), nullptr, 10), head.body, deadlineMs);
    }
    if (mustClose) {
        socket_.close();
        answered_ = 0;
    }
}

// ---- Rig ----

json makeRoute(const std::string& prefix, const std::string& kind, const std::string& service)
{
    return { { "name", "r-" + prefix.substr(1, prefix.size() - 2) }, { "host", HOST }, { "prefix", prefix },
        { "kind", kind }, { "service", service }, { "timeoutMs", 15'000 }, { "goalMs", 400 }, { "attempts", 1 },
        { "priority", 1 }, { "noAuth", false }, { "sticky", kind == "streaming" }, { "resumable", false },
        { "gapTargetMs", 400 } };
}

Rig::Rig(const Options& options, int daemons)
    : options_(options)
    , record_(options.recordPath)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGALRM, onAlarm);
    alarm(LONGEST_RUN_S);
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
    store_ = std::make_unique<Store>(record_, daemons);
    for (int i = 0; i < daemons; ++i)
        daemons_.push_back(std::make_unique<Daemon>(record_, options, *store_, i, folder_));
}

Rig::~Rig()
{
    daemons_.clear();
    servers_.clear();
    store_.reset();
    if (std::getenv("KEEP"))
        std::cout << "logs in " << folder_ << "\n";
    else
        std::filesystem::remove_all(folder_);
}

Server& Rig::addServer(const std::string& name, const Server::Settings& settings, Server::Handler handler)
{
    servers_.push_back(std::make_unique<Server>(record_, *store_, name, settings, std::move(handler)));
    return *servers_.back();
}

bool Rig::start(const json& routes)
{
    json services = json::array();
    for (const auto& route : routes)
        services.push_back({ { "name", route.at("service") }, { "healthPath", "/health" }, { "maxConns", 500 } });
    const json configuration = { { "version", 7 }, { "routes", routes }, { "services", services },
        { "tenants",
            { { { "name", "tenant-1" }, { "apiKeys", { "key-1" } } },
                { { "name", "tenant-2" }, { "apiKeys", { "key-2" } } } } },
        { "limits",
            { { "headerBytes", 16'384 }, { "bodyBytes", 4'194'304 }, { "headerTimeoutMs", 10'000 },
                { "idleTimeoutMs", 60'000 } } } };
    store_->put("op", "config", configuration.dump());
    for (const auto& daemon : daemons_)
        daemon->start();
    const std::int64_t endAt = nowMs() + START_MS;
    const auto isComplete = [this] {
        for (const auto& daemon : daemons_) {
            if (!daemon->isReady() || daemon->entryAddresses() != daemons_.size())
                return false;
        }
        return true;
    };
    while (!isComplete()) {
        if (nowMs() > endAt)
            return false;
        sleepMs(50);
    }
    record_.line("all daemons are ready");
    return true;
}

int Rig::finish(Verdict verdict, const std::string& text)
{
    record_.line(text);
    std::cout << text << std::endl;
    return verdict;
}

} // namespace review
