#include "api.h"

#include "event-filter.h"

#include "camphorwind/observe/log.h"
#include "camphorwind/routing/blocks.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace camphorwind::router {

using daemons::errorAnswer;
using daemons::errorBody;

namespace {

using base::RefusalReason;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnavailable = 503;
constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr auto MetricsType = "text/plain; version=0.0.4";
constexpr auto JsonType = "application/json";
/// Bytes waiting for a slow caller before its answer is held back.
constexpr std::size_t MaxBufferedBytes = 256UL * 1024;
constexpr std::size_t MaxIdempotencyKeyBytes = 255;
constexpr std::int64_t MaxTimeoutMilliseconds = 3'600'000;
constexpr int InteractiveBelow = 3;
constexpr int BatchFrom = 7;

routing::Priority priorityOf(const config::Account &Account) {
  if (Account.Priority_ < InteractiveBelow)
    return routing::Priority::Interactive;
  return Account.Priority_ < BatchFrom ? routing::Priority::Standard
                                       : routing::Priority::Batch;
}

CallerError refusal(RefusalReason Reason, std::string Detail = "") {
  CallerError Error;
  Error.Reason_ = Reason;
  Error.Detail_ = std::move(Detail);
  return Error;
}

bool isTrue(std::optional<std::string_view> Value) { return Value == "true"; }

std::uint64_t fingerprintOf(const net::HttpRequest &Request) {
  XXH64_hash_t Path = XXH3_64bits(Request.Path_.data(), Request.Path_.size());
  return XXH3_64bits_withSeed(Request.Body_.data(), Request.Body_.size(), Path);
}

/// One answer on its way to a caller, streamed as it arrives.
struct StreamedAnswer {
  explicit StreamedAnswer(bool WantsUsage) : Filter_(WantsUsage) {}

  EventFilter Filter_;
  bool Filtering_ = false;
  bool Started_ = false;
};

constexpr std::string_view EventStream = "text/event-stream";

} // namespace

base::Result<std::unique_ptr<Api>, base::IoError>
Api::create(net::Loop &Owner, const base::Address &Local, Router &Target) {
  std::unique_ptr<Api> Created(new Api(Owner, Target));
  auto Handle = [Self = Created.get()](net::HttpRequest Request,
                                       std::shared_ptr<net::HttpExchange> Out) {
    Self->handle(Request, Out);
  };
  auto Unread = [Self = Created.get()](unsigned Status) {
    RefusalReason Reason = daemons::reasonOfUnread(Status);
    Self->Router_.metrics().countRefusal(Reason, base::Ran::No);
    return errorAnswer(refusal(Reason));
  };
  BOOST_OUTCOME_TRY(Server,
                    net::HttpServer::create(Owner, Local, {}, std::move(Handle),
                                            std::move(Unread)));
  Created->Server_ = std::move(Server);
  return Created;
}

void Api::handle(const net::HttpRequest &Request, const Exchange &Out) {
  if (handleOperator(Request, Out))
    return;
  Caller From;
  From.Request_ = Router_.newRequestId();
  if (auto Error = identify(Request, From))
    return refuse(*Error, From.Request_, Out);
  if (Request.Path_ == "/v1/models" && Request.Method_ == "GET")
    return listModels(From, Out);
  bool Known = Request.Path_ == "/v1/chat/completions" ||
               Request.Path_ == "/v1/completions" ||
               Request.Path_.starts_with(ServicePrefix);
  if (!Known && Request.Path_ != "/v1/models")
    return refuse(refusal(RefusalReason::NotFound), From.Request_, Out);
  if (Request.Method_ != "POST" || Request.Path_ == "/v1/models")
    return refuse(refusal(RefusalReason::MethodNotAllowed), From.Request_, Out);
  if (Router_.stopping())
    return refuse(refusal(RefusalReason::ShuttingDown), From.Request_, Out);
  if (Request.Path_ == "/v1/chat/completions")
    return complete(Request, From, CompletionKind::Chat, Out);
  if (Request.Path_ == "/v1/completions")
    return complete(Request, From, CompletionKind::Text, Out);
  callService(Request, From, Out);
}

