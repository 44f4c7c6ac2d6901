#ifndef CAMPHORWIND_DAEMONS_AGENT_LOAD_READER_H
#define CAMPHORWIND_DAEMONS_AGENT_LOAD_READER_H

#include "settings.h"

#include "camphorwind/net/http-client.h"
#include "camphorwind/net/loop.h"
#include "camphorwind/routing/messages.h"

#include <functional>

namespace camphorwind::agent {

/// Reads the endpoint's load report at an interval.
class LoadReader {
public:
  LoadReader(net::Loop &Owner, net::HttpClient &Http,
             const AgentSettings &Settings,
             std::function<void(routing::LoadReport)> OnReport);

private:
  void read();
  void take(const std::string &Body, base::TimePoint Asked);

  net::Loop &Owner_;
  net::HttpClient &Http_;
  AgentSettings Settings_;
  std::function<void(routing::LoadReport)> OnReport_;
  net::Timer Timer_;
};

} // namespace camphorwind::agent

#endif // CAMPHORWIND_DAEMONS_AGENT_LOAD_READER_H
