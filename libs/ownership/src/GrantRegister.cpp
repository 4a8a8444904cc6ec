#include "GrantRegisterImpl.h"

namespace sycamore::ownership {

template class BasicGrantRegister<StandardRules>;

} // namespace sycamore::ownership
