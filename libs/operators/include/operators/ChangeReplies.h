#pragma once

#include <configuration/ChangeOutcome.h>
#include <configuration/ConfigObject.h>
#include <operators/ChangeReply.h>
#include <operators/ServiceMessages.h>

namespace sycamore::operators {

// The reply that tells an operator the outcome of a configuration change.
ChangeReply replyOf(const configuration::ChangeOutcome& outcome);

// An object as operators see it, without the system's own fields.
StoredObject storedObjectOf(const configuration::ConfigObject& object);

} // namespace sycamore::operators
