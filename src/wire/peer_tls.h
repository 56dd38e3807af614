#pragma once

#include <QSslConfiguration>

#include "absl/status/statusor.h"
#include "shallotlever/wire/peer_transport.h"

namespace shallotlever {

/// Reads the PEM files and returns a configuration for mutual authentication, used for both inbound
/// and outbound links.
absl::StatusOr<QSslConfiguration> loadPeerTls(const PeerTlsFiles &files);

} // namespace shallotlever
