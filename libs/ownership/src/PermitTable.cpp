#include "PermitTableImpl.h"

namespace sycamore::ownership {

template class BasicPermitTable<StandardRules>;

} // namespace sycamore::ownership
