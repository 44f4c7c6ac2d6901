#include "crash-watch.h"

#include <cerrno>
#include <chrono>
#include <utility>

namespace camphorwind::direct {

namespace {

using namespace std::chrono_literals;

/// Delay of the connection: a process that ends closes its connections and its
/// listening socket one after another.
constexpr auto ConnectDelay = 30ms;
/// A refusal arrives within a few milliseconds.
constexpr auto ConnectTimeout = 300ms;
/// Most suspects of one crash. More requests are in flight at an endpoint only
/// if they wait there, and those have not begun to run.
constexpr std::size_t MaxSuspects = 1000;

} // namespace

/// An endpoint that may have crashed.
struct CrashWatch::Inquiry {
  Inquiry(net::Loop &EventLoop, std::function<void()> OnTimer,
          net::FdWatcher::Callback OnReady)
      : Timer_(EventLoop, std::move(OnTimer)),
        Watcher_(EventLoop, std::move(OnReady)) {}

  ListedEndpoint Endpoint_;
  std::set<routing::Suspect> Suspects_;
  net::Socket Socket_;
  net::Timer Timer_;
  net::FdWatcher Watcher_;
};

void CrashWatch::attemptBroken(const ListedEndpoint &Endpoint,
                               const std::vector<routing::Suspect> &Suspects) {
  std::string Id = startName(Endpoint);
  auto Found = Open_.find(Id);
  if (Found == Open_.end()) {
    auto OnTimer = [this, Id] {
      if (Open_.at(Id)->Socket_.valid())
        finish(Id, false);
      else
        connect(Id);
    };
    auto OnReady = [this, Id](bool, bool) {
      finish(Id, net::pendingError(Open_.at(Id)->Socket_.fd()) == ECONNREFUSED);
    };
    Found =
        Open_.emplace(Id, std::make_shared<Inquiry>(Loop_, OnTimer, OnReady))
            .first;
    Found->second->Endpoint_ = Endpoint;
    Found->second->Timer_.start(ConnectDelay);
  }
  for (const routing::Suspect &Each : Suspects)
    if (Found->second->Suspects_.size() < MaxSuspects)
      Found->second->Suspects_.insert(Each);
}

void CrashWatch::connect(const std::string &Id) {
  Inquiry &Started = *Open_.at(Id);
  auto Opened = net::startConnect(Started.Endpoint_.Address_);
  if (!Opened) {
    finish(Id, Opened.error().Kind_ == base::IoErrorKind::Refused);
    return;
  }
  Started.Socket_ = std::move(Opened).value();
  Started.Watcher_.start(Started.Socket_.fd(), net::Interest::Write);
  Started.Timer_.start(ConnectTimeout);
}

void CrashWatch::finish(const std::string &Id, bool Refused) {
  auto Found = Open_.find(Id);
  std::shared_ptr<Inquiry> Ended = std::move(Found->second);
  Open_.erase(Found);
  Ended->Timer_.stop();
  Ended->Watcher_.stop();
  Ended->Socket_.close();
  if (Refused)
    OnCrash_(
        Ended->Endpoint_,
        {Id, {Ended->Suspects_.begin(), Ended->Suspects_.end()}, Loop_.now()});
  // Its own callback may be running.
  Loop_.post([Ended = std::move(Ended)] {});
}

std::string startName(const ListedEndpoint &Endpoint) {
  return Endpoint.Endpoint_.str() + "/" + Endpoint.StartId_;
}

} // namespace camphorwind::direct
