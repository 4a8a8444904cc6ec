#include "VoterImpl.h"

namespace sycamore::ownership {

template class BasicVoter<StandardRules>;

} // namespace sycamore::ownership
