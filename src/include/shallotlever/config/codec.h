#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "shallotlever/config/state.h"

/// FlatBuffers encodings. Each decode function verifies the buffer and returns InvalidArgument if
/// it is malformed or contains an enumeration value that is out of range.
namespace shallotlever {

/// Payload of a control log entry.
struct LoggedCommand
{
    Command command;
    /// Milliseconds since the Unix epoch, by the clock of the controller that proposed the command.
    std::int64_t wallTimeMs = 0;
};

std::string encodeCommand(const LoggedCommand &command);
absl::StatusOr<LoggedCommand> decodeCommand(std::string_view bytes);

std::string encodeChangeResult(const ChangeResult &result);
absl::StatusOr<ChangeResult> decodeChangeResult(std::string_view bytes);

/// Encodes the payload of a control log snapshot.
std::string encodeState(const ReplicatedState &state);
absl::StatusOr<ReplicatedState> decodeState(std::string_view bytes);

std::string encodeConfig(const ClusterConfig &config);
absl::StatusOr<ClusterConfig> decodeConfig(std::string_view bytes);

/// Non-cryptographic hash, equal for equal configurations. Used to detect divergent copies.
std::uint64_t configDigest(const ClusterConfig &config);

} // namespace shallotlever
