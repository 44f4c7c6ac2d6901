#include "camphorwind/request/requests.h"

#include <benchmark/benchmark.h>

#include <string>

/// Time of the decisions about one request, from its submission to its whole
/// answer, while others are in flight.
namespace {

using namespace camphorwind;
using namespace camphorwind::request;
using namespace std::chrono_literals;

/// Takes part of the actions that a daemon would carry out.
class Driver {
public:
  explicit Driver(std::size_t Agents)
      : Now_(1h), Requests_(base::Incarnation("router"), RequestsSettings{}) {
    ClaimView View{1, {}};
    for (std::size_t Index = 0; Index < Agents; ++Index) {
      base::Incarnation Agent("agent-" + std::to_string(Index));
      base::FailureDomainId Domain("domain-" + std::to_string(Index % 12));
      View.Agents_.push_back({Agent, Domain});
      Requests_.onLinkUp(Agent, Now_);
    }
    Requests_.onClaimView(View, Now_);
  }

  /// Starts a request and returns its attempt.
  AttemptRef start(bool Keyed) {
    std::string Name = "request-" + std::to_string(Next_++);
    Submission Sent;
    Sent.Request_ = base::RequestId(Name);
    Sent.Account_ = base::AccountId("account");
    Sent.IdempotencyKey_ = Keyed ? Name : "";
    Sent.Timeout_ = 60s;
    Sent.Streaming_ = true;
    Requests_.onSubmit(std::move(Sent), Now_);
    AttemptRef Started;
    while (Started.Attempt_.empty())
      for (RouterAction &Action : Requests_.takeActions())
        answer(Action, Started);
    return Started;
  }

  /// Ends the attempt with a short answer.
  void finish(const AttemptRef &Attempt) {
    Now_ += 1us;
    Requests_.onMessage(Accepted{Attempt}, Now_);
    Requests_.onMessage(Chunk{Attempt, 0, AnswerHead{}, "text"}, Now_);
    Requests_.onMessage(Finished{Attempt, AttemptEnd::Complete, 4, {}}, Now_);
    AttemptRef None;
    for (int Round = 0; Round < 3; ++Round)
      for (RouterAction &Action : Requests_.takeActions())
        answer(Action, None);
    Requests_.onTick(Now_);
  }

private:
  void answer(RouterAction &Action, AttemptRef &Started) {
    if (const auto *Wanted = std::get_if<PrepareAttempt>(&Action)) {
      base::Incarnation Agent("agent-0");
      Requests_.onPrepared(Wanted->Request_,
                           {base::EndpointId("e"), Agent, Ticket{Agent, 1us}},
                           Now_);
    } else if (const auto *Asked = std::get_if<CommitAttempt>(&Action)) {
      Requests_.onCommit(Asked->Request_, Asked->Attempt_,
                         CommitStatus::Committed, Now_);
    } else if (auto *Sent = std::get_if<SendToAgent>(&Action)) {
      answer(Sent->Message_, Started);
    }
  }

  void answer(ToAgent &Message, AttemptRef &Started) {
    if (const auto *Start = std::get_if<StartAttempt>(&Message))
      Started = Start->Attempt_;
    else if (auto *Asked = std::get_if<ClaimRequest>(&Message))
      Requests_.onMessage(
          ClaimReply{std::move(Asked->Holder_), std::move(Asked->Key_),
                     std::move(Asked->Request_), ClaimState::Fresh},
          Now_);
    else if (auto *Confirm = std::get_if<ClaimConfirm>(&Message))
      Requests_.onMessage(ClaimConfirmReply{std::move(Confirm->Holder_),
                                            std::move(Confirm->Key_),
                                            std::move(Confirm->Request_),
                                            Confirm->Attempt_,
                                            std::move(Confirm->Attempt_)},
                          Now_);
  }

  base::TimePoint Now_;
  std::uint64_t Next_ = 0;
  Requests Requests_;
};

void decide(benchmark::State &State, bool Keyed) {
  Driver Router(static_cast<std::size_t>(State.range(1)));
  for (std::int64_t Index = 0; Index < State.range(0); ++Index)
    Router.start(Keyed);
  while (State.KeepRunning())
    Router.finish(Router.start(Keyed));
}

void decideWithoutKey(benchmark::State &State) { decide(State, false); }
void decideWithKey(benchmark::State &State) { decide(State, true); }

BENCHMARK(decideWithoutKey)
    ->ArgNames({"in_flight", "agents"})
    ->Args({1, 12})
    ->Args({10000, 12});
BENCHMARK(decideWithKey)
    ->ArgNames({"in_flight", "agents"})
    ->Args({1, 12})
    ->Args({10000, 12})
    ->Args({1, 1100})
    ->Args({10000, 1100});

} // namespace
