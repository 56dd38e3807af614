#include <algorithm>
#include <functional>

#include <QJsonArray>
#include <fmt/format.h>

#include "report.h"

namespace shallotlever::load {

namespace {

constexpr int kWidth = 900;
constexpr int kPanelHeight = 150;
constexpr int kLeft = 70;
constexpr int kTop = 30;

struct Line
{
    std::string name;
    std::string colour;
    std::vector<double> values;
};

std::vector<double> valuesOf(const QJsonObject &report,
                             const std::function<double(const QJsonValue &)> &value)
{
    std::vector<double> result;
    for (const QJsonValue &bucket : report["series"].toArray())
        result.push_back(value(bucket));
    return result;
}

std::string polyline(const Line &line, double highest, int top)
{
    std::string points;
    const double step = static_cast<double>(kWidth - kLeft)
        / static_cast<double>(std::max<std::size_t>(line.values.size(), 2) - 1);
    for (std::size_t i = 0; i < line.values.size(); ++i) {
        points += fmt::format("{:.1f},{:.1f} ", kLeft + step * static_cast<double>(i),
                              top + kPanelHeight * (1 - line.values[i] / highest));
    }
    return fmt::format(R"(<polyline fill="none" stroke="{}" points="{}"/>)", line.colour, points);
}

/// One diagram; `row` counts from the top.
std::string panel(const std::string &title, const std::vector<Line> &lines, int row)
{
    const int top = kTop + row * (kPanelHeight + 50);
    double highest = 1;
    for (const Line &line : lines) {
        for (const double value : line.values)
            highest = std::max(highest, value);
    }
    std::string text = fmt::format(
        R"(<text x="{}" y="{}">{}</text><rect x="{}" y="{}" width="{}" height="{}" fill="none" )"
        R"(stroke="#999"/><text x="5" y="{}">{:.0f}</text><text x="5" y="{}">0</text>)",
        kLeft, top - 8, title, kLeft, top, kWidth - kLeft, kPanelHeight, top + 10, highest,
        top + kPanelHeight);
    int x = kLeft + 330;
    for (const Line &line : lines) {
        text += polyline(line, highest, top);
        text += fmt::format(R"(<text x="{}" y="{}" fill="{}">{}</text>)", x, top - 8, line.colour,
                            line.name);
        x += 85;
    }
    return text + "\n";
}

std::string document(const std::string &title, const std::vector<std::string> &panels,
                     const std::string &footer)
{
    const int height = kTop + static_cast<int>(panels.size()) * (kPanelHeight + 50) + 30;
    std::string body;
    for (const std::string &part : panels)
        body += part;
    return fmt::format(
        R"(<svg xmlns="http://www.w3.org/2000/svg" width="{}" height="{}" font-size="12" )"
        R"(font-family="sans-serif"><rect width="100%" height="100%" fill="white"/>)"
        "<title>{}</title>\n{}"
        R"(<text x="{}" y="{}">{}</text></svg>)"
        "\n",
        kWidth + 20, height, title, body, kLeft, height - 10, footer);
}

double answeredTotal(const QJsonValue &bucket)
{
    double sum = 0;
    for (const QJsonValue &count : bucket["answered"].toObject())
        sum += count.toDouble();
    return sum;
}

std::string gapText(const QJsonObject &report)
{
    std::string result;
    for (const char *field : { "write_gaps", "read_gaps" }) {
        const QJsonObject gaps = report[QLatin1String(field)].toObject();
        for (auto it = gaps.begin(); it != gaps.end(); ++it)
            result += fmt::format("{} {}: {:.0f} ms; ", field, it.key().toStdString(),
                                  it.value().toObject()["longest_ms"].toDouble());
    }
    return result;
}

std::vector<Line> kindLines(const QJsonObject &report)
{
    static constexpr std::array<const char *, kKindCount> kColours {
        "#4477aa", "#66ccee", "#228833", "#ccbb44", "#ee6677", "#aa3377", "#777777"
    };
    std::vector<Line> lines;
    for (std::size_t i = 0; i < kKindCount; ++i) {
        const std::string name(kindName(static_cast<Kind>(i)));
        lines.push_back({ name, kColours.at(i), valuesOf(report, [&name](const QJsonValue &b) {
                              return b["answered"][QString::fromStdString(name)].toDouble();
                          }) });
    }
    return lines;
}

double field(const QJsonValue &bucket, const char *name)
{
    return bucket[QLatin1String(name)].toDouble();
}

Line lineOf(const QJsonObject &report, const char *name, const char *label, const char *colour)
{
    return { label, colour,
             valuesOf(report, [name](const QJsonValue &b) { return field(b, name); }) };
}

struct Row
{
    const char *name;
    std::function<double(const QJsonObject &)> value;
};

double longest(const QJsonObject &report, const char *gaps)
{
    double result = 0;
    for (const QJsonValue &gap : report[QLatin1String(gaps)].toObject())
        result = std::max(result, gap["longest_ms"].toDouble());
    return result;
}

std::vector<Row> comparedRows()
{
    std::vector<Row> rows;
    for (const char *name : { "stale_reads_by_replica", "own_reads_by_replica", "worst_team_served",
                              "refused_inside_rate_share", "connections_lost" }) {
        rows.push_back({ name, [name](const QJsonObject &report) {
                            return report["summary"][QLatin1String(name)].toDouble();
                        } });
    }
    rows.push_back(
        { "longest_write_gap_ms", [](const QJsonObject &r) { return longest(r, "write_gaps"); } });
    rows.push_back(
        { "longest_read_gap_ms", [](const QJsonObject &r) { return longest(r, "read_gaps"); } });
    rows.push_back(
        { "blank_boards", [](const QJsonObject &r) { return r["blank_boards"].toDouble(); } });
    rows.push_back(
        { "violations", [](const QJsonObject &r) { return r["violations"]["total"].toDouble(); } });
    return rows;
}

} // namespace

std::string plotSvg(const QJsonObject &report)
{
    return document(report["workload"].toString().toHtmlEscaped().toStdString(),
                    { panel("answered per 100 ms", kindLines(report), 0),
                      panel("refused or lost per 100 ms",
                            { lineOf(report, "refused", "refused", "#ee6677") }, 1),
                      panel("latency, ms",
                            { lineOf(report, "mean_ms", "mean", "#4477aa"),
                              lineOf(report, "max_ms", "max", "#ccbb44") },
                            2) },
                    gapText(report));
}

std::string compareText(const QJsonObject &a, const QJsonObject &b)
{
    std::string text = fmt::format("{:<28}{:>14}{:>14}\n", "measure", "A", "B");
    for (const Row &row : comparedRows())
        text += fmt::format("{:<28}{:>14.4f}{:>14.4f}\n", row.name, row.value(a), row.value(b));
    return text;
}

std::string compareSvg(const QJsonObject &a, const QJsonObject &b)
{
    const auto pair = [&](const char *title, const auto &value, int row) {
        return panel(
            title,
            { { "A", "#4477aa", valuesOf(a, value) }, { "B", "#ee6677", valuesOf(b, value) } },
            row);
    };
    const auto named = [](const char *name) {
        return [name](const QJsonValue &bucket) { return field(bucket, name); };
    };
    return document("comparison",
                    { pair("answered per 100 ms", answeredTotal, 0),
                      pair("refused or lost per 100 ms", named("refused"), 1),
                      pair("highest latency, ms", named("max_ms"), 2) },
                    "A: " + a["workload"].toString().toHtmlEscaped().toStdString()
                        + ", B: " + b["workload"].toString().toHtmlEscaped().toStdString());
}

} // namespace shallotlever::load
