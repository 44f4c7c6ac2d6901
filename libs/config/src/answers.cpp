#include "camphorwind/config/answers.h"

#include "camphorwind/config/settings-reader.h"

#include <algorithm>

namespace camphorwind::config {

namespace {

constexpr std::int64_t MaxWeightsBytes = 100'000'000'000'000;
constexpr std::int64_t MaxContextTokens = 100'000'000;

std::vector<std::string> atLeastOneName(Section &From, std::string_view Key,
                                        std::string_view What) {
  if (From.size(Key) == 0)
    From.fault(FaultKind::NotAllowed, Key, "none",
               "at least one " + std::string(What));
  return From.names(Key);
}

AgentsByDomain readAgents(Section &From, std::string_view Key,
                          const std::vector<std::string> &Domains) {
  AgentsByDomain Agents;
  Section Lists = From.section(Key);
  std::size_t Count = 0;
  for (const std::string &Domain : Domains) {
    Agents[Domain] = Lists.addresses(Domain);
    Count += Lists.size(Domain);
  }
  if (Count == 0)
    From.fault(FaultKind::NotAllowed, Key, "no agent",
               "at least one address in a failure domain");
  return Agents;
}

std::vector<std::string> readCalls(Section &From, std::string_view Key) {
  static const std::vector<std::string> Methods = {"GET", "POST", "PUT",
                                                   "PATCH", "DELETE"};
  std::vector<std::string> Calls = From.texts(Key);
  for (const std::string &Call : Calls) {
    std::size_t Space = Call.find(' ');
    std::string Method = Call.substr(0, Space);
    bool KnownMethod =
        std::find(Methods.begin(), Methods.end(), Method) != Methods.end();
    bool HasPath = Space != std::string::npos && Call.size() > Space + 1 &&
                   Call[Space + 1] == '/';
    if (!KnownMethod || !HasPath || Call.find('"') != std::string::npos)
      From.fault(FaultKind::NotAllowed, Key, "\"" + Call + "\"",
                 "a method and a path, such as \"POST /orders\"");
  }
  return Calls;
}

} // namespace

base::Result<Answers, Faults> parseAnswers(std::string_view Text,
                                           std::string FileName) {
  auto Reader = SettingsReader::parse(Text, std::move(FileName));
  if (!Reader)
    return base::failure(std::move(Reader).error());
  Section Root = Reader.value().root();
  Answers Value;
  Value.Fleet_ = Root.name("fleet");
  Value.Region_ = Root.name("region");
  Value.FailureDomains_ =
      atLeastOneName(Root, "failure_domains", "failure domain");
  Value.Caution_ =
      static_cast<Caution>(Root.choice("caution", {"overspend", "refusals"}));
  Value.Accounts_ = atLeastOneName(Root, "accounts", "account");
  Value.Model_ = Root.name("model");
  Value.ModelVersion_ = Root.name("model_version");
  Value.WeightsObject_ = Root.text("weights_object");
  Value.WeightsBytes_ = Root.integer("weights_bytes", {1, MaxWeightsBytes});
  Value.ContextTokens_ = Root.integer("context_tokens", {1, MaxContextTokens});
  Value.MaxOutputTokens_ =
      Root.integer("max_output_tokens", {1, Value.ContextTokens_});
  Value.Engines_ = readAgents(Root, "engines", Value.FailureDomains_);
  Value.EnginesCheckFencing_ = Root.flag("engines_check_fencing");
  if (Root.has("service")) {
    Value.Service_ = Root.name("service");
    Value.OnceOnlyCalls_ = readCalls(Root, "once_only_calls");
    Value.RepeatableCalls_ = readCalls(Root, "repeatable_calls");
    if (Value.OnceOnlyCalls_.empty() && Value.RepeatableCalls_.empty())
      Root.fault(FaultKind::NotAllowed, "service", "a service without calls",
                 "a call in \"once_only_calls\" or \"repeatable_calls\"");
    Value.ServiceHosts_ =
        readAgents(Root, "service_hosts", Value.FailureDomains_);
  }
  return Reader.value().finish(std::move(Value));
}

} // namespace camphorwind::config
