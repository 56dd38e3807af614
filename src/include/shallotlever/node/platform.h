#pragma once

#include "shallotlever/proxy/protocol.h"
#include "shallotlever/proxy/proxy.h"

namespace shallotlever {

/// What a node needs from a platform whose databases confirm commits themselves: the protocol of
/// sessions, and the call that promotes a database.
struct PlatformAdapter
{
    const SessionProtocol *protocol = nullptr;
    PromoteFunction promote;
};

} // namespace shallotlever
