#pragma once

#include "shallotlever/telemetry/log.h"

namespace shallotlever {

/// Sends Qt's own messages to `logger` as events `qt_message`, so that standard error holds JSON
/// lines only. Warnings of QtHttpServer are dropped: it warns at each start that the servers of
/// the edge threads do not listen, which is intended. Call once in main; `logger` must live as
/// long as the process.
void installQtLog(const Logger &logger);

} // namespace shallotlever
