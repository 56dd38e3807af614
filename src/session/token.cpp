#include "shallotlever/session/token.h"

#include <algorithm>
#include <vector>

#include "absl/strings/escaping.h"
#include "generated/token_generated.h"
#include "mac.h"

namespace shallotlever {

namespace {

absl::Status invalidToken()
{
    return absl::UnauthenticatedError("the session token is not valid");
}

} // namespace

std::string encodeToken(const SessionToken &token, const SessionSecret &secret)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<flatbuffers::Offset<session::ServicePoint>> points;
    points.reserve(token.points.size());
    for (const auto &[service, point] : token.points) {
        points.push_back(session::CreateServicePoint(builder, builder.CreateString(service.value()),
                                                     point.term.value(), point.position.value()));
    }
    const auto sessionId = builder.CreateString(token.session.value());
    const auto team = builder.CreateString(token.team.value());
    builder.Finish(session::CreateToken(builder, sessionId, team, builder.CreateVector(points)));
    const std::string_view content(reinterpret_cast<const char *>(builder.GetBufferPointer()),
                                   builder.GetSize());
    return absl::WebSafeBase64Escape(computeMac(content, secret).append(content));
}

absl::StatusOr<SessionToken> decodeToken(std::string_view text, const SessionSecret &secret)
{
    std::string raw;
    if (!absl::WebSafeBase64Unescape({ text.data(), text.size() }, &raw) || raw.size() <= kMacBytes)
        return invalidToken();
    // Copied because FlatBuffers requires an aligned buffer.
    const std::string content = raw.substr(kMacBytes);
    if (!macsEqual(std::string_view(raw).substr(0, kMacBytes), computeMac(content, secret)))
        return invalidToken();
    const auto *data = reinterpret_cast<const std::uint8_t *>(content.data());
    flatbuffers::Verifier verifier(data, content.size());
    if (!session::VerifyTokenBuffer(verifier))
        return invalidToken();
    const session::Token *decoded = session::GetToken(data);
    SessionToken token { SessionId(decoded->session()->str()), TeamId(decoded->team()->str()), {} };
    for (const session::ServicePoint *point : *decoded->points()) {
        token.points[ServiceId(point->service()->str())] = { Term(point->term()),
                                                             LogPosition(point->position()) };
    }
    return token;
}

void advanceToken(SessionToken &token, const ServiceId &service, HistoryPoint point)
{
    HistoryPoint &current = token.points[service];
    current = std::max(current, point);
    if (token.points.size() <= kMaxTokenServices)
        return;
    auto smallest = token.points.begin();
    if (smallest->first == service)
        ++smallest;
    token.points.erase(smallest);
}

} // namespace shallotlever
