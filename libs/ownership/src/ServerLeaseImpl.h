#pragma once

// The definitions of BasicServerLease, by subject.
#include "ServerLeaseChanges.h"
#include "ServerLeaseEvents.h"
#include "ServerLeaseGrants.h"
#include "ServerLeaseRoles.h"
#include "ServerLeaseVotes.h"
