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

TEST(SessionToken, SurvivesTheRoundTrip)
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

class SessionTokenForged : public testing::TestWithParam<ForgedToken>
{
};

// Guards against a caller that lowers its points or takes another team's session.
TEST_P(SessionTokenForged, IsRefused)
{
    const std::string forged = GetParam().forge(encodeToken(sampleToken(), kSecret));
    EXPECT_FALSE(decodeToken(forged, kSecret).ok());
}

INSTANTIATE_TEST_SUITE_P(
    Cases, SessionTokenForged,
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

// Guards against a late answer that takes a session back behind its own newer write.
TEST(SessionToken, PointsNeverGoBack)
{
    SessionToken token = sampleToken();
    advanceToken(token, ServiceId("svc"), { Term(2), LogPosition(900) });
    EXPECT_EQ(token.points[ServiceId("svc")], (HistoryPoint { Term(3), LogPosition(70) }));
    advanceToken(token, ServiceId("svc"), { Term(3), LogPosition(71) });
    EXPECT_EQ(token.points[ServiceId("svc")], (HistoryPoint { Term(3), LogPosition(71) }));
}

// Guards against a header that grows without bound.
TEST(SessionToken, HoldsABoundedNumberOfServices)
{
    SessionToken token;
    for (int i = 0; i < 100; ++i)
        advanceToken(token, ServiceId(absl::StrCat("s", i)), { Term(1), LogPosition(1) });
    EXPECT_EQ(token.points.size(), kMaxTokenServices);
}

struct ForeignTransactionId
{
    const char *name;
    TransactionId (*make)();
};

class TransactionIdForeign : public testing::TestWithParam<ForeignTransactionId>
{
};

// Guards against ids that a caller made up, for which the system would write records.
TEST_P(TransactionIdForeign, IsNotGenuine)
{
    EXPECT_FALSE(isGenuineTransactionId(GetParam().make(), TeamId("t1"), kSecret));
}

INSTANTIATE_TEST_SUITE_P(
    Cases, TransactionIdForeign,
    testing::Values(ForeignTransactionId { "Empty", [] { return TransactionId(); } },
                    ForeignTransactionId { "NoCode", [] { return TransactionId("n1.abc"); } },
                    ForeignTransactionId {
                        "OtherTeam",
                        [] { return makeTransactionId(NodeId("n1"), TeamId("t2"), kSecret); } },
                    ForeignTransactionId { "OtherSecret",
                                           [] {
                                               return makeTransactionId(NodeId("n1"), TeamId("t1"),
                                                                        { std::string(32, 'x') });
                                           } }),
    [](const auto &info) { return info.param.name; });

TEST(TransactionIds, AreGenuineForTheirTeam)
{
    const TransactionId id = makeTransactionId(NodeId("n.1"), TeamId("t1"), kSecret);
    EXPECT_TRUE(isGenuineTransactionId(id, TeamId("t1"), kSecret));
}

TEST(Keys, AuthenticateOnlyWithTheSecret)
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

// Guards against malformed keys that crash the parser or match by accident.
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
