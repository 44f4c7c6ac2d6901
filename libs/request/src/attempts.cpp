#include "camphorwind/request/attempts.h"

#include <algorithm>
#include <utility>

namespace camphorwind::request {

namespace {

AttemptEnd attemptEnd(EndpointEnd End) {
  switch (End) {
  case EndpointEnd::Complete:
    return AttemptEnd::Complete;
  case EndpointEnd::Stalled:
    return AttemptEnd::EndpointStalled;
  case EndpointEnd::NotReached:
  case EndpointEnd::Failed:
    break;
  }
  return AttemptEnd::EndpointFailed;
}

} // namespace

void Attempts::onStart(const StartAttempt &Start, const Tickets &Granted,
                       base::TimePoint Now) {
  // A start for an earlier incarnation proves nothing about that one, so it
  // must not be answered with a refusal.
  if (Start.Attempt_.Agent_ != Agent_)
    return;
  const base::AttemptId &Id = Start.Attempt_.Attempt_;
  auto Found = Records_.find(Id);
  if (Found != Records_.end()) {
    answerRepeat(Start, Found->second);
    return;
  }
  if (auto Reason = reasonToRefuse(Start, Granted, Now)) {
    refuse(Id, *Reason, Now);
    send(Start.Router_, Refused{Start.Attempt_, *Reason});
    return;
  }
  accept(Start, Now);
}

std::optional<base::RefusalReason>
Attempts::reasonToRefuse(const StartAttempt &Start, const Tickets &Granted,
                         base::TimePoint Now) const {
  if (auto Reason = Granted.check(Start.Router_, Start.Attempt_, Now))
    return Reason;
  if (Start.TimeLeft_ <= std::chrono::milliseconds(0))
    return base::RefusalReason::DeadlineExceeded;
  if (Running_ >= Settings_.MaxRunning_ ||
      RunningBytes_ + KeptBytes_ >= Settings_.MaxHeldBytes_)
    return base::RefusalReason::Overloaded;
  return std::nullopt;
}

void Attempts::accept(const StartAttempt &Start, base::TimePoint Now) {
  const base::AttemptId &Id = Start.Attempt_.Attempt_;
  Record &Added = Records_[Id];
  Added.State_ = RecordState::Running;
  Added.TicketGrantedAt_ = Start.Attempt_.TicketGrantedAt_;
  Added.Billing_.Router_ = Start.Router_;
  Added.Billing_.Account_ = Start.Account_;
  Added.Billing_.Budget_ = Start.Budget_;
  Added.Billing_.Slice_ = Start.Slice_;
  Added.Billing_.NonIdempotent_ = Start.NonIdempotent_;
  Added.Readers_.push_back(Start.Router_);
  Added.Deadline_ = Now + Start.TimeLeft_;
  Deadlines_.emplace(Added.Deadline_, Id);
  ++Running_;
  Actions_.emplace_back(
      RunAtEndpoint{Id, Start.Call_, Start.Bound_, Start.TimeLeft_});
  send(Start.Router_, Accepted{Start.Attempt_});
}

void Attempts::refuse(const base::AttemptId &Attempt,
                      base::RefusalReason Reason, base::TimePoint Now) {
  Record &Added = Records_[Attempt];
  Added.State_ = RecordState::Refused;
  Added.Reason_ = Reason;
  Ended_.push_back({Attempt, Now});
}

void Attempts::answerRepeat(const StartAttempt &Start, const Record &Found) {
  if (Found.State_ == RecordState::Refused)
    send(Start.Router_, Refused{Start.Attempt_, Found.Reason_});
  else
    send(Start.Router_, Accepted{Start.Attempt_});
}

void Attempts::onCancel(const Cancel &Cancelled, base::TimePoint Now) {
  Record *Found = findRunning(Cancelled.Attempt_.Attempt_);
  if (Found == nullptr)
    return;
  auto Reader = std::find(Found->Readers_.begin(), Found->Readers_.end(),
                          Cancelled.Router_);
  if (Reader == Found->Readers_.end())
    return;
  if (Found->Readers_.size() > 1) {
    Found->Readers_.erase(Reader);
    return;
  }
  stop(Cancelled.Attempt_.Attempt_, *Found, AttemptEnd::Cancelled, Now);
}

void Attempts::onQuery(const QueryAttempt &Query, base::TimePoint Now) {
  if (Query.Attempt_.Agent_ != Agent_)
    return;
  const base::AttemptId &Id = Query.Attempt_.Attempt_;
  auto Found = Records_.find(Id);
  if (Found == Records_.end()) {
    // An attempt under a recent ticket would still be remembered.
    bool Remembered = ticketTime(Now) - Query.Attempt_.TicketGrantedAt_ <
                      Settings_.IdRetention_;
    if (!Remembered)
      return sendStatus(Query, AttemptState::Forgotten);
    refuse(Id, base::RefusalReason::LinkLost, Now);
    return sendStatus(Query, AttemptState::NeverRan);
  }
  Record &Known = Found->second;
  switch (Known.State_) {
  case RecordState::Refused:
    return sendStatus(Query, AttemptState::NeverRan);
  case RecordState::Dropped:
    return sendStatus(Query, AttemptState::Dropped);
  case RecordState::Running:
    if (std::find(Known.Readers_.begin(), Known.Readers_.end(),
                  Query.Router_) == Known.Readers_.end())
      Known.Readers_.push_back(Query.Router_);
    sendStatus(Query, AttemptState::Running);
    return sendAnswer(Query, Known);
  case RecordState::Ended:
    sendStatus(Query, AttemptState::Finished);
    sendAnswer(Query, Known);
    send(Query.Router_, finished(Id, Known));
    return;
  }
}

void Attempts::onEndpointHead(const base::AttemptId &Attempt, AnswerHead Head) {
  Record *Found = findRunning(Attempt);
  if (Found == nullptr || Found->Head_)
    return;
  Found->Head_ = std::move(Head);
  for (const base::Incarnation &Reader : Found->Readers_)
    send(Reader, Chunk{ref(Attempt, *Found), 0, Found->Head_, {}});
}

void Attempts::onEndpointBytes(const base::AttemptId &Attempt,
                               const std::string &Bytes, base::TimePoint Now) {
  Record *Found = findRunning(Attempt);
  if (Found == nullptr || Bytes.empty())
    return;
  std::uint64_t Offset = Found->Answer_.size();
  if (Offset + Bytes.size() > Settings_.MaxAnswerBytes_) {
    stop(Attempt, *Found, AttemptEnd::EndpointFailed, Now);
    return;
  }
  Found->Answer_ += Bytes;
  RunningBytes_ += Bytes.size();
  Chunk Next{ref(Attempt, *Found), Offset, std::nullopt, Bytes};
  if (Offset == 0)
    Next.Head_ = Found->Head_;
  for (const base::Incarnation &Reader : Found->Readers_)
    send(Reader, Next);
}

void Attempts::onEndpointUsage(const base::AttemptId &Attempt, Usage Used) {
  if (Record *Found = findRunning(Attempt))
    Found->Billing_.Usage_ = Used;
}

void Attempts::onEndpointEnd(const base::AttemptId &Attempt, EndpointEnd End,
                             base::TimePoint Now) {
  Record *Found = findRunning(Attempt);
  if (Found == nullptr)
    return;
  bool NeverReached = End == EndpointEnd::NotReached && !Found->Head_;
  if (!NeverReached)
    return end(Attempt, *Found, attemptEnd(End), Now);
  --Running_;
  std::vector<base::Incarnation> Readers = std::move(Found->Readers_);
  AttemptRef Ref = ref(Attempt, *Found);
  refuse(Attempt, base::RefusalReason::EndpointFailed, Now);
  for (const base::Incarnation &Reader : Readers)
    send(Reader, Refused{Ref, base::RefusalReason::EndpointFailed});
}

void Attempts::onCommitted(const base::AttemptId &Attempt) {
  auto Found = Records_.find(Attempt);
  if (Found != Records_.end())
    Found->second.Billing_.Committed_ = true;
}

void Attempts::onDropped(const base::AttemptId &Attempt, base::TimePoint Now) {
  auto Found = Records_.find(Attempt);
  if (Found == Records_.end() || Found->second.State_ == RecordState::Refused ||
      Found->second.Billing_.Committed_)
    return;
  if (Found->second.State_ == RecordState::Running)
    stop(Attempt, Found->second, AttemptEnd::Cancelled, Now);
  dropAnswer(Found->second);
}

void Attempts::onTick(base::TimePoint Now) {
  while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
    base::AttemptId Attempt = std::move(Deadlines_.begin()->second);
    Deadlines_.erase(Deadlines_.begin());
    if (Record *Found = findRunning(Attempt))
      stop(Attempt, *Found, AttemptEnd::DeadlineExceeded, Now);
  }
  evict(Now);
  forget(Now);
}

