#include "forwarded-request.h"

#include "../common/refusals.h"

#include "camphorwind/observe/log.h"

#include <algorithm>
#include <utility>

namespace camphorwind::direct {

namespace {

using base::RefusalReason;
using observe::LogLevel;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

/// Longest wait for tokens to be drawn from the table: some transactions.
constexpr milliseconds TokenWait = 300ms;
/// Until routers that hold more than they need have returned it.
constexpr milliseconds TokensElsewhereWait = 1500ms;
/// Sends of one request, those that reached nobody included.
constexpr unsigned MaxSends = 4;
/// Below this rest of its time a request is not tried again.
constexpr milliseconds LeastTimeForRetry = 50ms;
/// Bytes that a slow caller may leave in our memory before its endpoint has to
/// wait.
constexpr std::size_t MaxBuffered = 256UL * 1024;
/// Connections that were idle for longer are not used for calls that may run
/// only once: the peer may have dropped them.
constexpr milliseconds MaxIdleOnce = 2000ms;
constexpr milliseconds MaxIdle = 10000ms;
constexpr milliseconds ConnectTimeout = 500ms;
/// Silence of a stream after which it goes on elsewhere, if it may.
constexpr milliseconds StreamStall = 1200ms;
/// Before its first byte an attempt is given up after this many times the
/// expected time and the objective; half of that at a silent endpoint.
constexpr int StallFactor = 4;
constexpr int StallObjectives = 3;
/// Without a configuration source for this long, what is not in the
/// configuration may still exist.
constexpr milliseconds SourceSilence = 1000ms;
/// Refused callers come back after this time at least. They reach another
/// router, which may have what is missing here, and still be in time.
constexpr milliseconds LeastRetryAfter = 50ms;

constexpr int LeastUrgent = 9;

std::int64_t toMilliseconds(base::Duration Span) {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.find(':'));
}

} // namespace

ForwardedRequest::ForwardedRequest(Forwarding &Shared, net::HttpRequest Request,
                                   std::shared_ptr<net::HttpExchange> Out)
    : Shared_(Shared), Request_(std::move(Request)), Out_(std::move(Out)),
      View_(Shared.View_.current()), ArrivedAt_(Shared.Owner_.now()) {}

void ForwardedRequest::start() {
  Shared_.Live_.insert(shared_from_this());
  Out_->onHangup([Weak = weak_from_this()] {
    if (auto Self = Weak.lock())
      Self->onHangup();
  });
  if (auto Reason = admit()) {
    refuse(*Reason);
    return;
  }
  Shared_.pool(Pool_).Retries_.addRequest(ArrivedAt_);
  if (reserve())
    place();
}

std::optional<RefusalReason> ForwardedRequest::admit() {
  Facts_ = readRequest(Request_.Headers_, Shared_.Settings_.Headers_);
  if (Shared_.Closed_)
    return RefusalReason::ShuttingDown;
  if (!View_)
    return RefusalReason::NotReady;
  Route_ = View_->findRoute(withoutPort(Facts_.Host_), Request_.Path_);
  if (!Route_)
    Route_ = View_->findRoute(Facts_.Host_, Request_.Path_);
  if (!Route_)
    return viewMayBeOld() ? RefusalReason::NotReady : RefusalReason::NotFound;
  if (auto Reason = identify())
    return Reason;
  if (Request_.Body_.size() > View_->Limits_.BodyBytes_)
    return RefusalReason::BodyTooLarge;
  double Draw = std::uniform_real_distribution<>(0, 1)(Shared_.Bits_);
  const RouteTarget *Target = pickTarget(*Route_, Draw);
  if (!Target)
    return RefusalReason::NoEndpoint;
  Pool_ = Target->Pool_;
  PoolTraits_ = View_->findPool(Pool_);
  if (!Request_.Body_.empty())
    Body_ = std::make_shared<const std::string>(std::move(Request_.Body_));
  CallerDeadline_ = ArrivedAt_ + Facts_.TimeLeft_.value_or(Route_->Timeout_);
  Deadline_ = std::min(CallerDeadline_, ArrivedAt_ + Route_->Timeout_);
  Events_ = EventStream(Facts_.LastEventId_);
  return std::nullopt;
}

std::optional<RefusalReason> ForwardedRequest::identify() {
  if (!View_->hasAccounts())
    return std::nullopt;
  if (!Facts_.Key_.empty())
    Account_ = View_->findAccount(Facts_.Key_);
  if (Account_ || Route_->Public_)
    return std::nullopt;
  return viewMayBeOld() ? RefusalReason::NotReady : RefusalReason::UnknownKey;
}

