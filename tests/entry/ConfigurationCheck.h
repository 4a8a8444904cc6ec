#pragma once

#include "ServerJournal.h"

#include <Deployment.h>

#include <map>
#include <random>

namespace sycamore::soak {

// Spans of time in which VMs were disturbed, by the VM's address.
using Disturbances = std::map<std::string, std::vector<std::pair<Nanoseconds, Nanoseconds>>>;

// Adds a route to the configuration at intervals drawn by a seed, and asks the VMs in turn for a
// route whose addition was acknowledged long enough ago. The answer 404 means that the VM handled
// the request by an older version.
class ConfigurationCheck
{
public:
  ConfigurationCheck(review::Deployment& deployment, std::uint64_t seed);
  ~ConfigurationCheck();

  // Ends the changes and the questions.
  void stop();

  // Returns the texts of the answers by an older version, except those of VMs that were disturbed,
  // or after connections went silent, a short time before. To be called after stop().
  std::vector<std::string> violations(const Disturbances& disturbances,
                                      const std::vector<Nanoseconds>& silences) const;
  // Number of changes, and of requests that checked one.
  std::size_t changes() const { return acknowledgedAt_.size(); }
  int questions() const { return questions_; }

private:
  struct OlderAnswer
  {
    std::string vm;
    std::size_t change;
    Nanoseconds sentAt;
  };

  void run();
  void addRoute();
  void ask(const review::EntryVm& vm);

  review::Deployment& deployment_;
  std::mt19937_64 random_;
  // Times at which the store acknowledged the changes.
  std::vector<Nanoseconds> acknowledgedAt_;
  std::vector<OlderAnswer> olderAnswers_;
  int questions_ = 0;
  std::atomic<bool> stopped_{ false };
  std::thread thread_;
};

} // namespace sycamore::soak
