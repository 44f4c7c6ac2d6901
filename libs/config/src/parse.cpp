#include "camphorwind/config/parse.h"

#include "camphorwind/config/settings-reader.h"

#include <algorithm>
#include <set>

namespace camphorwind::config {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t FormatVersion = 1;
constexpr std::int64_t MaxTokens = 1'000'000'000'000'000;
constexpr std::int64_t MaxContextTokens = 100'000'000;
constexpr std::int64_t MaxObjectBytes = 100'000'000'000'000;
constexpr std::size_t SaltBytes = 16;
constexpr std::size_t HashBytes = 32;

/// Names that the file defines, for checking references.
struct KnownNames {
  NameSet FailureDomains_;
  NameSet Accounts_;
  NameSet Budgets_;
  NameSet Models_;
  NameSet Services_;
  NameSet Pools_;
};

template <class IdType>
std::vector<IdType> idsOf(const std::vector<std::string> &Names) {
  return {Names.begin(), Names.end()};
}

base::Tokens readTokens(Section &From, std::string_view Key,
                        Range<std::int64_t> Bounds,
                        std::optional<std::int64_t> Default = std::nullopt) {
  return base::Tokens(From.integer(Key, Bounds, Default));
}

int readCount(Section &From, std::string_view Key, int High, int Default) {
  return static_cast<int>(From.integer(Key, {1, High}, Default));
}

/// Reads one configuration file; remembers what must be unique in it.
class ConfigurationParser {
public:
  explicit ConfigurationParser(Section Root) : Root_(std::move(Root)) {}

  Configuration run() {
    Root_.integer("format", {FormatVersion, FormatVersion});
    Value_.Fleet_ = Root_.name("fleet");
    collectNames();
    readRegions();
    readBudgets();
    readAccounts();
    readModels();
    readServices();
    readPools();
    readRoutes();
    readLimits();
    readTimeouts();
    readPolicies();
    return std::move(Value_);
  }

private:
  void collectNames() {
    Known_.Accounts_ = Root_.entryNames("accounts");
    Known_.Budgets_ = Root_.entryNames("budgets");
    Known_.Models_ = Root_.entryNames("models");
    Known_.Services_ = Root_.entryNames("services");
    Known_.Pools_ = Root_.entryNames("pools");
  }

  std::vector<Entry> requiredEntries(std::string_view Key) {
    if (Root_.size(Key) == 0)
      Root_.fault(FaultKind::NotAllowed, Key, "no entry", "at least one");
    return Root_.entries(Key);
  }

  void readRegions() {
    for (Entry &Item : requiredEntries("regions")) {
      Region Value{base::RegionId(Item.Name_), {}};
      auto Names = Item.Section_.names("failure_domains");
      if (Item.Section_.size("failure_domains") == 0)
        Item.Section_.fault(FaultKind::NotAllowed, "failure_domains",
                            "no failure domain", "at least one");
      for (const std::string &Name : Names) {
        if (!Known_.FailureDomains_.insert(Name).second)
          Item.Section_.fault(FaultKind::NotAllowed, "failure_domains",
                              "\"" + Name + "\" again",
                              "each failure domain once in all regions");
        base::FailureDomainId Id(Name);
        RegionOf_.emplace(Id, Value.Id_);
        Value.FailureDomains_.push_back(std::move(Id));
      }
      Value_.Regions_.emplace(Value.Id_, std::move(Value));
    }
  }

  void readBudgets() {
    for (Entry &Item : Root_.entries("budgets")) {
      Budget Value;
      Value.Id_ = base::BudgetId(Item.Name_);
      Value.Account_ = base::AccountId(
          Item.Section_.reference("account", Known_.Accounts_, "account"));
      Value.LowMark_ =
          readTokens(Item.Section_, "low_mark_tokens", {0, MaxTokens}, 0);
      Value_.Budgets_.emplace(Value.Id_, std::move(Value));
    }
  }

