#pragma once

#include <map>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "shallotlever/base/ids.h"

/// Session tokens. A token is the whole state of a session: callers carry it from VM to VM.
namespace shallotlever {

/// Services one token can hold points of; bounds the header.
constexpr std::size_t kMaxTokenServices = 32;

struct SessionToken
{
    SessionId session;
    TeamId team;
    /// Newest acknowledged write of the session, per service.
    std::map<ServiceId, HistoryPoint> points;

    friend bool operator==(const SessionToken &, const SessionToken &) = default;
};

/// Secret shared by all nodes, at least 32 bytes. Not logged.
struct SessionSecret
{
    std::string bytes;
};

/// base64url(HMAC-SHA-256 | FlatBuffer), without padding.
std::string encodeToken(const SessionToken &token, const SessionSecret &secret);

/// Fails with Unauthenticated if the text was not made with this secret.
absl::StatusOr<SessionToken> decodeToken(std::string_view text, const SessionSecret &secret);

/// Raises the point of a service; never lowers it. Beyond kMaxTokenServices the service with the
/// smallest id is dropped.
void advanceToken(SessionToken &token, const ServiceId &service, HistoryPoint point);

} // namespace shallotlever
