#pragma once

// Member function definitions of BasicServerLease, grouped by subject.
#include "ServerLeaseChanges.h"
#include "ServerLeaseEvents.h"
#include "ServerLeaseGrants.h"
#include "ServerLeaseRoles.h"
#include "ServerLeaseVotes.h"