bool ForwardedRequest::viewMayBeOld() const {
  return Shared_.SourceLostAt_ &&
         ArrivedAt_ - *Shared_.SourceLostAt_ > SourceSilence;
}

bool ForwardedRequest::reserve() {
  if (!Account_ || !Account_->Prepaid_ || !Facts_.HasTokenBounds_)
    return true;
  base::Tokens Bound = Facts_.PromptTokens_ + Facts_.MaxOutputTokens_;
  base::TimePoint Now = Shared_.Owner_.now();
  auto Made = Shared_.Escrow_.reserve(Account_->Account_, Bound,
                                      Route_->Priority_ == 0, Now);
  if (Made) {
    Reserved_ = Bound;
    HasReservation_ = true;
    WaitingForTokens_.reset();
    return true;
  }
  bool Waitable = Made.error() == budget::EscrowRefusal::NotYetDrawn;
  if (!WaitingForTokens_)
    WaitingForTokens_ = Now;
  if (Waitable && Now - *WaitingForTokens_ < TokenWait &&
      timeLeft(Now) >= TokenWait) {
    if (Now == *WaitingForTokens_ && Shared_.OnTokensWanted_)
      Shared_.Owner_.post(Shared_.OnTokensWanted_);
    return false;
  }
  logReservation(Made.error(), Bound, Now);
  if (Made.error() == budget::EscrowRefusal::Spent)
    refuse(RefusalReason::BudgetSpent);
  else if (Made.error() == budget::EscrowRefusal::TableUnreachable ||
           Made.error() == budget::EscrowRefusal::NotLoaded)
    refuse(RefusalReason::NoSliceTableUnreachable);
  else
    refuse(RefusalReason::NoSliceTableUnreachable, TokensElsewhereWait);
  return false;
}

void ForwardedRequest::logReservation(budget::EscrowRefusal Why,
                                      base::Tokens Bound,
                                      base::TimePoint Now) const {
  budget::EscrowStatus Status = Shared_.Escrow_.status(Account_->Account_, Now);
  observe::log(LogLevel::Info, "reservation_refused",
               {{"request", Facts_.AttemptId_},
                {"account", Account_->Account_.str()},
                {"reason", toString(Why)},
                {"bound", Bound.count()},
                {"prepaid", Status.Prepaid_.count()},
                {"granted_to_all", Status.GrantedToAll_.count()},
                {"granted", Status.Granted_.count()},
                {"used", Status.Used_.count()},
                {"held", Status.Reserved_.count()},
                {"available", Status.Available_.count()}});
}

void ForwardedRequest::retryReservation() {
  if (Finished_ || !Route_ || !WaitingForTokens_)
    return;
  if (reserve())
    place();
}

routing::PlacementRequest ForwardedRequest::demand() const {
  routing::PlacementRequest Wanted;
  if (Route_->HasPrompt_)
    Wanted.Prompt_ = Facts_.Parts_;
  Wanted.PromptTokens_ =
      Route_->HasPrompt_
          ? static_cast<std::uint32_t>(Facts_.PromptTokens_.count())
          : 0;
  Wanted.BodyBytes_ = Body_ ? Body_->size() : 0;
  Wanted.FirstByteObjective_ = Route_->FirstByteObjective_;
  Wanted.Deadline_ = Deadline_;
  Wanted.Excluded_ = Tried_;
  return Wanted;
}

void ForwardedRequest::place() {
  base::TimePoint Now = Shared_.Owner_.now();
  routing::PlacementRequest Wanted = demand();
  auto Chosen = Shared_.pool(Pool_).Choice_.choose(Wanted, Now);
  if (!Chosen) {
    bool TooLate = Chosen.error().Error_ == routing::PlacementError::TooLate;
    refuse(TooLate ? RefusalReason::DeadlineUnreachable
                   : RefusalReason::NoEndpoint,
           Chosen.error().RetryAfter_);
    return;
  }
  send(Chosen.value(), Wanted);
}

