#include "shallotlever/fleet/token_messages.h"

#include <algorithm>
#include <limits>

#include <absl/status/status.h>
#include <flatbuffers/flatbuffers.h>

#include "generated/token_messages_generated.h"

namespace shallotlever {

namespace {

using flatbuffers::FlatBufferBuilder;

constexpr std::size_t kInitialBufferBytes = 256;

std::uint32_t microseconds(Duration d)
{
    constexpr Duration::rep kMaxMicroseconds = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<Duration::rep>(d.count(), 0, kMaxMicroseconds));
}

std::string finish(FlatBufferBuilder &b, flatbuffers::Offset<fbs::TokenMessage> root)
{
    fbs::FinishTokenMessageBuffer(b, root);
    return { reinterpret_cast<const char *>(b.GetBufferPointer()), b.GetSize() };
}

/// Verifies an aligned copy of the message and passes it to `read`.
template <typename Read>
auto decode(std::string_view bytes, Read read)
    -> absl::StatusOr<decltype(read(std::declval<const fbs::TokenMessage &>()))>
{
    const std::vector<std::uint8_t> buffer(bytes.begin(), bytes.end());
    flatbuffers::Verifier verifier(buffer.data(), buffer.size());
    if (!fbs::VerifyTokenMessageBuffer(verifier))
        return absl::InvalidArgumentError("not a message about tokens");
    return read(*fbs::GetTokenMessage(buffer.data()));
}

} // namespace

std::string encodeTokenRequests(const std::vector<TokenRequest> &requests)
{
    FlatBufferBuilder b(kInitialBufferBytes);
    std::vector<flatbuffers::Offset<fbs::TokenRequest>> packed;
    for (const TokenRequest &request : requests)
        packed.push_back(
            fbs::CreateTokenRequest(b, b.CreateString(request.team.value()), request.tokens));
    return finish(b, fbs::CreateTokenMessage(b, b.CreateVector(packed)));
}

absl::StatusOr<std::vector<TokenRequest>> decodeTokenRequests(std::string_view bytes)
{
    return decode(bytes, [](const fbs::TokenMessage &message) {
        std::vector<TokenRequest> requests;
        if (message.requests() == nullptr)
            return requests;
        for (const fbs::TokenRequest *request : *message.requests())
            requests.push_back({ TeamId(request->team()->str()), request->tokens() });
        return requests;
    });
}

std::string encodeTokenGrants(const std::vector<TokenGrant> &grants)
{
    FlatBufferBuilder b(kInitialBufferBytes);
    std::vector<flatbuffers::Offset<fbs::TokenGrant>> packed;
    for (const TokenGrant &grant : grants) {
        // On the wire, 0 means that tokens were granted, so a shorter delay is rounded up to 1 µs.
        const std::uint32_t retryAfter =
            grant.retryAfter ? std::max(1U, microseconds(*grant.retryAfter)) : 0;
        packed.push_back(fbs::CreateTokenGrant(b, b.CreateString(grant.team.value()), grant.tokens,
                                               microseconds(grant.queued), retryAfter));
    }
    return finish(b, fbs::CreateTokenMessage(b, 0, b.CreateVector(packed)));
}

absl::StatusOr<std::vector<TokenGrant>> decodeTokenGrants(std::string_view bytes)
{
    return decode(bytes, [](const fbs::TokenMessage &message) {
        std::vector<TokenGrant> grants;
        if (message.grants() == nullptr)
            return grants;
        for (const fbs::TokenGrant *packed : *message.grants()) {
            TokenGrant grant { TeamId(packed->team()->str()), packed->tokens(),
                               Duration(packed->queued()), std::nullopt };
            if (packed->retry_after() > 0)
                grant.retryAfter = Duration(packed->retry_after());
            grants.push_back(std::move(grant));
        }
        return grants;
    });
}

} // namespace shallotlever
