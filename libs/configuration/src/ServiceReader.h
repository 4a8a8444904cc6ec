#pragma once

#include "FieldReader.h"

#include <configuration/ObjectName.h>
#include <configuration/ServiceConfig.h>

namespace sycamore::configuration {

// Reads and validates the fields of a service's document.
class ServiceReader
{
public:
  ServiceReader(const nlohmann::json& document, ConfigFaults& faults);

  ServiceConfig read();

private:
  void readScalars();
  void readVotes();
  void readDomains();
  void readDomain(std::size_t index, const nlohmann::json& value);
  void readWeights();
  void readColdStart();
  void readLimits();
  void readObjective();
  void readVocabulary();
  void readMethods();
  MethodConfig readMethod(const nlohmann::json& object, const std::string& path);
  void readRetry(FieldReader& method, MethodConfig& config);

  FieldReader fields_;
  ServiceConfig config_;
};

} // namespace sycamore::configuration