net::HttpHeaders
ForwardedRequest::attemptHeaders(const ListedEndpoint &To,
                                 const routing::Placement &Where) {
  AttemptFacts Facts;
  base::TimePoint Now = Shared_.Owner_.now();
  Facts.TimeLeft_ = std::max(
      1ms, std::chrono::duration_cast<milliseconds>(CallerDeadline_ - Now));
  Facts.Instance_ = To.Endpoint_.str();
  if (Account_)
    Facts.Account_ = Account_->Account_.str();
  int Priority = Account_ ? Account_->Priority_.value_or(Route_->Priority_)
                          : Route_->Priority_;
  if (Route_->HasPrompt_)
    Facts.Urgency_ = std::clamp(Priority, 0, LeastUrgent);
  Facts.LastEventId_ = Events_.lastId();
  if (Where.FetchFrom_)
    if (const ListedEndpoint *From = Shared_.Endpoints_.find(*Where.FetchFrom_))
      Facts.FetchCacheFrom_ = From->Address_;
  return makeAttemptHeaders(Request_.Headers_, Facts,
                            Shared_.Settings_.Headers_);
}

void ForwardedRequest::send(const routing::Placement &Where,
                            const routing::PlacementRequest &Wanted) {
  const ListedEndpoint *To = Shared_.Endpoints_.find(Where.Endpoint_);
  if (!To) {
    refuse(RefusalReason::NoEndpoint, 1s);
    return;
  }
  base::TimePoint Now = Shared_.Owner_.now();
  Placed_ = Where;
  Tried_.push_back(Where.Endpoint_);
  ++Sends_;
  Attempt_ = Attempt();
  Attempt_.SentAt_ = Now;
  Attempt_.LastByteAt_ = Now;
  Attempt_.Pooled_ = Shared_.pool(Pool_).Choice_.sent(Where, Wanted, Now);
  Sending_ = true;

  net::OriginRequest Outgoing;
  Outgoing.Endpoint_ = To->Address_;
  Outgoing.Method_ = Request_.Method_;
  Outgoing.Target_ = Request_.Target_;
  Outgoing.Headers_ = attemptHeaders(*To, Where);
  Outgoing.Body_ = Body_;
  Outgoing.ConnectTimeout_ = ConnectTimeout;
  Outgoing.MaxIdle_ = Route_->repeatable() ? MaxIdle : MaxIdleOnce;

  net::OriginEvents Events;
  auto Weak = weak_from_this();
  Events.OnHead_ = [Weak](const net::OriginHead &Head) {
    auto Self = Weak.lock();
    return Self ? Self->onHead(Head) : net::HeadVerdict::Skip;
  };
  Events.OnBody_ = [Weak](std::string_view Data) {
    if (auto Self = Weak.lock())
      Self->onBody(Data);
  };
  Events.OnEnd_ = [Weak](const base::Result<void, net::OriginError> &Result) {
    if (auto Self = Weak.lock())
      Self->onEnd(Result);
  };
  Attempt_.Call_ =
      Shared_.Origins_.start(std::move(Outgoing), std::move(Events));
  observe::log(LogLevel::Info, "attempt_sent",
               {{"request", Facts_.AttemptId_},
                {"route", Route_->Name_},
                {"endpoint", Where.Endpoint_.str()},
                {"send", Sends_},
                {"version", View_->Version_},
                {"expected_ms", toMilliseconds(Where.ExpectedFirstByte_)},
                {"cached_tokens", Where.CachedTokens_},
                {"prompt_tokens", Facts_.PromptTokens_.count()},
                {"fetch_from", Where.FetchFrom_ ? Where.FetchFrom_->str() : ""},
                {"left_ms", toMilliseconds(Deadline_ - Now)}});
}

net::HeadVerdict ForwardedRequest::onHead(const net::OriginHead &Head) {
  AnswerFacts Facts = readAnswer(Head.Headers_, Shared_.Settings_.Headers_);
  constexpr unsigned FirstError = 300;
  bool Success = Head.Status_ < FirstError;
  bool Foreign = Facts.AttemptId_.empty()
                     ? Success
                     : Facts.AttemptId_ != Facts_.AttemptId_;
  if (Foreign) {
    observe::log(LogLevel::Warning, "foreign_answer_dropped",
                 {{"request", Facts_.AttemptId_},
                  {"endpoint", Placed_.Endpoint_.str()},
                  {"answer_to", Facts.AttemptId_}});
    return net::HeadVerdict::Skip;
  }
  base::TimePoint Now = Shared_.Owner_.now();
  auto &Choice = Shared_.pool(Pool_).Choice_;
  if (Facts.Load_)
    Choice.loadReported(Attempt_.Pooled_, Facts.Load_->Running_,
                        Facts.Load_->Waiting_, Now);
  constexpr unsigned Misdirected = 421;
  Attempt_.HeadSeen_ = true;
  Attempt_.LastByteAt_ = Now;
  Attempt_.Status_ = Head.Status_;
  Attempt_.Signed_ = Facts.Signed_;
  Attempt_.NotExecuted_ = Facts.NotExecuted_ || Head.Status_ == Misdirected;
  Attempt_.Headers_ = makeAnswerHeaders(Head.Headers_);
  Attempt_.Streaming_ =
      Success && Facts.Signed_ && Route_->Kind_ == RequestKind::Stream;
  return net::HeadVerdict::Accept;
}

