#include "shallotlever/session/token.h"

#include <algorithm>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include "absl/strings/escaping.h"
#include "generated/token_generated.h"

namespace shallotlever {

namespace {

constexpr std::size_t kMacBytes = 32;

std::string macOf(std::string_view content, const SessionSecret &secret)
{
    std::string mac(kMacBytes, '\0');
    unsigned int size = kMacBytes;
    HMAC(EVP_sha256(), secret.bytes.data(), static_cast<int>(secret.bytes.size()),
         reinterpret_cast<const unsigned char *>(content.data()), content.size(),
         reinterpret_cast<unsigned char *>(mac.data()), &size);
    return mac;
}

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
    return absl::WebSafeBase64Escape(macOf(content, secret).append(content));
}

absl::StatusOr<SessionToken> decodeToken(std::string_view text, const SessionSecret &secret)
{
    std::string raw;
    if (!absl::WebSafeBase64Unescape({ text.data(), text.size() }, &raw) || raw.size() <= kMacBytes)
        return invalidToken();
    // A copy of its own, because FlatBuffers needs an aligned start.
    const std::string content = raw.substr(kMacBytes);
    if (CRYPTO_memcmp(raw.data(), macOf(content, secret).data(), kMacBytes) != 0)
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
    auto oldest = token.points.begin();
    if (oldest->first == service)
        ++oldest;
    token.points.erase(oldest);
}

} // namespace shallotlever
