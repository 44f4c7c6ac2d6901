#include "direct-router.h"

#include "fake-table.h"

#include "camphorwind/net/http-server.h"
#include "camphorwind/net/origin-client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

/// A router with endpoints and callers on one loop.
namespace camphorwind::direct {
namespace {

using namespace std::chrono_literals;

const base::AccountId Shop("shop");
constexpr std::int64_t Prepaid = 100'000;

/// What an endpoint does with a request.
enum class Deed {
  Answer,
  ErrorAnswer,
  UnsignedAnswer,
  NotExecuted,
  OtherInstance,
  Cut,
  StreamWhole,
  /// Breaks off after the first event and part of the second.
  StreamCut,
  Silence,
};

/// What the endpoints do with one request after the other, whichever of them
/// is asked; they answer what comes later.
using Script = std::shared_ptr<std::deque<Deed>>;

class Endpoint {
public:
  Endpoint(net::Loop &Owner, Script Deeds)
      : Owner_(Owner), Deeds_(std::move(Deeds)) {
    Server_ =
        std::move(net::HttpServer::create(
                      Owner, {"127.0.0.1", 0}, {},
                      [this](net::HttpRequest Request,
                             const std::shared_ptr<net::HttpExchange> &Out) {
                        Requests_.push_back(std::move(Request));
                        Out->onHangup([this] { ++HangUps_; });
                        act(Out);
                      })
                      .value());
  }

  const base::Address &address() const { return Server_->address(); }

  std::vector<net::HttpRequest> Requests_;
  int HangUps_ = 0;

private:
  net::HttpHeaders head(bool Signed = true) const {
    net::HttpHeaders Made{
        {"X-Attempt-Id",
         std::string(Requests_.back().Headers_.find("X-Attempt-Id").value())},
        {"X-Load", "1,0,8"}};
    if (Signed)
      Made.add("X-Signature", "s");
    return Made;
  }

  void act(const std::shared_ptr<net::HttpExchange> &Out) {
    Deed Now = Deed::Answer;
    if (!Deeds_->empty()) {
      Now = Deeds_->front();
      Deeds_->pop_front();
    }
    switch (Now) {
    case Deed::Answer:
      return Out->respond({200, head(), "whole"});
    case Deed::ErrorAnswer:
      return Out->respond({500, head(), "error"});
    case Deed::UnsignedAnswer:
      return Out->respond({200, head(false), "forged"});
    case Deed::NotExecuted:
      return Out->respond({503, {{"X-Not-Executed", "1"}}, ""});
    case Deed::OtherInstance:
      return Out->respond({421, {}, ""});
    case Deed::Cut:
      return Out->abortStream();
    case Deed::StreamWhole:
    case Deed::StreamCut:
      return stream(Out, Now == Deed::StreamCut);
    case Deed::Silence:
      Held_.push_back(Out);
    }
  }

  void stream(const std::shared_ptr<net::HttpExchange> &Out, bool Cut) {
    Out->startStream(200, head());
    std::string From(
        Requests_.back().Headers_.find("Last-Event-ID").value_or("0"));
    int Next = std::stoi(From) + 1;
    constexpr int Last = 3;
    if (Cut) {
      Out->write(event(Next) + event(Next + 1).substr(0, 7));
      Held_.push_back(Out);
      Cutter_ =
          std::make_unique<net::Timer>(Owner_, [Out] { Out->abortStream(); });
      Cutter_->start(20ms);
      return;
    }
    for (; Next <= Last; ++Next)
      Out->write(event(Next));
    Out->endStream();
  }

public:
  static std::string event(int Id) {
    std::string Number = std::to_string(Id);
    return "id: " + Number + "\ndata: " + Number + "\n\n";
  }

private:
  net::Loop &Owner_;
  Script Deeds_;
  std::vector<std::shared_ptr<net::HttpExchange>> Held_;
  std::unique_ptr<net::Timer> Cutter_;
  std::unique_ptr<net::HttpServer> Server_;
};

/// What a caller got.
struct Got {
  unsigned Status_ = 0;
  net::HttpHeaders Headers_;
  std::string Body_;
  bool Ended_ = false;
  bool Whole_ = false;
};

class DirectRouterTest : public testing::Test {
protected:
  DirectRouterTest()
      : Owner_(std::move(net::Loop::create().value())), Caller_(*Owner_, {}) {
    budget::EscrowSettings Budgets;
    Budgets.Router_ = base::RouterId("r");
    Budgets.Incarnation_ = base::Incarnation("r.1");
    Budgets.StartedAt_ = Owner_->now();
    DirectSettings Settings;
    Settings.Router_ = Budgets.Router_;
    Settings.Domain_ = base::FailureDomainId("here");
    Settings.Listen_ = freeAddress();
    Settings.ReadinessListen_ = freeAddress();
    Settings.DrainDelay_ = 100ms;
    Settings.ShutdownTimeout_ = 2s;
    Listen_ = Settings.Listen_;
    ReadinessListen_ = Settings.ReadinessListen_;
    Router_ = std::move(
        DirectRouter::create(*Owner_, Settings,
                             std::move(budget::Escrow::create(Budgets)).value())
            .value());
  }

