#include "json_fields.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace shallotlever {

namespace {

std::optional<std::uint64_t> toUnsignedInteger(const QJsonValue &value, std::uint64_t max)
{
    if (!value.isDouble())
        return std::nullopt;
    // toInteger returns its default value for fractions and for numbers beyond 64 bits.
    const qint64 number = value.toInteger(-1);
    if (number < 0 || static_cast<std::uint64_t>(number) > max)
        return std::nullopt;
    return static_cast<std::uint64_t>(number);
}

} // namespace

Error malformedRequest(const QString &message)
{
    return Error { ErrorKind::MalformedRequest, message.toStdString(), std::nullopt };
}

std::optional<std::string> toValidUtf8(const QString &text)
{
    if (text.contains(QChar(u'\0')) || !text.isValidUtf16())
        return std::nullopt;
    return text.toStdString();
}

FieldReader::FieldReader(QJsonObject object, QString path)
    : m_object(std::move(object))
    , m_path(std::move(path))
{
}

bool FieldReader::has(const char *key) const
{
    return m_object.contains(QLatin1String(key));
}

QString FieldReader::qualifiedName(const QString &key) const
{
    return m_path.isEmpty() ? key : m_path + QLatin1Char('.') + key;
}

void FieldReader::fail(const QString &key, const QString &problem)
{
    if (!m_error)
        m_error = malformedRequest(QStringLiteral("%1: %2").arg(qualifiedName(key), problem));
}

void FieldReader::adoptError(const Error &error)
{
    if (!m_error)
        m_error = error;
}

QJsonValue FieldReader::requiredValue(const char *key)
{
    const QString name = QString::fromLatin1(key);
    m_readKeys.insert(name);
    if (!m_object.contains(name))
        fail(name, QStringLiteral("is required"));
    return m_object.value(name);
}

std::string FieldReader::text(const char *key)
{
    const QJsonValue value = requiredValue(key);
    if (!value.isString()) {
        fail(QLatin1String(key), QStringLiteral("must be a string"));
        return {};
    }
    const std::optional<std::string> text = toValidUtf8(value.toString());
    if (!text)
        fail(QLatin1String(key), QStringLiteral("must not contain U+0000 or a lone surrogate"));
    return text.value_or(std::string());
}

std::string FieldReader::idString(const char *key)
{
    std::string id = text(key);
    const bool hasControlCharacter = std::any_of(id.begin(), id.end(), [](char c) {
        return static_cast<unsigned char>(c) < 0x20U || c == 0x7F;
    });
    if (id.empty() || id.size() > kMaxIdBytes || hasControlCharacter)
        fail(QLatin1String(key),
             QStringLiteral("must be an id of 1 to %1 bytes without control characters")
                 .arg(kMaxIdBytes));
    return id;
}

std::uint64_t FieldReader::unsignedInteger(const char *key, std::uint64_t max)
{
    constexpr auto kMaxInteger = static_cast<std::uint64_t>(std::numeric_limits<qint64>::max());
    const std::uint64_t limit = std::min(max, kMaxInteger);
    const std::optional<std::uint64_t> value = toUnsignedInteger(requiredValue(key), limit);
    if (!value)
        fail(QLatin1String(key), QStringLiteral("must be a whole number from 0 to %1").arg(limit));
    return value.value_or(0);
}

std::uint64_t FieldReader::unsignedInteger(const char *key, std::uint64_t max,
                                           std::uint64_t defaultValue)
{
    return has(key) ? unsignedInteger(key, max) : defaultValue;
}

std::chrono::milliseconds FieldReader::milliseconds(const char *key)
{
    return std::chrono::milliseconds(unsignedInteger(key, kMaxDurationMs));
}

std::chrono::milliseconds FieldReader::milliseconds(const char *key,
                                                    std::chrono::milliseconds defaultValue)
{
    return has(key) ? milliseconds(key) : defaultValue;
}

double FieldReader::nonNegativeDouble(const char *key)
{
    const QJsonValue value = requiredValue(key);
    const double number = value.toDouble(-1);
    if (value.isDouble() && std::isfinite(number) && number >= 0)
        return number;
    fail(QLatin1String(key), QStringLiteral("must be a number and not negative"));
    return 0;
}

double FieldReader::nonNegativeDouble(const char *key, double defaultValue)
{
    return has(key) ? nonNegativeDouble(key) : defaultValue;
}

bool FieldReader::boolean(const char *key, bool defaultValue)
{
    if (!has(key))
        return defaultValue;
    const QJsonValue value = requiredValue(key);
    if (!value.isBool())
        fail(QLatin1String(key), QStringLiteral("must be true or false"));
    return value.toBool(defaultValue);
}

QJsonObject FieldReader::object(const char *key)
{
    const QJsonValue value = requiredValue(key);
    if (!value.isObject())
        fail(QLatin1String(key), QStringLiteral("must be an object"));
    return value.toObject();
}

QJsonArray FieldReader::optionalArray(const char *key)
{
    if (!has(key))
        return {};
    const QJsonValue value = requiredValue(key);
    if (!value.isArray())
        fail(QLatin1String(key), QStringLiteral("must be an array"));
    return value.toArray();
}

std::optional<Error> FieldReader::firstError()
{
    for (const QString &key : m_object.keys()) {
        // An unknown field may be a misspelt optional field; ignoring it would change the meaning
        // of the request.
        if (!m_readKeys.contains(key))
            fail(key, QStringLiteral("unknown field"));
    }
    return m_error;
}

} // namespace shallotlever
