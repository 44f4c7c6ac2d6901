#ifndef CAMPHORWIND_DAEMONS_ROUTER_CLAIM_VIEWS_H
#define CAMPHORWIND_DAEMONS_ROUTER_CLAIM_VIEWS_H

#include "camphorwind/net/loop.h"
#include "camphorwind/platform/platform-client.h"
#include "camphorwind/request/claims.h"
#include "camphorwind/request/view-row.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace camphorwind::router {

struct ClaimViewsEvents {
  /// Returns the configured endpoints with the agents that are linked.
  std::function<std::vector<request::ListedAgent>()> Configured_;
  /// A newer view is in use.
  std::function<void(const request::ClaimView &)> OnView_;
};

/// Follows the table row with the claim views, and lists agents there that
/// have been replaced.
class ClaimViewKeeper {
public:
  ClaimViewKeeper(net::Loop &Owner, platform::PlatformClient &Platform,
                  ClaimViewsEvents Events);

  /// True once a view is in use.
  bool known() const { return Newest_ > 0; }

private:
  void poll();
  void onRow(const base::ReadResult &Read);
  void install(const request::ViewRow &Row);
  void propose(request::ViewRow Row, base::RowVersion Version);
  void wait();
  bool allLinked(const std::vector<request::ListedAgent> &Configured) const;

  net::Loop &Owner_;
  platform::PlatformClient &Platform_;
  ClaimViewsEvents Events_;
  std::uint64_t Newest_ = 0;
  /// When this router saw each older view replaced.
  std::unordered_map<std::uint64_t, base::TimePoint> ReplacedAt_;
  base::TimePoint Started_;
  net::Timer Timer_;
};

} // namespace camphorwind::router

#endif // CAMPHORWIND_DAEMONS_ROUTER_CLAIM_VIEWS_H
