#ifndef CAMPHORWIND_DAEMONS_DIRECT_CRASH_WATCH_H
#define CAMPHORWIND_DAEMONS_DIRECT_CRASH_WATCH_H

#include "camphorwind/direct/endpoint-list.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/net/socket.h"
#include "camphorwind/routing/quarantine.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace camphorwind::direct {

/// Tells attempts that broke with their endpoint's process from others.
///
/// Soon after an attempt broke, a connection to the endpoint is tried. If it is
/// refused, nothing listens there any more: the endpoint has crashed. If it is
/// made, or not answered, the attempt broke for another reason.
class CrashWatch {
public:
  using OnCrash =
      std::function<void(const ListedEndpoint &, const routing::CrashReport &)>;

  /// \p Callback receives each crash once, with the suspects of all attempts
  /// that broke with it.
  CrashWatch(net::Loop &EventLoop, OnCrash Callback)
      : Loop_(EventLoop), OnCrash_(std::move(Callback)) {}

  /// Checks the endpoint of an attempt that broke. \p Suspects are what may
  /// have caused a crash.
  void attemptBroken(const ListedEndpoint &Endpoint,
                     const std::vector<routing::Suspect> &Suspects);

private:
  struct Inquiry;

  void connect(const std::string &Id);
  void finish(const std::string &Id, bool Refused);

  net::Loop &Loop_;
  OnCrash OnCrash_;
  std::map<std::string, std::shared_ptr<Inquiry>> Open_;
};

/// Returns a name of one start of an endpoint, the same on all routers.
std::string startName(const ListedEndpoint &Endpoint);

} // namespace camphorwind::direct

#endif // CAMPHORWIND_DAEMONS_DIRECT_CRASH_WATCH_H