  /// Returns an address that was free a moment ago.
  static base::Address freeAddress() {
    auto Probe = net::listenOn({"127.0.0.1", 0});
    return net::localAddress(Probe.value().fd()).value();
  }

  void configure(RequestKind Kind, bool Resumable = false,
                 std::chrono::milliseconds Timeout = 3000ms) {
    auto Made = std::make_shared<View>();
    Made->Version_ = 1;
    Route Added;
    Added.Name_ = "route";
    Added.Host_ = "shop.example";
    Added.PathPrefix_ = "/orders/";
    Added.Kind_ = Kind;
    Added.Targets_ = {{base::PoolId("pool"), 1}};
    Added.MaxAttempts_ = 2;
    Added.Timeout_ = Timeout;
    Added.Resumable_ = Resumable;
    Made->addRoute(Added);
    Made->addAccount({Shop, std::nullopt, base::Tokens(Prepaid)}, {"secret"});
    Made->Pools_[base::PoolId("pool")] = {base::PoolId("pool")};
    Router_->offerView(std::move(Made));
    Router_->endpoints().replace({}, Owner_->now());
    budgetsWork();
  }

  /// Lets the escrow talk to its table.
  void budgetsWork() {
    budget::Escrow &Escrow = Router_->escrow();
    constexpr auto TableTime = 5'000'000ms;
    Escrow.onRows(Table_.scan(TableTime), Owner_->now(), Owner_->now());
    while (auto Change = Escrow.nextTransaction(Owner_->now() + 1h))
      Escrow.onTransaction(Table_.apply(*Change, TableTime), Owner_->now());
    Router_->escrowChanged();
  }

  /// The endpoints share one script, so that the order in which they are
  /// chosen does not matter.
  Endpoint &addEndpoint(std::vector<Deed> Deeds = {}) {
    Script_->insert(Script_->end(), Deeds.begin(), Deeds.end());
    Endpoints_.push_back(std::make_unique<Endpoint>(*Owner_, Script_));
    Endpoint &Added = *Endpoints_.back();
    ListedEndpoint Entry;
    Entry.Endpoint_ = base::EndpointId("e" + std::to_string(Endpoints_.size()));
    Entry.Pool_ = base::PoolId("pool");
    Entry.Address_ = Added.address();
    Entry.Domain_ = base::FailureDomainId("here");
    Entry.Slots_ = 8;
    Router_->endpoints().put(Entry, Owner_->now());
    Router_->endpointsChanged();
    return Added;
  }

  net::OriginRequest call(std::string Target = "/orders/7") {
    net::OriginRequest Made;
    Made.Endpoint_ = Listen_;
    Made.Method_ = "POST";
    Made.Target_ = std::move(Target);
    Made.Headers_ = {{"Host", "shop.example"},
                     {"Authorization", "Bearer secret"},
                     {"X-Attempt-Id", "a1"},
                     {"X-Time-Left-Ms", "2000"}};
    Made.Body_ = std::make_shared<const std::string>("body");
    return Made;
  }

  Got fetch(net::OriginRequest Request) {
    Got Found;
    net::OriginEvents Events;
    Events.OnHead_ = [&Found](const net::OriginHead &Head) {
      Found.Status_ = Head.Status_;
      Found.Headers_ = Head.Headers_;
      return net::HeadVerdict::Accept;
    };
    Events.OnBody_ = [&Found](std::string_view Data) {
      Found.Body_.append(Data);
    };
    Events.OnEnd_ = [&](const base::Result<void, net::OriginError> &Ended) {
      Found.Ended_ = true;
      Found.Whole_ = static_cast<bool>(Ended);
      Owner_->stop();
    };
    net::Timer Guard(*Owner_, [this] { Owner_->stop(); });
    Guard.start(10s);
    Caller_.start(std::move(Request), std::move(Events));
    Owner_->run();
    return Found;
  }

