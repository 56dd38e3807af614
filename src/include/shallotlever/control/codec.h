#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "shallotlever/control/types.h"

/// FlatBuffers encodings; each decode function verifies the buffer.
namespace shallotlever {

/// Payload of MessageType::Control; below kMaxFrameBytes forevery message of a ControlMember.
std::string encodeControlMessage(const ControlMessage &message);
absl::StatusOr<ControlMessage> decodeControlMessage(std::string_view bytes);

std::string encodeMembership(const Membership &membership);
absl::StatusOr<Membership> decodeMembership(std::string_view bytes);

/// Record of the storage log: the hard state, the entries and whether the log is reset. The
/// snapshot has a file of its own.
std::string encodeDurableWrites(const std::vector<DurableWrite> &writes);
absl::StatusOr<std::vector<DurableWrite>> decodeDurableWrites(std::string_view bytes);

std::string encodeSnapshot(const ControlSnapshot &snapshot);
absl::StatusOr<ControlSnapshot> decodeSnapshot(std::string_view bytes);

} // namespace shallotlever
