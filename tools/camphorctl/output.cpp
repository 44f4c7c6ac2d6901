#include "output.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace camphorwind::ctl {

namespace {

void printLine(const std::vector<std::string> &Cells,
               const std::vector<std::size_t> &Widths) {
  std::string Line;
  for (std::size_t Column = 0; Column < Cells.size(); ++Column) {
    Line += Cells[Column];
    if (Column + 1 < Cells.size())
      Line.append(Widths[Column] - Cells[Column].size() + 2, ' ');
  }
  std::cout << Line << "\n";
}

void printTable(const Table &Shown) {
  std::vector<std::size_t> Widths;
  for (const std::string &Column : Shown.Columns_)
    Widths.push_back(Column.size());
  for (const auto &Row : Shown.Rows_)
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
  printLine(Shown.Columns_, Widths);
  for (const auto &Row : Shown.Rows_)
    printLine(Row, Widths);
}

void printJson(const Table &Shown) {
  auto List = nlohmann::ordered_json::array();
  for (const auto &Row : Shown.Rows_) {
    auto Item = nlohmann::ordered_json::object();
    for (std::size_t Column = 0; Column < Row.size(); ++Column)
      Item[Shown.Columns_[Column]] = Row[Column];
    List.push_back(std::move(Item));
  }
  std::cout << List.dump(2) << "\n";
}

} // namespace

void print(const Table &Shown, OutputFormat Format) {
  if (Format == OutputFormat::Json)
    printJson(Shown);
  else
    printTable(Shown);
}

} // namespace camphorwind::ctl
