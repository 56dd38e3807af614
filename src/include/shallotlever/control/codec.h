#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "shallotlever/control/types.h"

/// FlatBuffers encodings; each decode function verifies the buffer.
namespace shallotlever {

/// Encodes the payload of MessageType::Control. It is smaller than kMaxFrameBytes for every message
/// that a ControlMember sends.
std::string encodeControlMessage(const ControlMessage &message);
absl::StatusOr<ControlMessage> decodeControlMessage(std::string_view bytes);

std::string encodeMembership(const Membership &membership);
absl::StatusOr<Membership> decodeMembership(std::string_view bytes);

/// Encodes a record of the storage log: the hard state, the entries and whether the log is reset.
/// Snapshots are stored in a separate file and are not part of the record.
std::string encodeDurableWrites(const std::vector<DurableWrite> &writes);
absl::StatusOr<std::vector<DurableWrite>> decodeDurableWrites(std::string_view bytes);

std::string encodeSnapshot(const ControlSnapshot &snapshot);
absl::StatusOr<ControlSnapshot> decodeSnapshot(std::string_view bytes);

} // namespace shallotlever
