#include "camphorwind/standins/engine.h"

using namespace camphorwind;

int main(int argc, char **argv) {
  namespace po = boost::program_options;
  standins::ListenOptions Listen;
  standins::EngineSettings Settings;
  double FirstTokenMs = 20;
  double TokenMs = 2;
  double PrefillMs = 0;
  std::int64_t LoadLagMs = 0;
  po::options_description Options(
      "engine-standin: a model engine with an OpenAI-style interface");
  standins::addListenOptions(Options, Listen);
  auto Add = Options.add_options();
  Add("model", po::value(&Settings.Model_)->default_value(Settings.Model_),
      "name of the model served");
  Add("first-token-ms", po::value(&FirstTokenMs)->default_value(FirstTokenMs),
      "time to the first token");
  Add("token-ms", po::value(&TokenMs)->default_value(TokenMs),
      "time between tokens");
  Add("prefill-ms", po::value(&PrefillMs)->default_value(PrefillMs),
      "added to the first token for each prompt token not cached");
  Add("slots", po::value(&Settings.Slots_)->default_value(Settings.Slots_),
      "requests that run at a time");
  Add("cache-blocks",
      po::value(&Settings.CacheBlocks_)->default_value(Settings.CacheBlocks_),
      "prefix blocks kept");
  Add("load-lag-ms", po::value(&LoadLagMs)->default_value(LoadLagMs),
      "age of the load report");
  if (auto Code = standins::parseCommandLine(argc, argv, Options))
    return *Code;
  const auto Microseconds = [](double Milliseconds) {
    return std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>(Milliseconds));
  };
  Settings.FirstToken_ = Microseconds(FirstTokenMs);
  Settings.Token_ = Microseconds(TokenMs);
  Settings.PrefillPerToken_ = Microseconds(PrefillMs);
  Settings.LoadLag_ = std::chrono::milliseconds(LoadLagMs);
  auto Loop = net::Loop::create();
  if (!Loop)
    return 1;
  standins::Engine Served(*Loop.value(), Settings);
  return standins::serveUntilSignal(
      *Loop.value(), Listen, [&](const auto &Request, const auto &Exchange) {
        Served.handle(Request, Exchange);
      });
}
