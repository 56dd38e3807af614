#pragma once

#include <QSslConfiguration>

#include "absl/status/statusor.h"
#include "shallotlever/wire/peer_transport.h"

namespace shallotlever {

/// Reads the PEM files and gives a configuration that verifies the peer in both directions.
absl::StatusOr<QSslConfiguration> loadPeerTls(const PeerTlsFiles &files);

} // namespace shallotlever
