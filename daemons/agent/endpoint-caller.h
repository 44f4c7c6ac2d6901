#ifndef CAMPHORWIND_DAEMONS_AGENT_ENDPOINT_CALLER_H
#define CAMPHORWIND_DAEMONS_AGENT_ENDPOINT_CALLER_H

#include "settings.h"
#include "usage-meter.h"

#include "camphorwind/net/http-client.h"
#include "camphorwind/request/attempts.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace camphorwind::agent {

/// What the calls at the endpoint report.
struct EndpointEvents {
  std::function<void(const base::AttemptId &, request::AnswerHead)> OnHead_;
  std::function<void(const base::AttemptId &, std::string Bytes)> OnBytes_;
  std::function<void(const base::AttemptId &, request::Usage)> OnUsage_;
  /// Last event of a call that was not stopped.
  std::function<void(const base::AttemptId &, request::EndpointEnd)> OnEnd_;
  /// Whether the reader of this attempt can take more now.
  std::function<bool(const base::AttemptId &)> HasRoom_;
};

/// Makes the calls to the endpoint beside this agent and meters them.
class EndpointCaller {
public:
  EndpointCaller(net::HttpClient &Http, const AgentSettings &Settings,
                 EndpointEvents Events);

  /// Starts a call, on a connection of its own.
  void run(const request::RunAtEndpoint &Run);
  /// Ends a call; no event follows for it.
  void stop(const base::AttemptId &Attempt);
  /// The reader of a held back answer has room again.
  void resume(const base::AttemptId &Attempt);

private:
  struct Running {
    net::HttpCallId Call_ = 0;
    base::Tokens Bound_;
    unsigned Status_ = 0;
    bool Paused_ = false;
    UsageMeter Meter_;
  };

  void onHead(const base::AttemptId &Attempt, unsigned Status,
              std::string_view ContentType);
  net::BodyFlow onBody(const base::AttemptId &Attempt, std::string_view Data);
  void onEnd(const base::AttemptId &Attempt,
             const base::Result<unsigned, net::HttpCallError> &End);
  request::EndpointEnd endOf(unsigned Status) const;
  void reportUsage(const base::AttemptId &Attempt, const Running &Ended);

  net::HttpClient &Http_;
  AgentSettings Settings_;
  EndpointEvents Events_;
  std::unordered_map<base::AttemptId, Running> Running_;
};

} // namespace camphorwind::agent

#endif // CAMPHORWIND_DAEMONS_AGENT_ENDPOINT_CALLER_H