void ForwardedRequest::onBody(std::string_view Data) {
  base::TimePoint Now = Shared_.Owner_.now();
  Attempt_.LastByteAt_ = Now;
  if (!Attempt_.Streaming_) {
    Attempt_.Body_.append(Data);
    return;
  }
  auto &Choice = Shared_.pool(Pool_).Choice_;
  Choice.answered(Attempt_.Pooled_, Now);
  Choice.progressed(Attempt_.Pooled_, Now);
  std::string Events = Events_.take(Data);
  if (!Events.empty())
    onEvents(Events);
}

void ForwardedRequest::onEvents(const std::string &Events) {
  if (!StreamStarted_) {
    StreamStarted_ = true;
    FirstByteAt_ = Shared_.Owner_.now();
    Shared_.Metrics_.observe("first_event_seconds", *FirstByteAt_ - ArrivedAt_);
    Out_->startStream(Attempt_.Status_, Attempt_.Headers_);
  }
  Out_->write(Events);
  if (Out_->buffered() <= MaxBuffered)
    return;
  Shared_.Origins_.setReading(Attempt_.Call_, false);
  Out_->onDrain([Weak = weak_from_this()] {
    auto Self = Weak.lock();
    if (Self && Self->Sending_ && Self->Out_->buffered() <= MaxBuffered / 2)
      Self->Shared_.Origins_.setReading(Self->Attempt_.Call_, true);
  });
}

void ForwardedRequest::onEnd(
    const base::Result<void, net::OriginError> &Result) {
  if (Finished_)
    return;
  Sending_ = false;
  if (Result) {
    if (Attempt_.Streaming_)
      onStreamWhole();
    else
      onAnswerWhole();
    return;
  }
  const net::OriginError &Error = Result.error();
  observe::log(
      LogLevel::Warning, "attempt_broken",
      {{"request", Facts_.AttemptId_},
       {"endpoint", Placed_.Endpoint_.str()},
       {"kind", toString(Error.Kind_)},
       {"may_have_reached", Error.MayHaveReached_},
       {"detail", Error.Detail_},
       {"after_ms", toMilliseconds(Shared_.Owner_.now() - Attempt_.SentAt_)}});
  if (!Error.MayHaveReached_) {
    bool Blame = Error.Kind_ != net::OriginErrorKind::TooManyConnections;
    closeAttempt(Blame ? routing::FailureKind::LinkLost
                       : routing::FailureKind::Refused);
    onNotRun(toString(Error.Kind_), false);
    return;
  }
  // An answer that says so proves it even if it is not whole.
  if (Attempt_.HeadSeen_ && Attempt_.NotExecuted_) {
    closeAttempt(routing::FailureKind::Refused);
    onNotRun("not_executed", true);
    return;
  }
  onBroken(toString(Error.Kind_), routing::FailureKind::LinkLost);
}

void ForwardedRequest::closeAttempt(routing::FailureKind Kind) {
  auto Ejected = Shared_.pool(Pool_).Choice_.failed(Attempt_.Pooled_, Kind,
                                                    Shared_.Owner_.now());
  if (Ejected)
    observe::log(LogLevel::Warning, "endpoint_ejected",
                 {{"endpoint", Placed_.Endpoint_.str()},
                  {"reason", routing::toString(*Ejected)},
                  {"request", Facts_.AttemptId_}});
  Events_.dropUnfinished();
}

void ForwardedRequest::onStreamWhole() {
  Shared_.pool(Pool_).Choice_.finished(Attempt_.Pooled_, Shared_.Owner_.now());
  ++Runs_;
  std::string Rest = Events_.finish();
  if (!StreamStarted_) {
    StreamStarted_ = true;
    Out_->startStream(Attempt_.Status_, Attempt_.Headers_);
  }
  if (!Rest.empty())
    Out_->write(Rest);
  Out_->endStream();
  finish("answered", Attempt_.Status_);
}

