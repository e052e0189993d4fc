#include "goldcrestcleat/fleet/PeerMessages.h"

#include "goldcrestcleat/fleet/Compression.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace goldcrestcleat::fleet {

using nlohmann::json;

namespace {

    // A message's type is the index of its alternative in the variant.

    json toArray(const Hello& m)
    {
        json array = { m.vm, m.nonce };
        if (!m.peer.empty())
            array.insert(array.end(), { m.dataCentre, m.caller, m.peer });
        return array;
    }

    json toArray(const Proof& m) { return json::array({ m.digest }); }
    json toArray(const ReleaseTicket& m) { return { m.ticket, m.engine }; }
    json toArray(const HeldTickets& m) { return { m.engine, m.tickets }; }
    json toArray(const MoveRequest& m) { return json::array({ m.engine }); }
    json toArray(const RememberChat& m) { return { m.chat, m.engine }; }

    constexpr double HUNDREDTHS = 100;
    constexpr double TENTHS = 10;
    constexpr std::size_t MIN_COMPRESSED_BYTES = 1024; // smaller rows gain little
    constexpr std::size_t MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024;

    std::int64_t toHundredths(double value) { return std::max<std::int64_t>(1, std::llround(value * HUNDREDTHS)); }

    json toArray(const AcquireTicket& m)
    {
        json array
            = { m.ticket, m.engine, m.workspace, toHundredths(m.cost), toHundredths(m.weight), m.waitMs, m.suspect };
        if (m.lookupChat != 0)
            array.push_back(m.lookupChat);
        return array;
    }

    json toArray(const TicketReply& m)
    {
        json array = { m.ticket, m.granted, m.load };
        if (m.rememberedEngine != routing::NO_NODE)
            array.push_back(m.rememberedEngine);
        return array;
    }

    json toArray(const DaemonState& m)
    {
        return { (m.ready ? 1 : 0) | (m.leaving ? 2 : 0), m.configDigest, m.engines };
    }

    json toArray(const EngineLoads& m)
    {
        json array = json::array();
        for (const auto& [slot, load] : m.loads) {
            array.push_back(slot);
            array.push_back(load);
        }
        return array;
    }

    json toArray(const CrashReports& m)
    {
        json array = json::array();
        for (const auto& r : m.reports)
            array.push_back(
                { r.crashId, r.host, static_cast<int>(r.stage), r.isIsolated, r.ageMs, r.reporter, r.suspects });
        return array;
    }

    json toArray(const UpstreamStatus& m)
    {
        json array = json::array();
        for (const auto& i : m.items)
            array.push_back({ i.upstream, i.down, i.leaving, i.incarnation });
        return array;
    }

    json toArray(const ConfigItems& m)
    {
        json array = json::array();
        for (const auto& i : m.items)
            array.push_back({ i.kind, i.id, i.version, i.value });
        return array;
    }

    json toArray(const ServerLoads& m)
    {
        json newestRows = json::array();
        for (const auto& newest : m.newestRows) {
            newestRows.push_back(newest.era);
            newestRows.push_back(newest.version);
        }
        json array = { m.storeAnswers, m.isWatchOverdue, m.isWatchAnswered, newestRows };
        for (const auto& [server, open] : m.open) {
            array.push_back(server);
            array.push_back(open);
        }
        return array;
    }

    json toArray(const SuspectAnswers& m)
    {
        json array = json::array();
        for (const auto& [fingerprint, count] : m.answers) {
            array.push_back(fingerprint);
            array.push_back(count);
        }
        return array;
    }

    json toArray(const Verdicts& m)
    {
        json array = json::array();
        for (const auto& verdict : m.verdicts)
            array.push_back(admission::toJson(verdict));
        return array;
    }

    json toArray(const UnreachableServers& m) { return json::array({ m.servers }); }

    json toArray(const LeavingServers& m)
    {
        json array = json::array();
        for (const auto& i : m.instances)
            array.push_back({ i.server, i.startedAtMs, i.address });
        return array;
    }

    json toArray(const SlowServers& m)
    {
        json array = json::array();
        for (const auto& [server, slowness] : m.servers) {
            array.push_back(server);
            array.push_back(std::llround(slowness * TENTHS));
        }
        return array;
    }

    json toArray(const MirrorRequest& m) { return { m.table, m.afterVersion, m.era }; }

    json toArray(const MirrorRows& m)
    {
        json rows = json::array();
        for (const auto& row : m.changes.rows)
            rows.push_back({ row.key, row.value, row.version, row.isRemoved });
        json array = { m.table, m.afterVersion, m.changes.isComplete, m.changes.version, m.changes.era };
        const std::vector<std::uint8_t> encoded = json::to_cbor(rows);
        if (encoded.size() < MIN_COMPRESSED_BYTES) {
            array.push_back(rows);
        } else {
            const std::string bytes = compress({ reinterpret_cast<const char*>(encoded.data()), encoded.size() });
            array.push_back(json::binary({ bytes.begin(), bytes.end() }));
        }
        return array;
    }

