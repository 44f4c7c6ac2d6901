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

void Attempts::onStart(const StartAttempt &Start, const Tickets &GrantedTickets,
                       base::TimePoint Now) {
  // This incarnation doesn't know whether an earlier one ran the attempt, so it
  // must not answer with a refusal, which would prove that it never ran.
  if (Start.Attempt_.Agent_ != Agent_)
    return;
  const base::AttemptId &Id = Start.Attempt_.Attempt_;
  auto Found = Records_.find(Id);
  if (Found != Records_.end()) {
    answerRepeat(Start, Found->second);
    return;
  }
  if (auto Reason = reasonToRefuse(Start, GrantedTickets, Now)) {
    refuse(Id, *Reason, Now);
    send(Start.Router_, Refused{Start.Attempt_, *Reason});
    return;
  }
  accept(Start, Now);
}

std::optional<base::RefusalReason>
Attempts::reasonToRefuse(const StartAttempt &Start,
                         const Tickets &GrantedTickets,
                         base::TimePoint Now) const {
  if (auto Reason = GrantedTickets.check(Start.Router_, Start.Attempt_, Now))
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
  EndedAttempts_.push_back({Attempt, Now});
}

void Attempts::answerRepeat(const StartAttempt &Start, const Record &Entry) {
  if (Entry.State_ == RecordState::Refused)
    send(Start.Router_, Refused{Start.Attempt_, Entry.Reason_});
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
    // An attempt with a ticket younger than IdRetention_ would still be
    // remembered, so it was never started here.
    bool Remembered = ticketTime(Now) - Query.Attempt_.TicketGrantedAt_ <
                      Settings_.IdRetention_;
    if (!Remembered)
      return sendStatus(Query, AttemptState::Forgotten);
    refuse(Id, base::RefusalReason::LinkLost, Now);
    return sendStatus(Query, AttemptState::NeverRan);
  }
  Record &Entry = Found->second;
  switch (Entry.State_) {
  case RecordState::Refused:
    return sendStatus(Query, AttemptState::NeverRan);
  case RecordState::Dropped:
    return sendStatus(Query, AttemptState::Dropped);
  case RecordState::Running:
    if (std::find(Entry.Readers_.begin(), Entry.Readers_.end(),
                  Query.Router_) == Entry.Readers_.end())
      Entry.Readers_.push_back(Query.Router_);
    sendStatus(Query, AttemptState::Running);
    return sendAnswer(Query, Entry);
  case RecordState::Ended:
    sendStatus(Query, AttemptState::Finished);
    sendAnswer(Query, Entry);
    send(Query.Router_, makeFinished(Id, Entry));
    return;
  }
}

void Attempts::onEndpointHead(const base::AttemptId &Attempt, AnswerHead Head) {
  Record *Found = findRunning(Attempt);
  if (Found == nullptr || Found->Head_)
    return;
  Found->Head_ = std::move(Head);
  for (const base::Incarnation &Reader : Found->Readers_)
    send(Reader, Chunk{makeRef(Attempt, *Found), 0, Found->Head_, {}});
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
  Chunk Next{makeRef(Attempt, *Found), Offset, std::nullopt, Bytes};
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
  bool EndpointNotReached = End == EndpointEnd::NotReached && !Found->Head_;
  if (!EndpointNotReached)
    return end(Attempt, *Found, attemptEnd(End), Now);
  --Running_;
  std::vector<base::Incarnation> Readers = std::move(Found->Readers_);
  AttemptRef Ref = makeRef(Attempt, *Found);
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
  evictAnswers(Now);
  forgetOldIds(Now);
}

std::optional<base::TimePoint> Attempts::nextTimer() const {
  std::optional<base::TimePoint> Next;
  auto Consider = [&](base::TimePoint At) {
    if (!Next || At < *Next)
      Next = At;
  };
  if (!Deadlines_.empty())
    Consider(Deadlines_.begin()->first);
  if (!EndedAttempts_.empty())
    Consider(EndedAttempts_.front().EndedAt_ + Settings_.IdRetention_);
  if (!KeptAnswers_.empty())
    Consider(KeptAnswers_.front().EndedAt_ + Settings_.AnswerRetention_);
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
  for (const auto &[Attempt, Entry] : Records_) {
    bool Unsettled =
        Entry.State_ == RecordState::Running ||
        (Entry.State_ == RecordState::Ended && Entry.Billing_.Complete_);
    if (Unsettled && !Entry.Billing_.Committed_ &&
        Entry.Billing_.Router_ == Router)
      Open.push_back(Attempt);
  }
  std::sort(Open.begin(), Open.end());
  return Open;
}