void ForwardedRequest::onAnswerWhole() {
  constexpr unsigned FirstError = 300;
  constexpr unsigned FirstServerError = 500;
  if (Attempt_.NotExecuted_) {
    closeAttempt(routing::FailureKind::Refused);
    onNotRun("not_executed", true);
    return;
  }
  if (Attempt_.Status_ < FirstError && !Attempt_.Signed_) {
    onBroken("unsigned", routing::FailureKind::Failed);
    return;
  }
  if (Attempt_.Status_ >= FirstServerError) {
    onBroken("error_answer", routing::FailureKind::Failed);
    return;
  }
  Shared_.pool(Pool_).Choice_.finished(Attempt_.Pooled_, Shared_.Owner_.now());
  ++Runs_;
  FirstByteAt_ = Shared_.Owner_.now();
  passOn(Attempt_.Status_, Attempt_.Headers_, std::move(Attempt_.Body_));
}

bool ForwardedRequest::takeRetry(bool Arrived) {
  base::TimePoint Now = Shared_.Owner_.now();
  if (Sends_ >= MaxSends || timeLeft(Now) < LeastTimeForRetry)
    return false;
  return !Arrived || Shared_.pool(Pool_).Retries_.trySpend(Now);
}

void ForwardedRequest::onNotRun(std::string_view Why, bool Arrived) {
  Arrivals_ += Arrived ? 1 : 0;
  bool Allowed =
      Runs_ == 0 || (Route_->repeatable() && Runs_ < Route_->MaxAttempts_);
  if (Allowed && takeRetry(Arrivals_ > 0)) {
    Shared_.Metrics_.count("direct_retries", "reason", std::string(Why));
    place();
    return;
  }
  refuse(Runs_ == 0 ? RefusalReason::Overloaded
                    : RefusalReason::EndpointFailed);
}

void ForwardedRequest::onBroken(std::string_view Why,
                                routing::FailureKind Kind) {
  closeAttempt(Kind);
  ++Arrivals_;
  ++Runs_;
  if (Route_->repeatable() && Runs_ < Route_->MaxAttempts_ && takeRetry(true)) {
    Shared_.Metrics_.count("direct_retries", "reason", std::string(Why));
    place();
    return;
  }
  // The endpoint's own error answer tells more than one of ours.
  if (!StreamStarted_ && Why == "error_answer" && Attempt_.Signed_) {
    passOn(Attempt_.Status_, Attempt_.Headers_, std::move(Attempt_.Body_));
    return;
  }
  refuse(Kind == routing::FailureKind::Stalled ? RefusalReason::EndpointStalled
                                               : RefusalReason::LinkLost);
}

base::Duration ForwardedRequest::timeLeft(base::TimePoint Now) const {
  return Deadline_ - Now;
}

void ForwardedRequest::tick(base::TimePoint Now) {
  if (Finished_ || !Route_)
    return;
  if (Now >= Deadline_) {
    if (Sending_) {
      Shared_.Origins_.cancel(Attempt_.Call_);
      Sending_ = false;
      closeAttempt(routing::FailureKind::Stalled);
      ++Runs_;
      refuse(RefusalReason::DeadlineExceeded);
    } else {
      refuse(RefusalReason::NoSliceTableUnreachable);
    }
    return;
  }
  if (WaitingForTokens_)
    retryReservation();
  else if (Sending_)
    checkSilence(Now);
}

void ForwardedRequest::checkSilence(base::TimePoint Now) {
  // A call that may run only once is better off waiting.
  if (!Route_->repeatable() || Runs_ + 1 >= Route_->MaxAttempts_ ||
      Sends_ >= MaxSends || timeLeft(Now) < LeastTimeForRetry)
    return;
  auto &Pool = Shared_.pool(Pool_);
  bool Silent = Pool.Choice_.silent(Placed_.Endpoint_, Now);
  base::Duration Quiet = Now - Attempt_.LastByteAt_;
  // A busy endpoint is only slow: to give up there would waste what it has
  // done, and load another. One from which nothing at all comes may be gone.
  base::Duration Limit = StreamStall;
  if (!Attempt_.HeadSeen_)
    Limit =
        std::max<base::Duration>(StallFactor * Placed_.ExpectedFirstByte_,
                                 StallObjectives * Route_->FirstByteObjective_);
  if (!(Silent && Quiet > Limit / 2) && Quiet <= Limit)
    return;
  if (!Pool.Retries_.available(Now))
    return;
  Shared_.Origins_.cancel(Attempt_.Call_);
  Sending_ = false;
  observe::log(LogLevel::Warning, "attempt_stalled",
               {{"request", Facts_.AttemptId_},
                {"endpoint", Placed_.Endpoint_.str()},
                {"quiet_ms", toMilliseconds(Quiet)},
                {"endpoint_silent", Silent},
                {"streaming", Attempt_.Streaming_}});
  onBroken("stalled", routing::FailureKind::Stalled);
}

