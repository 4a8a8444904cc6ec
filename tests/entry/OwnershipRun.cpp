// Runs real entry VMs against stand-ins of the store and of servers with faults drawn by a seed,
// and checks by the servers' journals that no key has two owners, or by the VMs' answers that no
// change of the configuration is in force late.

#include "FaultSchedule.h"
#include "KeyServer.h"
#include "KeyedLoad.h"
#include "SilenceSchedule.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the faults");
ABSL_FLAG(double, seconds, 30, "time with faults");
ABSL_FLAG(int, vms, 12, "number of entry VMs");
ABSL_FLAG(int, servers, 8, "number of servers at the start");
ABSL_FLAG(std::string, more, "", "fault that the run draws more than others");
ABSL_FLAG(double, silence_interval, 3, "mean interval between silences of connections, 0 for none");
ABSL_FLAG(bool,
          configuration,
          false,
          "change the configuration and check it, with faults that let the VMs reach the store");
ABSL_FLAG(std::string, program, ENTRY_PROGRAM, "program of the entry VMs");
ABSL_FLAG(bool, keep, false, "keep the logs of a run that broke no rule, too");

using namespace sycamore::soak;

namespace {

constexpr int kCallers = 12;
constexpr double kServiceTimeout = 40;
constexpr double kTick = 0.01;

// Folder of a run, with a deploy file that starts the entry VMs of this build in their network.
class RunFolder
{
public:
  RunFolder()
  {
    path_ = (std::filesystem::temp_directory_path() / "ownership-run-XXXXXX").string();
    if (mkdtemp(path_.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    std::filesystem::create_directory(path_ + "/deploy");
    std::ofstream(path_ + "/deploy/system.toml")
      << "run = \"/usr/bin/env LD_PRELOAD=" VM_NETWORK " OWNERSHIP_RUN_SIDES=" << sidesPath() << " "
      << absl::GetFlag(FLAGS_program) << "\"\n";
    // The deployment creates its folder here.
    setenv("TMPDIR", path_.c_str(), 1);
  }

  const std::string& path() const { return path_; }
  std::string sidesPath() const { return path_ + "/sides"; }

  std::vector<std::filesystem::path> files(const std::string& extension) const
  {
    std::vector<std::filesystem::path> result;
    for (const auto& entry : std::filesystem::recursive_directory_iterator(path_)) {
      if (entry.path().extension() == extension) {
        result.push_back(entry.path());
      }
    }
    return result;
  }

private:
  std::string path_;
};

class Run
{
public:
  explicit Run(std::uint64_t seed)
    : seed_(seed)
    , record_(folder_.path() + "/record.txt")
    , sides_(folder_.sidesPath())
    , deployment_(folder_.path(), record_, sizes(), false)
    , proxy_(seed)
    , fleet_(deployment_.store(), proxy_, folder_.path())
  {
    storeAddress_ = proxy_.open(true);
    const std::string store = deployment_.store().address();
    proxy_.setUpstream(storeAddress_, std::stoi(store.substr(store.rfind(':') + 1)));
    for (const auto& path : folder_.files(".json")) {
      review::Json settings = review::Json::parse(std::ifstream(path));
      settings["platform"]["address"] = "127.0.0.1:" + std::to_string(proxy_.portOf(storeAddress_));
      std::ofstream(path) << settings.dump(1);
    }
    for (int i = 0; i < absl::GetFlag(FLAGS_servers); ++i) {
      fleet_.start(fleet_.newId(), review::Deployment::zoneName(i));
    }
  }

  // Returns whether no rule was broken.
  bool run(double time)
  {
    deployment_.startVmsNow();
    if (!deployment_.awaitService(kServiceTimeout) || !awaitOwners()) {
      throw std::runtime_error("the keys have no owners, logs: " + folder_.path());
    }
    const bool checksConfiguration = absl::GetFlag(FLAGS_configuration);
    FaultSchedule schedule(seed_,
                           deployment_,
                           fleet_,
                           proxy_,
                           storeAddress_,
                           sides_,
                           record_,
                           checksConfiguration ? FaultSet::StoreReachable : FaultSet::All);
    SilenceSchedule silence(seed_, proxy_, storeAddress_, absl::GetFlag(FLAGS_silence_interval));
    schedule.drawMore(absl::GetFlag(FLAGS_more));
    const Nanoseconds beganAt = steadyNow();
    std::set<std::string> endedVms;
    double longestStall = 0;
    int served = 0;
    int failed = 0;
    std::vector<std::string> lateChanges;
    {
      KeyedLoad load(deployment_, seed_, kCallers);
      std::optional<ConfigurationCheck> configuration;
      if (checksConfiguration) {
        configuration.emplace(deployment_, seed_);
      }
      while (steadyNow() < beganAt + seconds(time)) {
        const Nanoseconds before = steadyNow();
        review::sleepFor(kTick);
        longestStall =
          std::max(longestStall, static_cast<double>(steadyNow() - before) / kSecond - kTick);
        schedule.tick();
        silence.tick();
        for (const auto& vm : deployment_.vms()) {
          if (!schedule.isDisturbed(vm->ip) && vm->hasEnded()) {
            endedVms.insert(vm->name);
          }
        }
      }
      if (configuration) {
        configuration->stop();
        lateChanges = configuration->violations(schedule.disturbances(), silence.silences());
        std::cout << "configuration: " << configuration->changes() << " changes, "
                  << configuration->questions() << " questions\n";
      }
      for (const auto& vm : deployment_.vms()) {
        vm->kill();
      }
      served = load.served();
      failed = load.failed();
    }
    std::vector<LifeJournal> journals;
    for (const auto& life : fleet_.lives()) {
      fleet_.kill(*life);
      journals.push_back({ std::filesystem::path(life->journal).stem().string(),
                           life->id,
                           life->address,
                           readJournal(life->journal),
                           life->endedAt });
    }
    OwnershipReport report = checkOwnership(journals, schedule.resumptions(), beganAt);
    for (const std::string& vm : endedVms) {
      report.violations.push_back("the process of " + vm + " has ended by itself");
    }
    report.violations.insert(report.violations.end(), lateChanges.begin(), lateChanges.end());
    print(report, schedule);
    std::cout << "  silences: " << silence.silences().size() << ", connections "
              << silence.connections() << "\n";
    std::cout << "  served " << served << ", failed " << failed << ", longest stall of the run "
              << static_cast<int>(longestStall * 1000) << " ms\n";
    return report.violations.empty();
  }

  const std::string& folder() const { return folder_.path(); }

  // Copies the VMs' logs out of the folder that the deployment removes.
  void keepLogs()
  {
    for (const auto& log : folder_.files(".log")) {
      std::filesystem::copy(log, folder_.path() + "/" + log.filename().string());
    }
  }

private:
  static review::Deployment::Sizes sizes()
  {
    review::Deployment::Sizes result;
    result.keyedServers = 0;
    result.orderServers = 0;
    result.vms = absl::GetFlag(FLAGS_vms);
    return result;
  }

  bool awaitOwners()
  {
    const auto until = review::after(kServiceTimeout);
    for (int served = 0, i = 0; review::Clock::now() < until; ++i) {
      const auto& vm = deployment_.vms()[static_cast<std::size_t>(i) % deployment_.vms().size()];
      const review::Answer answer = deployment_.ask(
        *vm, "GET", "/shelf/x/1", "first-" + std::to_string(i), 500, i * 2477 % kKeys);
      served = answer.status == 200 ? served + 1 : 0;
      if (served == 10) {
        return true;
      }
      review::sleepFor(0.02);
    }
    return false;
  }

  void print(const OwnershipReport& report, const FaultSchedule& schedule)
  {
    std::cout << "seed " << seed_ << ": " << report.grants << " grants (" << report.heldUpGrants
              << " held up), " << report.releases << " releases, " << report.works
              << " works, owners of ranges " << report.ownerChanges << ", lives "
              << fleet_.lives().size() << ", longest overlap " << report.longestOverlap / 1'000'000
              << " ms\n  faults:";
    for (const auto& [name, count] : schedule.begun()) {
      std::cout << " " << name << " " << count << ";";
    }
    std::cout << "\n  calls by fault:";
    for (const auto& [fault, count] : proxy_.applied()) {
      std::cout << " " << static_cast<int>(fault) << ":" << count;
    }
    std::cout << "\n";
    for (const std::string& violation : report.violations) {
      std::cout << "  BROKEN " << violation << "\n";
    }
  }

  std::uint64_t seed_;
  RunFolder folder_;
  review::Record record_;
  VmSides sides_;
  review::Deployment deployment_;
  FaultProxy proxy_;
  int storeAddress_ = 0;
  ServerFleet fleet_;
};

int runSeed()
{
  const std::uint64_t seed = absl::GetFlag(FLAGS_seed);
  const double time = absl::GetFlag(FLAGS_seconds);
  std::string folder;
  bool held = false;
  {
    Run run(seed);
    folder = run.folder();
    held = run.run(time);
    if (!held || absl::GetFlag(FLAGS_keep)) {
      run.keepLogs();
    }
  }
  if (held && !absl::GetFlag(FLAGS_keep)) {
    std::filesystem::remove_all(folder);
    return 0;
  }
  const std::string more = absl::GetFlag(FLAGS_more);
  std::cout << "  logs: " << folder << "\n  again: scripts/ownership-run.sh --seed " << seed
            << " --seconds " << time << " --vms " << absl::GetFlag(FLAGS_vms)
            << (more.empty() ? "" : " --more \"" + more + "\"") << " --silence_interval "
            << absl::GetFlag(FLAGS_silence_interval)
            << (absl::GetFlag(FLAGS_configuration) ? " --configuration" : "") << "\n";
  return held ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
  signal(SIGPIPE, SIG_IGN);
  if (argc == 5 && std::string(argv[1]) == "--server") {
    KeyServer(argv[2], argv[3], std::stod(argv[4])).run();
  }
  absl::ParseCommandLine(argc, argv);
  try {
    return runSeed();
  } catch (const std::exception& error) {
    std::cerr << "could not run: " << error.what() << "\n";
    return 2;
  }
}
