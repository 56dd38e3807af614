#pragma once

#include "shallotlever/telemetry/log.h"

namespace shallotlever {

/// Redirects Qt's log messages to `logger` as `qt_message` events, so that standard error contains
/// JSON lines only. Warnings of QtHttpServer are discarded: at each start it warns that the servers
/// of the edge threads are not listening, which is intended. Call once in main; `logger` must live
/// as long as the process.
void installQtLog(const Logger &logger);

} // namespace shallotlever