void ForwardedRequest::onHangup() {
  if (Finished_)
    return;
  if (Sending_) {
    Shared_.Origins_.cancel(Attempt_.Call_);
    Sending_ = false;
    closeAttempt(routing::FailureKind::Cancelled);
    ++Runs_;
  }
  finish("caller_gone", 0);
}

void ForwardedRequest::refuse(RefusalReason Reason,
                              std::optional<base::Duration> RetryAfter) {
  constexpr unsigned Unavailable = 503;
  if (StreamStarted_) {
    abort(Reason);
    return;
  }
  // That status promises that the request has not run.
  if (Runs_ > 0 && daemons::httpStatusOf(Reason) == Unavailable)
    Reason = RefusalReason::LinkLost;
  daemons::CallerError Error;
  Error.Reason_ = Reason;
  Error.Ran_ = Runs_ == 0 ? base::Ran::No : base::Ran::Unknown;
  unsigned Status = daemons::httpStatusOf(Reason);
  if (Status == Unavailable) {
    // Spread, so that those refused together come back apart.
    constexpr std::uint32_t Steps = 256;
    base::Duration Wait =
        std::max<base::Duration>(RetryAfter.value_or(0s), LeastRetryAfter);
    Wait += Wait / Steps * Shared_.Bits_(Steps);
    Error.RetryAfter_ = std::chrono::ceil<milliseconds>(Wait);
  }
  Shared_.Metrics_.countRefusal(Reason, Error.Ran_);
  Out_->respond(daemons::errorAnswer(Error));
  finish(base::toString(Reason), Status);
}

void ForwardedRequest::passOn(unsigned Status, const net::HttpHeaders &Headers,
                              std::string Body) {
  Out_->respond({Status, Headers, std::move(Body)});
  finish("answered", Status);
}

void ForwardedRequest::abort(RefusalReason Reason) {
  Shared_.Metrics_.countRefusal(Reason, base::Ran::Yes);
  Out_->abortStream();
  finish(base::toString(Reason), Attempt_.Status_);
}

base::Tokens ForwardedRequest::spentTokens() const {
  if (Runs_ == 0)
    return base::Tokens(0);
  auto PerEvent = PoolTraits_ ? PoolTraits_->TokensPerEvent_ : 1;
  base::Tokens Delivered(
      static_cast<std::int64_t>(Events_.events() * PerEvent));
  return Facts_.PromptTokens_ + std::min(Delivered, Facts_.MaxOutputTokens_);
}

void ForwardedRequest::finish(std::string_view Outcome, unsigned Status) {
  if (std::exchange(Finished_, true))
    return;
  base::TimePoint Now = Shared_.Owner_.now();
  if (HasReservation_)
    Shared_.Escrow_.settle(Account_->Account_, Reserved_, spentTokens(), Now);
  Shared_.Metrics_.count("direct_requests", "outcome", std::string(Outcome));
  Shared_.Metrics_.observe("request_seconds", Now - ArrivedAt_);
  observe::log(
      LogLevel::Info, "request_ended",
      {{"request", Facts_.AttemptId_},
       {"route", Route_ ? std::string_view(Route_->Name_) : ""},
       {"account", Account_ ? std::string_view(Account_->Account_.str()) : ""},
       {"version", View_ ? View_->Version_ : 0},
       {"outcome", Outcome},
       {"status", Status},
       {"sends", Sends_},
       {"runs", Runs_},
       {"endpoint", Placed_.Endpoint_.str()},
       {"events", Events_.events()},
       {"first_ms",
        FirstByteAt_ ? toMilliseconds(*FirstByteAt_ - ArrivedAt_) : -1},
       {"total_ms", toMilliseconds(Now - ArrivedAt_)},
       {"left_ms", Route_ ? toMilliseconds(Deadline_ - Now) : 0}});
  Shared_.Owner_.post(
      [Self = shared_from_this()] { Self->Shared_.Live_.erase(Self); });
}

} // namespace camphorwind::direct