std::optional<base::TimePoint> Attempts::nextTimer() const {
  std::optional<base::TimePoint> Next;
  auto Consider = [&](base::TimePoint At) {
    if (!Next || At < *Next)
      Next = At;
  };
  if (!Deadlines_.empty())
    Consider(Deadlines_.begin()->first);
  if (!Ended_.empty())
    Consider(Ended_.front().EndedAt_ + Settings_.IdRetention_);
  if (!Kept_.empty())
    Consider(Kept_.front().EndedAt_ + Settings_.AnswerRetention_);
  return Next;
}

std::optional<BillingInfo>
Attempts::billingInfo(const base::AttemptId &Attempt) const {
  auto Found = Records_.find(Attempt);
  if (Found == Records_.end() || Found->second.State_ == RecordState::Refused)
    return std::nullopt;
  return Found->second.Billing_;
}

std::vector<base::AttemptId>
Attempts::openAttempts(const base::Incarnation &Router) const {
  std::vector<base::AttemptId> Open;
  for (const auto &[Attempt, Known] : Records_) {
    bool Undecided =
        Known.State_ == RecordState::Running ||
        (Known.State_ == RecordState::Ended && Known.Billing_.Complete_);
    if (Undecided && !Known.Billing_.Committed_ &&
        Known.Billing_.Router_ == Router)
      Open.push_back(Attempt);
  }
  std::sort(Open.begin(), Open.end());
  return Open;
}

