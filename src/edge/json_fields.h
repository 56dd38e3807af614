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

/// Maximum length of an id in the HTTP interface, in bytes.
constexpr std::size_t kMaxIdBytes = 128;
/// Maximum accepted duration in milliseconds: one year. Its conversion to microseconds cannot
/// overflow.
constexpr std::uint64_t kMaxDurationMs = 366ULL * 24 * 3600 * 1000;

Error malformedRequest(const QString &message);

/// Strict reader of the fields of one JSON object. A missing field, a wrong type, a number out of
/// range and an unknown field are errors. Only the first error is kept; after an error, reads
/// return unspecified valid values.
class FieldReader
{
public:
    /// `path` is the name of the object in error messages; empty for the request body itself.
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
    /// Returns a finite number that is not negative.
    double nonNegativeDouble(const char *key);
    double nonNegativeDouble(const char *key, double defaultValue);
    bool boolean(const char *key, bool defaultValue);
    QJsonObject object(const char *key);
    /// Returns an empty array if the field is missing.
    QJsonArray optionalArray(const char *key);

    /// Name of a field in error messages, including the path of the object.
    QString qualifiedName(const QString &key) const;
    void fail(const QString &key, const QString &problem);
    /// Adopts the error of a nested object, unless there is an earlier error.
    void adoptError(const Error &error);
    /// Returns the first error. Must be called after all reads, because it also reports fields that
    /// were not read.
    std::optional<Error> firstError();

private:
    QJsonValue requiredValue(const char *key);
    std::string idString(const char *key);

    QJsonObject m_object;
    QString m_path;
    QSet<QString> m_readKeys;
    std::optional<Error> m_error;
};

/// Converts the text to UTF-8. Returns nullopt if it contains a lone surrogate or U+0000, which
/// libpq would treat as the end of the text.
std::optional<std::string> toValidUtf8(const QString &text);

} // namespace shallotlever
