#include "agent.h"

#include "camphorwind/base/random.h"
#include "camphorwind/observe/log.h"
#include "camphorwind/wire/envelope.h"

#include <algorithm>
#include <utility>

namespace camphorwind::agent {

using namespace std::chrono_literals;

namespace {

/// Answer bytes queued for a slow router before the endpoint is held back.
constexpr std::size_t MaxBufferedBytes = 256UL * 1024;
constexpr std::size_t MaxClaims = 100000;
constexpr auto TickInterval = 100ms;
/// A router silent for this long is forgotten by the tickets.
constexpr auto RouterSilence = 1h;

request::AttemptsSettings attemptsSettings(const AgentSettings &Settings) {
  request::AttemptsSettings Limits;
  Limits.MaxRunning_ = Settings.MaxRunning_;
  return Limits;
}

/// The attempt that a message to a router is about; empty for other messages.
base::AttemptId attemptOf(const request::ToRouter &Message) {
  return std::visit(
      [](const auto &Value) -> base::AttemptId {
        if constexpr (
            requires { Value.Attempt_.Attempt_; } &&
            !requires { Value.Holder_; })
          return Value.Attempt_.Attempt_;
        else
          return {};
      },
      Message);
}

bool endsAttempt(const request::ToRouter &Message) {
  return std::holds_alternative<request::Refused>(Message) ||
         std::holds_alternative<request::Finished>(Message);
}

} // namespace

Agent::Agent(net::Loop &Owner, AgentSettings Settings,
             std::unique_ptr<net::HttpClient> Http,
             base::Incarnation Incarnation, budget::Witness Money)
    : Owner_(Owner), Settings_(std::move(Settings)), Http_(std::move(Http)),
      Incarnation_(std::move(Incarnation)), Tickets_(Incarnation_),
      Attempts_(Incarnation_, attemptsSettings(Settings_)),
      Claims_(Incarnation_, MaxClaims), Witness_(std::move(Money)),
      Caller_(*Http_, Settings_, endpointEvents()),
      Tick_(Owner, [this] { onTick(); }) {
  Tick_.startRepeating(TickInterval);
}

base::Result<std::unique_ptr<Agent>, base::IoError>
Agent::create(net::Loop &Owner, AgentSettings Settings) {
  BOOST_OUTCOME_TRY(Http, net::HttpClient::create(Owner));
  base::Random Bits = base::systemRandom();
  base::Incarnation Incarnation(Settings.Endpoint_.str() + "." +
                                base::uniqueText(Bits));
  budget::WitnessSettings WitnessSettings;
  WitnessSettings.Agent_ = Incarnation;
  auto Money = budget::Witness::create(std::move(WitnessSettings));
  if (!Money)
    return base::failure(
        base::IoError{base::IoErrorKind::Library, "starting the witness"});
  std::unique_ptr<Agent> Created(
      new Agent(Owner, std::move(Settings), std::move(Http),
                std::move(Incarnation), std::move(Money).value()));
  auto Config = ConfigRelay::create(
      Owner,
      [Self = Created.get()](StreamRef Control, const wire::ToRouter &Value) {
        Self->Links_->send(Control, wire::packAny<wire::ToRouter>(Value));
      });
  if (!Config)
    return base::failure(base::IoError{base::IoErrorKind::Library,
                                       "starting to follow the configuration"});
  Created->Config_ = std::move(Config).value();
  BOOST_OUTCOME_TRY(Links,
                    RouterLinks::create(Owner, Created->Settings_.Listen_,
                                        Created->linkEvents()));
  Created->Links_ = std::move(Links);
  BOOST_OUTCOME_TRY(AdminServer, Admin::create(Owner, Created->Settings_.Admin_,
                                               [Self = Created.get()] {
                                                 return Self->metricsText();
                                               }));
  Created->Admin_ = std::move(AdminServer);
  if (Created->Settings_.Kind_ == EndpointKind::ModelEngine)
    Created->Load_ = std::make_unique<LoadReader>(
        Owner, *Created->Http_, Created->Settings_,
        [Self = Created.get()](const routing::LoadReport &Report) {
          Self->publishLoad(Report);
        });
  return Created;
}

EndpointEvents Agent::endpointEvents() {
  EndpointEvents Events;
  Events.OnHead_ = [this](const base::AttemptId &Attempt,
                          request::AnswerHead Head) {
    Attempts_.onEndpointHead(Attempt, std::move(Head));
    pump();
  };
  Events.OnBytes_ = [this](const base::AttemptId &Attempt,
                           const std::string &Bytes) {
    Attempts_.onEndpointBytes(Attempt, Bytes, Owner_.now());
    pump();
  };
  Events.OnUsage_ = [this](const base::AttemptId &Attempt,
                           request::Usage Used) {
    Attempts_.onEndpointUsage(Attempt, Used);
  };
  Events.OnEnd_ = [this](const base::AttemptId &Attempt,
                         request::EndpointEnd End) {
    onEndpointEnd(Attempt, End);
  };
  Events.HasRoom_ = [this](const base::AttemptId &Attempt) {
    return hasRoom(Attempt);
  };
  return Events;
}

RouterLinksEvents Agent::linkEvents() {
  RouterLinksEvents Events;
  Events.OnMessage_ = [this](StreamRef Stream, const wire::ToAgent &Message) {
    onMessage(Stream, Message);
  };
  Events.OnDrain_ = [this](StreamRef Stream) { onDrain(Stream); };
  Events.OnStreamClosed_ = [this](StreamRef Stream) { onStreamClosed(Stream); };
  return Events;
}

std::string Agent::metricsText() {
  Metrics_.gauge("attempts_running", static_cast<double>(Attempts_.running()));
  Metrics_.gauge("answers_kept_bytes",
                 static_cast<double>(Attempts_.keptBytes()));
  Metrics_.gauge("claims_held", static_cast<double>(Claims_.size()));
  Metrics_.gauge("router_links", static_cast<double>(Links_->count()));
  wire::LinkTraffic Traffic = Links_->traffic();
  Metrics_.gauge("link_sent_bytes", static_cast<double>(Traffic.SentBytes_));
  Metrics_.gauge("link_received_bytes",
                 static_cast<double>(Traffic.ReceivedBytes_));
  Metrics_.gauge("configuration_version",
                 static_cast<double>(Config_->spread().inForce().Version_));
  Metrics_.gauge("messages_malformed",
                 static_cast<double>(Links_->malformed()));
  const budget::WitnessCounters &Money = Witness_.counters();
  Metrics_.gauge("commits", static_cast<double>(Money.Commits_));
  Metrics_.gauge("commit_repeats", static_cast<double>(Money.Repeats_));
  Metrics_.gauge("commit_stand_ins",
                 static_cast<double>(Money.FallbackCommits_));
  Metrics_.gauge("commits_refused_sealed",
                 static_cast<double>(Money.RefusedSealed_));
  Metrics_.gauge("routers_sealed", static_cast<double>(Money.SealedRouters_));
  return Metrics_.text();
}

void Agent::onMessage(StreamRef Stream, const wire::ToAgent &Message) {
  std::visit([&](const auto &Value) { handle(Stream, Value); }, Message);
  pump();
}

void Agent::handle(StreamRef Stream, const request::Heartbeat &Beat) {
  Control_[Beat.Router_] = Stream;
  Witness_.recordContact(Beat.Router_, Owner_.now());
  send(Stream, Tickets_.onHeartbeat(Beat, Owner_.now()));
  Config_->onHeartbeat(Stream);
}

void Agent::handle(StreamRef Stream, const request::StartAttempt &Start) {
  const base::AttemptId &Attempt = Start.Attempt_.Attempt_;
  Readers_[Attempt].push_back({Start.Router_, Stream});
  AttemptOf_[Stream] = Attempt;
  Witness_.recordContact(Start.Router_, Owner_.now());
  Attempts_.onStart(Start, Tickets_, Owner_.now());
}

void Agent::handle(StreamRef, const request::Cancel &Cancelled) {
  Attempts_.onCancel(Cancelled, Owner_.now());
}

void Agent::handle(StreamRef Stream, const request::QueryAttempt &Query) {
  const base::AttemptId &Attempt = Query.Attempt_.Attempt_;
  std::erase_if(Readers_[Attempt], [&](const Reader &Known) {
    return Known.Router_ == Query.Router_;
  });
  Readers_[Attempt].push_back({Query.Router_, Stream});
  AttemptOf_[Stream] = Attempt;
  Attempts_.onQuery(Query, Owner_.now());
}

void Agent::handle(StreamRef Stream, const request::ClaimRequest &Asked) {
  send(Stream, Claims_.onRequest(Asked, Owner_.now()));
}

void Agent::handle(StreamRef, const request::ClaimUpdate &Update) {
  Claims_.onUpdate(Update, Owner_.now());
}

void Agent::handle(StreamRef Stream, const request::ClaimConfirm &Asked) {
  send(Stream, Claims_.onConfirm(Asked, Owner_.now()));
}

void Agent::handle(StreamRef Stream, const request::ClaimRelease &Released) {
  send(Stream, Claims_.onRelease(Released));
}

void Agent::handle(StreamRef Stream, const request::JoinCommit &Asked) {
  const base::AttemptId &Attempt = Asked.Attempt_.Attempt_;
  request::JoinCommitReply Reply{Asked.Request_, Asked.Attempt_, false};
  auto Bill = Attempts_.billingInfo(Attempt);
  if (Bill && Asked.Attempt_.Agent_ == Incarnation_) {
    Reply.Committed_ =
        Bill->Committed_ || Witness_.onCommit({Attempt,
                                               Bill->Slice_,
                                               Bill->Router_,
                                               Bill->Usage_.total(),
                                               {}})
                                    .Status_ == budget::CommitStatus::Committed;
    if (Reply.Committed_)
      Attempts_.onCommitted(Attempt);
  }
  send(Stream, Reply);
}

void Agent::handle(StreamRef Stream, const budget::CommitRequest &Request) {
  budget::CommitReply Reply = Witness_.onCommit(Request);
  if (Reply.Status_ == budget::CommitStatus::Committed)
    Attempts_.onCommitted(Request.Attempt_);
  send(Stream, Reply);
}

void Agent::handle(StreamRef Stream,
                   const budget::FallbackCommitRequest &Request) {
  send(Stream, Witness_.onFallbackCommit(Request));
}

void Agent::handle(StreamRef Stream, const budget::LivenessRequest &Request) {
  send(Stream, Witness_.onLivenessRequest(Request, Owner_.now()));
}

void Agent::handle(StreamRef Stream, const budget::SealRequest &Request) {
  Tickets_.seal(Request.Router_);
  budget::SealReply Reply = Witness_.onSeal(Request);
  for (const base::AttemptId &Attempt : Witness_.takeCancelled())
    Attempts_.onDropped(Attempt, Owner_.now());
  send(Stream, Reply);
}

template <class Message>
void Agent::send(StreamRef Stream, const Message &Value) {
  Links_->send(Stream, wire::packAs<wire::ToRouter>(Value));
}

void Agent::pump() {
  for (;;) {
    std::vector<request::AgentAction> Actions = Attempts_.takeActions();
    if (Actions.empty())
      return;
    for (const request::AgentAction &Action : Actions)
      std::visit([&](const auto &Value) { perform(Value); }, Action);
  }
}

void Agent::perform(const request::SendToRouter &Action) {
  base::AttemptId Attempt = attemptOf(Action.Message_);
  auto Found = Readers_.find(Attempt);
  if (Found == Readers_.end())
    return;
  for (const Reader &Known : Found->second) {
    if (Known.Router_ != Action.Router_)
      continue;
    Links_->send(Known.Stream_, wire::packAny<wire::ToRouter>(Action.Message_));
    if (endsAttempt(Action.Message_))
      Links_->finish(Known.Stream_);
  }
}

void Agent::perform(const request::RunAtEndpoint &Action) {
  auto Bill = Attempts_.billingInfo(Action.Attempt_);
  if (!Bill)
    return;
  auto Opened = Witness_.open({Action.Attempt_, Bill->Slice_, Bill->Router_,
                               Action.Bound_, Bill->NonIdempotent_});
  if (!Opened)
    return onEndpointEnd(Action.Attempt_, request::EndpointEnd::NotReached);
  Caller_.run(Action);
}

void Agent::perform(const request::StopAtEndpoint &Action) {
  Caller_.stop(Action.Attempt_);
}

void Agent::onEndpointEnd(const base::AttemptId &Attempt,
                          request::EndpointEnd End) {
  Attempts_.onEndpointEnd(Attempt, End, Owner_.now());
  auto Bill = Attempts_.billingInfo(Attempt);
  if (Bill && End == request::EndpointEnd::Complete)
    Witness_.finish(Attempt, Bill->Usage_.total());
  else
    Witness_.drop(Attempt);
  pump();
}

bool Agent::hasRoom(const base::AttemptId &Attempt) const {
  auto Found = Readers_.find(Attempt);
  if (Found == Readers_.end())
    return true;
  return std::all_of(
      Found->second.begin(), Found->second.end(), [&](const Reader &Known) {
        return Links_->buffered(Known.Stream_) < MaxBufferedBytes;
      });
}

void Agent::onDrain(StreamRef Stream) {
  auto Found = AttemptOf_.find(Stream);
  if (Found != AttemptOf_.end() && hasRoom(Found->second))
    Caller_.resume(Found->second);
}

void Agent::handle(StreamRef Stream, const config::Announce &News) {
  Config_->onMessage(Stream, News);
}

void Agent::handle(StreamRef Stream, const config::ContentRequest &Asked) {
  Config_->onMessage(Stream, Asked);
}

void Agent::handle(StreamRef Stream, const config::Content &Received) {
  Config_->onMessage(Stream, Received);
}

void Agent::onStreamClosed(StreamRef Stream) {
  Config_->onStreamClosed(Stream);
  auto Found = AttemptOf_.find(Stream);
  if (Found == AttemptOf_.end())
    return;
  base::AttemptId Attempt = Found->second;
  AttemptOf_.erase(Found);
  auto Known = Readers_.find(Attempt);
  if (Known == Readers_.end())
    return;
  std::erase_if(Known->second,
                [&](const Reader &Gone) { return Gone.Stream_ == Stream; });
  if (Known->second.empty())
    Readers_.erase(Known);
  // The answer goes on without this reader and waits to be asked for.
  Caller_.resume(Attempt);
}

void Agent::onTick() {
  base::TimePoint Now = Owner_.now();
  Attempts_.onTick(Now);
  Claims_.expire(Now);
  Tickets_.forgetSilentRouters(RouterSilence, Now);
  pump();
  if (OnDrained_ && (drained() || Now >= DrainUntil_))
    std::exchange(OnDrained_, nullptr)();
}

void Agent::publishLoad(routing::LoadReport Report) {
  // The routers share the free slots that the report shows.
  Report.Routers_ =
      static_cast<std::uint32_t>(std::max<std::size_t>(1, Control_.size()));
  for (const auto &[Router, Stream] : Control_)
    send(Stream, Report);
}

bool Agent::drained() const {
  return Attempts_.running() == 0 && !Tickets_.anyValid(Owner_.now()) &&
         Readers_.empty();
}

void Agent::leave(std::function<void()> OnDrained) {
  Tickets_.leave();
  OnDrained_ = std::move(OnDrained);
  DrainUntil_ = Owner_.now() + Settings_.Drain_;
  observe::log(observe::LogLevel::Info, "leaving",
               {{"running", Attempts_.running()}});
}

} // namespace camphorwind::agent
