#ifndef CAMPHORWIND_STANDINS_ENGINE_H
#define CAMPHORWIND_STANDINS_ENGINE_H

#include "camphorwind/standins/cache.h"
#include "camphorwind/standins/json.h"
#include "camphorwind/standins/program.h"
#include "camphorwind/standins/prompt.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace camphorwind::standins {

/// What one engine is and how fast it is.
struct EngineSettings {
  std::string Model_ = "language-model";
  std::chrono::microseconds FirstToken_{20000};
  std::chrono::microseconds Token_{2000};
  /// Added to the first token for every prompt token that is not cached.
  std::chrono::microseconds PrefillPerToken_{0};
  /// Requests that run at a time; the others wait.
  std::size_t Slots_ = 32;
  std::size_t CacheBlocks_ = 4096;
  /// Age of what `GET /load` answers.
  std::chrono::milliseconds LoadLag_{0};
};

/// How the engine behaves; changed by `POST /control`.
enum class EngineMode { Normal, Slow, Silent, Dead };

/// Totals since the start.
struct EngineCounts {
  std::uint64_t Started_ = 0;
  std::uint64_t Finished_ = 0;
  /// Ended because the caller hung up.
  std::uint64_t Cancelled_ = 0;
  /// Cut off because the engine died.
  std::uint64_t Failed_ = 0;
  std::uint64_t PromptTokens_ = 0;
  std::uint64_t CompletionTokens_ = 0;
  /// Parts of the two totals above that belong to finished requests.
  std::uint64_t FinishedPromptTokens_ = 0;
  std::uint64_t FinishedCompletionTokens_ = 0;
};

/// A model engine with an OpenAI-style interface, batching continuously.
class Engine {
public:
  Engine(net::Loop &Owner, EngineSettings Settings);

  void handle(const net::HttpRequest &Request,
              const std::shared_ptr<net::HttpExchange> &Exchange);

private:
  using ExchangePtr = std::shared_ptr<net::HttpExchange>;

  /// One request from its arrival to the end of its answer.
  struct Job {
    Job(net::Loop &Owner, std::function<void()> OnTick)
        : Timer_(Owner, std::move(OnTick)) {}

    std::uint64_t Id_ = 0;
    Generation Request_;
    ExchangePtr Exchange_;
    std::uint64_t CachedTokens_ = 0;
    std::uint64_t Produced_ = 0;
    bool Running_ = false;
    std::string Text_;
    net::Timer Timer_;
  };

  void answer(const net::HttpRequest &Request, const ExchangePtr &Exchange);
  net::HttpAnswer control(const net::HttpRequest &Request);
  net::HttpAnswer stats() const;
  net::HttpAnswer models() const;
  net::HttpAnswer cacheEvents(const net::HttpRequest &Request) const;
  Json loadNow() const;

  void generate(const net::HttpRequest &Request, const ExchangePtr &Exchange,
                bool Chat);
  void enqueue(std::uint64_t Id, std::int64_t Priority);
  void startWaiting();
  void start(Job &Started);
  void tick(std::uint64_t Id);
  /// Makes one token. Returns false if the engine died of it.
  bool produce(Job &Running);
  void finish(Job &Running);
  void remove(std::uint64_t Id);
  void hangUp(std::uint64_t Id);
  void die();
  base::Duration scaled(std::chrono::microseconds Span) const;

  Json usage(const Job &Of) const;
  Json envelope(const Job &Of, bool Chunk) const;
  void sendEvent(const Job &To, const Json &Event) const;
  void sendToken(const Job &To, const std::string &Text) const;
  void sendEnd(const Job &To) const;
  net::HttpAnswer wholeAnswer(const Job &Of) const;

  net::Loop &Owner_;
  EngineSettings Settings_;
  PrefixCache Cache_;
  EngineMode Mode_ = EngineMode::Normal;
  double Factor_ = 1;
  /// Tokens until the engine dies; 0 for never.
  std::uint64_t DieAfterTokens_ = 0;
  EngineCounts Counts_;
  std::unordered_map<std::uint64_t, std::shared_ptr<Job>> Jobs_;
  /// Ids of waiting requests in the order they will run.
  std::deque<std::uint64_t> Waiting_;
  std::size_t Running_ = 0;
  std::uint64_t NextId_ = 1;
  Json LaggedLoad_;
  net::Timer LoadTimer_;
};

} // namespace camphorwind::standins

#endif // CAMPHORWIND_STANDINS_ENGINE_H
