#pragma once

#include "shallotlever/proxy/protocol.h"
#include "shallotlever/proxy/proxy.h"

namespace shallotlever {

/// Hooks of a platform whose databases confirm commits themselves: the session protocol, and the
/// function that promotes a database.
struct PlatformAdapter
{
    const SessionProtocol *protocol = nullptr;
    PromoteFunction promote;
};

} // namespace shallotlever
