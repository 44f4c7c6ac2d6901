#include "camphorwind/standins/engine.h"

#include <algorithm>
#include <charconv>

namespace camphorwind::standins {

namespace {

/// How often a running request looks whether it may go on.
constexpr std::chrono::milliseconds HeldInterval{10};
/// Generation waits while a slow reader has this much to read.
constexpr std::size_t MaxBufferedBytes = 256UL * 1024;
constexpr std::uint64_t TokensPerBlock = CacheBlockBytes / 4;

EngineMode modeFrom(const std::string &Name) {
  if (Name == "slow")
    return EngineMode::Slow;
  if (Name == "silent")
    return EngineMode::Silent;
  if (Name == "dead")
    return EngineMode::Dead;
  return EngineMode::Normal;
}

bool isGeneration(const std::string &Path) {
  return Path == "/v1/chat/completions" || Path == "/v1/completions";
}

} // namespace

Engine::Engine(net::Loop &Owner, EngineSettings Settings)
    : Owner_(Owner), Settings_(std::move(Settings)),
      Cache_(Settings_.CacheBlocks_), LaggedLoad_(loadNow()),
      LoadTimer_(Owner, [this] { LaggedLoad_ = loadNow(); }) {
  if (Settings_.LoadLag_.count() > 0)
    LoadTimer_.startRepeating(Settings_.LoadLag_);
}

void Engine::handle(const net::HttpRequest &Request,
                    const ExchangePtr &Exchange) {
  try {
    answer(Request, Exchange);
  } catch (const Json::exception &Error) {
    Exchange->respond(errorAnswer(400, Error.what()));
  }
}

void Engine::answer(const net::HttpRequest &Request,
                    const ExchangePtr &Exchange) {
  const std::string &Path = Request.Path_;
  if (Path == "/control")
    return Exchange->respond(control(Request));
  if (Path == "/stats")
    return Exchange->respond(stats());
  if (Mode_ == EngineMode::Dead && DieAfterTokens_ == 0)
    return Exchange->abortStream();
  if (isGeneration(Path))
    return generate(Request, Exchange, Path == "/v1/chat/completions");
  if (Mode_ == EngineMode::Silent)
    return;
  if (Path == "/load")
    return Exchange->respond(answerWith(
        200, Settings_.LoadLag_.count() > 0 ? LaggedLoad_ : loadNow()));
  if (Path == "/cache-events")
    return Exchange->respond(cacheEvents(Request));
  if (Path == "/v1/models")
    return Exchange->respond(models());
  if (Path == "/health")
    return Exchange->respond(answerWith(200, {{"status", "ok"}}));
  Exchange->respond(errorAnswer(404, "no such path"));
}

net::HttpAnswer Engine::control(const net::HttpRequest &Request) {
  auto Body = parseObject(Request.Body_);
  if (!Body)
    return errorAnswer(400, "the body is not a JSON object");
  Mode_ = modeFrom(Body->value("mode", "normal"));
  Factor_ = Mode_ == EngineMode::Slow ? Body->value("factor", 10.0) : 1;
  DieAfterTokens_ = Body->value("die_after_tokens", std::uint64_t{0});
  if (Mode_ == EngineMode::Dead && DieAfterTokens_ == 0)
    die();
  return answerWith(200, {{"ok", true}});
}

net::HttpAnswer Engine::stats() const {
  return answerWith(
      200, {{"started", Counts_.Started_},
            {"finished", Counts_.Finished_},
            {"cancelled", Counts_.Cancelled_},
            {"failed", Counts_.Failed_},
            {"prompt_tokens", Counts_.PromptTokens_},
            {"completion_tokens", Counts_.CompletionTokens_},
            {"finished_prompt_tokens", Counts_.FinishedPromptTokens_},
            {"finished_completion_tokens", Counts_.FinishedCompletionTokens_}});
}

net::HttpAnswer Engine::models() const {
  return answerWith(200, {{"object", "list"},
                          {"data",
                           {{{"id", Settings_.Model_},
                             {"object", "model"},
                             {"owned_by", "engine-standin"}}}}});
}

net::HttpAnswer Engine::cacheEvents(const net::HttpRequest &Request) const {
  std::string_view Since = Request.Query_.find("since").value_or("0");
  std::uint64_t Sequence = 0;
  std::from_chars(Since.data(), Since.data() + Since.size(), Sequence);
  Json Events = Json::array();
  for (const CacheEvent &Event : Cache_.eventsSince(Sequence))
    Events.push_back({{"seq", Event.Sequence_},
                      {"type", Event.Stored_ ? "stored" : "evicted"},
                      {"block", hexText(Event.Block_)}});
  return answerWith(200, {{"events", Events},
                          {"last_seq", Cache_.lastSequence()},
                          {"block_bytes", CacheBlockBytes}});
}

Json Engine::loadNow() const {
  const double TokenSeconds =
      std::chrono::duration<double>(scaled(Settings_.Token_)).count();
  const double PerRequest = TokenSeconds > 0 ? 1 / TokenSeconds : 0;
  std::uint64_t QueuedPromptTokens = 0;
  for (std::uint64_t Id : Waiting_)
    QueuedPromptTokens += Jobs_.at(Id)->Request_.PromptTokens_;
  return {{"model", Settings_.Model_},
          {"running", Running_},
          {"queued", Waiting_.size()},
          {"queued_prompt_tokens", QueuedPromptTokens},
          {"slots", Settings_.Slots_},
          {"tokens_per_second", PerRequest * static_cast<double>(Running_)},
          {"tokens_per_second_per_request", PerRequest}};
}

void Engine::generate(const net::HttpRequest &Request,
                      const ExchangePtr &Exchange, bool Chat) {
  auto Body = parseObject(Request.Body_);
  if (!Body)
    return Exchange->respond(errorAnswer(400, "the body is not a JSON object"));
  if (Body->value("model", Settings_.Model_) != Settings_.Model_)
    return Exchange->respond(errorAnswer(404, "no such model"));
  auto Parsed = parseGeneration(*Body, Chat);
  if (!Parsed)
    return Exchange->respond(errorAnswer(400, "the request has no prompt"));
  std::uint64_t Id = NextId_++;
  auto Added = std::make_shared<Job>(Owner_, [this, Id] { tick(Id); });
  Added->Id_ = Id;
  Added->Request_ = std::move(*Parsed);
  Added->Exchange_ = Exchange;
  Exchange->onHangup([this, Id](net::ConnectionEnd) { hangUp(Id); });
  std::int64_t Priority = Added->Request_.Priority_;
  Jobs_.emplace(Id, std::move(Added));
  ++Counts_.Started_;
  enqueue(Id, Priority);
  startWaiting();
}

void Engine::enqueue(std::uint64_t Id, std::int64_t Priority) {
  auto Place =
      std::find_if(Waiting_.begin(), Waiting_.end(), [&](std::uint64_t Other) {
        return Jobs_.at(Other)->Request_.Priority_ > Priority;
      });
  Waiting_.insert(Place, Id);
}

void Engine::startWaiting() {
  while (Running_ < Settings_.Slots_ && !Waiting_.empty()) {
    // Keeps the job alive while it may end at once.
    const std::shared_ptr<Job> Next = Jobs_.at(Waiting_.front());
    Waiting_.pop_front();
    start(*Next);
  }
}

void Engine::start(Job &Started) {
  ++Running_;
  Started.Running_ = true;
  std::size_t Hits = Cache_.use(cacheBlocks(Started.Request_.Prompt_));
  Started.CachedTokens_ =
      std::min(Started.Request_.PromptTokens_, Hits * TokensPerBlock);
  Counts_.PromptTokens_ += Started.Request_.PromptTokens_;
  auto Uncached = static_cast<std::int64_t>(Started.Request_.PromptTokens_ -
                                            Started.CachedTokens_);
  auto Delay =
      scaled(Settings_.FirstToken_ + Settings_.PrefillPerToken_ * Uncached);
  if (Delay.count() == 0)
    return tick(Started.Id_);
  Started.Timer_.start(Delay);
}

void Engine::tick(std::uint64_t Id) {
  auto Found = Jobs_.find(Id);
  if (Found == Jobs_.end())
    return;
  const std::shared_ptr<Job> Running = Found->second;
  bool Held = Mode_ == EngineMode::Silent ||
              Running->Exchange_->buffered() > MaxBufferedBytes;
  if (Held)
    return Running->Timer_.start(HeldInterval);
  auto Interval = scaled(Settings_.Token_);
  do {
    if (!produce(*Running))
      return;
    if (Running->Produced_ >= Running->Request_.AnswerTokens_)
      return finish(*Running);
  } while (Interval.count() == 0);
  Running->Timer_.start(Interval);
}

bool Engine::produce(Job &Running) {
  std::string Text = tokenText(Running.Request_.PromptHash_, Running.Produced_);
  if (Running.Request_.Stream_) {
    if (Running.Produced_ == 0)
      Running.Exchange_->startStream(200,
                                     {{"Content-Type", "text/event-stream"},
                                      {"Cache-Control", "no-cache"}});
    sendToken(Running, Text);
  } else {
    Running.Text_ += Text;
  }
  ++Running.Produced_;
  ++Counts_.CompletionTokens_;
  if (DieAfterTokens_ == 0 || --DieAfterTokens_ > 0)
    return true;
  die();
  return false;
}

void Engine::finish(Job &Running) {
  ++Counts_.Finished_;
  Counts_.FinishedPromptTokens_ += Running.Request_.PromptTokens_;
  Counts_.FinishedCompletionTokens_ += Running.Produced_;
  if (Running.Request_.Stream_)
    sendEnd(Running);
  else
    Running.Exchange_->respond(wholeAnswer(Running));
  remove(Running.Id_);
  Owner_.post([this] { startWaiting(); });
}

void Engine::remove(std::uint64_t Id) {
  auto Found = Jobs_.find(Id);
  if (Found->second->Running_)
    --Running_;
  else
    Waiting_.erase(std::find(Waiting_.begin(), Waiting_.end(), Id));
  Found->second->Timer_.stop();
  // Its timer's callback may be running, so it has to outlive this turn.
  Owner_.post([Kept = std::move(Found->second)] {});
  Jobs_.erase(Found);
}

void Engine::hangUp(std::uint64_t Id) {
  if (Jobs_.count(Id) == 0)
    return;
  ++Counts_.Cancelled_;
  remove(Id);
  startWaiting();
}

void Engine::die() {
  Mode_ = EngineMode::Dead;
  DieAfterTokens_ = 0;
  while (!Jobs_.empty()) {
    const std::shared_ptr<Job> Cut = Jobs_.begin()->second;
    ++Counts_.Failed_;
    remove(Cut->Id_);
    Cut->Exchange_->abortStream();
  }
}

base::Duration Engine::scaled(std::chrono::microseconds Span) const {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::micro>(
          static_cast<double>(Span.count()) * Factor_));
}

