#ifndef CAMPHORWIND_REQUEST_VIEW_ROW_H
#define CAMPHORWIND_REQUEST_VIEW_ROW_H

#include "camphorwind/base/ids.h"
#include "camphorwind/request/claims.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The table row that stores the claim views in use, and its updates.
namespace camphorwind::request {

/// Table key of the row.
inline constexpr const char *ViewRowKey = "claims/views";

/// The agent of an endpoint, as listed in the row or as known to one router.
struct ListedAgent {
  base::EndpointId Endpoint_;
  base::FailureDomainId Domain_;
  /// Empty when the router has no link to the agent.
  base::Incarnation Agent_;
  friend bool operator==(const ListedAgent &, const ListedAgent &) = default;
};

/// A claim view as stored in the row.
struct ListedView {
  std::uint64_t Number_ = 0;
  std::vector<ListedAgent> Agents_;
};

/// The claim views in use, oldest first; the last one is current.
struct ViewRow {
  std::vector<ListedView> Views_;
};

/// Returns the row's JSON text.
std::string encodeViewRow(const ViewRow &Row);
/// Returns nothing when \p Text is not a valid view row.
std::optional<ViewRow> decodeViewRow(const std::string &Text);

/// Converts a stored view to the form that routers use.
ClaimView claimView(const ListedView &Listed);

/// Returns \p Row with a new current view added, or nothing if that view would
/// have no agents or those of the current view.
///
/// \p Configured has one entry per configured endpoint. An endpoint without a
/// link keeps the agent that the current view lists for it. An incarnation that
/// a view in the row listed and a later one replaced is not listed again, so a
/// router with outdated information cannot undo the replacement.
std::optional<ViewRow> nextViewRow(const ViewRow &Row,
                                   const std::vector<ListedAgent> &Configured);

} // namespace camphorwind::request

#endif // CAMPHORWIND_REQUEST_VIEW_ROW_H
