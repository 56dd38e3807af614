#pragma once

#include <QByteArray>

#include "shallotlever/edge/codec.h"

namespace shallotlever {

/// Serializes a response as HTTP/1.1 bytes.
QByteArray serializeResponse(const HttpResponse &response, bool keepAlive, bool withBody);

} // namespace shallotlever
