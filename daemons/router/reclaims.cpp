#include "reclaims.h"

#include "camphorwind/observe/log.h"

#include <set>
#include <string>
#include <utility>

namespace camphorwind::router {
namespace {

using std::chrono::seconds;

/// Time between two reads of all lease rows.
constexpr base::Duration ReadInterval = seconds(5);
/// A lease row that has not changed for this long is suspect; three times the
/// interval at which a live router renews it.
constexpr base::Duration SuspectAfter = seconds(30);

} // namespace

Reclaims::Reclaims(net::Loop &Owner, platform::PlatformClient &Platform,
                   base::Incarnation Self, Send ToAgent)
    : Owner_(Owner), Platform_(Platform), Self_(std::move(Self)),
      Send_(std::move(ToAgent)) {}

void Reclaims::tick() {
  if (!Reading_ && Owner_.now() >= NextRead_)
    readLeases();
  std::vector<base::Incarnation> Routers;
  for (const auto &[Router, Unused] : Running_)
    Routers.push_back(Router);
  for (const base::Incarnation &Router : Routers)
    with(Router, [&](budget::Reclaimer &Each) { Each.tick(Owner_.now()); });
}

void Reclaims::readLeases() {
  Reading_ = true;
  Platform_.scan(std::string(budget::LeasePrefix),
                 [this](const base::ReadResult &Found) { onLeases(Found); });
}

void Reclaims::onLeases(const base::ReadResult &Found) {
  Reading_ = false;
  const base::TimePoint Now = Owner_.now();
  NextRead_ = Now + ReadInterval;
  if (Found.Status_ != base::ReadStatus::Ok) {
    // Leases may have been renewed unseen: start to count anew.
    Watched_.clear();
    return;
  }
  std::map<base::Incarnation, Watched> Seen;
  for (const base::Row &Row : Found.Rows_) {
    const base::Incarnation Router(Row.Key_.substr(budget::LeasePrefix.size()));
    if (Router == Self_)
      continue;
    const auto Known = Watched_.find(Router);
    const bool Same =
        Known != Watched_.end() && Known->second.Version_ == Row.Version_;
    Seen[Router] = Same ? Known->second : Watched{Row.Version_, Now};
  }
  Watched_ = std::move(Seen);
  for (auto &[Router, State] : Watched_) {
    if (Now - State.Since_ < SuspectAfter || Running_.contains(Router))
      continue;
    State.Since_ = Now;
    start(Router);
  }
}

void Reclaims::start(const base::Incarnation &Router) {
  observe::log(observe::LogLevel::Warning, "reclaim_started",
               {{"router", Router.str()}});
  auto &Added = Running_[Router];
  Added = std::make_unique<budget::Reclaimer>(budget::ReclaimerSettings{},
                                              Router, Counters_);
  Added->start(Owner_.now());
  pump(Router);
}

void Reclaims::onLivenessReply(const budget::LivenessReply &Reply) {
  with(Reply.Router_, [&](budget::Reclaimer &Each) {
    Each.onLivenessReply(Reply, Owner_.now());
  });
}

void Reclaims::onSealReply(const budget::SealReply &Reply) {
  with(Reply.Router_,
       [&](budget::Reclaimer &Each) { Each.onSealReply(Reply, Owner_.now()); });
}

void Reclaims::with(const base::Incarnation &Router,
                    const std::function<void(budget::Reclaimer &)> &Do) {
  const auto Found = Running_.find(Router);
  if (Found == Running_.end())
    return;
  Do(*Found->second);
  pump(Router);
}

void Reclaims::pump(const base::Incarnation &Router) {
  const base::Incarnation Id = Router;
  for (;;) {
    const auto Found = Running_.find(Id);
    if (Found == Running_.end())
      return;
    const auto Actions = Found->second->takeActions();
    if (Actions.empty())
      return;
    for (const budget::ReclaimerAction &Action : Actions)
      std::visit([&](const auto &Value) { perform(Id, Value); }, Action);
  }
}

void Reclaims::perform(const base::Incarnation &Router,
                       const budget::Transact &Do) {
  Platform_.transact(Do.Change_,
                     [this, Router](const base::TransactionResult &Result) {
                       with(Router, [&](budget::Reclaimer &Each) {
                         Each.onTransaction(Result, Owner_.now());
                       });
                     });
}

void Reclaims::perform(const base::Incarnation &Router,
                       const budget::ReadRow &Do) {
  Platform_.read(Do.Key_, [this, Router](const base::ReadResult &Result) {
    with(Router,
         [&](budget::Reclaimer &Each) { Each.onRead(Result, Owner_.now()); });
  });
}

void Reclaims::perform(const base::Incarnation &Router,
                       const budget::ScanRows &Do) {
  Platform_.scan(Do.Prefix_, [this, Router](const base::ReadResult &Result) {
    with(Router,
         [&](budget::Reclaimer &Each) { Each.onRead(Result, Owner_.now()); });
  });
}

void Reclaims::perform(const base::Incarnation &,
                       const budget::AskLiveness &Do) {
  Send_(Do.Witness_.Agent_, Do.Request_);
}

void Reclaims::perform(const base::Incarnation &, const budget::AskSeal &Do) {
  Send_(Do.Witness_.Agent_, Do.Request_);
}

void Reclaims::perform(const base::Incarnation &Router,
                       const budget::ReclaimEnded &Do) {
  observe::log(observe::LogLevel::Info, "reclaim_ended",
               {{"router", Router.str()},
                {"outcome", std::string(toString(Do.Outcome_))}});
  Running_.erase(Router);
}

void Reclaims::publish(observe::Metrics &Target) const {
  const auto Show = [&](const char *Name, std::uint64_t Value) {
    Target.gauge(Name, static_cast<double>(Value));
  };
  Show("reclaims_started", Counters_.Started_);
  Show("reclaims_still_alive", Counters_.StillAlive_);
  Show("reclaims_revoked", Counters_.Revoked_);
  Show("reclaimed_slices", Counters_.SlicesReturned_);
  Show("tokens_reclaimed",
       static_cast<std::uint64_t>(Counters_.TokensReturned_.count()));
  base::Tokens Stranded;
  for (const auto &[Unused, Each] : Running_)
    Stranded += Each->stranded();
  Show("tokens_stranded", static_cast<std::uint64_t>(Stranded.count()));
}

} // namespace camphorwind::router