bool Api::handleOperator(const net::HttpRequest &Request, const Exchange &Out) {
  if (Request.Path_ == "/healthz") {
    Out->respond(net::jsonAnswer(StatusOk, R"({"ok":true})"));
  } else if (Request.Path_ == "/readyz") {
    bool Ready = Router_.ready();
    Out->respond(
        net::jsonAnswer(Ready ? StatusOk : StatusUnavailable,
                        Ready ? R"({"ready":true})" : R"({"ready":false})"));
  } else if (Request.Path_ == "/metrics") {
    Out->respond(
        {StatusOk, {{"Content-Type", MetricsType}}, Router_.metricsText()});
  } else if (Request.Path_ == "/status") {
    Out->respond(net::jsonAnswer(StatusOk, Router_.statusText()));
  } else {
    return false;
  }
  return true;
}

std::optional<CallerError> Api::identify(const net::HttpRequest &Request,
                                         Caller &Found) {
  Found.View_ = Router_.view();
  if (!Found.View_)
    return refusal(RefusalReason::NotReady);
  auto Header = Request.Headers_.find("Authorization");
  if (!Header || !Header->starts_with(BearerPrefix))
    return refusal(RefusalReason::UnknownKey);
  const base::AccountId *Account =
      Found.View_->Keys_.authenticate(Header->substr(BearerPrefix.size()));
  if (!Account)
    return refusal(RefusalReason::UnknownKey);
  Found.Account_ = &Found.View_->Configuration_.Accounts_.at(*Account);
  return std::nullopt;
}

void Api::listModels(const Caller &From, const Exchange &Out) {
  nlohmann::ordered_json Listed{{"object", "list"},
                                {"data", nlohmann::ordered_json::array()}};
  const config::Configuration &Fleet = From.View_->Configuration_;
  for (const auto &[Id, Model] : Fleet.Models_)
    if (Fleet.findRoute(From.Account_->Id_, Id))
      Listed["data"].push_back({{"id", Id.str()},
                                {"object", "model"},
                                {"created", 0},
                                {"owned_by", Fleet.Fleet_}});
  Out->respond(net::jsonAnswer(StatusOk, Listed.dump()));
}

std::optional<CallerError> Api::readHeaders(const net::HttpRequest &Request,
                                            const Caller &From,
                                            RoutedRequest &Wanted) {
  request::Submission &Submitted = Wanted.Submission_;
  Submitted.Request_ = From.Request_;
  Submitted.Account_ = From.Account_->Id_;
  Submitted.Fingerprint_ = fingerprintOf(Request);
  Submitted.Timeout_ = From.View_->Configuration_.Timeouts_.Request_;
  if (auto Key = Request.Headers_.find("Idempotency-Key")) {
    if (Key->size() > MaxIdempotencyKeyBytes)
      return refusal(RefusalReason::MalformedRequest,
                     "Idempotency-Key is longer than 255 bytes.");
    Submitted.IdempotencyKey_ = *Key;
  }
  if (auto Text = Request.Headers_.find("Camphorwind-Timeout-Ms")) {
    std::int64_t Milliseconds = 0;
    const char *End = Text->data() + Text->size();
    auto [Stop, Error] = std::from_chars(Text->data(), End, Milliseconds);
    if (Error != std::errc() || Stop != End || Milliseconds < 1 ||
        Milliseconds > MaxTimeoutMilliseconds)
      return refusal(RefusalReason::MalformedRequest,
                     "Camphorwind-Timeout-Ms must be from 1 to 3600000.");
    Submitted.Timeout_ = std::chrono::milliseconds(Milliseconds);
  }
  Submitted.NonIdempotent_ =
      isTrue(Request.Headers_.find("Camphorwind-Non-Idempotent"));
  Wanted.Budget_ = From.Account_->DefaultBudget_;
  Wanted.View_ = From.View_;
  Wanted.Traits_.Priority_ = priorityOf(*From.Account_);
  return std::nullopt;
}

