#pragma once

#include <string>
#include <vector>

#include <QJsonObject>

namespace shallotlever {

/// Left-aligned columns with a header line; every row has as many cells as the header.
std::string formatTable(const std::vector<std::string> &header,
                        const std::vector<std::vector<std::string>> &rows);

/// The field as text: a number, yes or no, the items of an array separated by commas, or `-`.
std::string cellText(const QJsonObject &object, const char *field);

} // namespace shallotlever
