#ifndef CAMPHORWIND_DAEMONS_AGENT_USAGE_METER_H
#define CAMPHORWIND_DAEMONS_AGENT_USAGE_METER_H

#include "camphorwind/request/messages.h"

#include <string>
#include <string_view>

namespace camphorwind::agent {

/// Reads the tokens used out of a model engine's answer as it passes.
///
/// The engine's own `usage` counts once it has been seen. Before that each
/// event of a stream counts as one output token.
class UsageMeter {
public:
  /// \p ContentType tells a stream of events from a whole JSON answer.
  void begin(std::string_view ContentType);
  void feed(std::string_view Bytes);
  /// The answer is complete.
  void finish();

  /// Whether the answer so far is a stream that has ended inside an event, or
  /// before its first one.
  bool truncated() const;

  const request::Usage &usage() const { return Usage_; }
  /// True once the engine has reported its own count.
  bool reported() const { return Reported_; }

private:
  void takeLine(std::string_view Line);
  void takeJson(std::string_view Text);

  bool Events_ = false;
  bool Reported_ = false;
  /// The last line other than a comment belongs to an event that has not ended;
  /// also before the first event.
  bool EventOpen_ = true;
  /// An unfinished line, or the whole body when it is not a stream.
  std::string Pending_;
  request::Usage Usage_;
};

} // namespace camphorwind::agent

#endif // CAMPHORWIND_DAEMONS_AGENT_USAGE_METER_H
