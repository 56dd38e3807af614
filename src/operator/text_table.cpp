#include "text_table.h"

#include <algorithm>

#include <QJsonArray>
#include <QJsonDocument>
#include <fmt/format.h>

namespace shallotlever {

namespace {

constexpr const char *kNone = "-";

std::string valueText(const QJsonValue &value)
{
    if (value.isBool())
        return value.toBool() ? "yes" : "no";
    if (value.isDouble())
        return value.toVariant().toString().toStdString();
    const std::string text = value.toString().toStdString();
    return text.empty() ? kNone : text;
}

std::string formatLine(const std::vector<std::string> &cells,
                       const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i)
        line += i + 1 == cells.size() ? cells[i] : fmt::format("{:<{}}  ", cells[i], widths[i]);
    return line + "\n";
}

} // namespace

std::string formatTable(const std::vector<std::string> &header,
                        const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (std::size_t i = 0; i < header.size(); ++i) {
        widths.push_back(header[i].size());
        for (const std::vector<std::string> &row : rows)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text = formatLine(header, widths);
    for (const std::vector<std::string> &row : rows)
        text += formatLine(row, widths);
    return text;
}

std::string cellText(const QJsonObject &object, const char *field)
{
    const QJsonValue value = object.value(QLatin1String(field));
    if (!value.isArray())
        return valueText(value);
    std::string text;
    for (const QJsonValue &item : value.toArray())
        text += (text.empty() ? "" : ",") + valueText(item);
    return text.empty() ? kNone : text;
}

} // namespace shallotlever
