#include <gtest/gtest.h>

#include "absl/strings/str_cat.h"
#include "shallotlever/session/keys.h"
#include "shallotlever/session/token.h"
#include "shallotlever/session/transaction_id.h"

namespace shallotlever {
namespace {

const SessionSecret kSecret { std::string(32, 's') };

SessionToken sampleToken()
{
    return { SessionId("s1"),
             TeamId("t1"),
             { { ServiceId("svc"), { Term(3), LogPosition(70) } } } };
}

TEST(SessionToken, RoundTrips)
{
    const auto decoded = decodeToken(encodeToken(sampleToken(), kSecret), kSecret);
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(*decoded, sampleToken());
}

struct ForgedToken
{
    const char *name;
    std::string (*forge)(std::string token);
};

class ForgedSessionToken : public testing::TestWithParam<ForgedToken>
{
};

// Guards against a caller that modifies its token, to lower the positions that its reads must
// observe or to take over the session of another team.
TEST_P(ForgedSessionToken, IsRejected)
{
    const std::string forged = GetParam().forge(encodeToken(sampleToken(), kSecret));
    EXPECT_FALSE(decodeToken(forged, kSecret).ok());
}

INSTANTIATE_TEST_SUITE_P(
    Cases, ForgedSessionToken,
    testing::Values(ForgedToken { "Empty", [](std::string) { return std::string(); } },
                    ForgedToken { "NotBase64", [](std::string) { return std::string("%%%"); } },
                    ForgedToken { "Short", [](std::string t) { return t.substr(0, 20); } },
                    ForgedToken { "Truncated",
                                  [](std::string t) { return t.substr(0, t.size() - 8); } },
                    ForgedToken { "ChangedContent",
                                  [](std::string t) {
                                      t[t.size() / 2] = t[t.size() / 2] == 'A' ? 'B' : 'A';
                                      return t;
                                  } },
                    ForgedToken { "OtherSecret",
                                  [](std::string) {
                                      return encodeToken(sampleToken(), { std::string(32, 'x') });
                                  } }),
    [](const auto &info) { return info.param.name; });

// Guards against a delayed answer that lowers the token's position, after which the session might
// not read its own newer write.
TEST(SessionToken, PointsNeverDecrease)
{
    SessionToken token = sampleToken();
    advanceToken(token, ServiceId("svc"), { Term(2), LogPosition(900) });
    EXPECT_EQ(token.points[ServiceId("svc")], (HistoryPoint { Term(3), LogPosition(70) }));
    advanceToken(token, ServiceId("svc"), { Term(3), LogPosition(71) });
    EXPECT_EQ(token.points[ServiceId("svc")], (HistoryPoint { Term(3), LogPosition(71) }));
}

// Guards against unbounded growth of the header that carries the token.
TEST(SessionToken, LimitsNumberOfServices)
{
    SessionToken token;
    for (int i = 0; i < 100; ++i)
        advanceToken(token, ServiceId(absl::StrCat("s", i)), { Term(1), LogPosition(1) });
    EXPECT_EQ(token.points.size(), kMaxTokenServices);
}

struct TransactionIdCase
{
    const char *name;
    TransactionId (*make)();
};

class InvalidTransactionId : public testing::TestWithParam<TransactionIdCase>
{
};

// Guards against accepting ids invented by a caller: the system would write records for them.
TEST_P(InvalidTransactionId, IsNotAuthentic)
{
    EXPECT_FALSE(isAuthenticTransactionId(GetParam().make(), TeamId("t1"), kSecret));
}

INSTANTIATE_TEST_SUITE_P(
    Cases, InvalidTransactionId,
    testing::Values(TransactionIdCase { "Empty", [] { return TransactionId(); } },
                    TransactionIdCase { "NoCode", [] { return TransactionId("n1.abc"); } },
                    TransactionIdCase {
                        "OtherTeam",
                        [] { return makeTransactionId(NodeId("n1"), TeamId("t2"), kSecret); } },
                    TransactionIdCase { "OtherSecret",
                                        [] {
                                            return makeTransactionId(NodeId("n1"), TeamId("t1"),
                                                                     { std::string(32, 'x') });
                                        } }),
    [](const auto &info) { return info.param.name; });

TEST(TransactionIds, AreAuthenticForTheirTeam)
{
    const TransactionId id = makeTransactionId(NodeId("n.1"), TeamId("t1"), kSecret);
    EXPECT_TRUE(isAuthenticTransactionId(id, TeamId("t1"), kSecret));
}

TEST(Keys, AuthenticateOnlyWithSecret)
{
    const GeneratedKey key = generateKey();
    KeyConfig entry;
    entry.id = key.id;
    entry.hash = key.hash;
    const std::map<KeyId, KeyConfig> keys { { key.id, entry } };
    ASSERT_NE(authenticate(key.text, keys), nullptr);
    EXPECT_EQ(authenticate(key.text, {}), nullptr);
    std::string wrong = key.text;
    wrong.back() = wrong.back() == '0' ? '1' : '0';
    EXPECT_EQ(authenticate(wrong, keys), nullptr);
}

class MalformedKey : public testing::TestWithParam<std::string>
{
};

// Guards against malformed keys that crash the parser or are accepted.
TEST_P(MalformedKey, IsNotParsed)
{
    EXPECT_FALSE(parseKey(GetParam()).has_value());
}

INSTANTIATE_TEST_SUITE_P(Cases, MalformedKey,
                         testing::Values("", "slk_", "slk__", std::string(85, '_'),
                                         "xxx_" + std::string(81, '0'),
                                         "slk_" + std::string(16, 'Z') + "_"
                                             + std::string(64, '0')));

} // namespace
} // namespace shallotlever
