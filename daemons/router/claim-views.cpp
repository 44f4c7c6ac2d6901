#include "claim-views.h"

#include "camphorwind/observe/log.h"

#include <algorithm>
#include <utility>

namespace camphorwind::router {

using namespace std::chrono_literals;

namespace {

constexpr auto PollInterval = 1s;
/// Pause between reads while no view is known.
constexpr auto FirstPollInterval = 100ms;
/// How long the first view waits for links to every agent.
constexpr auto FirstViewWait = 2s;

} // namespace

ClaimViewKeeper::ClaimViewKeeper(net::Loop &Owner,
                                 platform::PlatformClient &Platform,
                                 ClaimViewsEvents Events)
    : Owner_(Owner), Platform_(Platform), Events_(std::move(Events)),
      Started_(Owner.now()), Timer_(Owner, [this] { poll(); }) {
  Timer_.start(0s);
}

void ClaimViewKeeper::poll() {
  Platform_.read(request::ViewRowKey,
                 [this](const base::ReadResult &Read) { onRow(Read); });
}

void ClaimViewKeeper::wait() {
  Timer_.start(known() ? base::Duration(PollInterval)
                       : base::Duration(FirstPollInterval));
}

void ClaimViewKeeper::onRow(const base::ReadResult &Read) {
  if (Read.Status_ != base::ReadStatus::Ok)
    return wait();
  request::ViewRow Row;
  base::RowVersion Version = 0;
  if (!Read.Rows_.empty()) {
    auto Decoded = request::decodeViewRow(Read.Rows_.front().Value_);
    if (!Decoded) {
      observe::log(observe::LogLevel::Error, "claim_views_malformed", {});
      return wait();
    }
    Row = std::move(*Decoded);
    Version = Read.Rows_.front().Version_;
  }
  install(Row);
  std::vector<request::ListedAgent> Configured = Events_.Configured_();
  bool TooEarly = Row.Views_.empty() && !allLinked(Configured) &&
                  Owner_.now() - Started_ < FirstViewWait;
  auto Next = TooEarly ? std::nullopt : request::nextViewRow(Row, Configured);
  if (!Next)
    return wait();
  propose(std::move(*Next), Version);
}

void ClaimViewKeeper::install(const request::ViewRow &Row) {
  base::TimePoint Now = Owner_.now();
  for (const request::ListedView &View : Row.Views_) {
    if (View.Number_ != Row.Views_.back().Number_)
      ReplacedAt_.try_emplace(View.Number_, Now);
    if (View.Number_ <= Newest_)
      continue;
    Newest_ = View.Number_;
    observe::log(observe::LogLevel::Info, "claim_view",
                 {{"number", View.Number_}, {"agents", View.Agents_.size()}});
    Events_.OnView_(request::claimView(View));
  }
}

void ClaimViewKeeper::propose(request::ViewRow Row, base::RowVersion Version) {
  base::TimePoint Now = Owner_.now();
  std::erase_if(Row.Views_, [&](const request::ListedView &View) {
    auto Replaced = ReplacedAt_.find(View.Number_);
    return Replaced != ReplacedAt_.end() &&
           Now - Replaced->second > request::ClaimRetention;
  });
  base::Transaction Change{
      {{request::ViewRowKey, Version}},
      {{request::ViewRowKey, request::encodeViewRow(Row)}}};
  Platform_.transact(
      std::move(Change), [this](const base::TransactionResult &Result) {
        // Whatever became of it, the row tells.
        bool Wrote = Result.Status_ == base::TransactionStatus::Committed;
        Timer_.start(Wrote ? base::Duration(0s)
                           : base::Duration(FirstPollInterval));
      });
}

bool ClaimViewKeeper::allLinked(
    const std::vector<request::ListedAgent> &Configured) const {
  return !Configured.empty() &&
         std::none_of(Configured.begin(), Configured.end(),
                      [](const request::ListedAgent &Each) {
                        return Each.Agent_.empty();
                      });
}

} // namespace camphorwind::router