std::vector<AgentAction> Attempts::takeActions() {
  return std::exchange(Actions_, {});
}

AttemptRef Attempts::ref(const base::AttemptId &Attempt,
                         const Record &Found) const {
  return {Attempt, Agent_, Found.TicketGrantedAt_};
}

void Attempts::send(const base::Incarnation &Router, ToRouter Message) {
  Actions_.emplace_back(SendToRouter{Router, std::move(Message)});
}

void Attempts::sendStatus(const QueryAttempt &Query, AttemptState State) {
  send(Query.Router_, AttemptStatus{Query.Attempt_, State});
}

void Attempts::sendAnswer(const QueryAttempt &Query, const Record &Found) {
  if (Query.Offset_ > Found.Answer_.size())
    return;
  Chunk Rest{Query.Attempt_, Query.Offset_, std::nullopt,
             Found.Answer_.substr(Query.Offset_)};
  if (Query.Offset_ == 0)
    Rest.Head_ = Found.Head_;
  if (Rest.Head_ || !Rest.Bytes_.empty())
    send(Query.Router_, std::move(Rest));
}

Finished Attempts::finished(const base::AttemptId &Attempt,
                            const Record &Found) const {
  return {ref(Attempt, Found), Found.End_, Found.Length_, Found.Billing_.Usage_,
          Found.Billing_.Committed_};
}

void Attempts::end(const base::AttemptId &Attempt, Record &Found,
                   AttemptEnd End, base::TimePoint Now) {
  --Running_;
  RunningBytes_ -= Found.Answer_.size();
  Found.State_ = RecordState::Ended;
  Found.End_ = End;
  Found.Length_ = Found.Answer_.size();
  Found.EndedAt_ = Now;
  Found.Billing_.Finished_ = true;
  Found.Billing_.Complete_ = End == AttemptEnd::Complete;
  for (const base::Incarnation &Reader : Found.Readers_)
    send(Reader, finished(Attempt, Found));
  Found.Readers_.clear();
  Ended_.push_back({Attempt, Now});
  if (End != AttemptEnd::Complete) {
    Found.Answer_ = {};
    return;
  }
  KeptBytes_ += Found.Answer_.size();
  Kept_.push_back({Attempt, Now});
  evict(Now);
}

void Attempts::stop(const base::AttemptId &Attempt, Record &Found,
                    AttemptEnd End, base::TimePoint Now) {
  Actions_.emplace_back(StopAtEndpoint{Attempt});
  end(Attempt, Found, End, Now);
}

void Attempts::dropAnswer(Record &Found) {
  if (Found.State_ != RecordState::Ended)
    return;
  KeptBytes_ -= Found.Answer_.size();
  Found.Answer_ = {};
  Found.State_ = RecordState::Dropped;
}

void Attempts::evict(base::TimePoint Now) {
  while (!Kept_.empty()) {
    const Old &Oldest = Kept_.front();
    auto Found = Records_.find(Oldest.Attempt_);
    bool Gone =
        Found == Records_.end() || Found->second.State_ != RecordState::Ended;
    if (!Gone) {
      base::Duration Age = Now - Oldest.EndedAt_;
      bool Protected = !Found->second.Billing_.Committed_ &&
                       Age < Settings_.UncommittedRetention_;
      bool Due = Age >= Settings_.AnswerRetention_ ||
                 KeptBytes_ > Settings_.MaxKeptBytes_;
      if (Protected || !Due)
        return;
      dropAnswer(Found->second);
    }
    Kept_.pop_front();
  }
}

void Attempts::forget(base::TimePoint Now) {
  while (!Ended_.empty() &&
         Now - Ended_.front().EndedAt_ >= Settings_.IdRetention_) {
    auto Found = Records_.find(Ended_.front().Attempt_);
    if (Found != Records_.end()) {
      dropAnswer(Found->second);
      Records_.erase(Found);
    }
    Ended_.pop_front();
  }
}

Attempts::Record *Attempts::findRunning(const base::AttemptId &Attempt) {
  auto Found = Records_.find(Attempt);
  if (Found == Records_.end() || Found->second.State_ != RecordState::Running)
    return nullptr;
  return &Found->second;
}

} // namespace camphorwind::request
