#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "shallotlever/config/state.h"

/// FlatBuffers encodings. Each decode function verifies the buffer and answers InvalidArgument for
/// bytes that are malformed or hold values outside an enumeration.
namespace shallotlever {

/// Content of a control log entry.
struct LoggedCommand
{
    Command command;
    /// Milliseconds since the Unix epoch at the controller that proposed it.
    std::int64_t wallTimeMs = 0;
};

std::string encodeCommand(const LoggedCommand &command);
absl::StatusOr<LoggedCommand> decodeCommand(std::string_view bytes);

std::string encodeChangeResult(const ChangeResult &result);
absl::StatusOr<ChangeResult> decodeChangeResult(std::string_view bytes);

/// Content of a control log snapshot.
std::string encodeState(const ReplicatedState &state);
absl::StatusOr<ReplicatedState> decodeState(std::string_view bytes);

std::string encodeConfig(const ClusterConfig &config);
absl::StatusOr<ClusterConfig> decodeConfig(std::string_view bytes);

/// Equal for equal configurations; for detecting a divergent copy, not for security.
std::uint64_t configDigest(const ClusterConfig &config);

} // namespace shallotlever