    template <typename Number> Number read(const json& array, std::size_t index)
    {
        const json& value = array.at(index);
        if constexpr (std::is_same_v<Number, bool>)
            return value.get<bool>();
        if (!value.is_number())
            throw errors::PeerError(errors::ResultCode::PeerFrameInvalid, "expected a number");
        return value.get<Number>();
    }

    // Element 0 is the type; members start at index 1.

    AcquireTicket readAcquireTicket(const json& a)
    {
        AcquireTicket m;
        m.ticket = read<std::uint32_t>(a, 1);
        m.engine = read<std::uint32_t>(a, 2);
        m.workspace = read<std::uint16_t>(a, 3);
        m.cost = read<double>(a, 4) / HUNDREDTHS;
        m.weight = read<double>(a, 5) / HUNDREDTHS;
        m.waitMs = read<std::int64_t>(a, 6);
        m.suspect = read<bool>(a, 7);
        if (a.size() > 8)
            m.lookupChat = read<std::uint64_t>(a, 8);
        if (!(m.cost > 0) || !(m.weight > 0))
            throw errors::PeerError(errors::ResultCode::PeerFrameInvalid, "cost and weight must be positive");
        return m;
    }

    TicketReply readTicketReply(const json& a)
    {
        TicketReply m { read<std::uint32_t>(a, 1), read<bool>(a, 2), read<int>(a, 3), routing::NO_NODE };
        if (a.size() > 4)
            m.rememberedEngine = read<std::uint32_t>(a, 4);
        return m;
    }

    DaemonState readDaemonState(const json& a)
    {
        const int flags = read<int>(a, 1);
        return { (flags & 1) != 0, (flags & 2) != 0, read<std::uint32_t>(a, 2),
            a.at(3).get<std::vector<routing::NodeKey>>() };
    }

    EngineLoads readEngineLoads(const json& a)
    {
        EngineLoads m;
        for (std::size_t i = 1; i + 1 < a.size(); i += 2)
            m.loads.emplace_back(read<std::uint32_t>(a, i), read<int>(a, i + 1));
        return m;
    }

    admission::RunStage readStage(const json& a, std::size_t index)
    {
        const int stage = read<int>(a, index);
        if (stage < 0 || stage > static_cast<int>(admission::RunStage::Running))
            throw errors::PeerError(errors::ResultCode::PeerFrameInvalid, "unknown stage of a run");
        return static_cast<admission::RunStage>(stage);
    }

    CrashReports readCrashReports(const json& a)
    {
        CrashReports m;
        for (std::size_t i = 1; i < a.size(); ++i) {
            const json& report = a[i];
            m.reports.push_back({ read<std::uint64_t>(report, 0), read<std::uint64_t>(report, 1), readStage(report, 2),
                read<bool>(report, 3), read<std::int64_t>(report, 4), report.at(5),
                report.at(6).get<std::vector<admission::Fingerprint>>() });
        }
        return m;
    }

    SuspectAnswers readSuspectAnswers(const json& a)
    {
        SuspectAnswers m;
        for (std::size_t i = 1; i + 1 < a.size(); i += 2)
            m.answers.push_back({ read<std::uint64_t>(a, i), read<int>(a, i + 1) });
        return m;
    }

    Verdicts readVerdicts(const json& a)
    {
        Verdicts m;
        for (std::size_t i = 1; i < a.size(); ++i)
            m.verdicts.push_back(admission::parseVerdict(a[i]));
        return m;
    }

    UpstreamStatus readUpstreamStatus(const json& a)
    {
        UpstreamStatus m;
        for (std::size_t i = 1; i < a.size(); ++i) {
            const json& item = a[i];
            m.items.push_back({ read<std::uint32_t>(item, 0), read<bool>(item, 1), read<bool>(item, 2),
                read<std::uint64_t>(item, 3) });
        }
        return m;
    }

    ConfigItems readConfigItems(const json& a)
    {
        ConfigItems m;
        for (std::size_t i = 1; i < a.size(); ++i) {
            const json& item = a[i];
            m.items.push_back({ item.at(0), item.at(1), read<std::uint64_t>(item, 2), item.at(3) });
        }
        return m;
    }

    Hello readHello(const json& a)
    {
        Hello m { a.at(1), a.at(2), "", "", "" };
        if (a.size() > 5) {
            m.dataCentre = a.at(3);
            m.caller = a.at(4);
            m.peer = a.at(5);
        }
        return m;
    }