Json Engine::usage(const Job &Of) const {
  return {{"prompt_tokens", Of.Request_.PromptTokens_},
          {"completion_tokens", Of.Produced_},
          {"total_tokens", Of.Request_.PromptTokens_ + Of.Produced_},
          {"prompt_tokens_details", {{"cached_tokens", Of.CachedTokens_}}}};
}

Json Engine::envelope(const Job &Of, bool Chunk) const {
  bool Chat = Of.Request_.Chat_;
  return {{"id", (Chat ? "chatcmpl-" : "cmpl-") + std::to_string(Of.Id_)},
          {"object", !Chat   ? "text_completion"
                     : Chunk ? "chat.completion.chunk"
                             : "chat.completion"},
          {"created", 0},
          {"model", Settings_.Model_}};
}

void Engine::sendEvent(const Job &To, const Json &Event) const {
  To.Exchange_->write("data: " + Event.dump() + "\n\n");
}

void Engine::sendToken(const Job &To, const std::string &Text) const {
  Json Event = envelope(To, /*Chunk=*/true);
  Json Choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (!To.Request_.Chat_)
    Choice["text"] = Text;
  else if (To.Produced_ == 0)
    Choice["delta"] = {{"role", "assistant"}, {"content", Text}};
  else
    Choice["delta"] = {{"content", Text}};
  Event["choices"] = Json::array({Choice});
  sendEvent(To, Event);
}

void Engine::sendEnd(const Job &To) const {
  Json Last = envelope(To, /*Chunk=*/true);
  Json Choice = {{"index", 0}, {"finish_reason", To.Request_.FinishReason_}};
  if (To.Request_.Chat_)
    Choice["delta"] = Json::object();
  else
    Choice["text"] = "";
  Last["choices"] = Json::array({Choice});
  sendEvent(To, Last);
  Json Usage = envelope(To, /*Chunk=*/true);
  Usage["choices"] = Json::array();
  Usage["usage"] = usage(To);
  sendEvent(To, Usage);
  To.Exchange_->write("data: [DONE]\n\n");
  To.Exchange_->endStream();
}

net::HttpAnswer Engine::wholeAnswer(const Job &Of) const {
  Json Body = envelope(Of, /*Chunk=*/false);
  Json Choice = {{"index", 0}, {"finish_reason", Of.Request_.FinishReason_}};
  if (Of.Request_.Chat_)
    Choice["message"] = {{"role", "assistant"}, {"content", Of.Text_}};
  else
    Choice["text"] = Of.Text_;
  Body["choices"] = Json::array({Choice});
  Body["usage"] = usage(Of);
  return answerWith(200, Body);
}

} // namespace camphorwind::standins
