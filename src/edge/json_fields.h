#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <QJsonArray>
#include <QJsonObject>
#include <QJsonValue>
#include <QSet>
#include <QString>

#include "shallotlever/base/errors.h"
#include "shallotlever/base/ids.h"

namespace shallotlever {

/// Longest id in an interface, in bytes.
constexpr std::size_t kMaxIdBytes = 128;
/// Longest duration accepted, in milliseconds: a year. Conversion to microseconds cannot overflow.
constexpr std::uint64_t kMaxDurationMs = 366ULL * 24 * 3600 * 1000;

Error malformedRequest(const QString &message);

/// Reads the fields of one JSON object strictly: a missing field, a wrong type, a number out of
/// range and a field that nothing asked for are faults. The first fault is kept; reads after it
/// return unspecified valid values.
class FieldReader
{
public:
    /// `path` is the name of the object in messages; empty for the body itself.
    explicit FieldReader(QJsonObject object, QString path = {});

    bool has(const char *key) const;
    std::string text(const char *key);
    /// A non-empty id of at most kMaxIdBytes without control characters.
    template <typename IdType>
    IdType id(const char *key)
    {
        return IdType(idString(key));
    }
    template <typename IdType>
    std::optional<IdType> optionalId(const char *key)
    {
        return has(key) ? std::optional(IdType(idString(key))) : std::nullopt;
    }
    std::uint64_t unsignedInteger(const char *key, std::uint64_t max);
    std::uint64_t unsignedInteger(const char *key, std::uint64_t max, std::uint64_t defaultValue);
    std::chrono::milliseconds milliseconds(const char *key);
    std::chrono::milliseconds milliseconds(const char *key, std::chrono::milliseconds defaultValue);
    /// Not negative.
    double nonNegativeDouble(const char *key);
    double nonNegativeDouble(const char *key, double defaultValue);
    bool boolean(const char *key, bool defaultValue);
    QJsonObject object(const char *key);
    /// Empty if the field is missing.
    QJsonArray optionalArray(const char *key);

    /// Name of a field in messages.
    QString qualifiedName(const QString &key) const;
    void fail(const QString &key, const QString &problem);
    /// Takes over the fault of a nested object, unless there is an earlier one.
    void adoptError(const Error &error);
    /// The first fault. Call after all reads: it also refuses fields that were not read.
    std::optional<Error> firstError();

private:
    QJsonValue requiredValue(const char *key);
    std::string idString(const char *key);

    QJsonObject m_object;
    QString m_path;
    QSet<QString> m_readKeys;
    std::optional<Error> m_error;
};

/// The text as UTF-8, or nullopt if it has a U+0000, which libpq would take for the end of the
/// text, or a lone surrogate.
std::optional<std::string> toValidUtf8(const QString &text);

} // namespace shallotlever