    ServerLoads readServerLoads(const json& a)
    {
        ServerLoads m;
        m.storeAnswers = read<bool>(a, 1);
        m.isWatchOverdue = read<bool>(a, 2);
        m.isWatchAnswered = read<bool>(a, 3);
        const json& newestRows = a.at(4);
        for (std::size_t i = 0; i + 1 < newestRows.size(); i += 2)
            m.newestRows.push_back({ read<std::uint64_t>(newestRows, i), read<std::uint64_t>(newestRows, i + 1) });
        for (std::size_t i = 5; i + 1 < a.size(); i += 2)
            m.open.emplace_back(read<std::uint32_t>(a, i), read<int>(a, i + 1));
        return m;
    }

    /// Decodes the rows of `MirrorRows`, which are compressed if they are large.
    json decodeRows(const json& rows)
    {
        if (!rows.is_binary())
            return rows;
        const auto& bytes = rows.get_binary();
        return json::from_cbor(
            decompress({ reinterpret_cast<const char*>(bytes.data()), bytes.size() }, MAX_DECOMPRESSED_BYTES));
    }

    MirrorRows readMirrorRows(const json& a)
    {
        MirrorRows m;
        m.table = a.at(1);
        m.afterVersion = read<std::uint64_t>(a, 2);
        m.changes.isComplete = read<bool>(a, 3);
        m.changes.version = read<std::uint64_t>(a, 4);
        m.changes.era = read<std::uint64_t>(a, 5);
        for (const json& row : decodeRows(a.at(6)))
            m.changes.rows.push_back({ row.at(0), row.at(1), read<std::uint64_t>(row, 2), read<bool>(row, 3) });
        return m;
    }

    LeavingServers readLeavingServers(const json& a)
    {
        LeavingServers m;
        for (std::size_t i = 1; i < a.size(); ++i)
            m.instances.push_back({ read<std::uint32_t>(a[i], 0), read<std::int64_t>(a[i], 1), a[i].at(2) });
        return m;
    }

    SlowServers readSlowServers(const json& a)
    {
        SlowServers m;
        for (std::size_t i = 1; i + 1 < a.size(); i += 2)
            m.servers.emplace_back(read<std::uint32_t>(a, i), read<double>(a, i + 1) / TENTHS);
        return m;
    }

    PeerMessage readMessage(const json& a)
    {
        switch (read<unsigned>(a, 0)) {
        case 0:
            return readHello(a);
        case 1:
            return Proof { a.at(1) };
        case 2:
            return readAcquireTicket(a);
        case 3:
            return readTicketReply(a);
        case 4:
            return ReleaseTicket { read<std::uint32_t>(a, 1), read<std::uint32_t>(a, 2) };
        case 5:
            return HeldTickets { read<std::uint32_t>(a, 1), a.at(2).get<std::vector<routing::TicketId>>() };
        case 6:
            return readDaemonState(a);
        case 7:
            return readEngineLoads(a);
        case 8:
            return MoveRequest { read<std::uint32_t>(a, 1) };
        case 9:
            return RememberChat { read<std::uint64_t>(a, 1), read<std::uint32_t>(a, 2) };
        case 10:
            return readCrashReports(a);
        case 11:
            return readUpstreamStatus(a);
        case 12:
            return readConfigItems(a);
        case 13:
            return readServerLoads(a);
        case 14:
            return MirrorRequest { a.at(1), read<std::uint64_t>(a, 2), read<std::uint64_t>(a, 3) };
        case 15:
            return readMirrorRows(a);
        case 16:
            return readSuspectAnswers(a);
        case 17:
            return UnreachableServers { a.at(1).get<std::vector<routing::NodeKey>>() };
        case 18:
            return readLeavingServers(a);
        case 19:
            return readSlowServers(a);
        case 20:
            return readVerdicts(a);
        default:
            throw errors::PeerError(errors::ResultCode::PeerFrameInvalid, "unknown message type");
        }
    }

} // namespace

std::string encode(const PeerMessage& message)
{
    json array = json::array({ message.index() });
    const json members = std::visit([](const auto& m) { return toArray(m); }, message);
    array.insert(array.end(), members.begin(), members.end());
    std::string bytes;
    json::to_cbor(array, bytes);
    return bytes;
}

PeerMessage decode(std::string_view bytes)
{
    try {
        return readMessage(json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const errors::PeerError&) {
        throw;
    } catch (const errors::Error& e) {
        throw errors::PeerError(errors::ResultCode::PeerFrameInvalid, e.what());
    } catch (const json::exception& e) {
        throw errors::PeerError(errors::ResultCode::PeerFrameInvalid, e.what());
    }
}

const char* kindName(const PeerMessage& message)
{
    static constexpr std::array<const char*, std::variant_size_v<PeerMessage>> names
        = { "hello", "proof", "ask", "verdict", "release", "held", "roster", "loads", "move", "remember", "crashes",
              "status", "config", "server-loads", "mirror-ask", "mirror-rows", "suspect-answers", "lost-servers",
              "leaving-servers", "slow-servers", "verdicts" };
    return names[message.index()];
}

} // namespace goldcrestcleat::fleet
