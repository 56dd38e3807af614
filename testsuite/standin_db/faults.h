#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "net.h"

namespace standin {

enum class Direction { In, Out };

/// Faults that tests switch on through the control port, and settings that can change at run time.
/// Thread-safe.
class Faults
{
public:
    std::atomic<int> replicationDelayMs = 0;
    std::atomic<int> statementTimeMs = 0;
    /// Pause before each answer to a client, which stands for the distance to the database.
    std::atomic<int> roundTripMs = 0;
    std::atomic<bool> leaving = false;
    std::atomic<bool> refuseConnections = false;
    std::atomic<int> connections = 0;
    std::atomic<int> maxConnections = 0;
    std::atomic<int> totalConnections = 0;
    std::atomic<int> statements = 0;

    /// Runs one command line and gives the answer line.
    std::string run(const std::string &line);
    /// Answers command lines on `listener`; does not return.
    void serve(const Socket &listener);

    void setPeers(std::string_view list);
    std::map<std::string, Address> peers();

    void waitWhileFrozen();
    /// Waits while frozen or cut from the clients.
    void waitForClients();
    /// `In`: requests from the peer get no answer. `Out`: no requests are sent to the peer.
    bool isCut(const std::string &peer, Direction direction);
    /// Takes the armed fault, if any: bytes of the next answer to send before the connection drops.
    std::optional<std::size_t> takeDropAfter();
    /// Takes the armed fault if `sql` starts with the prefix that was given with it.
    bool takeDropBeforeAnswer(const std::string &sql);
    void countConnection(int change);

private:
    void apply(const std::string &command, const std::string &argument, const std::string &rest);
    void setCut(const std::string &peers, const std::string &direction, bool cut);
    std::string stats() const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_frozen = false;
    bool m_clientsCut = false;
    std::set<std::pair<std::string, Direction>> m_cuts;
    std::optional<std::size_t> m_dropAfter;
    std::optional<std::string> m_dropBeforeAnswer;
    std::map<std::string, Address> m_peers;
};

} // namespace standin
