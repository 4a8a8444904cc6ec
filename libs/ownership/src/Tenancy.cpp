#include "TenancyImpl.h"

namespace sycamore::ownership {

template class BasicTenancy<StandardRules>;

} // namespace sycamore::ownership