void Api::complete(const net::HttpRequest &Request, const Caller &From,
                   CompletionKind Kind, const Exchange &Out) {
  auto Parsed = CompletionRequest::parse(Kind, Request.Body_);
  if (!Parsed)
    return refuse(
        refusal(RefusalReason::MalformedRequest, Parsed.error().Detail_),
        From.Request_, Out);
  const CompletionRequest &Body = Parsed.value();
  const config::Configuration &Fleet = From.View_->Configuration_;
  config::ModelId ModelName(Body.model());
  auto Model = Fleet.Models_.find(ModelName);
  const config::Route *Route =
      Model == Fleet.Models_.end()
          ? nullptr
          : Fleet.findRoute(From.Account_->Id_, ModelName);
  if (!Route)
    return refuse(refusal(RefusalReason::UnknownModel), From.Request_, Out);
  RoutedRequest Wanted;
  if (auto Error = readHeaders(Request, From, Wanted))
    return refuse(*Error, From.Request_, Out);
  base::Tokens Limit =
      std::min(Body.outputLimit().value_or(Model->second.DefaultOutput_),
               Model->second.MaxOutput_);
  auto Bound = budget::requestBound(Body.shape(Limit), {});
  auto Prompt = budget::promptBound(Body.shape(Limit), {});
  if (!Bound || !Prompt)
    return refuse(refusal(RefusalReason::BoundTooLarge,
                          std::string(toString(Bound.error()))),
                  From.Request_, Out);
  Wanted.Bound_ = Bound.value();
  Wanted.Submission_.Streaming_ = Body.streaming();
  Wanted.Submission_.Call_ = {Request.Path_, JsonType,
                              Body.bodyWithLimit(Limit)};
  Wanted.Traits_.Pool_ = Route->Pools_.front();
  Wanted.Traits_.PromptTokens_ = routing::estimateTokens(Body.prompt().size());
  Wanted.Traits_.MaxOutputTokens_ = Limit;
  Wanted.Traits_.Blocks_ = routing::hashBlocks(Body.model(), Body.prompt());
  if (Body.streaming())
    submitStream(std::move(Wanted), Body.wantsUsage(), Out);
  else
    submitWhole(std::move(Wanted), Out);
}

void Api::callService(const net::HttpRequest &Request, const Caller &From,
                      const Exchange &Out) {
  std::string_view Rest(Request.Path_);
  Rest.remove_prefix(ServicePrefix.size());
  std::size_t Slash = std::min(Rest.find('/'), Rest.size());
  config::ServiceId Service{std::string(Rest.substr(0, Slash))};
  std::string Path(Rest.substr(Slash));
  if (Path.empty())
    Path = "/";
  const config::Configuration &Fleet = From.View_->Configuration_;
  const config::Route *Route = Fleet.findRoute(From.Account_->Id_, Service);
  const config::ServiceCall *Call =
      Route ? Fleet.findCall(Service, Request.Method_, Path) : nullptr;
  if (!Call)
    return refuse(refusal(RefusalReason::UnknownService), From.Request_, Out);
  RoutedRequest Wanted;
  if (auto Error = readHeaders(Request, From, Wanted))
    return refuse(*Error, From.Request_, Out);
  // A caller may mark more calls, never fewer.
  Wanted.Submission_.NonIdempotent_ =
      Wanted.Submission_.NonIdempotent_ || !Call->Idempotent_;
  Wanted.Bound_ = Call->Price_;
  Wanted.Submission_.Call_ = {
      Path,
      std::string(Request.Headers_.find("Content-Type").value_or(JsonType)),
      Request.Body_};
  Wanted.Traits_.Pool_ = Route->Pools_.front();
  Wanted.Traits_.MaxOutputTokens_ = Call->Price_;
  submitWhole(std::move(Wanted), Out);
}