  void wait(std::chrono::milliseconds Span) {
    net::Timer Pause(*Owner_, [this] { Owner_->stop(); });
    Pause.start(Span);
    Owner_->run();
  }

  std::size_t runs() const {
    std::size_t Sum = 0;
    for (const auto &Each : Endpoints_)
      Sum += Each->Requests_.size();
    return Sum;
  }

  std::unique_ptr<net::Loop> Owner_;
  net::OriginClient Caller_;
  budget::test::FakeTable Table_;
  Script Script_ = std::make_shared<std::deque<Deed>>();
  std::vector<std::unique_ptr<Endpoint>> Endpoints_;
  std::unique_ptr<DirectRouter> Router_;
  base::Address Listen_;
  base::Address ReadinessListen_;
};

/// One call to two endpoints, the first of which to be asked does the first
/// deed.
struct AttemptCase {
  std::string_view Name_;
  RequestKind Kind_ = RequestKind::Idempotent;
  bool Resumable_ = false;
  Deed First_ = Deed::Answer;
  Deed Second_ = Deed::Answer;
  unsigned Status_ = 200;
  std::string_view Body_;
  std::size_t Arrivals_ = 1;
  bool Whole_ = true;
};

std::ostream &operator<<(std::ostream &Out, const AttemptCase &Value) {
  return Out << Value.Name_;
}

class DirectAttemptTest : public DirectRouterTest,
                          public testing::WithParamInterface<AttemptCase> {};

TEST_P(DirectAttemptTest, RepeatsOnlyWhatMayRunAgain) {
  const AttemptCase &Case = GetParam();
  configure(Case.Kind_, Case.Resumable_);
  addEndpoint({Case.First_, Case.Second_});
  addEndpoint();
  Got Found = fetch(call());
  EXPECT_EQ(runs(), Case.Arrivals_);
  EXPECT_EQ(Found.Status_, Case.Status_);
  EXPECT_EQ(Found.Whole_, Case.Whole_);
  if (!Case.Body_.empty()) {
    EXPECT_EQ(Found.Body_, Case.Body_);
  }
}

const std::string AllEvents =
    Endpoint::event(1) + Endpoint::event(2) + Endpoint::event(3);
constexpr auto Idempotent = RequestKind::Idempotent;
constexpr auto Once = RequestKind::NonIdempotent;
constexpr auto Stream = RequestKind::Stream;

INSTANTIATE_TEST_SUITE_P(
    Kinds, DirectAttemptTest,
    testing::Values(
        AttemptCase{"answer_of_a_call_that_runs_once", Once, false,
                    Deed::Answer, Deed::Answer, 200, "whole", 1},
        AttemptCase{"error_of_a_call_that_runs_once", Once, false,
                    Deed::ErrorAnswer, Deed::Answer, 500, "error", 1},
        AttemptCase{"cut_of_a_call_that_runs_once", Once, false, Deed::Cut,
                    Deed::Answer, 502, "", 1},
        AttemptCase{"unsigned_answer_of_a_call_that_runs_once", Once, false,
                    Deed::UnsignedAnswer, Deed::Answer, 502, "", 1},
        AttemptCase{"call_that_was_not_executed", Once, false,
                    Deed::NotExecuted, Deed::Answer, 200, "whole", 2},
        AttemptCase{"call_for_another_instance", Once, false,
                    Deed::OtherInstance, Deed::Answer, 200, "whole", 2},
        AttemptCase{"call_that_nobody_executed", Once, false, Deed::NotExecuted,
                    Deed::NotExecuted, 503, "", 2},
        AttemptCase{"call_that_may_have_run_after_all", Once, false,
                    Deed::NotExecuted, Deed::Cut, 502, "", 2},
        AttemptCase{"error_of_an_idempotent_call", Idempotent, false,
                    Deed::ErrorAnswer, Deed::Answer, 200, "whole", 2},
        AttemptCase{"cut_of_an_idempotent_call", Idempotent, false, Deed::Cut,
                    Deed::Answer, 200, "whole", 2},
        AttemptCase{"unsigned_answer_of_an_idempotent_call", Idempotent, false,
                    Deed::UnsignedAnswer, Deed::Answer, 200, "whole", 2},
        AttemptCase{"two_errors_of_an_idempotent_call", Idempotent, false,
                    Deed::ErrorAnswer, Deed::ErrorAnswer, 500, "error", 2},
        AttemptCase{"whole_stream", Stream, false, Deed::StreamWhole,
                    Deed::StreamWhole, 200, AllEvents, 1},
        AttemptCase{"cut_stream_that_cannot_resume", Stream, false,
                    Deed::StreamCut, Deed::StreamWhole, 200,
                    "id: 1\ndata: 1\n\n", 1, false},
        AttemptCase{"cut_stream_that_resumes", Stream, true, Deed::StreamCut,
                    Deed::StreamWhole, 200, AllEvents, 2},
        AttemptCase{"stream_cut_twice", Stream, true, Deed::StreamCut,
                    Deed::StreamCut, 200,
                    "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", 2, false},
        AttemptCase{"stream_cut_before_its_first_event", Stream, true,
                    Deed::Cut, Deed::StreamWhole, 200, AllEvents, 2},
        AttemptCase{"stream_cut_early_that_cannot_resume", Stream, false,
                    Deed::Cut, Deed::StreamWhole, 502, "", 1}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

TEST_F(DirectRouterTest, BrokenStreamResumesAfterItsLastWholeEvent) {
  configure(RequestKind::Stream, true);
  addEndpoint({Deed::StreamCut, Deed::StreamWhole});
  addEndpoint();
  fetch(call());
  std::vector<std::string> From;
  for (const auto &Each : Endpoints_)
    for (const net::HttpRequest &Request : Each->Requests_)
      From.emplace_back(Request.Headers_.find("Last-Event-ID").value_or("-"));
  std::sort(From.begin(), From.end());
  EXPECT_EQ(From, (std::vector<std::string>{"-", "1"}));
}

TEST_F(DirectRouterTest, BrokenStreamWithoutAnotherEndpointEndsAtOnce) {
  configure(RequestKind::Stream, true);
  addEndpoint({Deed::StreamCut});
  Got Found = fetch(call());
  EXPECT_TRUE(Found.Ended_);
  EXPECT_FALSE(Found.Whole_);
}

TEST_F(DirectRouterTest, NotRunIsNeverSaidOfWhatMayHaveRun) {
  configure(RequestKind::Idempotent);
  addEndpoint({Deed::Cut});
  EXPECT_EQ(fetch(call()).Status_, 502u);
}

TEST_F(DirectRouterTest, SendsOnWhatTheCallerSentAndWhatTheRouterDecided) {
  configure(RequestKind::NonIdempotent);
  Endpoint &One = addEndpoint();
  net::OriginRequest Request = call("/orders/a%2Fb?x=%20y&x=2");
  Request.Headers_.add("X-Account", "forged");
  Request.Headers_.add("X-Own", "kept");
  fetch(Request);
  ASSERT_EQ(One.Requests_.size(), 1u);
  const net::HttpRequest &Sent = One.Requests_[0];
  EXPECT_EQ(Sent.Method_, "POST");
  EXPECT_EQ(Sent.Target_, "/orders/a%2Fb?x=%20y&x=2");
  EXPECT_EQ(Sent.Body_, "body");
  EXPECT_EQ(Sent.Headers_.find("X-Account"), "shop");
  EXPECT_EQ(Sent.Headers_.find("X-Own"), "kept");
  EXPECT_EQ(Sent.Headers_.find("X-Expect-Instance"), "e1");
  EXPECT_FALSE(Sent.Headers_.find("Authorization"));
  EXPECT_LE(std::stoi(std::string(*Sent.Headers_.find("X-Time-Left-Ms"))),
            2000);
}

/// Requests that are answered without an endpoint.
struct RefusalCase {
  std::string_view Name_;
  std::string_view Host_ = "shop.example";
  std::string_view Target_ = "/orders/7";
  std::string_view Key_ = "Bearer secret";
  std::string_view Bounds_ = "100,10";
  unsigned Status_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const RefusalCase &Value) {
  return Out << Value.Name_;
}

class DirectRefusalTest : public DirectRouterTest,
                          public testing::WithParamInterface<RefusalCase> {};

TEST_P(DirectRefusalTest, IsAnsweredAtOnce) {
  configure(RequestKind::NonIdempotent);
  addEndpoint();
  net::OriginRequest Request = call(std::string(GetParam().Target_));
  Request.Headers_ = {{"Host", std::string(GetParam().Host_)},
                      {"Authorization", std::string(GetParam().Key_)},
                      {"X-Attempt-Id", "a1"},
                      {"X-Token-Bounds", std::string(GetParam().Bounds_)}};
  EXPECT_EQ(fetch(Request).Status_, GetParam().Status_);
  EXPECT_EQ(runs(), GetParam().Status_ == 200 ? 1u : 0u);
}

INSTANTIATE_TEST_SUITE_P(
    Requests, DirectRefusalTest,
    testing::Values(
        RefusalCase{.Name_ = "proper", .Status_ = 200},
        RefusalCase{
            .Name_ = "unknown_host", .Host_ = "other.example", .Status_ = 404},
        RefusalCase{
            .Name_ = "unknown_path", .Target_ = "/none/7", .Status_ = 404},
        RefusalCase{
            .Name_ = "unknown_key", .Key_ = "Bearer other", .Status_ = 401},
        RefusalCase{.Name_ = "no_key", .Key_ = "", .Status_ = 401},
        RefusalCase{.Name_ = "more_than_prepaid",
                    .Bounds_ = "100001,10",
                    .Status_ = 402}),
    [](const auto &Info) { return std::string(Info.param.Name_); });

TEST_F(DirectRouterTest, WithoutConfigurationNothingIsDenied) {
  Got Found = fetch(call());
  EXPECT_EQ(Found.Status_, 503u);
  EXPECT_TRUE(Found.Headers_.find("Retry-After"));
}

TEST_F(DirectRouterTest, WithoutEndpointsTheCallerIsToldWhenToComeBack) {
  configure(RequestKind::NonIdempotent);
  Got Found = fetch(call());
  EXPECT_EQ(Found.Status_, 503u);
  EXPECT_TRUE(Found.Headers_.find("Retry-After"));
}

TEST_F(DirectRouterTest, CallerThatHangsUpStopsTheEndpoint) {
  configure(RequestKind::Idempotent);
  Endpoint &One = addEndpoint({Deed::Silence});
  net::OriginCallId Id = Caller_.start(
      call(), {[](const auto &) { return net::HeadVerdict::Accept; },
               [](auto) {}, [](const auto &) {}});
  wait(100ms);
  EXPECT_EQ(One.Requests_.size(), 1u);
  Caller_.cancel(Id);
  wait(100ms);
  EXPECT_EQ(One.HangUps_, 1);
}

TEST_F(DirectRouterTest, TheRoutesTimeoutEndsASilentCall) {
  configure(RequestKind::NonIdempotent, false, 200ms);
  addEndpoint({Deed::Silence});
  EXPECT_EQ(fetch(call()).Status_, 504u);
}

TEST_F(DirectRouterTest, StoppingRouterIsNotReadyAndRefusesLateRequests) {
  configure(RequestKind::NonIdempotent);
  addEndpoint();
  auto Ready = [this] {
    net::OriginRequest Question;
    Question.Endpoint_ = ReadinessListen_;
    Question.Target_ = "/ready";
    return fetch(Question).Status_;
  };
  EXPECT_EQ(Ready(), 200u);
  bool Stopped = false;
  Router_->stop([&Stopped] { Stopped = true; });
  EXPECT_EQ(Ready(), 503u);
  Got Found = fetch(call());
  EXPECT_EQ(Found.Status_, 200u);
  EXPECT_EQ(Found.Headers_.find("Connection"), "close");
  wait(300ms);
  budgetsWork();
  wait(300ms);
  EXPECT_TRUE(Stopped);
}

TEST_F(DirectRouterTest, StoppingRouterReturnsWhatOpenRequestsDoNotNeed) {
  configure(RequestKind::NonIdempotent);
  addEndpoint({Deed::Silence});
  net::OriginRequest Request = call();
  Request.Headers_.add("X-Token-Bounds", "3000,100");
  Caller_.start(std::move(Request),
                {[](const auto &) { return net::HeadVerdict::Accept; },
                 [](auto) {}, [](const auto &) {}});
  wait(100ms);
  Router_->stop([] {});
  wait(300ms);
  budgetsWork();
  budget::EscrowStatus Status = Router_->escrow().status(Shop, Owner_->now());
  EXPECT_EQ(Status.Reserved_, base::Tokens(3100));
  EXPECT_EQ(Status.Granted_, Status.Used_ + Status.Reserved_);
}

TEST_F(DirectRouterTest, TokensOfACallThatDidNotRunAreFreeAgain) {
  configure(RequestKind::NonIdempotent);
  addEndpoint(std::vector<Deed>(8, Deed::NotExecuted));
  net::OriginRequest Request = call();
  Request.Headers_.add("X-Token-Bounds", "4000,100");
  EXPECT_EQ(fetch(Request).Status_, 503u);
  budget::EscrowStatus Status = Router_->escrow().status(Shop, Owner_->now());
  EXPECT_EQ(Status.Used_, base::Tokens(0));
  EXPECT_EQ(Status.Reserved_, base::Tokens(0));
}

} // namespace
} // namespace camphorwind::direct
