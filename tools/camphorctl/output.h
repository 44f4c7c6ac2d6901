#ifndef CAMPHORWIND_TOOLS_CAMPHORCTL_OUTPUT_H
#define CAMPHORWIND_TOOLS_CAMPHORCTL_OUTPUT_H

#include <string>
#include <vector>

namespace camphorwind::ctl {

/// How results are printed.
enum class OutputFormat { Table, Json };

/// Rows under named columns.
struct Table {
  std::vector<std::string> Columns_;
  std::vector<std::vector<std::string>> Rows_;
};

/// Prints \p Shown as aligned text, or as a JSON list of objects.
void print(const Table &Shown, OutputFormat Format);

} // namespace camphorwind::ctl

#endif // CAMPHORWIND_TOOLS_CAMPHORCTL_OUTPUT_H
