#include "endpoint-caller.h"

#include "../common/refusals.h"

#include <algorithm>
#include <utility>

namespace camphorwind::agent {

namespace {

constexpr unsigned FirstErrorStatus = 400;
constexpr unsigned FirstServerErrorStatus = 500;

request::EndpointEnd endOf(const net::HttpCallError &Error) {
  switch (Error.Kind_) {
  case net::HttpCallErrorKind::NotSent:
    return request::EndpointEnd::NotReached;
  case net::HttpCallErrorKind::Stalled:
  case net::HttpCallErrorKind::TimedOut:
    return request::EndpointEnd::Stalled;
  case net::HttpCallErrorKind::Lost:
  case net::HttpCallErrorKind::Malformed:
    return request::EndpointEnd::Failed;
  }
  return request::EndpointEnd::Failed;
}

} // namespace

EndpointCaller::EndpointCaller(net::HttpClient &Http,
                               const AgentSettings &Settings,
                               EndpointEvents Events)
    : Http_(Http), Settings_(Settings), Events_(std::move(Events)) {}

void EndpointCaller::run(const request::RunAtEndpoint &Run) {
  net::HttpCall Call;
  Call.Method_ = "POST";
  Call.Url_ = "http://" + toString(Settings_.Target_) + Run.Call_.Path_;
  Call.Headers_.add("Content-Type", Run.Call_.ContentType_);
  Call.Headers_.add("X-Request-Id", Run.Attempt_.str());
  Call.Body_ = Run.Call_.Body_;
  Call.ConnectTimeout_ = Settings_.ConnectTimeout_;
  Call.StallTimeout_ = Settings_.StallTimeout_;
  // Endpoints do not say which attempt an answer belongs to: on a kept
  // connection, it may be a late one to an earlier attempt.
  Call.FreshConnection_ = true;
  net::HttpCallEvents Events;
  Events.OnHead_ = [this, Attempt = Run.Attempt_](unsigned Status,
                                                  std::string_view Type) {
    onHead(Attempt, Status, Type);
  };
  Events.OnBody_ = [this, Attempt = Run.Attempt_](std::string_view Data) {
    return onBody(Attempt, Data);
  };
  Events.OnEnd_ = [this, Attempt = Run.Attempt_](auto End) {
    onEnd(Attempt, End);
  };
  Running &Started = Running_[Run.Attempt_];
  Started.Bound_ = Run.Bound_;
  Started.Call_ = Http_.start(std::move(Call), std::move(Events));
}

void EndpointCaller::stop(const base::AttemptId &Attempt) {
  auto Found = Running_.find(Attempt);
  if (Found == Running_.end())
    return;
  reportUsage(Attempt, Found->second);
  Http_.cancel(Found->second.Call_);
  Running_.erase(Attempt);
}

void EndpointCaller::resume(const base::AttemptId &Attempt) {
  auto Found = Running_.find(Attempt);
  if (Found == Running_.end() || !std::exchange(Found->second.Paused_, false))
    return;
  Http_.resume(Found->second.Call_);
}

void EndpointCaller::onHead(const base::AttemptId &Attempt, unsigned Status,
                            std::string_view ContentType) {
  auto Found = Running_.find(Attempt);
  if (Found == Running_.end())
    return;
  Found->second.Status_ = Status;
  if (endOf(Status) != request::EndpointEnd::Complete)
    return;
  Found->second.Meter_.begin(ContentType);
  Events_.OnHead_(
      Attempt, {static_cast<std::uint16_t>(Status), std::string(ContentType)});
}

net::BodyFlow EndpointCaller::onBody(const base::AttemptId &Attempt,
                                     std::string_view Data) {
  auto Found = Running_.find(Attempt);
  if (Found == Running_.end() ||
      endOf(Found->second.Status_) != request::EndpointEnd::Complete)
    return net::BodyFlow::Continue;
  if (!Events_.HasRoom_(Attempt)) {
    Found->second.Paused_ = true;
    return net::BodyFlow::Pause;
  }
  Found->second.Meter_.feed(Data);
  bool OverBound = Found->second.Meter_.usage().Output_ > Found->second.Bound_;
  Events_.OnBytes_(Attempt, std::string(Data));
  if (OverBound) {
    stop(Attempt);
    Events_.OnEnd_(Attempt, request::EndpointEnd::Failed);
  }
  return net::BodyFlow::Continue;
}

void EndpointCaller::onEnd(
    const base::AttemptId &Attempt,
    const base::Result<unsigned, net::HttpCallError> &End) {
  auto Found = Running_.find(Attempt);
  if (Found == Running_.end())
    return;
  bool Truncated = Found->second.Meter_.truncated();
  if (End)
    Found->second.Meter_.finish();
  reportUsage(Attempt, Found->second);
  Running_.erase(Found);
  if (!End)
    Events_.OnEnd_(Attempt, agent::endOf(End.error()));
  else
    Events_.OnEnd_(Attempt, Truncated ? request::EndpointEnd::Failed
                                      : endOf(End.value()));
}

/// An engine's server errors are answered by another engine, and so are the
/// statuses by which a caller would take the call for not run. A plain
/// service's answers all go to the caller, since the call may have run.
request::EndpointEnd EndpointCaller::endOf(unsigned Status) const {
  bool Retriable =
      Status >= FirstServerErrorStatus || daemons::isNotExecutedStatus(Status);
  if (Settings_.Kind_ == EndpointKind::ModelEngine && Retriable)
    return request::EndpointEnd::Failed;
  return request::EndpointEnd::Complete;
}

void EndpointCaller::reportUsage(const base::AttemptId &Attempt,
                                 const Running &Ended) {
  if (Ended.Status_ == 0 || Ended.Status_ >= FirstErrorStatus)
    return;
  // A plain call costs its price, which is what was reserved for it.
  if (Settings_.Kind_ == EndpointKind::PlainService) {
    Events_.OnUsage_(Attempt, {Ended.Bound_, base::Tokens(0)});
    return;
  }
  request::Usage Used = Ended.Meter_.usage();
  // Nothing beyond the reservation is ever billed.
  Used.Prompt_ = std::min(Used.Prompt_, Ended.Bound_);
  Used.Output_ = std::min(Used.Output_, Ended.Bound_ - Used.Prompt_);
  Events_.OnUsage_(Attempt, Used);
}

} // namespace camphorwind::agent