std::vector<AgentAction> Attempts::takeActions() {
  return std::exchange(Actions_, {});
}

AttemptRef Attempts::makeRef(const base::AttemptId &Attempt,
                             const Record &Entry) const {
  return {Attempt, Agent_, Entry.TicketGrantedAt_};
}

void Attempts::send(const base::Incarnation &Router, ToRouter Message) {
  Actions_.emplace_back(SendToRouter{Router, std::move(Message)});
}

void Attempts::sendStatus(const QueryAttempt &Query, AttemptState State) {
  send(Query.Router_, AttemptStatus{Query.Attempt_, State});
}

void Attempts::sendAnswer(const QueryAttempt &Query, const Record &Entry) {
  if (Query.Offset_ > Entry.Answer_.size())
    return;
  Chunk Remaining{Query.Attempt_, Query.Offset_, std::nullopt,
                  Entry.Answer_.substr(Query.Offset_)};
  if (Query.Offset_ == 0)
    Remaining.Head_ = Entry.Head_;
  if (Remaining.Head_ || !Remaining.Bytes_.empty())
    send(Query.Router_, std::move(Remaining));
}

Finished Attempts::makeFinished(const base::AttemptId &Attempt,
                                const Record &Entry) const {
  return {makeRef(Attempt, Entry), Entry.End_, Entry.Length_,
          Entry.Billing_.Usage_, Entry.Billing_.Committed_};
}

void Attempts::end(const base::AttemptId &Attempt, Record &Entry,
                   AttemptEnd End, base::TimePoint Now) {
  --Running_;
  RunningBytes_ -= Entry.Answer_.size();
  Entry.State_ = RecordState::Ended;
  Entry.End_ = End;
  Entry.Length_ = Entry.Answer_.size();
  Entry.EndedAt_ = Now;
  Entry.Billing_.Finished_ = true;
  Entry.Billing_.Complete_ = End == AttemptEnd::Complete;
  for (const base::Incarnation &Reader : Entry.Readers_)
    send(Reader, makeFinished(Attempt, Entry));
  Entry.Readers_.clear();
  EndedAttempts_.push_back({Attempt, Now});
  if (End != AttemptEnd::Complete) {
    Entry.Answer_ = {};
    return;
  }
  KeptBytes_ += Entry.Answer_.size();
  KeptAnswers_.push_back({Attempt, Now});
  evictAnswers(Now);
}

void Attempts::stop(const base::AttemptId &Attempt, Record &Entry,
                    AttemptEnd End, base::TimePoint Now) {
  Actions_.emplace_back(StopAtEndpoint{Attempt});
  end(Attempt, Entry, End, Now);
}

void Attempts::dropAnswer(Record &Entry) {
  if (Entry.State_ != RecordState::Ended)
    return;
  KeptBytes_ -= Entry.Answer_.size();
  Entry.Answer_ = {};
  Entry.State_ = RecordState::Dropped;
}

void Attempts::evictAnswers(base::TimePoint Now) {
  while (!KeptAnswers_.empty()) {
    const EndedAttempt &Oldest = KeptAnswers_.front();
    auto Found = Records_.find(Oldest.Attempt_);
    bool AnswerDropped =
        Found == Records_.end() || Found->second.State_ != RecordState::Ended;
    if (!AnswerDropped) {
      base::Duration Age = Now - Oldest.EndedAt_;
      bool Protected = !Found->second.Billing_.Committed_ &&
                       Age < Settings_.UncommittedRetention_;
      bool Due = Age >= Settings_.AnswerRetention_ ||
                 KeptBytes_ > Settings_.MaxKeptBytes_;
      if (Protected || !Due)
        return;
      dropAnswer(Found->second);
    }
    KeptAnswers_.pop_front();
  }
}

void Attempts::forgetOldIds(base::TimePoint Now) {
  while (!EndedAttempts_.empty() &&
         Now - EndedAttempts_.front().EndedAt_ >= Settings_.IdRetention_) {
    auto Found = Records_.find(EndedAttempts_.front().Attempt_);
    if (Found != Records_.end()) {
      dropAnswer(Found->second);
      Records_.erase(Found);
    }
    EndedAttempts_.pop_front();
  }
}

Attempts::Record *Attempts::findRunning(const base::AttemptId &Attempt) {
  auto Found = Records_.find(Attempt);
  if (Found == Records_.end() || Found->second.State_ != RecordState::Running)
    return nullptr;
  return &Found->second;
}

} // namespace camphorwind::request
