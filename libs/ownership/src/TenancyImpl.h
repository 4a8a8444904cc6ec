#pragma once

// The definitions of BasicTenancy, by subject.
#include "TenancyChanges.h"
#include "TenancyEvents.h"
#include "TenancyGrants.h"
#include "TenancyRoles.h"
#include "TenancyVotes.h"
