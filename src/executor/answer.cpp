#include "answer.h"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace shallotlever {

namespace {

QJsonValue toJson(const SqlParam &value)
{
    return value ? QJsonValue(QString::fromStdString(*value)) : QJsonValue(QJsonValue::Null);
}

SqlParam fromJson(const QJsonValue &value)
{
    return value.isNull() ? SqlParam() : SqlParam(value.toString().toStdString());
}

void addLengthPrefixed(QCryptographicHash &hash, const std::string &text)
{
    // The length prefix gives ("ab","c") and ("a","bc") different digests.
    hash.addData(QByteArray::number(static_cast<qulonglong>(text.size())) + ":");
    hash.addData(QByteArray::fromStdString(text));
}

} // namespace

StatementResponse makeStatementAnswer(QueryResult result, const UpstreamId &upstream)
{
    StatementResponse answer;
    answer.columns = std::move(result.columns);
    answer.rows = std::move(result.rows);
    answer.affectedRows = result.affectedRows;
    answer.upstream = upstream;
    return answer;
}

std::string encodeRecordedAnswer(const StatementResponse &answer)
{
    QJsonArray columns;
    for (const std::string &column : answer.columns)
        columns.append(QString::fromStdString(column));
    QJsonArray rows;
    for (const std::vector<SqlParam> &row : answer.rows) {
        QJsonArray values;
        for (const SqlParam &value : row)
            values.append(toJson(value));
        rows.append(values);
    }
    const QJsonObject object { { "columns", columns },
                               { "rows", rows },
                               { "affected_rows", QString::number(answer.affectedRows) } };
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

absl::StatusOr<StatementResponse> decodeRecordedAnswer(const std::string &json)
{
    const QJsonDocument document = QJsonDocument::fromJson(QByteArray::fromStdString(json));
    if (!document.isObject())
        return absl::DataLossError("the idempotency record is not a JSON object");
    StatementResponse answer;
    for (const QJsonValue &column : document["columns"].toArray())
        answer.columns.push_back(column.toString().toStdString());
    for (const QJsonValue &row : document["rows"].toArray()) {
        std::vector<SqlParam> values;
        for (const QJsonValue &value : row.toArray())
            values.push_back(fromJson(value));
        answer.rows.push_back(std::move(values));
    }
    answer.affectedRows = document["affected_rows"].toString().toULongLong();
    return answer;
}

std::string statementDigest(const std::string &sql, const std::vector<SqlParam> &params)
{
    QCryptographicHash hash(QCryptographicHash::Sha256);
    addLengthPrefixed(hash, sql);
    for (const SqlParam &param : params) {
        if (param)
            addLengthPrefixed(hash, *param);
        else
            hash.addData(QByteArray("null;"));
    }
    return hash.result().toHex().toStdString();
}

} // namespace shallotlever
