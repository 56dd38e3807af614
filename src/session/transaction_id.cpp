#include "shallotlever/session/transaction_id.h"

#include "absl/strings/escaping.h"
#include "mac.h"
#include "shallotlever/session/keys.h"

namespace shallotlever {

namespace {

/// 128 bits of the code, as hexadecimal digits.
constexpr std::size_t kCodeDigits = 32;

std::string codeOf(std::string_view prefix, const TeamId &team, const SessionSecret &secret)
{
    std::string content("transaction\n");
    content.append(prefix).append("\n").append(team.value());
    return absl::BytesToHexString(macOf(content, secret)).substr(0, kCodeDigits);
}

} // namespace

TransactionId makeTransactionId(const NodeId &node, const TeamId &team, const SessionSecret &secret)
{
    const std::string prefix = node.value() + "." + randomId();
    return TransactionId(prefix + "." + codeOf(prefix, team, secret));
}

bool isGenuineTransactionId(const TransactionId &id, const TeamId &team,
                            const SessionSecret &secret)
{
    const std::string_view text = id.value();
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return false;
    return sameMac(text.substr(dot + 1), codeOf(text.substr(0, dot), team, secret));
}

} // namespace shallotlever
