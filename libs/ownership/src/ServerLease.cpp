#include "ServerLeaseImpl.h"

namespace sycamore::ownership {

template class BasicServerLease<StandardRules>;

} // namespace sycamore::ownership