  void readAccounts() {
    for (Entry &Item : Root_.entries("accounts")) {
      Section &From = Item.Section_;
      Account Value;
      Value.Id_ = base::AccountId(Item.Name_);
      Value.DefaultBudget_ = base::BudgetId(
          From.reference("default_budget", Known_.Budgets_, "budget"));
      checkOwner(From, Value);
      Value.Priority_ = static_cast<int>(From.integer("priority", {0, 9}, 5));
      Value.MaxRequests_ = readCount(From, "max_requests", 100'000, 256);
      for (Entry &Key : From.entries("keys"))
        Value.Keys_.push_back(readKey(Key));
      Value_.Accounts_.emplace(Value.Id_, std::move(Value));
    }
  }

  void checkOwner(Section &From, const Account &Value) {
    auto Found = Value_.Budgets_.find(Value.DefaultBudget_);
    if (Found == Value_.Budgets_.end() || Found->second.Account_.empty() ||
        Found->second.Account_ == Value.Id_)
      return;
    From.fault(FaultKind::NotAllowed, "default_budget",
               "a budget of account \"" + Found->second.Account_.str() + "\"",
               "a budget of account \"" + Value.Id_.str() + "\"");
  }

  KeyRecord readKey(Entry &Item) {
    KeyRecord Value;
    Value.Id_ = KeyId(Item.Name_);
    Value.Salt_ = Item.Section_.hex("salt", SaltBytes);
    Value.Hash_ = Item.Section_.hex("hash", HashBytes);
    if (!KeyIds_.insert(Item.Name_).second)
      Item.Section_.fault(FaultKind::NotAllowed, "",
                          "key id \"" + Item.Name_ + "\" again",
                          "each key id once in all accounts");
    return Value;
  }

  static Weights readWeights(Section &From) {
    Weights Value;
    Value.Object_ = From.text("object");
    Value.Bytes_ = From.integer("bytes", {1, MaxObjectBytes});
    return Value;
  }

  void readModels() {
    for (Entry &Item : Root_.entries("models")) {
      Section &From = Item.Section_;
      Model Value;
      Value.Id_ = ModelId(Item.Name_);
      Value.Context_ =
          readTokens(From, "context_tokens", {1, MaxContextTokens});
      Range<std::int64_t> Output{1, Value.Context_.count()};
      Value.MaxOutput_ = readTokens(From, "max_output_tokens", Output);
      Value.DefaultOutput_ =
          readTokens(From, "default_output_tokens",
                     {1, Value.MaxOutput_.count()}, Value.MaxOutput_.count());
      NameSet Versions = From.entryNames("versions");
      for (Entry &Version : From.entries("versions"))
        Value.Versions_.emplace(ModelVersionId(Version.Name_),
                                readWeights(Version.Section_));
      Value.Version_ =
          ModelVersionId(From.reference("version", Versions, "version"));
      for (Entry &Adapter : From.entries("adapters"))
        Value.Adapters_.emplace(AdapterId(Adapter.Name_),
                                readWeights(Adapter.Section_));
      Value_.Models_.emplace(Value.Id_, std::move(Value));
    }
  }

  void readServices() {
    static const std::vector<std::string> Methods = {"GET", "POST", "PUT",
                                                     "PATCH", "DELETE"};
    for (Entry &Item : Root_.entries("services")) {
      Service Value{ServiceId(Item.Name_), {}};
      for (Section &From : Item.Section_.sections("calls")) {
        ServiceCall Call;
        Call.Method_ = Methods[From.choice("method", Methods)];
        Call.Path_ = From.text("path");
        if (!Call.Path_.empty() && Call.Path_.front() != '/')
          From.fault(FaultKind::NotAllowed, "path", "\"" + Call.Path_ + "\"",
                     "a path that starts with \"/\"");
        Call.Idempotent_ = From.flag("idempotent");
        Call.Price_ = readTokens(From, "price_tokens", {0, MaxTokens}, 0);
        Value.Calls_.push_back(std::move(Call));
      }
      if (Item.Section_.size("calls") == 0)
        Item.Section_.fault(FaultKind::NotAllowed, "calls", "no call",
                            "at least one");
      Value_.Services_.emplace(Value.Id_, std::move(Value));
    }
  }

  void readPools() {
    static const std::vector<std::string> Kinds = {"model_engine",
                                                   "plain_service"};
    for (Entry &Item : requiredEntries("pools")) {
      Section &From = Item.Section_;
      Pool Value;
      Value.Id_ = base::PoolId(Item.Name_);
      Value.Kind_ = static_cast<PoolKind>(From.choice("kind", Kinds));
      if (Value.Kind_ == PoolKind::ModelEngine)
        Value.Models_ =
            idsOf<ModelId>(From.references("models", Known_.Models_, "model"));
      else
        Value.Services_ = idsOf<ServiceId>(
            From.references("services", Known_.Services_, "service"));
      Value.MaxRequestsPerEndpoint_ =
          readCount(From, "max_requests_per_endpoint", 10'000, 32);
      Section Common = From.section("capabilities");
      Capabilities Defaults = readCapabilities(Common, Capabilities());
      for (Entry &Endpoint : From.entries("endpoints"))
        Value.Endpoints_.push_back(readEndpoint(Endpoint, Value.Id_, Defaults));
      Value_.Pools_.emplace(Value.Id_, std::move(Value));
    }
  }

  static Capabilities readCapabilities(Section &From,
                                       const Capabilities &Defaults) {
    Capabilities Value;
    Value.ChecksFencing_ = From.flag("checks_fencing", Defaults.ChecksFencing_);
    Value.HonoursPriorities_ =
        From.flag("honours_priorities", Defaults.HonoursPriorities_);
    Value.ResumesStreams_ =
        From.flag("resumes_streams", Defaults.ResumesStreams_);
    Value.CancelsStreams_ =
        From.flag("cancels_streams", Defaults.CancelsStreams_);
    Value.MovesCache_ = From.flag("moves_cache", Defaults.MovesCache_);
    Value.PublishesCacheEvents_ =
        From.flag("publishes_cache_events", Defaults.PublishesCacheEvents_);
    Value.ReportsLoad_ = From.flag("reports_load", Defaults.ReportsLoad_);
    return Value;
  }

  Endpoint readEndpoint(Entry &Item, const base::PoolId &Pool,
                        const Capabilities &Defaults) {
    Section &From = Item.Section_;
    Endpoint Value;
    Value.Id_ = base::EndpointId(Item.Name_);
    Value.Pool_ = Pool;
    Value.Agent_ = From.peerAddress("agent");
    Value.Host_ = base::HostId(From.name("host"));
    Value.FailureDomain_ = base::FailureDomainId(From.reference(
        "failure_domain", Known_.FailureDomains_, "failure domain"));
    auto Found = RegionOf_.find(Value.FailureDomain_);
    if (Found != RegionOf_.end())
      Value.Region_ = Found->second;
    Section Own = From.section("capabilities");
    Value.Capabilities_ = readCapabilities(Own, Defaults);
    checkUnique(From, Value);
    return Value;
  }

  void checkUnique(Section &From, const Endpoint &Value) {
    if (!EndpointIds_.insert(Value.Id_.str()).second)
      From.fault(FaultKind::NotAllowed, "",
                 "endpoint \"" + Value.Id_.str() + "\" again",
                 "each endpoint once in all pools");
    if (!Value.Agent_.Ip_.empty() &&
        !Agents_.insert(base::toString(Value.Agent_)).second)
      From.fault(FaultKind::NotAllowed, "agent",
                 "\"" + base::toString(Value.Agent_) + "\" again",
                 "each agent beside one endpoint");
  }

  void readRoutes() {
    for (Entry &Item : Root_.entries("routes")) {
      Section &From = Item.Section_;
      Route Value;
      Value.Id_ = RouteId(Item.Name_);
      if (From.has("model") == From.has("service"))
        From.fault(FaultKind::NotAllowed, "",
                   From.has("model") ? "a model and a service"
                                     : "neither a model nor a service",
                   "exactly one of the keys \"model\" and \"service\"");
      if (From.has("model"))
        Value.Model_ =
            ModelId(From.reference("model", Known_.Models_, "model"));
      if (From.has("service"))
        Value.Service_ =
            ServiceId(From.reference("service", Known_.Services_, "service"));
      Value.Pools_ =
          idsOf<base::PoolId>(From.references("pools", Known_.Pools_, "pool"));
      if (From.size("pools") == 0)
        From.fault(FaultKind::NotAllowed, "pools", "no pool", "at least one");
      Value.Accounts_ = idsOf<base::AccountId>(
          From.references("accounts", Known_.Accounts_, "account"));
      checkServed(From, Value);
      Value_.Routes_.emplace(Value.Id_, std::move(Value));
    }
  }

  /// A pool of a route must run the route's model or service.
  void checkServed(Section &From, const Route &Value) {
    for (const base::PoolId &Id : Value.Pools_) {
      auto Found = Value_.Pools_.find(Id);
      if (Found == Value_.Pools_.end())
        continue;
      const Pool &Target = Found->second;
      if (Value.Model_ && !Value.Model_->empty() &&
          !contains(Target.Models_, *Value.Model_))
        From.fault(FaultKind::NotAllowed, "pools",
                   "\"" + Id.str() + "\", which does not run model \"" +
                       Value.Model_->str() + "\"",
                   "pools whose \"models\" name the route's model");
      if (Value.Service_ && !Value.Service_->empty() &&
          !contains(Target.Services_, *Value.Service_))
        From.fault(FaultKind::NotAllowed, "pools",
                   "\"" + Id.str() + "\", which does not answer service \"" +
                       Value.Service_->str() + "\"",
                   "pools whose \"services\" name the route's service");
    }
  }

  template <class T>
  static bool contains(const std::vector<T> &List, const T &Value) {
    return std::find(List.begin(), List.end(), Value) != List.end();
  }

  void readLimits() {
    Section From = Root_.section("limits");
    Limits &Value = Value_.Limits_;
    Value.Connections_ = readCount(From, "connections", 100'000, 4096);
    Value.RequestsInProgress_ =
        readCount(From, "requests_in_progress", 100'000, 1024);
    Value.QueuedRequests_ = readCount(From, "queued_requests", 100'000, 512);
    Value.BodyBytes_ = static_cast<std::size_t>(
        From.integer("body_bytes", {1024, 256L << 20}, 4L << 20));
    Value.HeaderBytes_ = static_cast<std::size_t>(
        From.integer("header_bytes", {1024, 1L << 20}, 16L << 10));
  }

  void readTimeouts() {
    Section From = Root_.section("timeouts");
    Timeouts &Value = Value_.Timeouts_;
    Value.Request_ = From.duration("request", {100ms, 24h}, 5min);
    Value.Stall_ = From.duration("stall", {50ms, 10min}, 5s);
    Value.Connect_ = From.duration("connect", {10ms, 1min}, 1s);
    Value.Drain_ = From.duration("drain", {0s, 24h}, 5min);
    Value.Heartbeat_ = From.duration("heartbeat", {20ms, 10s}, 500ms);
    Value.Ticket_ = From.duration("ticket", {100ms, 30s}, 2s);
    Value.ConfigurationPoll_ =
        From.duration("configuration_poll", {50ms, 4s}, 1s);
    if (Value.Ticket_ < 2 * Value.Heartbeat_)
      From.fault(FaultKind::OutOfRange, "ticket",
                 "\"" + toString(Value.Ticket_) + "\"",
                 "at least two heartbeats, \"" +
                     toString(2 * Value.Heartbeat_) + "\"");
  }

  void readPolicies() {
    Section Policies = Root_.section("policies");
    Section Slices = Policies.section("slices");
    Value_.Slices_.Cover_ = Slices.duration("cover", {1s, 1h}, 1min);
    Value_.Slices_.Smallest_ =
        readTokens(Slices, "smallest_tokens", {1, MaxTokens}, 1000);
    Value_.Slices_.LargestShare_ =
        Slices.real("largest_share", {0.001, 1}, 0.25);
    Value_.Slices_.IdleReturn_ =
        Slices.duration("idle_return", {1s, 24h}, 1min);
    Section Routing = Policies.section("routing");
    Value_.Routing_.SubsetSize_ = readCount(Routing, "subset_size", 1000, 16);
    Value_.Routing_.Candidates_ = readCount(Routing, "candidates", 100, 4);
    Value_.Routing_.RetryShare_ = Routing.real("retry_share", {0, 1}, 0.1);
    Value_.Routing_.SlowStart_ =
        Routing.duration("slow_start", {0s, 10min}, 10s);
  }

  Section Root_;
  Configuration Value_;
  KnownNames Known_;
  std::map<base::FailureDomainId, base::RegionId> RegionOf_;
  std::set<std::string> KeyIds_;
  std::set<std::string> EndpointIds_;
  std::set<std::string> Agents_;
};

} // namespace

base::Result<Configuration, Faults> parse(std::string_view Text,
                                          std::string FileName) {
  auto Reader = SettingsReader::parse(Text, std::move(FileName));
  if (!Reader)
    return base::failure(std::move(Reader).error());
  Configuration Value = ConfigurationParser(Reader.value().root()).run();
  return Reader.value().finish(std::move(Value));
}

} // namespace camphorwind::config
