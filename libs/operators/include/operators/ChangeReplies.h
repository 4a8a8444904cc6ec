#pragma once

#include <configuration/ChangeOutcome.h>
#include <configuration/ConfigObject.h>
#include <operators/ChangeReply.h>
#include <operators/ServiceMessages.h>

namespace sycamore::operators {

// Returns the reply that reports the outcome of a configuration change to an operator.
ChangeReply replyOf(const configuration::ChangeOutcome& outcome);

// Returns an object as operators see it, without the fields that only sycamoreshelf itself uses.
StoredObject storedObjectOf(const configuration::ConfigObject& object);

} // namespace sycamore::operators