void Api::refuse(const CallerError &Error, const base::RequestId &Request,
                 const Exchange &Out) {
  Router_.metrics().countRefusal(Error.Reason_, Error.Ran_);
  observe::log(observe::LogLevel::Debug, "request_refused",
               {{"request", Request.str()},
                {"code", toString(Error.Reason_)},
                {"ran", toString(Error.Ran_)}});
  net::HttpAnswer Answer = errorAnswer(Error);
  Answer.Headers_.add("X-Request-Id", Request.str());
  Out->respond(std::move(Answer));
}

void Api::submitWhole(RoutedRequest Wanted, const Exchange &Out) {
  struct WholeAnswer {
    request::AnswerHead Head_;
    std::string Body_;
  };
  base::RequestId Request = Wanted.Submission_.Request_;
  auto Answer = std::make_shared<WholeAnswer>();
  AnswerEvents Events;
  Events.OnPart_ = [Answer](const std::optional<request::AnswerHead> &Head,
                            std::string_view Bytes) {
    if (Head)
      Answer->Head_ = *Head;
    Answer->Body_ += Bytes;
  };
  Events.OnWhole_ = [Answer, Request, Out] {
    Out->respond({Answer->Head_.HttpStatus_,
                  {{"Content-Type", Answer->Head_.ContentType_},
                   {"X-Request-Id", Request.str()}},
                  std::move(Answer->Body_)});
  };
  Events.OnError_ = [this, Request, Out](const CallerError &Error) {
    refuse(Error, Request, Out);
  };
  Out->onHangup([this, Request](net::ConnectionEnd End) {
    onConnectionEnd(Request, End);
  });
  Router_.submit(std::move(Wanted), std::move(Events));
}

void Api::onConnectionEnd(const base::RequestId &Request,
                          net::ConnectionEnd End) {
  if (!net::isCallersOwn(End))
    observe::log(
        observe::LogLevel::Warning, "answer_undelivered",
        {{"request", Request.str()}, {"connection_end", net::toString(End)}});
  Router_.callerGone(Request);
}

void Api::submitStream(RoutedRequest Wanted, bool WantsUsage,
                       const Exchange &Out) {
  base::RequestId Request = Wanted.Submission_.Request_;
  auto Answer = std::make_shared<StreamedAnswer>(WantsUsage);
  AnswerEvents Events;
  Events.OnPart_ = [this, Answer, Request,
                    Out](const std::optional<request::AnswerHead> &Head,
                         std::string_view Bytes) {
    if (Head) {
      Answer->Started_ = true;
      Answer->Filtering_ = Head->ContentType_.starts_with(EventStream);
      Out->startStream(Head->HttpStatus_, {{"Content-Type", Head->ContentType_},
                                           {"Cache-Control", "no-cache"},
                                           {"X-Request-Id", Request.str()}});
    }
    if (Answer->Filtering_)
      Out->write(Answer->Filter_.feed(Bytes));
    else
      Out->write(Bytes);
    if (Out->buffered() > MaxBufferedBytes)
      Router_.setFlowing(Request, false);
  };
  Events.OnWhole_ = [Answer, Out] {
    Out->write(Answer->Filter_.finish());
    Out->endStream();
  };
  Events.OnError_ = [this, Answer, Request, Out](const CallerError &Error) {
    if (!Answer->Started_)
      return refuse(Error, Request, Out);
    Router_.metrics().countRefusal(Error.Reason_, Error.Ran_);
    if (!Answer->Filtering_)
      return Out->abortStream();
    Out->write("data: " + errorBody(Error) + "\n\n");
    Out->endStream();
  };
  Out->onHangup([this, Request](net::ConnectionEnd End) {
    onConnectionEnd(Request, End);
  });
  Out->onDrain([this, Request, Weak = std::weak_ptr<net::HttpExchange>(Out)] {
    auto Kept = Weak.lock();
    if (Kept && Kept->buffered() <= MaxBufferedBytes / 2)
      Router_.setFlowing(Request, true);
  });
  Router_.submit(std::move(Wanted), std::move(Events));
}

} // namespace camphorwind::router
