#include "camphorwind/routing/balancer.h"

namespace camphorwind::routing {

template class BasicBalancer<SelectablePolicy>;

} // namespace camphorwind::routing
