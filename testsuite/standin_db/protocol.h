#pragma once

#include <cstdint>

#include "faults.h"
#include "net.h"
#include "session.h"
#include "storage.h"

namespace standin {

/// First word of a connection from another stand-in, in place of a protocol version.
inline constexpr std::uint32_t kPeerCode = 0x53544e44;

struct ServerSettings
{
    int connectionLimit = 100;
    int connectDelayMs = 0;
};

struct Server
{
    Storage &storage;
    Faults &faults;
    Slots &slots;
    ServerSettings settings;
};

/// Serves one accepted connection until it ends: a client's session or a peer's requests.
void serveConnection(Server &server, Socket socket);

} // namespace standin
