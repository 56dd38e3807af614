#pragma once

#include <map>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "shallotlever/base/ids.h"

/// Session tokens. A token holds the whole state of a session. The caller presents it to each VM
/// that it uses, so that any VM can serve the session.
namespace shallotlever {

/// Maximum number of services in one token; limits the size of the header that carries it.
constexpr std::size_t kMaxTokenServices = 32;

struct SessionToken
{
    SessionId session;
    TeamId team;
    /// Position of the session's newest acknowledged write, per service.
    std::map<ServiceId, HistoryPoint> points;

    friend bool operator==(const SessionToken &, const SessionToken &) = default;
};

/// Secret shared by all nodes, at least 32 bytes. Must not be logged.
struct SessionSecret
{
    std::string bytes;
};

/// Returns base64url(HMAC-SHA-256 | FlatBuffer), without padding.
std::string encodeToken(const SessionToken &token, const SessionSecret &secret);

/// Fails with UNAUTHENTICATED if the text is malformed or was not encoded with this secret.
absl::StatusOr<SessionToken> decodeToken(std::string_view text, const SessionSecret &secret);

/// Raises the position for a service; never lowers it. If the token then holds more than
/// kMaxTokenServices services, removes the one with the smallest id other than `service`.
void advanceToken(SessionToken &token, const ServiceId &service, HistoryPoint point);

} // namespace shallotlever
