#include "faults.h"

#include <sstream>
#include <stdexcept>
#include <thread>

namespace standin {

namespace {

bool switchValue(const std::string &text)
{
    if (text != "on" && text != "off")
        throw std::invalid_argument("expected on or off");
    return text == "on";
}

} // namespace

std::string Faults::run(const std::string &line)
{
    std::istringstream words(line);
    std::string command;
    std::string argument;
    std::string rest;
    words >> command >> argument >> rest;
    if (command == "stats")
        return stats();
    try {
        apply(command, argument, rest);
    } catch (const std::exception &error) {
        return std::string("error: ") + error.what();
    }
    return "ok";
}

void Faults::apply(const std::string &command, const std::string &argument, const std::string &rest)
{
    if (command == "peers")
        return setPeers(argument);
    const std::lock_guard lock(m_mutex);
    if (command == "freeze" || command == "unfreeze")
        m_frozen = command == "freeze";
    else if (command == "cut" || command == "heal")
        setCut(argument, rest, command == "cut");
    else if (command == "cut-clients" || command == "heal-clients")
        m_clientsCut = command == "cut-clients";
    else if (command == "refuse")
        refuseConnections = switchValue(argument);
    else if (command == "drop-after")
        m_dropAfter = std::stoul(argument);
    else if (command == "drop-before-answer")
        m_dropBeforeAnswer = argument;
    else if (command == "replication-delay")
        replicationDelayMs = std::stoi(argument);
    else if (command == "statement-time")
        statementTimeMs = std::stoi(argument);
    else if (command == "round-trip-time")
        roundTripMs = std::stoi(argument);
    else if (command == "leaving")
        leaving = switchValue(argument);
    else
        throw std::invalid_argument("unknown command");
    m_changed.notify_all();
}

void Faults::setCut(const std::string &peers, const std::string &direction, bool cut)
{
    std::istringstream list(peers);
    for (std::string peer; std::getline(list, peer, ',');) {
        for (const Direction way : { Direction::In, Direction::Out }) {
            const bool chosen = direction.empty() || direction == "both"
                || direction == (way == Direction::In ? "in" : "out");
            if (chosen && cut)
                m_cuts.emplace(peer, way);
            else if (chosen)
                m_cuts.erase({ peer, way });
        }
    }
}

std::string Faults::stats() const
{
    std::ostringstream out;
    out << "{\"connections\":" << connections << ",\"max_connections\":" << maxConnections
        << ",\"total_connections\":" << totalConnections << ",\"statements\":" << statements << "}";
    return out.str();
}

void Faults::serve(const Socket &listener)
{
    for (;;) {
        Socket socket = acceptFrom(listener);
        std::thread([this, client = std::move(socket)]() mutable {
            while (const auto line = client.receiveLine()) {
                if (!client.sendAll(run(*line) + "\n"))
                    return;
            }
        }).detach();
    }
}

void Faults::setPeers(std::string_view list)
{
    std::map<std::string, Address> peers;
    std::istringstream items { std::string(list) };
    for (std::string item; std::getline(items, item, ',');) {
        const auto equals = item.find('=');
        if (equals == std::string::npos)
            throw std::invalid_argument("expected id=host:port");
        peers[item.substr(0, equals)] = parseAddress(item.substr(equals + 1));
    }
    const std::lock_guard lock(m_mutex);
    m_peers = std::move(peers);
}

std::map<std::string, Address> Faults::peers()
{
    const std::lock_guard lock(m_mutex);
    return m_peers;
}

void Faults::waitWhileFrozen()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_frozen; });
}

void Faults::waitForClients()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_frozen && !m_clientsCut; });
}

bool Faults::isCut(const std::string &peer, Direction direction)
{
    const std::lock_guard lock(m_mutex);
    return m_cuts.count({ peer, direction }) != 0;
}

std::optional<std::size_t> Faults::takeDropAfter()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_dropAfter, std::nullopt);
}

bool Faults::takeDropBeforeAnswer(const std::string &sql)
{
    const std::lock_guard lock(m_mutex);
    if (!m_dropBeforeAnswer || sql.rfind(*m_dropBeforeAnswer, 0) != 0)
        return false;
    m_dropBeforeAnswer.reset();
    return true;
}

void Faults::countConnection(int change)
{
    const int now = connections += change;
    if (change > 0)
        ++totalConnections;
    int highest = maxConnections;
    while (now > highest && !maxConnections.compare_exchange_weak(highest, now)) { }
}

} // namespace standin
